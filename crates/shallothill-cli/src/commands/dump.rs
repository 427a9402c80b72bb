//! `shallothill dump` prints the state of one process.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;

use crate::client;
use crate::client::Call;
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;

/// `run` prints the dump of the process as indented JSON.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    // Unreachable: clap requires the address.
    let Some(address) = matches.get_one::<SocketAddr>("address").copied() else {
        return Ok(Exit::Usage);
    };
    let seconds = matches.get_one("timeout").copied().unwrap_or(15);
    let timeout = Duration::from_secs(seconds);
    let body = client::send(address, &Call::get("/dump"), timeout).await?;
    let value: serde_json::Value =
        serde_json::from_slice(&body).map_err(|e| errors::Error::NoAnswer {
            address,
            message: format!("the dump is not valid: {e}; is this an admin address?"),
        })?;
    out.result(&value, &format!("{value:#}"));
    Ok(Exit::Ok)
}
