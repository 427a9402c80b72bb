//! Calls keepers' admin addresses, one after the other until one answers.

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

/// `CONNECT_TIMEOUT` bounds the time to connect, so that one silent host delays little.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// `CALL_TIMEOUT` bounds one call; a commit over slow links takes well below this.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// `NEXT_AFTER` is the silence after which the next keeper is asked as well. A keeper that passes a
/// submission on to a hanging primary is silent for seconds, although another could accept it.
const NEXT_AFTER: Duration = Duration::from_secs(1);

/// `ROUND_PAUSE` is the pause after every keeper has been tried, about an election's length.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// `Call` is one request for a keeper.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

impl Call {
    /// `get` reads `path`.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }
}

/// `Keepers` are the keepers that a command may ask.
#[derive(Clone, Debug)]
pub(crate) struct Keepers {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl Keepers {
    /// `try_new` takes the keepers of the command line, else of the environment.
    ///
    /// Fails with `NoKeepers` or `InvalidKeepers`.
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
                let invalid = |_| errors::Error::InvalidKeepers { variable, value };
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

    /// `ask` returns the first answer of any keeper.
    ///
    /// Fails with `OutOfReach` when none answers in time.
    pub(crate) async fn ask<T>(&self, call: &Call) -> errors::Result<T>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let answer = self.ask_until(call, |answer: T| Ok(answer)).await;
        answer.map_err(|causes| errors::Error::OutOfReach {
            seconds: self.timeout.as_secs(),
            causes: causes.join("; "),
        })
    }

    /// `ask_until` repeats the call at one keeper after the other until `accept` takes an answer
    /// or the time is over. It returns what happened in the last round otherwise; the call may
    /// then have been carried out. Several keepers may carry out the call at the same time.
    pub(crate) async fn ask_until<T, R>(
        &self,
        call: &Call,
        accept: impl Fn(T) -> Result<R, String>,
    ) -> Result<R, Vec<String>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let end = Instant::now() + self.timeout;
        loop {
            let causes = match self.round(call, &accept, end).await {
                Ok(result) => return Ok(result),
                Err(causes) => causes,
            };
            if Instant::now() + ROUND_PAUSE >= end {
                return Err(causes);
            }
            time::sleep(ROUND_PAUSE).await;
        }
    }

    /// `round` asks each keeper once; the first accepted answer wins and ends the other calls.
    async fn round<T, R>(
        &self,
        call: &Call,
        accept: &impl Fn(T) -> Result<R, String>,
        end: Instant,
    ) -> Result<R, Vec<String>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut causes = Vec::new();
        let mut waiting = self.addresses.iter().copied();
        let mut calls = JoinSet::new();
        loop {
            if let Some(address) = waiting.next() {
                let limit = end
                    .saturating_duration_since(Instant::now())
                    .min(CALL_TIMEOUT);
                let call = call.clone();
                calls.spawn(async move { (address, call_keeper(address, &call, limit).await) });
            } else if calls.is_empty() {
                return Err(causes);
            }
            let silence = match waiting.len() {
                0 => CALL_TIMEOUT,
                _ => NEXT_AFTER,
            };
            let Ok(Some(Ok((address, answer)))) = time::timeout(silence, calls.join_next()).await
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
    limit: Duration,
) -> errors::Result<T> {
    let body = send(address, call, limit).await?;
    rmp_serde::from_slice(&body).map_err(|e| {
        let message = format!("the answer is not valid: {e}; is this a keeper's admin address?");
        errors::Error::NoAnswer { address, message }
    })
}

/// `send` sends one request over a connection of its own and returns the body of the answer.
///
/// Fails with `NoAnswer` when there is no complete answer with a status of success in time.
pub(crate) async fn send(
    address: SocketAddr,
    call: &Call,
    limit: Duration,
) -> errors::Result<Bytes> {
    let failed = |message| errors::Error::NoAnswer { address, message };
    match time::timeout(limit, exchange(address, call)).await {
        Ok(result) => result.map_err(failed),
        Err(_) => Err(failed(format!("none within {limit:?}"))),
    }
}

async fn exchange(address: SocketAddr, call: &Call) -> Result<Bytes, String> {
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| String::from("no connection"))?;
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
    let answer = sender.send_request(req).await.map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), admin::BODY_MAX_BYTES)
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
