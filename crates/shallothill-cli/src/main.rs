//! The `shallothill` command.

use std::env;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    // Arguments that are not UTF-8 cannot be valid ones; clap reports them by their position.
    let args = env::args_os().map(|a| a.to_string_lossy().into_owned());
    shallothill_cli::run(args.collect()).await.into()
}
