//! A sound endpoint: it runs what it gets, answers 421 to what is meant for another one, and
//! records each arrival.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Call};
use crate::record::Record;

/// `HEARTBEAT_PERIOD` is `heartbeat_ms` of the settings.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1500);

/// `SMALL_BYTES` is the size of the usual answer, `LARGE_BYTES` of those to paths that end in `/large`.
const SMALL_BYTES: usize = 5000;
const LARGE_BYTES: usize = 200_000;

/// `Arrival` is a request that the endpoint began to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request: String,
}

/// `Endpoint` runs in threads of this process until it ends.
#[derive(Debug)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born_ms: u128,
    control: SocketAddr,
    work: Duration,
    sequence: AtomicU64,
    reporting: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

impl Endpoint {
    /// `start` listens at `address` and checks in at `control`, the node beside the endpoint.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        control: SocketAddr,
        work: Duration,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let endpoint = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            born_ms: born.map_or(0, |d| d.as_millis()),
            control,
            work,
            sequence: AtomicU64::new(0),
            reporting: AtomicBool::new(true),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let acceptor = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = Arc::clone(&acceptor);
                thread::spawn(move || {
                    let _ = endpoint.serve(stream);
                });
            }
        });
        let reporter = Arc::clone(&endpoint);
        thread::spawn(move || {
            while reporter.reporting.load(Ordering::Relaxed) {
                let _ = reporter.check_in();
                thread::sleep(HEARTBEAT_PERIOD);
            }
        });
        Ok(endpoint)
    }

    /// `arrivals` returns all requests that the endpoint began to run.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.clone()
    }

    /// `stop_reporting` ends the check-ins; one that is being sent is waited for.
    pub fn stop_reporting(&self) {
        self.reporting.store(false, Ordering::Relaxed);
        thread::sleep(HEARTBEAT_PERIOD);
    }

    fn check_in(&self) -> io::Result<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"born\":{},\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"ist-1\",\"concurrency\":7}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":{sequence},\"cold_remaining_ms\":0}}}}",
            self.born_ms, self.address, self.service
        );
        self.call_node("instances.heartbeat", &body)
    }

    /// `deregister` tells the node that the endpoint leaves; returns the status of the answer.
    pub fn deregister(&self) -> io::Result<u16> {
        self.call_node(
            "instances.deregister",
            &format!("{{\"born\":{}}}", self.born_ms),
        )
    }

    /// `call_node` sends a call about this endpoint to the node beside it.
    pub fn call_node(&self, name: &str, body: &str) -> io::Result<u16> {
        let path = format!("/rpc?call={name}&of={}", self.id);
        let call = Call {
            method: "POST",
            path: &path,
            headers: &[("Content-Type", "application/json")],
            body: body.as_bytes(),
        };
        let reply = http::call(self.control, &call, Duration::from_secs(1))?;
        self.record.line(&format!(
            "{name} of {}: {body} -> {}",
            self.id, reply.status
        ));
        Ok(reply.status)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        loop {
            let first = http::read_line(&mut reader)?;
            let (mut request, mut expected, mut length) = (String::new(), String::new(), 0);
            let mut chunked = false;
            loop {
                let line = http::read_line(&mut reader)?;
                let Some((name, value)) = line.split_once(':') else {
                    break;
                };
                let value = value.trim();
                match name.to_ascii_lowercase().as_str() {
                    "x-request-id" => request = value.to_owned(),
                    "x-expected-instance" => expected = value.to_owned(),
                    "content-length" => length = value.parse().unwrap_or(0),
                    "transfer-encoding" => chunked = value.contains("chunked"),
                    _ => {}
                }
            }
            read_body(&mut reader, length, chunked)?;
            let answer = self.answer(&first, &request, &expected);
            reader.get_mut().write_all(answer.as_bytes())?;
        }
    }

    fn answer(&self, first: &str, request: &str, expected: &str) -> String {
        let head = format!("X-Request-Id: {request}\r\nX-Instance-Id: {}\r\n", self.id);
        if !expected.is_empty() && expected != self.id {
            self.record
                .line(&format!("{} answers 421 to {request}", self.id));
            return format!(
                "HTTP/1.1 421 Other\r\n{head}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.record
            .line(&format!("{} runs {request}: {first}", self.id));
        let arrival = Arrival {
            at: Instant::now(),
            request: request.to_owned(),
        };
        let arrivals = self.arrivals.lock();
        arrivals
            .unwrap_or_else(PoisonError::into_inner)
            .push(arrival);
        thread::sleep(self.work);
        let large = first
            .split(' ')
            .nth(1)
            .is_some_and(|path| path.ends_with("/large"));
        let bytes = if large { LARGE_BYTES } else { SMALL_BYTES };
        let body = "r".repeat(bytes);
        format!(
            "HTTP/1.1 200 OK\r\n{head}X-Response-Signature: 1.2.3\r\nContent-Length: {bytes}\r\n\r\n{body}"
        )
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, length: usize, chunked: bool) -> io::Result<()> {
    if !chunked {
        io::copy(&mut reader.take(length as u64), &mut io::sink())?;
        return Ok(());
    }
    loop {
        let size = http::read_line(reader)?;
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        io::copy(&mut reader.take(size as u64), &mut io::sink())?;
        http::read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}
