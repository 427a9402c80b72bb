//! Tests of the tally and of the request record.

use std::time::Duration;

use shallothill_core::outcome::Outcome;
use shallothill_testing::record::{Record, RecordedRequest};
use shallothill_testing::request::{Request, Send};
use shallothill_testing::tally;

fn send(id: &str, outcome: Outcome) -> Send {
    Send {
        id: id.to_owned(),
        outcome,
        status: (outcome == Outcome::Answered).then_some(200),
        reason: None,
        wrong_answer: false,
        latency: Duration::from_millis(1),
    }
}

fn request(key: Option<&str>, sends: Vec<Send>) -> Request {
    Request {
        kind: 0,
        key: key.map(String::from),
        before_faults: true,
        sends,
    }
}

fn ran(id: &str, key: Option<&str>) -> RecordedRequest {
    let (id, key) = (Some(id.to_owned()), key.map(String::from));
    RecordedRequest {
        id,
        key,
        ..RecordedRequest::default()
    }
}

/// Guards against a tally that misses work that ran twice, was lost or ran after a refusal, with
/// which the demo would pass wrongly.
#[test]
fn violations_are_counted() {
    use Outcome::{Answered, RefusedNotRun, Unknown};
    let requests = [
        request(
            Some("k1"),
            vec![send("a.1", Unknown), send("a.2", Answered)],
        ),
        request(Some("k2"), vec![send("b.1", Answered)]),
        request(None, vec![send("c.1", RefusedNotRun)]),
        request(None, vec![send("d.1", Answered)]),
        request(Some("k3"), vec![send("e.1", Unknown)]),
    ];
    let records = [
        ran("a.1", Some("k1")),
        ran("a.2", Some("k1")),
        ran("c.1", None),
        ran("d.1", None),
        ran("d.1", None),
    ];
    let t = &tally::count(1, &requests, &records)[0];
    assert_eq!(
        (t.sent, t.resent, t.answered, t.refused, t.unknown),
        (5, 1, 3, 1, 1)
    );
    assert_eq!((t.duplicated, t.lost, t.refused_but_ran), (1, 1, 1));
    assert!(!t.has_no_violations());
    let t = &tally::count(1, &requests[3..], &records)[0];
    assert!(
        t.has_no_violations(),
        "an idempotent request may run twice: {t:?}"
    );
}

/// Guards against a record that is lost with a killed process because it is written only at the
/// end.
#[test]
fn record_file_holds_requests_that_never_ended() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("record");
    let record = Record::try_new(Some(&path)).unwrap();
    let first = record.start(ran("a", None));
    record.start(ran("b", Some("k")));
    record.end(first, Some(200));
    let read = Record::read_file(&path).unwrap();
    assert_eq!(read, record.requests());
    assert_eq!(read[0].status, Some(200));
    assert_eq!((read[1].key.as_deref(), read[1].end_ms), (Some("k"), None));
}
