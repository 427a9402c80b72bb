//! The concurrency above which a backend server sheds load.

// The most rounds of served requests between two attempts to run one request more. Each attempt that
// fails costs a request, and the rounds double after it.
const MAX_ROUNDS: u32 = 16;

// The limit never falls below this part of the slots: a server that sheds at a lower concurrency
// does so for another reason.
const MIN_DIVISOR: u16 = 4;

/// `ShedLimit` learns how many requests a backend server runs before it sheds load, which may be
/// fewer than it announced, for example after a start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShedLimit {
    limit: Option<u16>,
    served: u32,
    /// How often as many requests as the limit must be served before it grows by one.
    rounds: u32,
}

impl Default for ShedLimit {
    fn default() -> Self {
        Self {
            limit: None,
            served: 0,
            rounds: 1,
        }
    }
}

impl ShedLimit {
    /// Records that the server shed one of `running` requests.
    pub(crate) fn record_shed(&mut self, running: usize, slots: u16) {
        let below = u16::try_from(running.saturating_sub(1)).unwrap_or(u16::MAX);
        let least = (slots / MIN_DIVISOR).max(1);
        self.limit = Some(below.min(self.current(slots)).max(least));
        self.served = 0;
        self.rounds = (self.rounds * 2).min(MAX_ROUNDS);
    }

    /// Records that the server answered a request.
    pub(crate) fn record_served(&mut self, slots: u16) {
        let Some(limit) = self.limit else { return };
        self.served += 1;
        if self.served >= u32::from(limit) * self.rounds {
            self.served = 0;
            self.rounds = (self.rounds / 2).max(1);
            self.limit = Some(limit + 1).filter(|grown| *grown < slots);
        }
    }

    /// Returns the number of requests that may run at a server with `slots`.
    pub(crate) fn current(&self, slots: u16) -> u16 {
        self.limit.map_or(slots, |limit| limit.min(slots))
    }
}
