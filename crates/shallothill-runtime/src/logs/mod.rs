//! Sets up logging: one JSON object per line on standard output.
//!
//! A background thread writes the lines from a bounded queue, so that a blocked standard output
//! delays no request; lines that do not fit are dropped and counted. Each callsite has a limit of
//! lines per second.

mod rate_limiter;

use std::sync::{Arc, OnceLock};

use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry};

use crate::errors;

pub use rate_limiter::LogRateLimiter;

/// `TARGET_PREFIX` selects the log targets of this project's crates; libraries log nothing that an
/// operator needs.
const TARGET_PREFIX: &str = "shallothill";

/// `LINES_PER_S` is the rate limit of each callsite.
const LINES_PER_S: u32 = 100;

/// `QUEUE_MAX_LINES` bounds the lines that wait for standard output.
const QUEUE_MAX_LINES: usize = 4096;

static DROP_COUNTERS: OnceLock<DropCounters> = OnceLock::new();

/// `DropCounters` counts the lines dropped by the rate limit and by the full queue.
#[derive(Debug)]
struct DropCounters {
    limiter: Arc<LogRateLimiter>,
    queue: ErrorCounter,
}

/// `LogGuard` keeps the writer thread running; dropping it writes the lines left in the queue.
#[derive(Debug)]
#[must_use = "log lines are written only while the guard is held"]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// `init` logs events at `level` or more severe to standard output, with UTC times.
///
/// Fails with `InitLogging` if the process has already set up logging.
pub fn init(level: log::LevelFilter) -> errors::Result<LogGuard> {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_MAX_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let queue = writer.error_counter();
    let limiter = Arc::new(LogRateLimiter::new(LINES_PER_S));
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    let targets = Targets::new().with_target(TARGET_PREFIX, level_filter(level));
    let installed = registry()
        .with(targets)
        .with(rate_limiter::RateLimitLayer(Arc::clone(&limiter)))
        .with(lines)
        .try_init();
    installed.map_err(|e| {
        let message = e.to_string();
        errors::InitLoggingSnafu { message }.build()
    })?;
    // The counters are unset here: a second call has failed above.
    let _ = DROP_COUNTERS.set(DropCounters { limiter, queue });
    Ok(LogGuard { _worker: worker })
}

/// `report_dropped_lines` logs the lines that each callsite lost to the rate limit since the last
/// call, and the total lost to the full queue since the start. Call it about every 10 s.
pub fn report_dropped_lines() {
    let Some(counters) = DROP_COUNTERS.get() else {
        return;
    };
    for (kind, lines) in counters.limiter.take_dropped() {
        tracing::warn!(
            kind,
            lines,
            "logs: lines above the rate limit of their callsite were dropped"
        );
    }
    let total = counters.queue.dropped_lines();
    if total > 0 {
        tracing::warn!(
            total,
            "logs: lines were dropped because standard output is blocked; check its reader"
        );
    }
}

fn level_filter(level: log::LevelFilter) -> LevelFilter {
    match level {
        log::LevelFilter::Off => LevelFilter::OFF,
        log::LevelFilter::Error => LevelFilter::ERROR,
        log::LevelFilter::Warn => LevelFilter::WARN,
        log::LevelFilter::Info => LevelFilter::INFO,
        log::LevelFilter::Debug => LevelFilter::DEBUG,
        log::LevelFilter::Trace => LevelFilter::TRACE,
    }
}
