//! Command-line entry point of the keeper.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use shallothill_keeper::listeners::Listeners;
use shallothill_keeper::process::{Process, StartOptions};
use shallothill_keeper::settings::Settings;
use shallothill_keeper::{data, errors};
use shallothill_runtime::{logs, settings, shutdown};

fn command() -> Command {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::SetTrue)
            .help(help)
    };
    Command::new("shallothill-keeper")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Keeps the configuration, the ledger, the directory and the ejection leases")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The settings file"),
        )
        .arg(flag("check-settings", "Checks the settings and exits"))
        .arg(flag(
            "inspect",
            "Prints what the data folder holds and exits",
        ))
        .arg(flag(
            "new-group",
            "Creates a new group; only for the first start of all its keepers",
        ))
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shallothill-keeper: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &ArgMatches) -> errors::Result<()> {
    let Some(path) = args.get_one::<PathBuf>("settings") else {
        return Ok(());
    };
    let settings: Settings = settings::load(path)?;
    settings.check()?;
    if args.get_flag("check-settings") {
        println!("the settings are valid");
        return Ok(());
    }
    if args.get_flag("inspect") {
        print!("{}", data::inspect(&settings)?);
        return Ok(());
    }
    let _logs = logs::init(settings.process.log_level)?;
    let stop = shutdown::on_signal()?;
    let options = StartOptions {
        new_group: args.get_flag("new-group"),
    };
    let listeners = Listeners::bind(&settings).await?;
    let process = Process::start(settings, listeners, options).await?;
    println!(
        "ready control={} peer={} admin={}",
        process.control_address, process.peer_address, process.admin_address
    );
    process.run(stop).await
}
