//! When a refused request may be sent again.

use std::time::Duration;

/// `MIN_RETRY_AFTER` is the shortest time for which a refused request stays away.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// `JITTER_STEPS` is the number of different jitters.
const JITTER_STEPS: u64 = 1024;

/// `estimate` returns the time after which a refused request of `rank` may be sent again, where the
/// queue empties in `drained_in`. A less urgent rank comes back later, since the more urgent ones
/// get the room first. The times are spread by a factor from 0.75 to 1.5, chosen by `seed`, so that
/// requests that were refused together do not come back together.
pub(crate) fn estimate(drained_in: Duration, rank: u8, seed: u64) -> Duration {
    let later = 1.0 + f64::from(rank.min(4)) / 4.0;
    // The finaliser of SplitMix64, which spreads near seeds evenly.
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let step = (mixed ^ (mixed >> 31)) % JITTER_STEPS;
    let jitter = 0.75 + 0.75 * step as f64 / JITTER_STEPS as f64;
    drained_in.mul_f64(later * jitter).max(MIN_RETRY_AFTER)
}
