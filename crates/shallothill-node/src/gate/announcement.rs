//! What a backend server tells about itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::time::UnixMillis;
use snafu::Snafu;

/// `START_AHEAD_MAX` is how far a start may lie in the future, for clocks that differ.
const START_AHEAD_MAX: Duration = Duration::from_secs(60);

/// `SEQUENCE_STEP_MAX` leaves room for backend servers that number their announcements by milliseconds.
const SEQUENCE_STEP_MAX: u64 = 1_000_000;

/// `Announced` is the state that a backend server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Announced {
    /// It takes its full share.
    Ready,
    /// It has just started and takes a growing share.
    Cold,
    /// It is leaving and takes no new work.
    Draining,
}

/// `Announcement` is the body of `PUT /announce/{service}/{endpoint}`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where the backend server listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: Announced,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// When it started, in milliseconds since 1970, or 0 where it does not tell. Of two backend
    /// servers at one address, the one that started later is there.
    #[serde(default)]
    pub started_ms: u64,
    /// Orders the announcements since the start, or 0 where it does not tell.
    #[serde(default)]
    pub sequence: u64,
}

/// `AnnouncementError` is why an announcement is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AnnouncementError {
    /// It runs no requests.
    #[snafu(display("the slots are 0; send how many requests run at a time"))]
    NoSlots,
    /// Nothing can listen there.
    #[snafu(display("the port is 0; send the address that the backend server listens on"))]
    NoPort,
    /// It would hide all announcements with a true start.
    #[snafu(display(
        "the start lies in the future; set the clocks of the host and the backend server"
    ))]
    FutureStart,
    /// It would hide the announcements that follow.
    #[snafu(display("the sequence jumps by over {SEQUENCE_STEP_MAX}; raise it by one each time"))]
    SequenceJump,
}

impl Announcement {
    /// `check` looks at the values alone; `now` is the time of day.
    ///
    /// Fails when they cannot be those of a backend server.
    pub(crate) fn check(&self, now: UnixMillis) -> Result<(), AnnouncementError> {
        let ahead = u64::try_from(START_AHEAD_MAX.as_millis()).unwrap_or(u64::MAX);
        if self.slots == 0 {
            return Err(AnnouncementError::NoSlots);
        }
        if self.address.port() == 0 {
            return Err(AnnouncementError::NoPort);
        }
        if self.started_ms > now.0.saturating_add(ahead) {
            return Err(AnnouncementError::FutureStart);
        }
        Ok(())
    }

    /// `check_after` compares with the order of the last announcement of the same backend server.
    ///
    /// Fails when the sequence rises by more than announcements of one life can.
    pub(crate) fn check_after(&self, known: (u64, u64)) -> Result<(), AnnouncementError> {
        let (started_ms, sequence) = known;
        let step = self.sequence.saturating_sub(sequence);
        if started_ms == self.started_ms && step > SEQUENCE_STEP_MAX {
            return Err(AnnouncementError::SequenceJump);
        }
        Ok(())
    }

    /// `order` tells which of two announcements of one backend server is newer.
    pub fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
