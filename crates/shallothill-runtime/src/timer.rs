//! A timer service that wakes the components of one process.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use shallothill_core::time::Millis;
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use tokio::time::Instant;
use tracing::warn;

use crate::suspensions::Suspensions;

/// `MIN_LOGGED_SUSPENSION` is the shortest suspension of the host that is logged.
const MIN_LOGGED_SUSPENSION: Duration = Duration::from_millis(100);

/// `Timer` is a handle to the timer service; clones share the service and its time origin.
///
/// Its time includes the time that the host was suspended. Subscriptions that became due meanwhile
/// are served with the first one that becomes due afterwards. The service ends when the last handle
/// is dropped.
#[derive(Clone, Debug)]
pub struct Timer {
    clock: Clock,
    tx: mpsc::UnboundedSender<Subscription>,
}

/// `Clock` is the time since the start of the service.
#[derive(Clone, Debug)]
struct Clock {
    start: Instant,
    suspensions: Suspensions,
}

impl Clock {
    fn now(&self) -> Millis {
        Millis(0) + (self.start.elapsed() + self.suspensions.total())
    }

    // Returns when `at` is reached, as far as the host is not suspended before.
    fn instant_of(&self, at: Millis) -> Instant {
        let d = Duration::from_millis(at.0).saturating_sub(self.suspensions.total());
        self.start + d
    }
}

#[derive(Debug)]
enum Wake {
    Once(oneshot::Sender<Millis>),
    Every(mpsc::Sender<Millis>, Duration),
}

#[derive(Debug)]
struct Subscription {
    at: Millis,
    wake: Wake,
}

/// `Pending` is a subscription in the heap, ordered by time and then by order of arrival.
#[derive(Debug)]
struct Pending {
    at: Millis,
    sequence: u64,
    wake: Wake,
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Pending {}

impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pending {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl Timer {
    /// `start` spawns the service on the current tokio runtime; its time starts at 0.
    pub fn start() -> Self {
        Self::start_with(Suspensions::start())
    }

    /// `start_with` is [`Self::start`] with another measurement of suspensions.
    pub fn start_with(suspensions: Suspensions) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let clock = Clock {
            start: Instant::now(),
            suspensions,
        };
        tokio::spawn(run(clock.clone(), rx));
        Self { clock, tx }
    }

    /// `now` returns the time since the service started.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// `after` returns a receiver that gets the time once, after `d`. Drop it to cancel.
    pub fn after(&self, d: Duration) -> oneshot::Receiver<Millis> {
        let (tx, rx) = oneshot::channel();
        self.subscribe(self.now() + d, Wake::Once(tx));
        rx
    }

    /// `every` returns a receiver that gets the time every `period`, which is at least 1 ms. A slow
    /// receiver gets one tick for all the periods that it missed. Drop it to cancel.
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Millis> {
        let (tx, rx) = mpsc::channel(1);
        let period = period.max(Duration::from_millis(1));
        self.subscribe(self.now() + period, Wake::Every(tx, period));
        rx
    }

    fn subscribe(&self, at: Millis, wake: Wake) {
        // The send fails only while the runtime is shutting down; until then the service runs as
        // long as a `Timer` exists.
        let _ = self.tx.send(Subscription { at, wake });
    }
}

async fn run(clock: Clock, mut rx: mpsc::UnboundedReceiver<Subscription>) {
    let mut pending: BinaryHeap<Reverse<Pending>> = BinaryHeap::new();
    let mut sequence = 0;
    let mut suspended = Duration::ZERO;
    loop {
        let next = pending.peek().map(|Reverse(p)| p.at);
        let due = async {
            match next {
                Some(at) => time::sleep_until(clock.instant_of(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {
                suspended = log_suspension(suspended, clock.suspensions.total());
                wake_due(clock.now(), &mut pending);
            }
            subscription = rx.recv() => {
                let Some(Subscription { at, wake }) = subscription else { return };
                sequence += 1;
                pending.push(Reverse(Pending { at, sequence, wake }));
            }
        }
    }
}

// Returns the total up to which suspensions are logged.
fn log_suspension(logged: Duration, total: Duration) -> Duration {
    let suspended = total.saturating_sub(logged);
    if suspended < MIN_LOGGED_SUSPENSION {
        return logged;
    }
    let suspended_ms = suspended.as_millis() as u64;
    warn!(suspended_ms, "timer: the host was suspended");
    total
}

fn wake_due(now: Millis, pending: &mut BinaryHeap<Reverse<Pending>>) {
    while pending.peek().is_some_and(|Reverse(p)| p.at <= now) {
        let Some(Reverse(Pending { sequence, wake, .. })) = pending.pop() else {
            return;
        };
        match wake {
            Wake::Once(tx) => {
                let _ = tx.send(now);
            }
            Wake::Every(tx, period) => {
                if matches!(tx.try_send(now), Err(mpsc::error::TrySendError::Closed(_))) {
                    continue;
                }
                let wake = Wake::Every(tx, period);
                pending.push(Reverse(Pending {
                    at: now + period,
                    sequence,
                    wake,
                }));
            }
        }
    }
}
