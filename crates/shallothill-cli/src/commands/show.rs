//! `shallothill show` prints a configuration text.

use clap::ArgMatches;
use shallothill_wire::operator::ShowReply;

use crate::client::{Call, Keepers};
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;

/// `run` prints the text to standard output and its version to standard error, so that the text can
/// be redirected to a file.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    let path = match matches.get_one::<u64>("version") {
        Some(version) => format!("/config/show?version={version}"),
        None => String::from("/config/show"),
    };
    let reply: ShowReply = Keepers::try_new(matches)?.call(&Call::get(path)).await?;
    out.result(&reply, reply.text.as_deref().unwrap_or_default());
    if reply.text.is_some() {
        out.hint(&format!("version {}", reply.version));
        return Ok(Exit::Ok);
    }
    out.hint(&format!(
        "version {} is not stored; see `shallothill history` for those that are",
        reply.version
    ));
    Ok(Exit::Refused)
}
