//! The log line of a gate about an attempt.

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

/// `AttemptLog` holds the state of the backend server when an attempt arrived, which decides
/// whether the attempt is run, until the attempt has ended and is logged.
#[derive(Clone, Debug)]
pub(crate) struct AttemptLog {
    request_id: Option<String>,
    head: Arc<RequestHead>,
    /// The time between arrival and deadline.
    remaining: Duration,
    attempt_number: u8,
    repeated: bool,
    caution: Caution,
    load: ReportedLoad,
    /// The estimated probability of a gray failure, in percent.
    gray_percent: u8,
    started: Instant,
}

impl AttemptLog {
    /// `new` records the state before the attempt is admitted or refused.
    pub(crate) fn new(interface: &HttpInterface, endpoint: &Endpoint, attempt: &Attempt) -> Self {
        let request_id = interface.request_id_of(&attempt.head.headers);
        Self {
            request_id: request_id.map(str::to_owned),
            head: Arc::clone(&attempt.head),
            remaining: attempt
                .head
                .deadline
                .saturating_duration_since(Instant::now()),
            attempt_number: attempt.number,
            repeated: attempt.repeated,
            caution: attempt.caution,
            load: endpoint.reported_load(),
            gray_percent: endpoint.gray_failure_percent(),
            started: Instant::now(),
        }
    }

    /// `log` writes the log line when the attempt has ended; `version` is the configuration in
    /// force.
    pub(crate) fn log(&self, endpoint: &Endpoint, reply: &AttemptReply, version: ConfigVersion) {
        tracing::info!(
            request = self.request_id,
            attempt = self.attempt_number,
            repeated = self.repeated,
            route = self.head.route.as_str(),
            rank = self.head.rank,
            spent_ms = self.head.call.map(|c| c.spent.as_millis() as u64),
            left_ms = self.remaining.as_millis() as u64,
            server = %endpoint.id,
            caution = self.caution.as_str(),
            load = attempt::format_load_header(self.load),
            spell_percent = self.gray_percent,
            outcome = reply.outcome.as_str(),
            status = reply.response.status().as_u16(),
            reason = header_filter::single_value(reply.response.headers(), headers::REASON),
            config = version.0,
            took_ms = self.started.elapsed().as_millis() as u64,
            "gate: attempt ended"
        );
    }
}
