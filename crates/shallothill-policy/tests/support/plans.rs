//! Services, their load, and what callers get.

use std::ops::AddAssign;

/// A kind of request. Of one with `parent_work_ms`, that work is done at another service, and then
/// the call of `work_ms` comes to the simulated one.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub per_s: f64,
    pub work_ms: u64,
    pub rank: u8,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub parent_work_ms: Option<u64>,
    /// The timeout of the call itself.
    pub call_timeout_ms: u64,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub sent: usize,
    pub in_time: usize,
    pub late: usize,
    /// Requests that failed after another service had worked for them.
    pub failed_after_work: usize,
    /// Requests that their entry refused at once, because calls of their kind were refused.
    pub held_back: usize,
    /// The time for which the callers of refused requests waited, in ms.
    pub refused_after_ms: u64,
}

impl Tally {
    pub fn share_served(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.sent as f64
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed_after_work += other.failed_after_work;
        self.held_back += other.held_back;
        self.refused_after_ms += other.refused_after_ms;
    }
}

fn kind(per_s: f64, work_ms: u64, rank: u8, objective_ms: u64, deadline_ms: u64) -> Kind {
    Kind {
        per_s,
        work_ms,
        rank,
        objective_ms,
        deadline_ms,
        parent_work_ms: None,
        call_timeout_ms: 0,
    }
}

/// The service `desk` of deployment B: lookups and the more urgent confirmations.
pub fn desk(load: f64) -> Plan {
    Plan {
        gates: 56,
        suspect: 0,
        slots: 11,
        kinds: vec![
            kind(200.0, 640, 0, 2_500, 6_000),
            kind(99.9, 510, 1, 2_500, 5_000),
        ],
        run_ms: 20_000,
        ..bookings(load)
    }
}

/// The service `bookings` of deployment A with three of ten servers in an episode: bookings,
/// confirmations and the calls of registrations.
pub fn bookings(load: f64) -> Plan {
    Plan {
        gates: 10,
        suspect: 3,
        slots: 8,
        queue: 10,
        kinds: vec![
            kind(46.6, 440, 0, 1_500, 10_000),
            kind(17.8, 520, 1, 2_000, 12_000),
            Kind {
                parent_work_ms: Some(640),
                call_timeout_ms: 2_000,
                ..kind(145.0, 160, 1, 5_000, 15_000)
            },
        ],
        load,
        run_ms: 60_000,
        recognised: true,
        controlling_entries: 0,
    }
}

/// The service and its load. `suspect` gates refuse every attempt.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gates: usize,
    pub suspect: usize,
    pub slots: u16,
    pub queue: u16,
    pub kinds: Vec<Kind>,
    pub load: f64,
    pub run_ms: u64,
    /// Whether calls are recognised.
    pub recognised: bool,
    /// Entry nodes that admit fewer requests whose calls are refused; 0 for none that do.
    pub controlling_entries: usize,
}
