//! The binary `shallothill-node`.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use shallothill_node::Result;
use shallothill_node::node::Node;
use shallothill_node::settings::Settings;
use shallothill_runtime::{logs, shutdown};
use tracing::error;

fn command() -> Command {
    Command::new("shallothill-node")
        .about("Takes callers' requests and guards the backend servers on its host")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

async fn run(settings: Settings) -> Result<()> {
    let _logs = logs::init(settings.process.log_level)?;
    let stop = shutdown::on_signal()?;
    let node = Node::start(settings, stop).await?;
    let a = node.addresses();
    let ready = format!(
        "ready caller={} peer={} announce={} admin={}\n",
        a.caller, a.peer, a.announce, a.admin
    );
    // A failed write is ignored, because standard output may be closed.
    let mut out = std::io::stdout();
    let _ = out.write_all(ready.as_bytes()).and_then(|()| out.flush());
    node.run_until_stopped().await;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = command().get_matches();
    let empty = PathBuf::new();
    let path = args.get_one::<PathBuf>("settings").unwrap_or(&empty);
    let settings = match Settings::try_load(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    if args.get_flag("check-settings") {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("node: {e}");
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
