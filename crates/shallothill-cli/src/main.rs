//! Entry point of the `shallothill` command.

use std::env;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    // No valid argument contains non-UTF-8 bytes, so clap rejects the lossy conversion as well.
    let args = env::args_os().map(|a| a.to_string_lossy().into_owned());
    shallothill_cli::run(args.collect()).await.into()
}
