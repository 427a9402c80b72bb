//! Defines the arguments and subcommands of the command line.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, Command, value_parser};

/// `KEEPERS_VARIABLE` names the environment variable with the admin addresses of keepers, separated
/// by commas. It is used if `--keeper` is absent.
pub(crate) const KEEPERS_VARIABLE: &str = "SHALLOTHILL_KEEPERS";

const EXIT_CODES_HELP: &str = "Exit codes: 0 done; 1 faults, conflict or no such version, nothing changed; \
     2 wrong usage; 3 no keeper reachable or result unknown.";

/// `command` builds the clap definition of the command line.
pub(crate) fn command() -> Command {
    let file = || Arg::new("file").value_name("FILE").required(true);
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue);
    Command::new("shallothill")
        .about("Checks and submits configurations of a shallothill fleet and shows their state")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(json.help("Prints the result as JSON"))
        .arg(keeper_option())
        .arg(timeout_option())
        .subcommand(
            Command::new("check")
                .about("Checks a configuration text without a keeper")
                .arg(file().help("The text, or `-` for standard input")),
        )
        .subcommand(submit_command(file()))
        .subcommand(
            Command::new("show")
                .about("Prints a configuration text; its version goes to standard error")
                .arg(integer_option("version").help("The version instead of the current one")),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the accepted changes, newest first")
                .arg(
                    integer_option("limit")
                        .help("The number of changes")
                        .default_value("20"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Shows on which nodes and keepers the configuration is in force"),
        )
        .subcommand(
            Command::new("dump")
                .about("Prints the state of one process as JSON")
                .arg(
                    Arg::new("address")
                        .value_name("ADDR")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("The admin address of a keeper or node"),
                ),
        )
        .subcommand(
            Command::new("ledger")
                .about("Prints the ledger state of an idempotency key")
                .arg(
                    Arg::new("key")
                        .value_name("KEY")
                        .required(true)
                        .help("The key, `[<region>.]<UUIDv7>`"),
                ),
        )
}

fn submit_command(file: Arg) -> Command {
    Command::new("submit")
        .about("Submits a configuration text")
        .arg(file.help("The complete text, or `-` for standard input"))
        .arg(integer_option("base").help("The version that the text is based on; see `show`"))
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .help("The id of an earlier submission whose result is unknown"),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .help("Who submits, for the history; default the name in USER"),
        )
}

fn integer_option(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
}

fn keeper_option() -> Arg {
    Arg::new("keeper")
        .long("keeper")
        .value_name("ADDR")
        .global(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("Admin address of a keeper; repeat it or separate several by commas to try them in turn; default SHALLOTHILL_KEEPERS")
}

fn timeout_option() -> Arg {
    Arg::new("timeout")
        .long("timeout")
        .value_name("SECONDS")
        .global(true)
        .value_parser(value_parser!(u64).range(1..=3600))
        .default_value("15")
        .help("How long to keep trying the keepers")
}
