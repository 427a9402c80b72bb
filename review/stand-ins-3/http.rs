//! A small HTTP/1.1 reader and client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// `Message` is a request or a response; `start` is its first line.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// `header` returns the first value of `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// `status` returns the status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// `path` returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// `read_head` reads the start line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// `read_body` reads the body with a length, in chunks, or of a response to the end of the
/// connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            chunk.truncate(size);
            message.body.extend(chunk);
        }
    }
    match message
        .header("content-length")
        .and_then(|v| v.parse().ok())
    {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if to_end => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// `call` sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        let mut response = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        if (100..200).contains(&response.status()) {
            continue;
        }
        read_body(&mut reader, &mut response, true)?;
        return Ok(response);
    }
}

/// `post_json` sends a call of the platform to an interface of the system.
pub fn post_json(
    address: SocketAddr,
    target: &str,
    headers: &str,
    body: &str,
) -> io::Result<Message> {
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\n{headers}Content-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    call(address, request.as_bytes(), Duration::from_secs(2))
}
