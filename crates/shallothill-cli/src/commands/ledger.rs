//! `shallothill ledger` prints the ledger state of an idempotency key.

use clap::ArgMatches;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_wire::operator::KeyReply;
use snafu::ResultExt;

use crate::client::{Call, Keepers};
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;

/// `run` prints the state of the key and, if present, the gate that claimed it and the status of
/// the stored response.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    let key = matches
        .get_one::<String>("key")
        .cloned()
        .unwrap_or_default();
    let key = IdempotencyKey::try_parse(&key).context(errors::InvalidArgumentSnafu)?;
    let call = Call::get(format!("/ledger/{key}"));
    let reply: KeyReply = Keepers::try_new(matches)?.call(&call).await?;
    let mut text = format!("{key}: {}", reply.state);
    if let Some(gate) = &reply.gate {
        text.push_str(&format!(", claimed by {gate}"));
    }
    if let Some(status) = reply.status {
        text.push_str(&format!(", answered with status {status}"));
    }
    out.result(&reply, &text);
    Ok(Exit::Ok)
}
