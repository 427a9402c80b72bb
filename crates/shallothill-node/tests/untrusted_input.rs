//! Parsers of a node with generated input and fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Version};
use shallothill_core::config::BodyMode;
use shallothill_core::headers;
use shallothill_core::ids::NodeName;
use shallothill_node::attempt;
use shallothill_node::neighbours::Notice;
use shallothill_node::peer;
use shallothill_node::peer::RouteRules;
use shallothill_node::request_reader::RequestReader;
use shallothill_node::settings::Settings;
use shallothill_node::unread_body::UnreadBody;

/// arbtest seeds: the upper half varies, the lower half is the size of the input.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=2_000).map(|n| n << 32 | 0x1000)
}

const NUMBERS: [&str; 6] = [
    "0",
    "1",
    "18446744073709551615",
    "-1",
    "1e9",
    "99999999999999999999",
];

const RULES: RouteRules = RouteRules {
    max_body_bytes: 1024,
    idempotent: true,
    body_mode: BodyMode::Buffered,
};

const USUAL_HEADERS: [(&str, &str); 15] = [
    (headers::SERVICE, "s"),
    (headers::ROUTE, "r"),
    (headers::ENDPOINT, "e"),
    (headers::CLASS, "shop"),
    (headers::DEADLINE_MS, "1000"),
    (headers::OBJECTIVE_MS, "500"),
    (headers::REPLY_BY_MS, "800"),
    (headers::ATTEMPT, "1"),
    (headers::ATTEMPT_NUMBER, "1"),
    (headers::PROCESS, "1"),
    (headers::CONFIG_VERSION, "1"),
    (headers::FINGERPRINT, "1"),
    (headers::RANK, "1"),
    (headers::CAUTION, "avoid"),
    (
        headers::IDEMPOTENCY_KEY,
        "0190163d-8694-739b-aea5-966c26f8ad91",
    ),
];

/// The headers of an attempt, some of them replaced, doubled or left out.
fn attempt_headers(u: &mut Unstructured<'_>) -> Result<HeaderMap> {
    let mut map = HeaderMap::new();
    for (name, value) in USUAL_HEADERS {
        let name = HeaderName::from_static(name);
        let value = match u.int_in_range(0..=9)? {
            0 => continue,
            1 | 2 => HeaderValue::from_static(u.choose(&NUMBERS)?),
            3 => match HeaderValue::from_bytes(u.arbitrary()?) {
                Ok(value) => value,
                Err(_) => continue,
            },
            4 => {
                map.append(name.clone(), HeaderValue::from_static(value));
                HeaderValue::from_static(value)
            }
            _ => HeaderValue::from_static(value),
        };
        map.append(name, value);
    }
    Ok(map)
}

