//! The time by which a stopping node needs the replies to its attempts.

use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

/// `ReplyBy` is the time by which the entry node of an attempt needs the reply; unset until that
/// node begins to stop. Clones share the time.
#[derive(Clone, Debug)]
pub struct ReplyBy(watch::Sender<Option<Instant>>);

impl Default for ReplyBy {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl ReplyBy {
    /// `at` builds a time that is set already.
    pub fn at(time: Instant) -> Self {
        Self(watch::Sender::new(Some(time)))
    }

    /// `get` returns the time, if it is set.
    pub fn get(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// `set` sets the time; only the first call has an effect.
    pub fn set(&self, time: Instant) {
        self.0.send_if_modified(|current| {
            let unset = current.is_none();
            current.get_or_insert(time);
            unset
        });
    }

    /// `wait_set` waits until the time is set and returns it.
    pub async fn wait_set(&self) -> Instant {
        let mut rx = self.0.subscribe();
        loop {
            if let Some(time) = *rx.borrow_and_update() {
                return time;
            }
            // `self` holds a sender, so the channel cannot close.
            let _ = rx.changed().await;
        }
    }

    /// `reached` waits until the time is set and has come.
    pub async fn reached(&self) {
        time::sleep_until(self.wait_set().await).await;
    }
}
