//! When a keeper counts as cut off from the primary.

use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_keeper::isolation::Isolation;
use shallothill_keeper::settings::LogTimes;
use shallothill_replica::ReplicaOptions;

/// The time from a cut within which nodes must follow another keeper.
const WITHIN: Duration = Duration::from_secs(3);

/// The log's times on the users' platform.
fn times() -> ReplicaOptions {
    let times = LogTimes {
        heartbeat_ms: 250,
        election_timeout_ms: 700,
        lease_ms: 450,
    };
    times.apply(ReplicaOptions::default())
}

/// Guards against nodes that act on an old configuration for seconds, because the keeper that they
/// follow says late that it is cut off.
#[test]
fn a_keeper_that_is_cut_off_says_so_in_time() {
    let options = times();
    // The old primary on this side steps down first; then the longest election timeout passes.
    let alone_at = options.election_timeout + 2 * options.election_timeout;
    let mut isolation = Isolation::default();
    let mut told = None;

    for ms in (0..10_000).step_by(100) {
        let alone = ms >= alone_at.as_millis() as u64;
        if isolation.note(Millis(ms), alone) {
            told.get_or_insert(ms);
        }
    }

    // A node looks for another keeper within 250 ms and follows it after two round trips.
    let followed = Duration::from_millis(told.unwrap()) + Duration::from_millis(250 + 2 * 40);
    assert!(followed <= WITHIN, "{followed:?}");
}

/// Guards against a keeper that stays isolated after a primary is known again, or is so in a usual
/// change of the primary.
#[test]
fn a_short_time_without_a_primary_is_no_isolation() {
    let mut isolation = Isolation::default();

    let early = isolation.note(Millis(0), true) || isolation.note(Millis(100), true);
    isolation.note(Millis(150), false);
    let again = isolation.note(Millis(200), true) || isolation.note(Millis(300), true);
    let late = isolation.note(Millis(500), true);
    let back = isolation.note(Millis(600), false);

    assert!(!early && !again);
    assert!(late && back && !isolation.is_isolated());
}
