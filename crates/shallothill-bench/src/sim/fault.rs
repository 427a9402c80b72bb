//! Injected faults of backend servers and of links between data centres.

use crate::deployment;
use crate::sim::{Micros, SECOND};

/// `FaultKind` selects the injected fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Probes are answered; requests never complete.
    Stall,
    /// Multiplies the latency of requests and probes by this factor.
    Slow(f64),
    /// Fails this fraction of requests and probes, from 0 to 1.
    Errors(f64),
    /// Requests stall in every other period of five seconds.
    Flapping,
    /// The process pauses for 0.4 to 1.2 s every ten seconds, as in garbage collection.
    Pauses,
    /// This fraction of requests takes ten times longer, whichever server runs them.
    HeavyRequests(f64),
    /// Probes and the server's own reports show a fault, but it serves requests normally.
    MisleadingProbe,
    /// Drops all messages from one data centre to another; the reverse direction works.
    LinkCut {
        /// The sender's data centre.
        from: usize,
        /// The receiver's data centre.
        to: usize,
    },
    /// The process has exited and refuses all work.
    Crashed,
}

/// `Fault` injects one fault into a set of servers, or a link, for a period of time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// The injected fault.
    pub kind: FaultKind,
    /// Numbers of the affected servers; ignored for link faults.
    pub servers: Vec<usize>,
    /// Start of the fault, inclusive.
    pub from: Micros,
    /// End of the fault, exclusive.
    pub to: Micros,
}

impl Fault {
    /// `affects` tells whether the fault is active on `server` at `now`.
    pub fn affects(&self, server: usize, now: Micros) -> bool {
        let period = 5 * SECOND;
        let on = self.kind != FaultKind::Flapping
            || (now.saturating_sub(self.from) / period).is_multiple_of(2);
        on && (self.from..self.to).contains(&now) && self.servers.contains(&server)
    }

    /// `cuts_link` tells whether messages from data centre `from` to `to` are dropped at `now`.
    pub fn cuts_link(&self, from: usize, to: usize, now: Micros) -> bool {
        (self.from..self.to).contains(&now) && self.kind == FaultKind::LinkCut { from, to }
    }

    /// `justifies_ejection` tells whether ejecting `server` at `now` is justified. Faults of links,
    /// of probes alone or of the whole service do not justify it.
    pub fn justifies_ejection(&self, server: usize, now: Micros) -> bool {
        let server_fault = !matches!(
            self.kind,
            FaultKind::MisleadingProbe | FaultKind::LinkCut { .. }
        );
        let shared = self.servers.len() >= deployment::SERVERS;
        // Failures observed during the fault may lead to an ejection up to a second after its end.
        let window = self.from..self.to + SECOND;
        server_fault && !shared && window.contains(&now) && self.servers.contains(&server)
    }
}
