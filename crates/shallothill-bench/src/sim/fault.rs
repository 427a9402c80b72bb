//! Faults of servers and links.

use crate::deployment;
use crate::sim::{Micros, SECOND};

/// `FaultKind` is what goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Probes are answered, real work is not.
    Stall,
    /// Answers take this many times longer.
    Slow(f64),
    /// This share of answers are errors, also of probes.
    Errors(f64),
    /// Real work stalls in every other period of five seconds.
    Flapping,
    /// The process pauses for 0.4 to 1.2 s every ten seconds, as for a collection of garbage.
    Pauses,
    /// This share of requests takes ten times longer, wherever it runs.
    HardRequests(f64),
    /// Probes and the server's own reports say that it is sick, but it serves well.
    LyingProbe,
    /// Nothing arrives from one data centre at another; the other direction works.
    LinkCut {
        /// The sender's data centre.
        from: usize,
        /// The receiver's data centre.
        to: usize,
    },
    /// The process is gone.
    Crashed,
}

/// `Fault` is a fault of servers for a time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// The servers; of no meaning for links.
    pub servers: Vec<usize>,
    /// When it begins.
    pub from: Micros,
    /// When it ends.
    pub to: Micros,
}

impl Fault {
    /// `acts` tells whether the fault affects `server` at `now`.
    pub fn acts(&self, server: usize, now: Micros) -> bool {
        let period = 5 * SECOND;
        let on = self.kind != FaultKind::Flapping
            || (now.saturating_sub(self.from) / period).is_multiple_of(2);
        on && (self.from..self.to).contains(&now) && self.servers.contains(&server)
    }

    /// `cuts` tells whether nothing passes from one data centre to the other at `now`.
    pub fn cuts(&self, from: usize, to: usize, now: Micros) -> bool {
        (self.from..self.to).contains(&now) && self.kind == FaultKind::LinkCut { from, to }
    }

    /// `is_sick` tells whether ejecting `server` at `now` is justified: the fault is its own, not
    /// a link's, a probe's or the whole service's.
    pub fn is_sick(&self, server: usize, now: Micros) -> bool {
        let own = !matches!(self.kind, FaultKind::LyingProbe | FaultKind::LinkCut { .. });
        let shared = self.servers.len() >= deployment::SERVERS;
        // What began inside the fault is still justified a little after its end.
        let window = self.from..self.to + SECOND;
        own && !shared && window.contains(&now) && self.servers.contains(&server)
    }
}
