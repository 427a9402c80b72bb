//! `shallothill check` checks a configuration text without a keeper.

use clap::ArgMatches;
use serde_json::json;
use shallothill_core::config::{Config, Fault};

use crate::commands;
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;

/// `run` reads the file and prints its faults, or a summary if it is valid.
pub(crate) fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    let (path, text) = commands::read_file(matches)?;
    match shallothill_config::parse(&text) {
        Ok(cfg) => {
            let text = format!("{path}: valid; {}", summary(&cfg));
            out.result(&json!({"faults": []}), &text);
            Ok(Exit::Ok)
        }
        Err(faults) => {
            print_faults(&path, &faults, out);
            Ok(Exit::Refused)
        }
    }
}

/// `print_faults` prints one line per fault as `path:line:column: ...`, which editors can parse.
pub(crate) fn print_faults(path: &str, faults: &[Fault], out: &Output) {
    let mut text: String = faults.iter().map(|f| format!("{path}:{f}\n")).collect();
    text.push_str(&format!("{} faults; nothing changed\n", faults.len()));
    out.result(&json!({ "faults": faults }), &text);
}

fn summary(cfg: &Config) -> String {
    format!(
        "{} services, {} routes, {} callers in {} regions",
        cfg.services.len(),
        cfg.routes.len(),
        cfg.callers.len(),
        cfg.regions.len()
    )
}
