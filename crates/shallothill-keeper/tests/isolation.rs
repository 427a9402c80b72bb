//! Detection that a keeper is cut off from the primary.

use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_keeper::isolation::Isolation;
use shallothill_keeper::settings::LogTimes;
use shallothill_replica::ReplicaOptions;

/// Time after a cut within which nodes must follow another keeper.
const SWITCH_DEADLINE: Duration = Duration::from_secs(3);

/// Options of the config log on the platform.
fn platform_log_options() -> ReplicaOptions {
    let times = LogTimes {
        heartbeat_ms: 250,
        election_timeout_ms: 700,
        lease_ms: 450,
    };
    times.apply(ReplicaOptions::default())
}

/// Guards against nodes that act on an outdated configuration for seconds, because the keeper that
/// they follow detects too late that it is cut off.
#[test]
fn a_keeper_that_is_cut_off_detects_it_in_time() {
    let options = platform_log_options();
    // The old primary on this side steps down first; then the longest election timeout passes.
    let no_primary_at = options.election_timeout + 2 * options.election_timeout;
    let mut isolation = Isolation::default();
    let mut isolated_at_ms = None;

    for ms in (0..10_000).step_by(100) {
        let no_primary = ms >= no_primary_at.as_millis() as u64;
        if isolation.update(Millis(ms), no_primary) {
            isolated_at_ms.get_or_insert(ms);
        }
    }

    // A node starts to look for another keeper within 250 ms and follows it after two round trips.
    let followed =
        Duration::from_millis(isolated_at_ms.unwrap()) + Duration::from_millis(250 + 2 * 40);
    assert!(followed <= SWITCH_DEADLINE, "{followed:?}");
}

/// Guards against a keeper that stays isolated after a primary is known again, or that counts as
/// isolated during an ordinary change of the primary.
#[test]
fn a_short_time_without_a_primary_is_no_isolation() {
    let mut isolation = Isolation::default();

    let early = isolation.update(Millis(0), true) || isolation.update(Millis(100), true);
    isolation.update(Millis(150), false);
    let again = isolation.update(Millis(200), true) || isolation.update(Millis(300), true);
    let late = isolation.update(Millis(500), true);
    let back = isolation.update(Millis(600), false);

    assert!(!early && !again);
    assert!(late && back && !isolation.is_isolated());
}
