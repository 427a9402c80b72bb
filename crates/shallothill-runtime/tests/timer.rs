//! The time of the timer service.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use shallothill_runtime::suspensions::Suspensions;
use shallothill_runtime::timer::Timer;
use tokio::time;

/// How long the simulated host was suspended.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

const SUSPENSION: Duration = Duration::from_secs(5);

/// Suspensions and times are counted in whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(2);

fn time_since_boot() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    let steady = START.get_or_init(Instant::now).elapsed();
    steady + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Guards against leases and timeouts that outlive a suspension of the host, during which the steady
/// clock stands still.
#[tokio::test]
async fn the_time_includes_suspensions_of_the_host() {
    let timer = Timer::start_with(Suspensions::start_with(time_since_boot));
    let before = timer.now();
    let long = timer.after(SUSPENSION);

    SUSPENDED_MS.store(SUSPENSION.as_millis() as u64, Ordering::Relaxed);
    let after = timer.now();
    let _ = timer.after(ROUNDING).await;

    assert!(
        after + ROUNDING >= before + SUSPENSION,
        "{before:?}, {after:?}"
    );
    let woken_at = time::timeout(Duration::ZERO, long).await;
    assert!(woken_at.is_ok(), "the subscription is not served yet");
}

/// Guards against a time that runs ahead while the process merely waits for the processor.
#[test]
fn a_running_host_is_never_suspended() {
    let suspensions = Suspensions::start();

    let longest = (0..100_000).map(|_| suspensions.total()).max();

    assert_eq!(longest, Some(Duration::ZERO));
}
