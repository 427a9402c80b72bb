//! Reads headers and removes those that must not be passed on.

use hyper::header::{self, HeaderMap, HeaderName};
use shallothill_core::headers;

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// `strip_hop_by_hop` removes the headers that apply to a single connection, including those that
/// `Connection` names.
pub fn strip_hop_by_hop(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        map.remove(name);
    }
    map.remove("proxy-connection");
}

/// `optional_value` reads a header that may be absent with `parse`; `None` if it is there and cannot
/// be read, so that what is unreadable is never taken for what is absent.
pub fn optional_value<T>(
    map: &HeaderMap,
    name: &str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Option<Option<T>> {
    if !map.contains_key(name) {
        return Some(None);
    }
    single_value(map, name).and_then(parse).map(Some)
}

/// `strip_shallothill_headers` removes all headers with the `x-shallothill-` prefix.
pub fn strip_shallothill_headers(map: &mut HeaderMap) {
    let prefixed: Vec<HeaderName> = map
        .keys()
        .filter(|name| name.as_str().starts_with(headers::OWN_PREFIX))
        .cloned()
        .collect();
    for name in prefixed {
        map.remove(name);
    }
}

/// `encoded_size` returns the size of the headers in bytes, as encoded in HTTP/1.1.
pub fn encoded_size(map: &HeaderMap) -> usize {
    map.iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

/// `single_value` returns the value of a header that is present exactly once and is visible ASCII
/// text.
pub fn single_value<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = map.get_all(name).iter();
    let first = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(first)
}
