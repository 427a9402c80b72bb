//! A backend server that follows the pages, and its check-ins.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;

/// A request that a server began to run.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub at_ms: u64,
}

/// The request that makes a server crash, by its body.
#[derive(Clone)]
pub struct Poison {
    pub body: Vec<u8>,
}

/// A server beside a node. It signs its answers, echoes request ids and runs only what is meant
/// for it.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    control: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    concurrency: AtomicU64,
    work: Duration,
    runs: Mutex<Vec<Run>>,
    stopped: AtomicBool,
    beating: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    poison: Mutex<Option<Poison>>,
    record: Record,
}

impl Server {
    /// Starts a server at `address` whose node takes check-ins at `control`.
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
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            control,
            born: born.map_or(0, |d| d.as_millis()),
            sequence: AtomicU64::new(0),
            concurrency: AtomicU64::new(7),
            work,
            runs: Mutex::default(),
            stopped: AtomicBool::new(false),
            beating: AtomicBool::new(true),
            streams: Mutex::default(),
            poison: Mutex::default(),
            record: record.clone(),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.is_stopped() {
                    return;
                }
                let server = Arc::clone(&accepting);
                if let Ok(stream) = stream {
                    thread::spawn(move || server.serve(stream));
                }
            }
        });
        Ok(server)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        self.streams.lock().unwrap().push(stream.try_clone().ok()?);
        let mut reader = BufReader::new(stream);
        loop {
            let req = http::read_message(&mut reader).ok()??;
            if self.is_stopped() {
                return None;
            }
            let id = req.header("x-request-id").unwrap_or_default().to_owned();
            let other = req
                .header("x-expected-instance")
                .is_some_and(|expected| expected != self.id);
            if other {
                let headers = [
                    ("X-Request-Id", id.as_str()),
                    ("X-Instance-Id", self.id.as_str()),
                    ("X-Not-Executed", "1"),
                ];
                http::write_message(
                    &mut writer,
                    "HTTP/1.1 421 Misdirected Request",
                    &headers,
                    b"",
                )
                .ok()?;
                continue;
            }
            let run = Run {
                request: id.clone(),
                at_ms: self.record.now(),
            };
            self.runs.lock().unwrap().push(run);
            let what = req.start.split(' ').take(2).collect::<Vec<_>>().join(" ");
            self.record
                .line(format!("server {} runs request {id}: {what}", self.id));
            if self.is_poisoned(&req) {
                self.record
                    .line(format!("server {} crashes on request {id}", self.id));
                self.crash();
                return None;
            }
            thread::sleep(self.work);
            if self.is_stopped() {
                return None;
            }
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            let body = format!("{} answers {id}\n", self.id);
            http::write_message(&mut writer, "HTTP/1.1 200 OK", &headers, body.as_bytes()).ok()?;
        }
    }

    /// Sets how many requests the server says to run at a time; the default is 7.
    pub fn set_concurrency(&self, slots: u64) {
        self.concurrency.store(slots, Ordering::SeqCst);
    }

    /// The requests that were run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Composes the next check-in.
    pub fn compose(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"a-1\",\"concurrency\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"cold_remaining_ms\":0}}}}",
            self.address,
            self.born,
            self.service,
            self.concurrency.load(Ordering::SeqCst)
        )
    }

    /// Delivers a check-in; returns whether it was acknowledged.
    pub fn deliver(&self, check_in: &str) -> bool {
        let path = format!("POST /rpc?call=instances.heartbeat&of={}", self.id);
        self.tell(&path, check_in)
    }

    /// Says that the server leaves; returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let path = format!("POST /rpc?call=instances.deregister&of={}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        self.tell(&path, &body)
    }

    fn tell(&self, path: &str, body: &str) -> bool {
        let host = self.control.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ];
        let second = Duration::from_secs(1);
        let answer = http::call(self.control, path, &headers, body.as_bytes(), second);
        answer.is_ok_and(|a| (200..300).contains(&a.status()))
    }

    /// Checks in each 1.5 s until [`Self::stop_beating`].
    pub fn keep_beating(self: &Arc<Self>) {
        let server = Arc::clone(self);
        thread::spawn(move || {
            while server.beating.load(Ordering::SeqCst) {
                let check_in = server.compose("ready");
                server.deliver(&check_in);
                thread::sleep(Duration::from_millis(1500));
            }
        });
    }

    pub fn stop_beating(&self) {
        self.beating.store(false, Ordering::SeqCst);
    }

    fn is_poisoned(&self, req: &http::Message) -> bool {
        let poison = self.poison.lock().unwrap();
        poison.as_ref().is_some_and(|p| p.body == req.body)
    }

    /// Makes the server crash on some requests.
    pub fn set_poison(&self, poison: Poison) {
        *self.poison.lock().unwrap() = Some(poison);
    }

    /// Whether the server has crashed or was stopped.
    pub fn has_ended(&self) -> bool {
        self.is_stopped()
    }

    // Closes the listening socket and all connections at once, as the end of a process does.
    fn crash(&self) {
        self.stop();
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Ends the server: it accepts nothing and runs nothing from now on.
    pub fn stop(&self) {
        self.stop_beating();
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}
