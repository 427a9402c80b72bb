//! A small blocking HTTP/1.1 client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// `Reply` is a complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

/// `Call` is a request to send.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// `Client` is one connection, which may be used for several requests.
#[derive(Debug)]
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, call: &Call<'_>) -> io::Result<Reply> {
        let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
        for (name, value) in call.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !call
            .headers
            .iter()
            .any(|(n, _)| n.eq_ignore_ascii_case("host"))
        {
            head.push_str("Host: stand-in\r\n");
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", call.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(call.body);
        self.reader.get_mut().write_all(&bytes)?;
        self.read_reply()
    }

    fn read_reply(&mut self) -> io::Result<Reply> {
        let malformed = || io::Error::from(io::ErrorKind::InvalidData);
        let first = read_line(&mut self.reader)?;
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or_else(malformed)?;
        let mut length = None;
        loop {
            let line = read_line(&mut self.reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(malformed)?;
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok();
            }
        }
        let mut body = vec![0; length.ok_or_else(malformed)?];
        self.reader.read_exact(&mut body)?;
        Ok(Reply { status, body })
    }
}

/// `call` sends a request on a connection of its own.
pub fn call(address: SocketAddr, call: &Call<'_>, limit: Duration) -> io::Result<Reply> {
    Client::connect(address, limit)?.send(call)
}

/// `read_line` reads a line without its end; an end of the stream is an error.
pub fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}
