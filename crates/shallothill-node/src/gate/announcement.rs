//! The announcement by which a backend server registers at the gate of its host.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::time::UnixMillis;
use snafu::Snafu;

/// `MAX_CLOCK_SKEW` is how far in the future an announced start time may lie, since the clocks of
/// the host and of the backend server may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// `MAX_SEQUENCE_STEP` allows backend servers to derive sequence numbers from a clock in
/// milliseconds.
const MAX_SEQUENCE_STEP: u64 = 1_000_000;

/// `Announced` is the serving state in an announcement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Announced {
    /// The backend server accepts its full share of requests.
    Ready,
    /// The backend server has just started and accepts a growing share of requests.
    Cold,
    /// The backend server is shutting down and accepts no new requests.
    Draining,
}

/// `Announcement` is the body of `PUT /announce/{service}/{endpoint}`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The address that the backend server listens on.
    pub address: SocketAddr,
    /// The serving state.
    pub state: Announced,
    /// The number of requests that the backend server runs concurrently.
    pub slots: u16,
    /// The start time in milliseconds since 1970, or 0 when unknown. It identifies an incarnation
    /// of the backend server. Of two backend servers at one address, the one that started later is
    /// the current one.
    #[serde(default)]
    pub started_ms: u64,
    /// Orders the announcements of one incarnation; 0 when unknown.
    #[serde(default)]
    pub sequence: u64,
}

/// `AnnouncementError` is why an announcement is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AnnouncementError {
    /// The number of slots is 0.
    #[snafu(display("the slots are 0; send how many requests run at a time"))]
    NoSlots,
    /// The address has port 0, on which nothing can listen.
    #[snafu(display("the port is 0; send the address that the backend server listens on"))]
    NoPort,
    /// The start time is in the future; accepting it would make all announcements with a correct
    /// start time look outdated.
    #[snafu(display(
        "the start lies in the future; set the clocks of the host and the backend server"
    ))]
    FutureStart,
    /// The sequence number increases too far; accepting it would make the following announcements
    /// look outdated.
    #[snafu(display("the sequence jumps by over {MAX_SEQUENCE_STEP}; raise it by one each time"))]
    SequenceJump,
}

impl Announcement {
    /// `validate` checks each value on its own; `now` is the wall-clock time.
    ///
    /// Fails when a value cannot come from a working backend server.
    pub(crate) fn validate(&self, now: UnixMillis) -> Result<(), AnnouncementError> {
        if self.slots == 0 {
            return Err(AnnouncementError::NoSlots);
        }
        if self.address.port() == 0 {
            return Err(AnnouncementError::NoPort);
        }
        if !is_plausible_start(self.started_ms, now) {
            return Err(AnnouncementError::FutureStart);
        }
        Ok(())
    }

    /// `validate_order` compares with the order key of the previous announcement of the same
    /// backend server.
    ///
    /// Fails when the sequence number increases by more than is plausible within one incarnation.
    pub(crate) fn validate_order(&self, previous: (u64, u64)) -> Result<(), AnnouncementError> {
        let (started_ms, sequence) = previous;
        let step = self.sequence.saturating_sub(sequence);
        if started_ms == self.started_ms && step > MAX_SEQUENCE_STEP {
            return Err(AnnouncementError::SequenceJump);
        }
        Ok(())
    }

    /// `order_key` returns the start time and the sequence number; of two announcements of one
    /// backend server, the one with the larger key is newer.
    pub fn order_key(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}

/// `is_plausible_start` tells whether a process that runs now can have started at `started_ms`.
pub(super) fn is_plausible_start(started_ms: u64, now: UnixMillis) -> bool {
    let ahead = u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap_or(u64::MAX);
    started_ms <= now.0.saturating_add(ahead)
}
