//! The scripts of the review: each case starts a small fleet and plays clients, servers, operator
//! and platform. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod crashing_request;
mod fleet;
mod http;
mod late_check_in;
mod many_changes;
mod pipelined_stop;
mod queued_stop;
mod record;
mod server;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(path) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let root = Path::new(".").canonicalize().unwrap_or_default();
    let verdict = match case.as_str() {
        "late-check-in" => late_check_in::play(&root, &record, trouble),
        "pipelined-stop" => pipelined_stop::play(&root, &record, trouble),
        "queued-stop" => queued_stop::play(&root, &record, trouble),
        "crashing-request" => crashing_request::play(&root, &record, trouble),
        "many-changes" => many_changes::play(&root, &record, trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
