//! The subcommands of `shallothill`.

mod check;
mod dump;
mod history;
mod ledger;
mod show;
mod status;
mod submit;

use std::fs;
use std::io;

use clap::ArgMatches;
use snafu::ResultExt;

use crate::errors;
use crate::exit::Exit;
use crate::output::Output;

/// `run` executes the subcommand that the command line selects.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    match matches.subcommand() {
        Some(("check", m)) => check::run(m, out),
        Some(("submit", m)) => submit::run(m, out).await,
        Some(("show", m)) => show::run(m, out).await,
        Some(("history", m)) => history::run(m, out).await,
        Some(("status", m)) => status::run(m, out).await,
        Some(("dump", m)) => dump::run(m, out).await,
        Some(("ledger", m)) => ledger::run(m, out).await,
        // Unreachable: clap requires one of the subcommands above.
        _ => Ok(Exit::Usage),
    }
}

/// `read_file` returns the path in the argument `file` and the text it names, with `-` for standard
/// input.
fn read_file(matches: &ArgMatches) -> errors::Result<(String, String)> {
    let path: String = matches.get_one("file").cloned().unwrap_or_default();
    let text = match path.as_str() {
        "-" => io::read_to_string(io::stdin()),
        path => fs::read_to_string(path),
    };
    let text = text.context(errors::ReadFileSnafu { path: &path })?;
    Ok((path, text))
}
