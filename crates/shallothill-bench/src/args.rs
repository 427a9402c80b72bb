//! Command-line arguments.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::scenarios;

/// `command` builds the argument parser.
pub fn command() -> Command {
    let names = scenarios::ALL.map(|s| s.name);
    Command::new("bench")
        .about("Compares the decisions with a naive version under virtual time and fixed seeds")
        .arg(
            Arg::new("scenario")
                .help("The scenarios to run; all when none is given")
                .num_args(0..)
                .value_parser(names),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Exit with 1 when a bound is broken")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print JSON instead of tables")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("config-text")
                .long("config-text")
                .help("Print a configuration text at PERCENT of the size to design for, and exit")
                .value_name("PERCENT")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("The seed of all random numbers")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
}

/// `selected` returns the scenarios that the command line names, in the order of
/// `scenarios::ALL`; all when none is named.
pub fn selected(matches: &ArgMatches) -> Vec<scenarios::Scenario> {
    let named: Vec<&String> = matches.get_many("scenario").into_iter().flatten().collect();
    scenarios::ALL
        .into_iter()
        .filter(|s| named.is_empty() || named.iter().any(|n| *n == s.name))
        .collect()
}
