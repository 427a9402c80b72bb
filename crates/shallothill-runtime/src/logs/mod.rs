//! Sets up logging: one JSON object a line on standard output.
//!
//! A thread of its own writes the lines from a bounded queue, so that a standard output that nobody
//! reads delays no request; what does not fit is dropped and counted. Each kind of line has a budget of
//! lines a second.

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

/// `OWN_TARGETS` is how the targets of our crates start; libraries log nothing that an operator needs.
const OWN_TARGETS: &str = "shallothill";

/// `LINES_PER_S` is the budget of each kind of line.
const LINES_PER_S: u32 = 100;

/// `QUEUE_LINES` bounds the lines that wait for standard output.
const QUEUE_LINES: usize = 4096;

static DROPS: OnceLock<Drops> = OnceLock::new();

#[derive(Debug)]
struct Drops {
    budget: Arc<LogRateLimiter>,
    queue: ErrorCounter,
}

/// `LogGuard` writes what is left in the queue when it is dropped.
#[derive(Debug)]
#[must_use = "lines are written for as long as it is held"]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// `init` logs everything at `level` or above to standard output, with UTC times.
///
/// Fails with `InitLogging` when the process has set up logging before.
pub fn init(level: log::LevelFilter) -> errors::Result<LogGuard> {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let queue = writer.error_counter();
    let budget = Arc::new(LogRateLimiter::new(LINES_PER_S));
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    let own = Targets::new().with_target(OWN_TARGETS, level_of(level));
    let set = registry()
        .with(own)
        .with(rate_limiter::RateLimitLayer(Arc::clone(&budget)))
        .with(lines)
        .try_init();
    set.map_err(|e| {
        let message = e.to_string();
        errors::InitLoggingSnafu { message }.build()
    })?;
    // Another value is there only when logging was set up before, which failed above.
    let _ = DROPS.set(Drops { budget, queue });
    Ok(LogGuard { _worker: worker })
}

/// `report_dropped_lines` logs how many lines were dropped since the last call, if any were; call it about
/// every 10 s.
pub fn report_dropped_lines() {
    let Some(drops) = DROPS.get() else { return };
    for (kind, lines) in drops.budget.take_dropped() {
        tracing::warn!(
            kind,
            lines,
            "logs: lines over the budget of their kind were dropped"
        );
    }
    let total = drops.queue.dropped_lines();
    if total > 0 {
        tracing::warn!(
            total,
            "logs: lines were dropped because standard output is not read"
        );
    }
}

fn level_of(level: log::LevelFilter) -> LevelFilter {
    match level {
        log::LevelFilter::Off => LevelFilter::OFF,
        log::LevelFilter::Error => LevelFilter::ERROR,
        log::LevelFilter::Warn => LevelFilter::WARN,
        log::LevelFilter::Info => LevelFilter::INFO,
        log::LevelFilter::Debug => LevelFilter::DEBUG,
        log::LevelFilter::Trace => LevelFilter::TRACE,
    }
}
