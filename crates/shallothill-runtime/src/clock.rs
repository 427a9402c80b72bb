//! Wall-clock time, for ages that several processes compare and for operators' displays; it may jump.

use std::time::{SystemTime, UNIX_EPOCH};

use shallothill_core::time::UnixMillis;

/// `now` returns the wall-clock time.
pub fn now() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    UnixMillis(ms)
}
