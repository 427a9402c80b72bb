//! A model of a group of keepers that store departures, with keepers off, wiped and replaced at any moment
//! and nodes that start at any moment. Message losses and orders are drawn by a seed.

use std::collections::BTreeSet;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_directory::DepartureReading;

/// Enough for some hundred losses in a second; 100,000 were run by hand.
const SEEDS: u64 = 2_000;

const STEPS: u32 = 400;

/// The share of messages that arrive.
const ARRIVES: f64 = 0.75;

#[derive(Clone, Debug)]
struct Keeper {
    up: bool,
    complete: bool,
    stored: BTreeSet<u32>,
    /// The step of its last loss.
    lost_at: u32,
}

/// `Recording` is a call of a node that stores a departure, until it times out.
#[derive(Debug)]
struct Recording {
    departure: u32,
    started_at: u32,
    acknowledged: BTreeSet<usize>,
}

struct Model {
    rng: StdRng,
    step: u32,
    keepers: Vec<Keeper>,
    recordings: Vec<Recording>,
    confirmed: BTreeSet<u32>,
    reads: u32,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let n = [3, 5, 7, 9][rng.random_range(0..4)];
        let new = Keeper {
            up: true,
            complete: true,
            stored: BTreeSet::new(),
            lost_at: 0,
        };
        Self {
            rng,
            step: 0,
            keepers: vec![new; n],
            recordings: Vec::new(),
            confirmed: BTreeSet::new(),
            reads: 0,
        }
    }

    fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    /// Whether one more keeper may be lost; one that lost its disk stays lost until it is complete.
    fn tolerates_loss_of(&self, i: usize) -> bool {
        let is_lost = |k: &&Keeper| !k.up || !k.complete;
        let lost = self.keepers.iter().filter(is_lost).count();
        is_lost(&&self.keepers[i]) || lost < (self.keepers.len() - 1) / 2
    }

    fn arrives(&mut self) -> bool {
        self.rng.random_bool(ARRIVES)
    }

    fn run_step(&mut self) {
        self.step += 1;
        let i = self.rng.random_range(0..self.keepers.len());
        match self.rng.random_range(0..10) {
            0 => self.recordings.push(Recording {
                departure: self.step,
                started_at: self.step,
                acknowledged: BTreeSet::new(),
            }),
            1..=3 => self.store(i),
            4 if !self.recordings.is_empty() => drop(self.recordings.remove(0)),
            5 if self.tolerates_loss_of(i) => self.keepers[i].up = false,
            // A keeper that takes the place of another one starts like one that lost its disk.
            6 if self.tolerates_loss_of(i) => {
                self.keepers[i] = Keeper {
                    up: true,
                    complete: false,
                    stored: BTreeSet::new(),
                    lost_at: self.step,
                };
            }
            7 => self.keepers[i].up = true,
            8 => self.read_others(i),
            _ => self.start_node(),
        }
    }

    fn store(&mut self, i: usize) {
        let majority = self.majority();
        let keeper = &mut self.keepers[i];
        for recording in self.recordings.iter_mut().filter(|_| keeper.up) {
            keeper.stored.insert(recording.departure);
            recording.acknowledged.insert(i);
            if recording.acknowledged.len() >= majority {
                self.confirmed.insert(recording.departure);
            }
        }
    }

    fn read_others(&mut self, i: usize) {
        if !self.keepers[i].up {
            return;
        }
        let mut reading = DepartureReading {
            members: self.keepers.len(),
            own_complete: self.keepers[i].complete,
            answers: 0,
            complete_answers: 0,
        };
        for other in 0..self.keepers.len() {
            if other == i || !self.keepers[other].up || !self.arrives() {
                continue;
            }
            reading.answers += 1;
            reading.complete_answers += usize::from(self.keepers[other].complete);
            let stored = self.keepers[other].stored.clone();
            self.keepers[i].stored.extend(stored);
        }
        // A keeper waits until calls that it may have acknowledged before its loss have timed out.
        let lost_at = self.keepers[i].lost_at;
        let timed_out = self.recordings.iter().all(|r| r.started_at > lost_at);
        self.keepers[i].complete |= timed_out && reading.is_enough();
    }

    fn start_node(&mut self) {
        let mut answers = 0;
        let mut known = BTreeSet::new();
        for i in 0..self.keepers.len() {
            if self.keepers[i].up && self.keepers[i].complete && self.arrives() {
                answers += 1;
                known.extend(&self.keepers[i].stored);
            }
        }
        if answers >= self.majority() {
            self.reads += 1;
            assert!(self.confirmed.is_subset(&known), "step {}", self.step);
        }
    }
}

/// Guards against a confirmed departure that a starting node misses, though no more keepers were lost at
/// a time than the group tolerates.
#[test]
fn holds_a_confirmed_departure_is_known_to_every_majority() {
    let mut reads = 0;
    let mut confirmed = 0;
    for seed in 0..SEEDS {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.run_step();
        }
        reads += model.reads;
        confirmed += model.confirmed.len();
    }
    assert!(
        reads > 10 * SEEDS as u32 && confirmed > SEEDS as usize,
        "{reads} {confirmed}"
    );
}
