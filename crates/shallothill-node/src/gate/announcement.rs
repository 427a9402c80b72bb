//! The announcement by which a backend server registers at the gate of its host.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer};
use shallothill_core::time::UnixMillis;
use snafu::Snafu;

use crate::gate::StartTime;
use crate::gate::start_time::AnnouncementOrder;

/// `MAX_SEQUENCE_STEP` allows backend servers to derive sequence numbers from a clock in
/// milliseconds.
const MAX_SEQUENCE_STEP: u64 = 1_000_000;

/// `Announced` is the serving state in an announcement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
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
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The address that the backend server listens on.
    pub address: SocketAddr,
    /// The serving state.
    pub state: Announced,
    /// The number of requests that the backend server runs concurrently.
    pub slots: u16,
    /// The start of the process, if it is stated; in JSON `started_ms`, absent or 0 if not. It
    /// identifies an incarnation of the backend server. Of two backend servers at one address, the
    /// one that started later is the current one.
    #[serde(default, deserialize_with = "start_if_stated", rename = "started_ms")]
    pub start: Option<StartTime>,
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
    /// A departure of the backend server is recorded, and without a start time nothing tells whether
    /// the process that departed has sent the announcement.
    #[snafu(display(
        "a process of this name has left, and no start is stated; send the start of the process"
    ))]
    UnknownStart,
    /// The node does not know which backend servers had left before it started, and the announcement
    /// may come from one of them.
    #[snafu(display("the node does not know yet which backend servers have left; announce again"))]
    DeparturesUnknown,
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
        if self.start.is_some_and(|start| !start.is_plausible(now)) {
            return Err(AnnouncementError::FutureStart);
        }
        Ok(())
    }

    /// `validate_order` compares with the previous announcement of the same backend server.
    ///
    /// Fails when the sequence number increases by more than is plausible within one incarnation.
    pub(crate) fn validate_order(
        &self,
        previous: AnnouncementOrder,
    ) -> Result<(), AnnouncementError> {
        let step = self.sequence.saturating_sub(previous.sequence);
        if previous.start == self.start && step > MAX_SEQUENCE_STEP {
            return Err(AnnouncementError::SequenceJump);
        }
        Ok(())
    }

    /// `order` returns the order of the announcement among those of its backend server.
    pub(crate) fn order(&self) -> AnnouncementOrder {
        AnnouncementOrder {
            start: self.start,
            sequence: self.sequence,
        }
    }
}

fn start_if_stated<'de, D: Deserializer<'de>>(d: D) -> Result<Option<StartTime>, D::Error> {
    u64::deserialize(d).map(StartTime::new)
}
