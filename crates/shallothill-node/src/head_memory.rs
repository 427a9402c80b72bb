//! Reserves the memory of the heads of requests.

use hyper::{Request, Version};
use shallothill_runtime::memory::{MemoryAccount, Reservation};

use crate::header_filter;

/// `FIELD_BYTES` is the memory of a header beside its text: 104 bytes in a map that is up to half empty,
/// and two small allocations.
const FIELD_BYTES: usize = 256;

/// `SMALL_HEAD_BYTES` is the memory of a head that is held without a reservation, so that ordinary
/// requests are served while memory is short.
const SMALL_HEAD_BYTES: usize = 8192;

/// `STREAM_BYTES` is the memory of the state of a request. It is reserved where one connection may carry
/// many requests at a time.
const STREAM_BYTES: usize = 8 * 1024;

/// `reserve_head` reserves the memory of the head of a request; `None` if there is too little. It does
/// not wait, as the head is in memory already.
pub fn reserve_head<B>(memory: &MemoryAccount, req: &Request<B>) -> Option<Reservation> {
    let path_bytes = req.uri().path_and_query().map_or(0, |p| p.as_str().len());
    let map = req.headers();
    let bytes = header_filter::encoded_size(map) + path_bytes + map.len() * FIELD_BYTES;
    let bytes = match req.version() {
        Version::HTTP_2 => bytes + STREAM_BYTES,
        _ if bytes > SMALL_HEAD_BYTES => bytes,
        _ => 0,
    };
    memory.holder().try_reserve(bytes)
}
