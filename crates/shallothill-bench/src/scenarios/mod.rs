//! The scenarios, each with its tables and bounds.

mod control;
mod cost;
mod crashes;
mod detection;
mod drain;
mod floor;
mod ledger;
mod log;
mod memory;
mod overload;
mod regions;
mod scale;

use crate::report::Report;

/// `Result` is the result of a scenario; a name that is not valid is the only error.
pub type Result<T> = shallothill_core::Result<T>;

/// `Scenario` is a scenario with the name that selects it.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// Runs it with a seed and adds its results to the report.
    pub run: fn(u64, &mut Report) -> Result<()>,
}

/// `ALL` lists the scenarios in the order in which they run.
pub const ALL: [Scenario; 11] = [
    // First, because memory that other scenarios have freed would be used again and not be counted.
    Scenario {
        name: "memory",
        run: memory::run,
    },
    Scenario {
        name: "ledger",
        run: ledger::run,
    },
    Scenario {
        name: "overload",
        run: overload::run,
    },
    Scenario {
        name: "detection",
        run: detection::run,
    },
    Scenario {
        name: "floor",
        run: floor::run,
    },
    Scenario {
        name: "crashes",
        run: crashes::run,
    },
    Scenario {
        name: "regions",
        run: regions::run,
    },
    Scenario {
        name: "drain",
        run: drain::run,
    },
    Scenario {
        name: "cost",
        run: cost::run,
    },
    Scenario {
        name: "control",
        run: control::run,
    },
    Scenario {
        name: "log",
        run: log::run,
    },
];

/// `config_text` writes a configuration at `percent` of the size to design for.
///
/// Fails when a generated name is not valid.
pub fn config_text(percent: usize) -> Result<String> {
    let cfg = scale::Scale { percent }.config()?;
    Ok(scale::text(&cfg))
}
