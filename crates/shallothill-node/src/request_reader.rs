//! Finds the requests without a body in the bytes of an HTTP/1.1 connection.

use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Version};

/// `MAX_HEADERS` is the largest number of headers of a request that is found.
const MAX_HEADERS: usize = 64;

/// `MAX_HEAD_BYTES` is the largest head of a request that is found.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// `RequestReader` follows the requests of a connection by their index, starting at 0.
///
/// It gives up for good at the first byte that it does not understand, such as a body without a
/// length; the requests after it are not found. It never takes bytes of a body for a request.
#[derive(Debug, Default)]
pub struct RequestReader {
    buf: Vec<u8>,
    /// The bytes of the current body that are still to come.
    body_left: u64,
    next_index: u64,
    given_up: bool,
}

/// `Head` is a complete head and the length of the body behind it.
struct Head {
    parts: request::Parts,
    head_bytes: usize,
    body_bytes: u64,
}

impl RequestReader {
    /// `read` takes the next bytes and returns the requests without a body whose heads they
    /// complete.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<(u64, request::Parts)> {
        let mut found = Vec::new();
        if self.given_up {
            return found;
        }
        self.buf.extend_from_slice(bytes);
        loop {
            self.skip_body();
            if self.buf.is_empty() {
                return found;
            }
            match parse_head(&self.buf) {
                Ok(Some(head)) => {
                    self.buf.drain(..head.head_bytes);
                    self.body_left = head.body_bytes;
                    if head.body_bytes == 0 {
                        found.push((self.next_index, head.parts));
                    }
                    self.next_index += 1;
                }
                Ok(None) if self.buf.len() <= MAX_HEAD_BYTES => return found,
                Ok(None) | Err(NotUnderstood) => {
                    self.given_up = true;
                    self.buf = Vec::new();
                    return found;
                }
            }
        }
    }

    /// `found_count` returns the number of requests whose heads are complete.
    pub fn found_count(&self) -> u64 {
        self.next_index
    }

    /// `kept_bytes` returns the number of bytes that are kept until a head is complete.
    pub fn kept_bytes(&self) -> usize {
        self.buf.len()
    }

    fn skip_body(&mut self) {
        let skipped = self.body_left.min(self.buf.len() as u64);
        self.buf.drain(..skipped as usize);
        self.body_left -= skipped;
    }
}

struct NotUnderstood;

// Returns `None` while the head is incomplete.
fn parse_head(buf: &[u8]) -> Result<Option<Head>, NotUnderstood> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_bytes = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(NotUnderstood),
    };
    if parsed.version != Some(1) {
        return Err(NotUnderstood);
    }
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes());
    let mut builder = Request::builder()
        .version(Version::HTTP_11)
        .method(method.map_err(|_| NotUnderstood)?)
        .uri(parsed.path.unwrap_or_default());
    let mut body_bytes = None;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| NotUnderstood)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| NotUnderstood)?;
        match name.as_str() {
            "content-length" => {
                let length = value.to_str().ok().and_then(|v| v.parse().ok());
                if body_bytes.replace(length.ok_or(NotUnderstood)?).is_some() {
                    return Err(NotUnderstood);
                }
            }
            "transfer-encoding" | "upgrade" | "expect" => return Err(NotUnderstood),
            "connection" if value != "keep-alive" => return Err(NotUnderstood),
            _ => {}
        }
        builder = builder.header(name, value);
    }
    let (parts, ()) = builder.body(()).map_err(|_| NotUnderstood)?.into_parts();
    Ok(Some(Head {
        parts,
        head_bytes,
        body_bytes: body_bytes.unwrap_or(0),
    }))
}
