//! Tables and bounds, as text and as JSON.

use serde::Serialize;

/// `Table` is a titled table of text cells.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// The title.
    pub title: String,
    /// The names of the columns.
    pub columns: Vec<&'static str>,
    /// The rows, each with one cell for every column.
    pub rows: Vec<Vec<String>>,
}

/// `Bound` is a stated target and whether a run met it.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// The target.
    pub name: String,
    /// What was measured.
    pub measured: String,
    /// Whether the target was met.
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

    /// `row` adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
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
    /// `bound` adds a target.
    pub fn bound(&mut self, name: impl Into<String>, measured: impl Into<String>, met: bool) {
        self.bounds.push(Bound {
            name: name.into(),
            measured: measured.into(),
            met,
        });
    }

    /// `is_met` tells whether every bound is met.
    pub fn is_met(&self) -> bool {
        self.bounds.iter().all(|b| b.met)
    }

    /// `print` writes tables and bounds to standard output.
    pub fn print(&self) {
        self.tables.iter().for_each(Table::print);
        println!("\nbounds");
        for b in &self.bounds {
            let mark = if b.met { "ok    " } else { "BROKEN" };
            println!("  {mark}  {} ({})", b.name, b.measured);
        }
    }
}
