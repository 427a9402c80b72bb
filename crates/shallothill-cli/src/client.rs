//! Sends requests to the admin endpoints of keepers and tries one after the other until one answers.

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use shallothill_runtime::admin;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use crate::args::KEEPERS_VARIABLE;
use crate::errors;

/// `CONNECT_TIMEOUT` bounds the time to connect, so that an unresponsive host causes little delay.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// `CALL_TIMEOUT` bounds one call; a commit over slow links takes much less.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// `HEDGE_DELAY` is the time without an answer after which the next keeper is called as well. A
/// keeper that forwards a submission to a hanging primary does not answer for seconds, although
/// another keeper could accept the submission.
const HEDGE_DELAY: Duration = Duration::from_secs(1);

/// `ROUND_PAUSE` is the pause after every keeper has been tried, about the duration of an election.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// `Call` is one request to an admin endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

impl Call {
    /// `get` builds a GET request without a body.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }
}

/// `Keepers` calls keepers until one answers or the time is over.
#[derive(Clone, Debug)]
pub(crate) struct Keepers {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl Keepers {
    /// `try_new` takes the addresses from `--keeper`, or else from [`KEEPERS_VARIABLE`].
    ///
    /// Fails with `NoKeepers` or `InvalidKeeperAddress`.
    pub(crate) fn try_new(matches: &ArgMatches) -> errors::Result<Self> {
        let given = matches.get_many("keeper").unwrap_or_default().copied();
        let mut addresses: Vec<SocketAddr> = given.collect();
        if addresses.is_empty() {
            let variable = KEEPERS_VARIABLE;
            let value = env::var(variable).unwrap_or_default();
            let parts = value.split(',').map(str::trim).filter(|p| !p.is_empty());
            for part in parts {
                let value = part.to_owned();
                let parsed = part.parse();
                let invalid = |_| errors::Error::InvalidKeeperAddress { variable, value };
                addresses.push(parsed.map_err(invalid)?);
            }
            if addresses.is_empty() {
                return errors::NoKeepersSnafu { variable }.fail();
            }
        }
        let seconds = matches.get_one("timeout").copied().unwrap_or(15);
        let timeout = Duration::from_secs(seconds);
        Ok(Self { addresses, timeout })
    }

    /// `call` returns the first answer of any keeper.
    ///
    /// Fails with `KeepersUnreachable` when none answers in time.
    pub(crate) async fn call<T>(&self, call: &Call) -> errors::Result<T>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let answer = self.call_until_accepted(call, |answer: T| Ok(answer)).await;
        answer.map_err(|causes| errors::Error::KeepersUnreachable {
            seconds: self.timeout.as_secs(),
            causes: causes.join("; "),
        })
    }

    /// `call_until_accepted` sends the call to one keeper after the other until `accept` returns a
    /// result. Several keepers may execute the call at the same time.
    ///
    /// When the time is over it fails with the causes of the last round; the call may nevertheless
    /// have been executed.
    pub(crate) async fn call_until_accepted<T, R>(
        &self,
        call: &Call,
        accept: impl Fn(T) -> Result<R, String>,
    ) -> Result<R, Vec<String>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let deadline = Instant::now() + self.timeout;
        loop {
            let causes = match self.call_each(call, &accept, deadline).await {
                Ok(result) => return Ok(result),
                Err(causes) => causes,
            };
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Err(causes);
            }
            time::sleep(ROUND_PAUSE).await;
        }
    }

    /// `call_each` calls each keeper at most once; the first accepted answer ends the other calls.
    async fn call_each<T, R>(
        &self,
        call: &Call,
        accept: &impl Fn(T) -> Result<R, String>,
        deadline: Instant,
    ) -> Result<R, Vec<String>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut causes = Vec::new();
        let mut remaining = self.addresses.iter().copied();
        let mut calls = JoinSet::new();
        loop {
            if let Some(address) = remaining.next() {
                let timeout = deadline
                    .saturating_duration_since(Instant::now())
                    .min(CALL_TIMEOUT);
                let call = call.clone();
                calls.spawn(async move { (address, call_keeper(address, &call, timeout).await) });
            } else if calls.is_empty() {
                return Err(causes);
            }
            let max_wait = match remaining.len() {
                0 => CALL_TIMEOUT,
                _ => HEDGE_DELAY,
            };
            let Ok(Some(Ok((address, answer)))) = time::timeout(max_wait, calls.join_next()).await
            else {
                continue;
            };
            causes.push(match answer {
                Ok(answer) => match accept(answer) {
                    Ok(result) => return Ok(result),
                    Err(reason) => format!("{address}: {reason}"),
                },
                Err(e) => e.to_string(),
            });
        }
    }
}

async fn call_keeper<T: DeserializeOwned>(
    address: SocketAddr,
    call: &Call,
    timeout: Duration,
) -> errors::Result<T> {
    let body = send(address, call, timeout).await?;
    rmp_serde::from_slice(&body).map_err(|e| {
        let message = format!("the answer is not valid: {e}; is this a keeper's admin address?");
        errors::Error::NoAnswer { address, message }
    })
}

/// `send` sends one request over a new connection and returns the body of the response.
///
/// Fails with `NoAnswer` when no complete response with a 2xx status arrives within `timeout`.
pub(crate) async fn send(
    address: SocketAddr,
    call: &Call,
    timeout: Duration,
) -> errors::Result<Bytes> {
    let no_answer = |message| errors::Error::NoAnswer { address, message };
    match time::timeout(timeout, exchange(address, call)).await {
        Ok(result) => result.map_err(no_answer),
        Err(_) => Err(no_answer(format!("timed out after {timeout:?}"))),
    }
}

async fn exchange(address: SocketAddr, call: &Call) -> Result<Bytes, String> {
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| String::from("the connection attempt timed out"))?;
    let stream = TokioIo::new(stream.map_err(|e| e.to_string())?);
    let handshake = http1::handshake::<_, Full<Bytes>>(stream).await;
    let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
    let connection = tokio::spawn(connection);
    let req = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/msgpack")
        .body(Full::new(call.body.clone()))
        .map_err(|e| e.to_string())?;
    let response = sender.send_request(req).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), admin::BODY_MAX_BYTES)
        .collect()
        .await;
    connection.abort();
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return Err(format!("status {status}: {}", text.trim()));
    }
    Ok(body)
}
