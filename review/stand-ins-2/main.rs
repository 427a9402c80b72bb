//! Stand-ins for the platform, its operators, consumers and endpoints, and the cases that use them.
//!
//! `stand-ins CASE FOLDER` plays a case, writes `FOLDER/record.txt` and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod changes_case;
mod crowd;
mod crowd_cases;
mod departure_case;
mod endpoint;
mod fleet;
mod http;
mod readers_case;
mod record;
mod replacement_case;
mod slow_socket;

use std::path::Path;
use std::process::exit;

use record::Record;

/// `Verdict` is the result of a case that could be played.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Broken,
    Held,
}

/// `CaseResult` is an error, with its reason, when a case could not be played.
pub type CaseResult = Result<Verdict, String>;

/// `trouble` tells whether the case is played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let text = |i: usize| args.get(i).map(String::as_str).unwrap_or_default();
    if text(1) == "crowd" {
        crowd::run(text(2), text(3), text(4));
        return;
    }
    let folder = Path::new(text(2));
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt cannot be written: {e}");
            exit(2);
        }
    };
    record.note(&format!("case {}, disruption: {}", text(1), trouble()));
    let result = match text(1) {
        "departure" => departure_case::play(&record),
        "replacement" => replacement_case::play(&record),
        "changes" => changes_case::play(&record),
        "readers" => readers_case::play(&record),
        "memory" => crowd_cases::play_memory(&record),
        "descriptors" => crowd_cases::play_descriptors(&record),
        other => Err(format!("there is no case `{other}`")),
    };
    let code = match &result {
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::Held) => 0,
        Err(_) => 2,
    };
    record.note(&format!("result: {result:?}, exit {code}"));
    exit(code);
}
