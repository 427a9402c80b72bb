//! The stand-ins of the cases 11 and above: an operator, consumers and endpoints around a small
//! deployment of the project's own programs, on loopback addresses and the real clock.
//!
//! Usage: stand-ins CASE ROOT RECORD. With TROUBLE=0 in the environment the disruption is left out.
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod cases;
mod endpoint;
mod fleet;
mod http;
mod record;
mod signal;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// `Verdict` is what a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = args.as_slice() else {
        eprintln!("usage: stand-ins CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("the record cannot be written: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    match cases::run(case, &PathBuf::from(root), trouble, &record) {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            record.line(format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
