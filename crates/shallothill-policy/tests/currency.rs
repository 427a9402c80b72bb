//! The lease on the currency of the configuration, in each way to lose contact with the keepers.

use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_policy::currency::{Confirmation, CurrencyLease, LeaseState};

const BOUND_MS: u64 = 5000;

/// The time without contact for which a node must still serve: 0.6 of the bound.
const SERVED_MS: u64 = 3000;

fn lease() -> CurrencyLease {
    CurrencyLease::new(Duration::from_millis(BOUND_MS))
}

/// A lease of a node that has had `version` in force since 100 ms.
fn lease_with(version: u64) -> CurrencyLease {
    let mut lease = lease();
    lease.observe_in_force(Millis(100), ConfigVersion(version));
    lease
}

fn confirm(lease: &mut CurrencyLease, version: u64, at: u64) -> bool {
    lease.record(Confirmation {
        version: ConfigVersion(version),
        at: Millis(at),
    })
}

fn admits(lease: &CurrencyLease, now: u64, version: u64) -> bool {
    matches!(
        lease.state(Millis(now), ConfigVersion(version)),
        LeaseState::Held(_)
    )
}

/// Guards against a node that serves a revoked key after the bound, or refuses keys during a short
/// cut.
#[test]
fn holds_a_lease_ends_before_the_bound_after_the_last_confirmation() {
    let mut lease = lease_with(7);
    confirm(&mut lease, 7, 1000);

    assert!(admits(&lease, 1000 + SERVED_MS, 7));
    assert!(!admits(&lease, 1000 + BOUND_MS - 20, 7));
}

/// Guards against clocks that run at rates up to 1% apart, which let a revoked key pass.
#[test]
fn the_lease_leaves_a_margin_for_clocks_of_different_rates() {
    let mut lease = lease_with(7);
    confirm(&mut lease, 7, 1000);

    assert!(!admits(&lease, 1000 + BOUND_MS * 99 / 100, 7));
}

/// Guards against a node that counts a reply, which waited in its socket while it was suspended, from
/// the arrival of the reply.
#[test]
fn a_reply_from_before_a_suspension_does_not_renew_the_lease() {
    let mut lease = lease_with(7);
    let (sent, resumed) = (Millis(1000), 60_000);

    let reply = Confirmation::from_reply(sent, ConfigVersion(7), 300).unwrap();
    lease.record(reply);

    assert!(!admits(&lease, resumed, 7));
}

/// Guards against a slow link or keeper that makes a confirmation look younger than it is.
#[test]
fn the_age_of_a_slow_reply_counts_from_the_question() {
    let cases = [(-400, 2600), (0, 3000), (700, 3700)];
    for (relative_ms, at) in cases {
        let reply = Confirmation::from_reply(Millis(3000), ConfigVersion(7), relative_ms);
        assert_eq!(reply.map(|c| c.at), Some(Millis(at)));
    }
}

/// Guards against a restarted node that serves keys before a keeper has confirmed its version, or
/// that takes a question from before its start as one at its start.
#[test]
fn a_restarted_node_has_no_lease() {
    let lease = lease_with(7);

    assert!(!admits(&lease, 200, 7));
    assert!(lease.needs_question(Millis(200)));
    assert_eq!(
        Confirmation::from_reply(Millis(50), ConfigVersion(7), -400),
        None
    );
}

/// Guards against a node that trusts keepers which have lost versions: a key of its version may be
/// revoked in one that they numbered lower.
#[test]
fn a_node_ahead_of_its_keepers_gets_no_lease_from_them() {
    let mut lease = lease_with(7);
    confirm(&mut lease, 7, 1000);

    let counted: Vec<bool> = (2..20).map(|s| confirm(&mut lease, 5, s * 1000)).collect();

    assert!(!counted.contains(&true));
    assert!(!admits(&lease, 1000 + BOUND_MS, 7));
}

/// Guards against a node that loses its lease because the configuration changes more often than its
/// keeper confirms it.
#[test]
fn versions_that_follow_each_other_quickly_keep_the_lease() {
    let mut lease = lease_with(1);
    confirm(&mut lease, 1, 1000);
    for step in 1..200 {
        let now = 1000 + step * 100;
        lease.observe_in_force(Millis(now), ConfigVersion(1 + step));
        if step.is_multiple_of(5) && step > 5 {
            // The question was sent 450 ms ago, when four versions fewer were accepted.
            confirm(&mut lease, step - 4, now - 450);
        }

        assert!(admits(&lease, now, 1 + step), "{step}");
    }
}

/// Guards against a node that runs requests on a version which its keepers know to be outdated, or
/// that loses the confirmation while it fetches the newer one.
#[test]
fn a_confirmed_version_above_the_own_one_ends_the_lease_until_it_is_in_force() {
    let mut lease = lease_with(7);
    confirm(&mut lease, 7, 1000);

    confirm(&mut lease, 8, 1500);

    let behind = LeaseState::Behind(ConfigVersion(8));
    assert_eq!(lease.state(Millis(1600), ConfigVersion(7)), behind);
    // A late confirmation of the old version changes nothing.
    confirm(&mut lease, 7, 1600);
    assert_eq!(lease.state(Millis(1700), ConfigVersion(7)), behind);
    lease.observe_in_force(Millis(2000), ConfigVersion(8));
    assert!(admits(&lease, 1500 + SERVED_MS, 8));
    // A request that still uses the old snapshot is refused.
    assert!(!admits(&lease, 2000, 7));
}

/// Guards against a node that waits for its own keeper until the lease is over, or asks all keepers
/// although its own one confirms.
#[test]
fn more_keepers_are_asked_when_45_percent_of_the_lease_are_used() {
    let mut lease = lease_with(7);
    confirm(&mut lease, 7, 1000);

    let asks_after = (1..BOUND_MS).find(|ms| lease.needs_question(Millis(1000 + ms)));

    // Watches return after 1 s at most, and questions of keepers are 0.5 s apart.
    let asks_after = asks_after.unwrap();
    assert!(asks_after > 1500 && asks_after < BOUND_MS * 45 / 100);
}

/// Guards against leases that last beyond the bound after an acknowledgement under any order of
/// confirmations, questions that take up to the bound, and suspensions.
#[test]
fn holds_no_lease_outlasts_the_bound_after_an_acknowledgement() {
    arbtest::arbtest(|u| {
        let mut lease = lease_with(1);
        let acknowledged = 5000 + u.int_in_range(0..=5000)?;
        let mut now = 200;
        while now < acknowledged + 3 * BOUND_MS {
            // A question and the evaluation of it at the primary, then its answer arrives.
            let asked = now;
            let evaluated = asked + u.int_in_range(0..=2 * BOUND_MS)?;
            let version = if evaluated >= acknowledged { 2 } else { 1 };
            now = now.max(asked + u.int_in_range(0..=300)?);
            if u.ratio(1, 3)? {
                now = now.max(evaluated);
                confirm(&mut lease, version, asked);
            }
            let held = admits(&lease, now, 1);
            assert!(!held || now < acknowledged + BOUND_MS);
            now += u.int_in_range(1..=400)?;
        }
        Ok(())
    });
}

/// Guards against a fleet that serves keys on without a quorum, or that stays without a lease when
/// there is one again.
#[test]
fn the_lease_ends_without_a_quorum_and_returns_with_it() {
    let mut lease = lease_with(7);
    confirm(&mut lease, 7, 1000);
    assert!(!admits(&lease, 9000, 7));

    confirm(&mut lease, 7, 9100);

    assert!(admits(&lease, 9200, 7));
}
