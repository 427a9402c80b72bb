//! Result tables and regression bounds, printed as text or JSON.

use serde::Serialize;

/// `Table` holds the results of a scenario as text cells.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// The title, which names the scenario and what it measures.
    pub title: String,
    /// The column names, with the unit where one applies.
    pub columns: Vec<&'static str>,
    /// The rows, each with one cell for every column.
    pub rows: Vec<Vec<String>>,
}

/// `Bound` compares a measured value with its target.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// A description of the target, starting with the scenario name.
    pub name: String,
    /// The measured value, and that of the baseline where it applies.
    pub measured: String,
    /// Whether the measured value meets the target.
    pub met: bool,
}

/// `Report` collects the results of the selected scenarios.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The tables in the order of the scenarios.
    pub tables: Vec<Table>,
    /// The bounds in the order of the scenarios.
    pub bounds: Vec<Bound>,
}

impl Table {
    /// `new` builds an empty table.
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// `add_row` appends a row with one cell for every column.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn print(&self) {
        let width = |i: usize| {
            let cells = self.rows.iter().filter_map(|r| r.get(i));
            let widest = cells.map(|c| c.chars().count()).max().unwrap_or(0);
            widest.max(self.columns[i].chars().count())
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        println!("\n{}", self.title);
        let line = |cells: &[String]| {
            let padded: Vec<String> = cells
                .iter()
                .zip(&widths)
                .enumerate()
                .map(|(i, (c, w))| match i {
                    0 => format!("{c:<w$}"),
                    _ => format!("{c:>w$}"),
                })
                .collect();
            println!("  {}", padded.join("  ").trim_end());
        };
        line(
            &self
                .columns
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>(),
        );
        self.rows.iter().for_each(|r| line(r));
    }
}

impl Report {
    /// `add_bound` records a target, the measured value and whether it meets the target.
    pub fn add_bound(&mut self, name: impl Into<String>, measured: impl Into<String>, met: bool) {
        self.bounds.push(Bound {
            name: name.into(),
            measured: measured.into(),
            met,
        });
    }

    /// `all_bounds_met` tells whether every bound is met.
    pub fn all_bounds_met(&self) -> bool {
        self.bounds.iter().all(|b| b.met)
    }

    /// `print` writes all tables, then all bounds, to standard output as text.
    pub fn print(&self) {
        self.tables.iter().for_each(Table::print);
        println!("\nbounds");
        for b in &self.bounds {
            let mark = if b.met { "ok    " } else { "BROKEN" };
            println!("  {mark}  {} ({})", b.name, b.measured);
        }
    }
}
