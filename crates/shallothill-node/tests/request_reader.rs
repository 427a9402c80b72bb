//! Requests that are found in the bytes of a connection.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallothill_node::request_reader::RequestReader;

const GET: &str = "GET /a?x=1 HTTP/1.1\r\nhost: h\r\nx-request-id: 1\r\n\r\n";
const POST: &str = "POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 44\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n--------";

fn found(reader: &mut RequestReader, bytes: &str) -> Vec<(u64, String)> {
    let found = reader.read(bytes.as_bytes());
    let named = |(index, parts): (u64, hyper::http::request::Parts)| (index, parts.uri.to_string());
    found.into_iter().map(named).collect()
}

/// Guards against requests that are counted wrongly, or found inside a body, however the bytes
/// arrive.
#[test]
fn requests_are_found_in_any_pieces() {
    let text = [GET, POST, GET, POST, GET].concat();
    let expected: Vec<_> = [0, 2, 4].map(|n| (n, "/a?x=1".to_owned())).into();

    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut reader = RequestReader::default();
        let mut all = Vec::new();
        let mut rest = text.as_str();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(rng.random_range(1..=rest.len()));
            all.extend(found(&mut reader, piece));
            rest = after;
        }
        assert_eq!(all, expected, "seed {seed}");
    }
}

/// Guards against requests that are found behind bytes whose meaning is not certain.
#[test]
fn nothing_is_found_behind_an_uncertain_length() {
    let uncertain = [
        "POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /b HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "POST /b HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        "GET /b HTTP/1.1\r\nconnection: close\r\n\r\n",
        "GET /b HTTP/1.0\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "nonsense\r\n\r\n",
    ];

    for text in uncertain {
        let mut reader = RequestReader::default();
        assert_eq!(found(&mut reader, text), [], "{text}");
        assert_eq!(found(&mut reader, GET), [], "behind {text}");
    }
}

/// Guards against a head without end that is kept in memory.
#[test]
fn a_head_without_end_is_given_up() {
    let mut reader = RequestReader::default();

    assert_eq!(
        found(&mut reader, &format!("GET /{} ", "a".repeat(20_000))),
        []
    );

    assert_eq!(found(&mut reader, &format!("HTTP/1.1\r\n\r\n{GET}")), []);
}
