//! Fingerprints of requests.

use shallothill_core::hash::RequestIdentity;

fn identity(body: &[u8]) -> RequestIdentity<'_> {
    RequestIdentity {
        method: "POST",
        host: "book.example",
        path_and_query: "/book?day=2",
        caller: b"shop-1",
        origin: b"desk",
        body,
        streamed_bytes: None,
    }
}

/// Guards against requests that are taken for resends of one that crashes backend servers, and whose
/// responses then clear its crashes.
#[test]
fn requests_that_differ_in_any_part_are_told_apart() {
    let mut form = vec![b'x'; 4096];
    let mut other_end = form.clone();
    form.push(b'1');
    other_end.push(b'2');
    let all = [
        identity(&form),
        identity(&other_end),
        RequestIdentity {
            method: "PUT",
            ..identity(&form)
        },
        RequestIdentity {
            host: "other.example",
            ..identity(&form)
        },
        RequestIdentity {
            path_and_query: "/book?day=3",
            ..identity(&form)
        },
        RequestIdentity {
            caller: b"shop-2",
            ..identity(&form)
        },
        RequestIdentity {
            origin: b"",
            ..identity(&form)
        },
        RequestIdentity {
            streamed_bytes: Some(9000),
            ..identity(&form)
        },
        RequestIdentity {
            streamed_bytes: Some(9001),
            ..identity(&form)
        },
        // The same bytes with another border between two parts.
        RequestIdentity {
            caller: b"shop-",
            origin: b"1desk",
            ..identity(&form)
        },
    ];

    let mut fingerprints: Vec<_> = all.iter().map(RequestIdentity::fingerprint).collect();
    fingerprints.sort_unstable();
    fingerprints.dedup();

    assert_eq!(fingerprints.len(), all.len());
}

/// Guards against resends that are not recognised.
#[test]
fn a_resend_has_the_same_fingerprint() {
    assert_eq!(identity(b"a").fingerprint(), identity(b"a").fingerprint());
}
