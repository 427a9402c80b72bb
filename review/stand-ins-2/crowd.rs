//! A crowd of consumers that nobody controls: each opens a connection, sends a part of a request and
//! stays; where the node closes the connection, it comes back.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// `BODY_BYTES` is the announced length of a body, far below `max_body_bytes`.
const BODY_BYTES: usize = 100_000;

/// `MISSING_BYTES` is what a body stops short of its end.
const MISSING_BYTES: usize = 10;

/// `STEP` is the number of connections that are opened before a pause.
const STEP: usize = 10;
const PAUSE: Duration = Duration::from_millis(10);
const CONNECT_LIMIT: Duration = Duration::from_millis(100);

struct Member {
    stream: TcpStream,
    sent: usize,
}

/// `run` keeps `count` connections to `address` until the process is killed. `mode` is `head` for
/// heads that stop half-way and `body` for bodies that stop just short of their end.
pub fn run(address: &str, count: &str, mode: &str) {
    let (Ok(address), Ok(count)) = (address.parse::<SocketAddr>(), count.parse::<usize>()) else {
        return;
    };
    let bytes = request(mode);
    let mut members: Vec<Member> = Vec::new();
    loop {
        members.retain_mut(|m| m.go_on(&bytes));
        // In steps, so that the queue of new connections of the listener does not overflow.
        let missing = count - members.len();
        for _ in 0..missing.min(STEP) {
            let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_LIMIT) else {
                break;
            };
            if stream.set_nonblocking(true).is_ok() {
                members.push(Member { stream, sent: 0 });
            }
        }
        thread::sleep(PAUSE);
    }
}

fn request(mode: &str) -> Vec<u8> {
    if mode == "head" {
        return b"GET /read/1 HTTP/1.1\r\nHost: read.example\r\nX-Req".to_vec();
    }
    let head = format!(
        "POST /read/1 HTTP/1.1\r\nHost: read.example\r\nX-Request-Id: c0ffee\r\nX-Deadline-Ms: 6000\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - MISSING_BYTES, b'q');
    bytes
}

impl Member {
    // Sends what fits; returns whether the connection is still open.
    fn go_on(&mut self, bytes: &[u8]) -> bool {
        while self.sent < bytes.len() {
            match self.stream.write(&bytes[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        let mut buf = [0; 512];
        loop {
            match self.stream.read(&mut buf) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
    }
}
