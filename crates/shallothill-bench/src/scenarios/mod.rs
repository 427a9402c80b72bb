//! The benchmark scenarios, each with its tables and bounds.

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
mod quota;
mod regions;
mod scale;
mod states;

use crate::report::Report;

/// `Result` is the result of a scenario; its only error is an invalid generated name.
pub type Result<T> = shallothill_core::Result<T>;

/// `Scenario` is a benchmark that the command line selects by name.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    /// Runs the scenario with a seed and adds its tables and bounds to the report.
    pub run: fn(u64, &mut Report) -> Result<()>,
}

/// `ALL` lists the scenarios in the order in which they run.
pub const ALL: [Scenario; 13] = [
    // First, because the allocator would reuse memory freed by other scenarios, which the resident
    // size would not show.
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
        name: "quota",
        run: quota::run,
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
        name: "states",
        run: states::run,
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

/// `config_text` returns the text of a generated configuration at `percent` of the design size.
///
/// Fails when a generated name is not valid.
pub fn config_text(percent: usize) -> Result<String> {
    let cfg = scale::Scale { percent }.config()?;
    Ok(scale::config_text(&cfg))
}
