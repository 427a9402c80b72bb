//! Encodes questions about attempts whose connection broke.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Uri, Version};
use shallothill_core::headers;

use crate::body::Body;
use crate::header_filter;
use crate::peer::{AttemptId, ProcessId};

/// `QUESTION_PATH` is the path of questions about attempts.
pub(super) const QUESTION_PATH: &str = "/peer/attempt";

/// `Question` asks a gate what became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// The attempt.
    pub id: AttemptId,
    /// The process that the attempt was sent to, if it is known.
    pub sent_to: Option<ProcessId>,
}

/// `write_question` builds the request that asks a gate about an attempt.
pub fn write_question(question: &Question) -> Request<Body> {
    let mut req = Request::new(Body::empty());
    *req.version_mut() = Version::HTTP_2;
    let uri = Uri::builder()
        .scheme("http")
        .authority("peer")
        .path_and_query(QUESTION_PATH)
        .build();
    *req.uri_mut() = uri.unwrap_or_default();
    let map = req.headers_mut();
    write_id(map, question.id);
    if let Some(process) = question.sent_to {
        set_number(map, headers::SENT_TO, process.0);
    }
    req
}

/// `read_question` parses the headers of a question; `None` if they are malformed.
pub fn read_question(map: &HeaderMap) -> Option<Question> {
    Some(Question {
        id: read_id(map)?,
        sent_to: number(map, headers::SENT_TO).map(ProcessId),
    })
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
