//! What a gate logs of an attempt.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::headers;
use shallothill_core::version::ConfigVersion;
use shallothill_policy::gray::Caution;
use shallothill_policy::pick::ReportedLoad;
use tokio::time::Instant;

use crate::attempt;
use crate::attempt::{Attempt, AttemptReply, RequestHead};
use crate::gate::Endpoint;
use crate::header_filter;
use crate::interface::HttpInterface;

/// `Arrival` keeps the state in which an attempt found its backend server, which decides whether it
/// is run, until the line about it is written.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    request: Option<String>,
    head: Arc<RequestHead>,
    /// The time until the deadline.
    left: Duration,
    number: u8,
    repeated: bool,
    caution: Caution,
    load: ReportedLoad,
    /// The probability of a spell of gray failure, in percent.
    spell_percent: u8,
    at: Instant,
}

impl Arrival {
    /// `new` takes down the state before the attempt is decided on.
    pub(crate) fn new(interface: &HttpInterface, endpoint: &Endpoint, attempt: &Attempt) -> Self {
        let request = interface.request_id_of(&attempt.head.headers);
        Self {
            request: request.map(str::to_owned),
            head: Arc::clone(&attempt.head),
            left: attempt
                .head
                .deadline
                .saturating_duration_since(Instant::now()),
            number: attempt.number,
            repeated: attempt.repeated,
            caution: attempt.caution,
            load: endpoint.reported_load(),
            spell_percent: endpoint.spell_percent(),
            at: Instant::now(),
        }
    }

    /// `log` writes the line once the outcome is known; `version` is the configuration in force.
    pub(crate) fn log(&self, endpoint: &Endpoint, reply: &AttemptReply, version: ConfigVersion) {
        tracing::info!(
            request = self.request,
            attempt = self.number,
            repeated = self.repeated,
            route = self.head.route.as_str(),
            rank = self.head.rank,
            left_ms = self.left.as_millis() as u64,
            server = %endpoint.id,
            caution = self.caution.as_str(),
            load = attempt::format_load_header(self.load),
            spell_percent = self.spell_percent,
            outcome = reply.outcome.as_str(),
            status = reply.response.status().as_u16(),
            reason = header_filter::single_value(reply.response.headers(), headers::REASON),
            config = version.0,
            took_ms = self.at.elapsed().as_millis() as u64,
            "gate: attempt ended"
        );
    }
}
