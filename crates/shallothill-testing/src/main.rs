//! Runs the stand-in backend server as a process of its own.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use log::{LevelFilter, error};
use shallothill_runtime::{logs, shutdown};
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::options::StandinOptions;
use shallothill_testing::standin::Standin;

/// `CRASH_EXIT_CODE` is the exit code after a request that carries the crash mark.
const CRASH_EXIT_CODE: u8 = 70;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options(&command().get_matches());
    match run(options).await {
        Ok(code) => code,
        Err(e) => {
            error!("standin: {e}");
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: StandinOptions) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let _logs = logs::init(LevelFilter::Info)?;
    let stop = shutdown::on_signal()?;
    let standin = Standin::start(options).await?;
    println!("ready http={}", standin.address());
    io::stdout().flush()?;
    tokio::select! {
        () = stop.cancelled() => {
            standin.shut_down().await;
            Ok(ExitCode::SUCCESS)
        }
        () = standin.crashed() => Ok(ExitCode::from(CRASH_EXIT_CODE)),
    }
}

fn command() -> Command {
    let address = || value_parser!(SocketAddr);
    let behaviour = |text: &str| serde_json::from_str::<Behaviour>(text);
    Command::new("shallothill-standin")
        .about("A stand-in backend server for tests and the demo")
        .arg(Arg::new("listen").long("listen").value_parser(address()))
        .arg(
            Arg::new("announce")
                .long("announce")
                .value_parser(address()),
        )
        .arg(Arg::new("service").long("service"))
        .arg(Arg::new("endpoint").long("endpoint"))
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_parser(value_parser!(u16)),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("behaviour")
                .long("behaviour")
                .value_parser(behaviour),
        )
}

fn options(matches: &ArgMatches) -> StandinOptions {
    let defaults = StandinOptions::default();
    let text = |name, default: String| matches.get_one(name).cloned().unwrap_or(default);
    StandinOptions {
        listen: matches
            .get_one("listen")
            .copied()
            .unwrap_or(defaults.listen),
        announce: matches.get_one("announce").copied(),
        service: text("service", defaults.service),
        endpoint: text("endpoint", defaults.endpoint),
        slots: matches.get_one("slots").copied().unwrap_or(defaults.slots),
        seed: matches.get_one("seed").copied().unwrap_or(defaults.seed),
        behaviour: matches.get_one("behaviour").cloned().unwrap_or_default(),
        record_file: matches.get_one("record").cloned(),
        announce_every: defaults.announce_every,
    }
}
