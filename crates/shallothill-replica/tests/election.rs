//! Compares the election rules while links are cut in one direction; see
//! docs/weighed/election.md.

mod bus;

use bus::Bus;
use bus::schedule::SEEDS;
use rand::Rng;
use rand::seq::SliceRandom;
use shallothill_core::ids::KeeperId;
use shallothill_replica::ElectionRule;

/// The duration of each set of cuts; the second constant is the number of sets.
const PERIOD_MS: u64 = 10_000;
const PERIODS: u64 = 6;

#[derive(Clone, Copy, Debug)]
enum Cuts {
    /// No member receives messages of the primary.
    MutePrimary,
    /// As many members as the group tolerates, the primary included, cannot receive or cannot send.
    OneWayMinority,
    /// Each direction between two members is cut with a probability of one in four.
    Random,
}

#[derive(Default)]
struct Availability {
    ms_without_primary: u64,
    ms_without_accepted: u64,
    longest_gap_ms: u64,
    view_changes: u64,
}

fn apply_cuts(bus: &mut Bus, n: u32, cuts: Cuts) {
    bus.cut_links.clear();
    let primary = bus.primary().unwrap_or(KeeperId(1));
    let members: Vec<KeeperId> = (1..=n).map(KeeperId).collect();
    let mut others: Vec<KeeperId> = members.iter().copied().filter(|k| *k != primary).collect();
    others.shuffle(&mut bus.rng);
    let tolerated = (n - 1) as usize / 2;
    let affected = match cuts {
        Cuts::MutePrimary => vec![(primary, true)],
        Cuts::OneWayMinority => {
            let cut_off = others[..tolerated - 1].iter().copied().chain([primary]);
            cut_off.map(|k| (k, bus.rng.random())).collect()
        }
        Cuts::Random => Vec::new(),
    };
    for a in &members {
        for b in &members {
            let by_member = affected
                .iter()
                .any(|(k, mute)| if *mute { k == a } else { k == b });
            let by_chance = matches!(cuts, Cuts::Random) && bus.rng.random_range(0..4) == 0;
            if by_member || by_chance {
                bus.cut_links.insert((*a, *b));
            }
        }
    }
}

fn measure_availability(seed: u64, n: u32, rule: ElectionRule, cuts: Cuts) -> Availability {
    let mut options = bus::options(seed);
    options.election_rule = rule;
    let mut bus = Bus::new_group(seed, n, options);
    bus.run_until(20_000, |b| b.primary().is_some());
    bus.propose_until_accepted(5000);
    let (view, mut last, mut count) = (bus.view(), bus.now, bus.accepted.len());
    let mut availability = Availability::default();
    bus.ms_without_primary = 0;
    for _ in 0..PERIODS {
        apply_cuts(&mut bus, n, cuts);
        for _ in 0..PERIOD_MS / 100 {
            if let Some(primary) = bus.primary() {
                bus.propose(primary);
            }
            bus.run(100);
            let gap = bus.now - last;
            if bus.accepted.len() == count {
                availability.ms_without_accepted += 100;
                availability.longest_gap_ms = availability.longest_gap_ms.max(gap);
            } else {
                (last, count) = (bus.now, bus.accepted.len());
            }
        }
    }
    availability.ms_without_primary = bus.ms_without_primary;
    availability.view_changes = bus.view() - view;
    availability
}

fn sum_over_seeds(seeds: &[u64], n: u32, rule: ElectionRule, cuts: Cuts) -> Availability {
    let mut total = Availability::default();
    for seed in seeds {
        let one = measure_availability(*seed, n, rule, cuts);
        total.ms_without_primary += one.ms_without_primary;
        total.ms_without_accepted += one.ms_without_accepted;
        total.longest_gap_ms = total.longest_gap_ms.max(one.longest_gap_ms);
        total.view_changes += one.view_changes;
    }
    let seconds = |ms: u64| format!("{}.{} s", ms / 1000, ms % 1000 / 100);
    println!(
        "{cuts:?} | {n} | {rule:?} | {} | {} | {} | {}",
        seconds(total.ms_without_primary),
        seconds(total.ms_without_accepted),
        seconds(total.longest_gap_ms),
        total.view_changes
    );
    total
}

fn compare(seeds: &[u64], n: u32) {
    for cuts in [Cuts::MutePrimary, Cuts::OneWayMinority, Cuts::Random] {
        let chosen = sum_over_seeds(seeds, n, ElectionRule::MostCompleteLog, cuts);
        sum_over_seeds(seeds, n, ElectionRule::Rotation, cuts);
        // With random cuts, there may be no member whose messages reach a majority.
        let bounded = !matches!(cuts, Cuts::Random);
        assert!(
            !bounded || chosen.longest_gap_ms <= 5000,
            "{cuts:?}: {}",
            chosen.longest_gap_ms
        );
    }
}

/// Guards against an election rule that leaves a group of five without a primary for more than 5 s,
/// the time within which a configuration has to be in force, although the members of a majority
/// receive each other's messages. Prints the figures of docs/weighed/election.md.
#[test]
fn five_members_get_a_primary_in_time() {
    compare(&SEEDS, 5);
}

/// Guards against the same failure in a group of nine.
#[test]
fn nine_members_get_a_primary_in_time() {
    compare(&SEEDS, 9);
}