/// Guards against headers between nodes that make the reader panic, such as a time beyond the clock.
#[test]
fn generated_headers_between_nodes_cause_no_panic() {
    let node = NodeName::try_new("n").unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _in_runtime = runtime.enter();
    for seed in seeds() {
        arbtest::arbtest(|u| {
            let map = attempt_headers(u)?;
            let _ = peer::read_question(&map);
            let _ = peer::read_reply_limit(&map);
            let mut req = Request::new(UnreadBody::empty());
            *req.version_mut() = Version::HTTP_2;
            *req.headers_mut() = map;
            let _ = peer::read_attempt(req, &node, |_| RULES);
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against an attempt with a header that cannot be read, and that runs as if the header were absent:
/// with the highest rank, without a deadline for the reply, or as a request that may run twice.
#[test]
fn attempts_with_an_unreadable_header_are_malformed() {
    let node = NodeName::try_new("n").unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _in_runtime = runtime.enter();
    let is_read = |odd: &[(&'static str, &'static str)]| {
        let mut req = Request::new(UnreadBody::empty());
        *req.version_mut() = Version::HTTP_2;
        for (name, value) in USUAL_HEADERS.iter().chain(odd) {
            req.headers_mut()
                .insert(*name, HeaderValue::from_static(value));
        }
        peer::read_attempt(req, &node, |_| RULES).is_some()
    };
    let optional = [
        headers::CALLER,
        headers::IDEMPOTENT,
        headers::ONCE_PER,
        headers::RANK,
        headers::OBJECTIVE_MS,
        headers::REPLY_BY_MS,
        headers::SPENT_MS,
    ];

    let with_unreadable = optional.map(|name| is_read(&[(name, "a b")]));

    assert!(is_read(&[]));
    assert_eq!(with_unreadable, [false; 7]);
    assert_eq!(attempt::parse_load_header("1/5/0/ready/soon"), None);
}

/// Guards against a datagram of another node that lacks fields and changes what is known of a server.
#[test]
fn notices_without_all_fields_change_nothing() {
    let complete = (
        "courier", 7_u64, 1_u16, 5_u16, 0_u16, "demoted", 900_u16, true,
    );
    let (service, endpoint, in_flight, slots, queued, state, valid_ms, _) = complete;
    let without_last = (service, endpoint, in_flight, slots, queued, state, valid_ms);
    let read = |bytes: Vec<u8>| Notice::from_datagram(&bytes).is_some();

    assert!(read(rmp_serde::to_vec(&complete).unwrap()));
    assert!(!read(rmp_serde::to_vec(&without_last).unwrap()));
}

const PIECES: [&[u8]; 12] = [
    b"GET /a HTTP/1.1\r\n",
    b"POST /b?x=1 HTTP/1.1\r\n",
    b"host: h\r\n",
    b"content-length: 3\r\n",
    b"content-length: 18446744073709551615\r\n",
    b"transfer-encoding: chunked\r\n",
    b"connection: close\r\n",
    b"\r\n",
    b"\r\n\r\n",
    b"abc",
    b":",
    b"\0\xff",
];

/// Guards against bytes of a connection that make the reader panic or keep more than one head.
#[test]
fn generated_bytes_of_a_connection_are_not_kept() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            let mut reader = RequestReader::default();
            for _ in 0..u.int_in_range(1..=60)? {
                let piece = match u.int_in_range(0..=9)? {
                    0 => u.arbitrary::<&[u8]>()?.to_vec(),
                    1 => vec![b'x'; u.int_in_range(0..=20_000)?],
                    _ => u.choose(&PIECES)?.to_vec(),
                };
                reader.read(&piece);
                assert!(reader.kept_bytes() <= 16 * 1024, "{}", reader.kept_bytes());
            }
            Ok(())
        })
        .seed(seed);
    }
}

const SETTINGS: &str = "node: n
region: a
data_centre: a-1
caller_address: 127.0.0.1:1
peer_address: 127.0.0.1:2
announce_address: 127.0.0.1:3
process: {admin_address: '127.0.0.1:4'}
regions: [a]
seeds: ['127.0.0.1:5']
bounds: {header_bytes: 1024, idle_timeout_ms: 60000}
";

/// Guards against a settings file that makes a node panic instead of naming the fault.
#[test]
fn generated_settings_cause_no_panic() {
    const PARTS: [&str; 10] = [
        "",
        ":",
        "[",
        "{",
        "\n",
        "  ",
        "&a ",
        "*a",
        "18446744073709551616",
        "-1",
    ];
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("node.yaml");
    for seed in seeds().take(500) {
        arbtest::arbtest(|u| {
            let mut chars: Vec<char> = SETTINGS.chars().collect();
            for _ in 0..u.int_in_range(0..=4)? {
                let at = u.choose_index(chars.len())?;
                let end = (at + u.int_in_range(0..=3)?).min(chars.len());
                chars.splice(at..end, u.choose(&PARTS)?.chars());
            }
            std::fs::write(&path, String::from_iter(chars)).unwrap();
            if let Ok(settings) = Settings::try_load(&path) {
                let _ = (
                    settings.bounds.idle_timeout(),
                    settings.bounds.memory_options(),
                );
            }
            Ok(())
        })
        .seed(seed);
    }
}
