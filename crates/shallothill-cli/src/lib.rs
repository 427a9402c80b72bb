//! The operators' command line: checks and submits configurations and shows their state.

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

/// `run` carries out the command line `args`, prints its result and returns how to exit.
pub async fn run(args: Vec<String>) -> Exit {
    let matches = match args::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            let exit = if e.use_stderr() {
                Exit::Usage
            } else {
                Exit::Ok
            };
            // Nothing can be done about a closed terminal.
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
