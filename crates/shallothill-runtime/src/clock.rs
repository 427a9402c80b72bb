//! Wall-clock time, for ages that processes compare with each other and for display to operators.
//! It may jump.

use std::time::{SystemTime, UNIX_EPOCH};

use shallothill_core::time::UnixMillis;

/// `now` returns the wall-clock time in milliseconds since the Unix epoch, 0 for an earlier clock.
pub fn now() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    UnixMillis(ms)
}
