//! The `shallothill` command for operators: checks and submits configurations and shows the state
//! of the fleet.

mod args;
mod client;
mod commands;
mod errors;
mod exit;
mod output;
mod table;

pub use errors::{Error, Result};
pub use exit::Exit;

use output::Output;

/// `run` executes the command line `args`, which start with the program name, prints the result and
/// returns the exit status.
pub async fn run(args: Vec<String>) -> Exit {
    let matches = match args::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            let exit = if e.use_stderr() {
                Exit::Usage
            } else {
                Exit::Ok
            };
            // A failed write to a closed output cannot be reported anywhere.
            let _ = e.print();
            return exit;
        }
    };
    let out = Output::new(matches.get_flag("json"));
    match commands::run(&matches, &out).await {
        Ok(exit) => exit,
        Err(e) => {
            out.error(&e);
            e.exit()
        }
    }
}
