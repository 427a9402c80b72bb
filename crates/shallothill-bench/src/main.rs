//! Command-line benchmark: prints tables or JSON; `--check` fails when a bound is broken.

use std::process::ExitCode;

use shallothill_bench::args;
use shallothill_bench::report::Report;
use shallothill_bench::scenarios;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    if let Some(percent) = matches.get_one::<usize>("config-text") {
        return print_config(*percent);
    }
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let mut report = Report::default();
    for scenario in args::selected(&matches) {
        if let Err(e) = (scenario.run)(seed, &mut report) {
            eprintln!("bench: the scenario `{}` failed: {e}", scenario.name);
            return ExitCode::from(2);
        }
    }
    if matches.get_flag("json") {
        match serde_json::to_string_pretty(&report) {
            Ok(json) => println!("{json}"),
            Err(e) => {
                eprintln!("bench: the report has no JSON form: {e}");
                return ExitCode::from(2);
            }
        }
    } else {
        report.print();
    }
    if matches.get_flag("check") && !report.all_bounds_met() {
        eprintln!("bench: a bound is broken; see the bounds marked BROKEN");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print_config(percent: usize) -> ExitCode {
    match scenarios::config_text(percent) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("bench: no configuration at {percent}%: {e}");
            ExitCode::from(2)
        }
    }
}
