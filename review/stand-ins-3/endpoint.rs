//! A stand-in endpoint: it announces itself to its node, runs requests and records them.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// `BEAT` is the time between two check-ins.
const BEAT: Duration = Duration::from_millis(1500);

/// `Run` is a request that the endpoint began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
}

/// `Endpoint` is one boot of an endpoint.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub born: u128,
    pub work: Duration,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Endpoint {
    /// `start` listens at `address` and checks in at `control` until the process ends.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        address: SocketAddr,
        control: SocketAddr,
        work: Duration,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let endpoint = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            control,
            born: born.as_millis(),
            work,
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let this = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = Arc::clone(&this);
                thread::spawn(move || {
                    let _ = this.serve(stream);
                });
            }
        });
        let this = Arc::clone(&endpoint);
        thread::spawn(move || {
            loop {
                this.beat();
                thread::sleep(BEAT);
            }
        });
        Ok(endpoint)
    }

    fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"concurrency\":7}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":{sequence},\"cold_remaining_ms\":0}}}}",
            self.address, self.born, self.service, self.zone
        );
        let target = format!("/rpc?call=instances.heartbeat&of={}", self.id);
        // A check-in that is not acknowledged is followed by the next one.
        let _ = http::post_json(self.control, &target, "", &body);
    }

    /// `runs` returns the requests that the endpoint began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(mut request) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut request, false)?;
            let response = self.response_to(&request);
            stream.write_all(&response)?;
        }
        Ok(())
    }

    fn response_to(&self, request: &Message) -> Vec<u8> {
        if request.path() == "/health" {
            return response(200, &format!("X-Instance-Id: {}\r\n", self.id), b"");
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let echo = format!("X-Request-Id: {id}\r\n");
        if request
            .header("x-expected-instance")
            .is_some_and(|v| v != self.id)
        {
            return response(421, &format!("{echo}X-Instance-Id: {}\r\n", self.id), b"");
        }
        let run = Run { id: id.clone() };
        let (path, bytes) = (request.path(), request.body.len());
        self.record
            .line(format!("{} runs {id} {path}, {bytes} bytes", self.id));
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
        thread::sleep(self.work);
        let body = format!("{} ran {id}", self.id);
        let signature = format!("{echo}X-Response-Signature: {id}.{}\r\n", body.len());
        response(200, &signature, body.as_bytes())
    }
}

fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
