//! The demo: runs both example deployments as local processes and injects faults.

mod cost;
mod deployment;
mod faults;
mod fleet;
mod load;
mod operator;
mod scenario;
mod summary;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use shallothill_runtime::shutdown;

use deployment::Deployment;
use scenario::Paths;

/// `Failure` is any error that ends the demo.
type Failure = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = async {
        let stop = shutdown::on_signal()?;
        // Leaving this block drops the fleet, which kills all child processes.
        tokio::select! {
            result = run(&matches) => result,
            () = stop.cancelled() => Err(Failure::from("stopped by a signal")),
        }
    };
    match result.await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<bool, Failure> {
    let path = |name| {
        matches
            .get_one::<PathBuf>(name)
            .cloned()
            .unwrap_or_default()
    };
    let only = matches.get_one::<String>("only");
    let mut passed = true;
    for deployment in [Deployment::texas(), Deployment::kopukcu()] {
        if only.is_some_and(|name| name != deployment.name) {
            continue;
        }
        let work = tempfile::tempdir()?;
        let paths = Paths {
            binaries: path("binaries"),
            examples: path("examples"),
            work: work.path().to_owned(),
        };
        let result = scenario::run(&deployment, &paths, !matches.get_flag("no-faults")).await;
        if matches.get_flag("keep") || result.is_err() {
            println!("logs and settings are kept in {}", work.keep().display());
        }
        passed &= result?;
    }
    Ok(passed)
}

fn command() -> Command {
    let folder = |name| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("shallothill-demo")
        .about("Runs both example deployments on this machine; see scripts/demo")
        .arg(folder("binaries").default_value("target/release"))
        .arg(folder("examples").default_value("examples"))
        .arg(
            Arg::new("only")
                .long("only")
                .value_parser(["texas", "kopukcu"]),
        )
        .arg(
            Arg::new("no-faults")
                .long("no-faults")
                .help("Measures latency and processor time for 20 s, without faults")
                .action(clap::ArgAction::SetTrue),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(clap::ArgAction::SetTrue),
        )
}
