//! Compares the rules by which a primary is chosen, under one-way cuts; see
//! docs/weighed/election.md.

mod bus;

use bus::Bus;
use bus::schedule::SEEDS;
use rand::Rng;
use rand::seq::SliceRandom;
use shallothill_core::ids::KeeperId;
use shallothill_replica::ElectionRule;

/// The time between two sets of cuts, and the number of sets.
const PERIOD_MS: u64 = 10_000;
const PERIODS: u64 = 6;

#[derive(Clone, Copy, Debug)]
enum Cuts {
    /// The primary can be heard by nobody.
    MutePrimary,
    /// The primary and as many others as the group can spare hear nobody or are heard by nobody.
    OneWayMinority,
    /// Each direction between two members is cut with a chance of one in four.
    Random,
}

#[derive(Default)]
struct Figures {
    without_primary: u64,
    without_accepted: u64,
    longest: u64,
    views: u64,
}

fn apply(bus: &mut Bus, n: u32, cuts: Cuts) {
    bus.cuts.clear();
    let primary = bus.primary().unwrap_or(KeeperId(1));
    let members: Vec<KeeperId> = (1..=n).map(KeeperId).collect();
    let mut others: Vec<KeeperId> = members.iter().copied().filter(|k| *k != primary).collect();
    others.shuffle(&mut bus.rng);
    let spare = (n - 1) as usize / 2;
    let hit = match cuts {
        Cuts::MutePrimary => vec![(primary, true)],
        Cuts::OneWayMinority => {
            let spared = others[..spare - 1].iter().copied().chain([primary]);
            spared.map(|k| (k, bus.rng.random())).collect()
        }
        Cuts::Random => Vec::new(),
    };
    for a in &members {
        for b in &members {
            let by_member = hit
                .iter()
                .any(|(k, mute)| if *mute { k == a } else { k == b });
            let by_chance = matches!(cuts, Cuts::Random) && bus.rng.random_range(0..4) == 0;
            if by_member || by_chance {
                bus.cuts.insert((*a, *b));
            }
        }
    }
}

fn measure(seed: u64, n: u32, rule: ElectionRule, cuts: Cuts) -> Figures {
    let mut options = bus::options(seed);
    options.election_rule = rule;
    let mut bus = Bus::new_group(seed, n, options);
    bus.run_until(20_000, |b| b.primary().is_some());
    bus.accept_one(5000);
    let (view, mut last, mut count) = (bus.view(), bus.now, bus.accepted.len());
    let mut figures = Figures::default();
    bus.without_primary = 0;
    for _ in 0..PERIODS {
        apply(&mut bus, n, cuts);
        for _ in 0..PERIOD_MS / 100 {
            if let Some(primary) = bus.primary() {
                bus.propose(primary);
            }
            bus.run(100);
            let gap = bus.now - last;
            if bus.accepted.len() == count {
                figures.without_accepted += 100;
                figures.longest = figures.longest.max(gap);
            } else {
                (last, count) = (bus.now, bus.accepted.len());
            }
        }
    }
    figures.without_primary = bus.without_primary;
    figures.views = bus.view() - view;
    figures
}

fn total(seeds: &[u64], n: u32, rule: ElectionRule, cuts: Cuts) -> Figures {
    let mut total = Figures::default();
    for seed in seeds {
        let one = measure(*seed, n, rule, cuts);
        total.without_primary += one.without_primary;
        total.without_accepted += one.without_accepted;
        total.longest = total.longest.max(one.longest);
        total.views += one.views;
    }
    let s = |ms: u64| format!("{}.{} s", ms / 1000, ms % 1000 / 100);
    println!(
        "{cuts:?} | {n} | {rule:?} | {} | {} | {} | {}",
        s(total.without_primary),
        s(total.without_accepted),
        s(total.longest),
        total.views
    );
    total
}

fn compare(seeds: &[u64], n: u32) {
    for cuts in [Cuts::MutePrimary, Cuts::OneWayMinority, Cuts::Random] {
        let chosen = total(seeds, n, ElectionRule::MostCompleteLog, cuts);
        total(seeds, n, ElectionRule::Rotation, cuts);
        // With random cuts there may be no member that a majority hears.
        let bounded = !matches!(cuts, Cuts::Random);
        assert!(
            !bounded || chosen.longest <= 5000,
            "{cuts:?}: {}",
            chosen.longest
        );
    }
}

/// Guards against a rule that leaves a group of five without a primary for longer than a
/// configuration may take to be in force (5 s), although a majority hears each other. Prints the
/// figures of docs/weighed/election.md.
#[test]
fn five_members_get_a_primary_in_time() {
    compare(&SEEDS, 5);
}

/// Guards against the same in a group of nine.
#[test]
fn nine_members_get_a_primary_in_time() {
    compare(&SEEDS, 9);
}
