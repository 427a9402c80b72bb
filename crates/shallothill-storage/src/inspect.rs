//! A summary of a data folder, read without its lock.

use std::fmt;
use std::path::{Path, PathBuf};

use shallothill_core::ids::KeeperId;

use crate::cell;
use crate::disk_files::DiskFiles;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::folder;
use crate::folder::Identity;
use crate::manifest::Manifest;
use crate::position::Position;
use crate::restored::RestoredLog;
use crate::segment;
use crate::snapshot;

/// `LogSummary` is what one log holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSummary {
    /// The name of the log.
    pub name: String,
    /// Whether the log is marked lost.
    pub lost: bool,
    /// The position of the last snapshot and its size in bytes.
    pub snapshot: Option<(Position, usize)>,
    /// The number of records after the snapshot.
    pub records: usize,
    /// The last position.
    pub last: Position,
    /// The bytes of an incomplete last record.
    pub torn_bytes: u64,
    /// What is wrong with the log.
    pub fault: Option<String>,
}

/// `FolderSummary` is what a data folder holds; it prints as one line per part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderSummary {
    /// The folder.
    pub path: PathBuf,
    /// The format and the owner, `None` for an empty folder.
    pub identity: Option<(u32, KeeperId)>,
    /// The names of the small values.
    pub cells: Vec<String>,
    /// The logs.
    pub logs: Vec<LogSummary>,
}

/// `inspect` summarizes the folder at `path`; it takes no lock and changes nothing.
///
/// A keeper that runs at the same time may replace files meanwhile; a fault shown then may be
/// gone at the next call.
pub fn inspect(path: &Path) -> Result<FolderSummary> {
    inspect_with(&DiskFiles, path)
}

/// `inspect_with` does the same with other file operations.
pub fn inspect_with<F: FileOps>(f: &F, path: &Path) -> Result<FolderSummary> {
    let names = f.list(path).map_err(|e| Error::file("list", path, e))?;
    let identity = cell::read::<F, Identity>(f, path, folder::IDENTITY)?;
    let cells = names
        .iter()
        .filter_map(|n| n.strip_suffix(folder::CELL_SUFFIX))
        .map(str::to_owned)
        .collect();
    let logs = names
        .iter()
        .filter_map(|n| Manifest::log_of(n))
        .map(|name| summarize(f, path, name))
        .collect();
    Ok(FolderSummary {
        path: path.to_path_buf(),
        identity: identity.map(|i| (i.format, i.keeper)),
        cells,
        logs,
    })
}

fn summarize<F: FileOps>(f: &F, dir: &Path, name: &str) -> LogSummary {
    let mut summary = LogSummary {
        name: name.to_owned(),
        lost: false,
        snapshot: None,
        records: 0,
        last: Position(0),
        torn_bytes: 0,
        fault: None,
    };
    if let Err(e) = fill(f, dir, name, &mut summary) {
        summary.fault = Some(e.to_string());
    }
    summary
}

fn fill<F: FileOps>(f: &F, dir: &Path, name: &str, into: &mut LogSummary) -> Result<()> {
    let Some(m) = Manifest::read(f, dir, name)? else {
        return Ok(());
    };
    into.lost = m.lost;
    if let Some(position) = m.snapshot {
        let bytes = snapshot::read(f, dir, name, position)?;
        into.snapshot = Some((position, bytes.len()));
        into.last = position;
    }
    let mut restored = RestoredLog::default();
    segment::scan_all(f, dir, name, &m, &mut restored)?;
    into.records = restored.records.len();
    into.torn_bytes = restored.torn_bytes;
    if let Some(record) = restored.records.last() {
        into.last = record.position;
    }
    Ok(())
}

impl fmt::Display for FolderSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "folder {}: ", self.path.display())?;
        match self.identity {
            Some((format, keeper)) => writeln!(f, "format {format}, keeper {keeper}")?,
            None => writeln!(f, "no identity")?,
        }
        for cell in &self.cells {
            writeln!(f, "cell {cell}")?;
        }
        for log in &self.logs {
            writeln!(f, "{log}")?;
        }
        Ok(())
    }
}

impl fmt::Display for LogSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log {}: ", self.name)?;
        if self.lost {
            write!(f, "marked lost, ")?;
        }
        if let Some((position, size)) = self.snapshot {
            write!(f, "snapshot at {position} of {size} bytes, ")?;
        }
        write!(f, "{} records, last position {}", self.records, self.last)?;
        if self.torn_bytes > 0 {
            write!(f, ", {} bytes of a torn record", self.torn_bytes)?;
        }
        match &self.fault {
            Some(fault) => write!(f, ", fault: {fault}"),
            None => Ok(()),
        }
    }
}
