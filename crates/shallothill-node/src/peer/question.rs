//! Encodes messages about a peer's process and about attempts that were sent to it before.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Uri, Version};
use shallothill_core::headers;
use tokio::time::Instant;

use crate::body::Body;
use crate::header_filter;
use crate::peer::{AttemptId, ProcessId};

/// `PROCESS_PATH` is the path of questions which process answers.
pub(super) const PROCESS_PATH: &str = "/peer/process";

/// `QUESTION_PATH` is the path of questions about attempts.
pub(super) const QUESTION_PATH: &str = "/peer/attempt";

/// `REPLY_LIMIT_PATH` is the path of messages that limit the time for the reply to an attempt.
pub(super) const REPLY_LIMIT_PATH: &str = "/peer/attempt/reply-limit";

/// `Question` asks a gate what became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// The attempt.
    pub id: AttemptId,
    /// The process that the attempt was sent to, if it is known.
    pub sent_to: Option<ProcessId>,
}

/// `write_process_question` builds the request that asks a peer which process it is.
pub(super) fn write_process_question() -> Request<Body> {
    request_to(PROCESS_PATH)
}

/// `write_question` builds the request that asks a gate about an attempt.
pub fn write_question(question: &Question) -> Request<Body> {
    let mut req = request_about(QUESTION_PATH, question.id);
    let map = req.headers_mut();
    if let Some(process) = question.sent_to {
        set_number(map, headers::SENT_TO, process.0);
    }
    req
}

/// `read_question` parses the headers of a question; `None` if they are malformed.
pub fn read_question(map: &HeaderMap) -> Option<Question> {
    Some(Question {
        id: read_id(map)?,
        sent_to: header_filter::optional_value(map, headers::SENT_TO, |v| v.parse().ok())?
            .map(ProcessId),
    })
}

/// `write_reply_limit` builds the request that tells a gate that the entry node of an attempt stops
/// at `reply_by`.
pub fn write_reply_limit(id: AttemptId, reply_by: Instant) -> Request<Body> {
    let mut req = request_about(REPLY_LIMIT_PATH, id);
    write_reply_by(req.headers_mut(), reply_by);
    req
}

/// `read_reply_limit` parses the headers of a reply limit; `None` if they are malformed.
pub fn read_reply_limit(map: &HeaderMap) -> Option<(AttemptId, Instant)> {
    Some((read_id(map)?, read_reply_by(map)?))
}

/// `write_reply_by` adds the time that is left until `reply_by`.
pub(super) fn write_reply_by(map: &mut HeaderMap, reply_by: Instant) {
    let left = reply_by.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    set_number(map, headers::REPLY_BY_MS, left_ms);
}

/// `read_reply_by` parses the time until which a reply is needed; `None` if it is absent.
pub(super) fn read_reply_by(map: &HeaderMap) -> Option<Instant> {
    let left = Duration::from_millis(number(map, headers::REPLY_BY_MS)?);
    Instant::now().checked_add(left)
}

fn request_about(path: &str, id: AttemptId) -> Request<Body> {
    let mut req = request_to(path);
    write_id(req.headers_mut(), id);
    req
}

fn request_to(path: &str) -> Request<Body> {
    let mut req = Request::new(Body::empty());
    *req.version_mut() = Version::HTTP_2;
    let uri = Uri::builder()
        .scheme("http")
        .authority("peer")
        .path_and_query(path)
        .build();
    *req.uri_mut() = uri.unwrap_or_default();
    req
}

/// `write_id` adds the headers that identify an attempt.
pub(super) fn write_id(map: &mut HeaderMap, id: AttemptId) {
    set_number(map, headers::PROCESS, id.sender.0);
    set_number(map, headers::ATTEMPT_NUMBER, id.number);
}

/// `read_id` parses the headers that identify an attempt; `None` if they are malformed.
pub(super) fn read_id(map: &HeaderMap) -> Option<AttemptId> {
    Some(AttemptId {
        sender: read_process(map)?,
        number: number(map, headers::ATTEMPT_NUMBER)?,
    })
}

/// `write_process` adds the id of the process that sends a reply.
pub(super) fn write_process(map: &mut HeaderMap, process: ProcessId) {
    set_number(map, headers::PROCESS, process.0);
}

/// `read_process` parses the id of the process that sent a message.
pub(super) fn read_process(map: &HeaderMap) -> Option<ProcessId> {
    number(map, headers::PROCESS).map(ProcessId)
}

fn set_number(map: &mut HeaderMap, name: &'static str, value: u64) {
    map.insert(HeaderName::from_static(name), HeaderValue::from(value));
}

fn number(map: &HeaderMap, name: &str) -> Option<u64> {
    header_filter::single_value(map, name)?.parse().ok()
}
