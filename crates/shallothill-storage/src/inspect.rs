//! Summarizes a data folder without taking its lock.

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

/// `LogSummary` describes the content of one log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSummary {
    /// The name of the log.
    pub name: String,
    /// Whether the log is marked lost; see [`crate::Log::is_lost`].
    pub lost: bool,
    /// The position of the last snapshot and its size in bytes.
    pub snapshot: Option<(Position, usize)>,
    /// The number of records after the snapshot.
    pub records: usize,
    /// The position of the last record or of the snapshot; 0 for an empty log.
    pub last: Position,
    /// The size in bytes of a torn record at the end, which opening the log removes.
    pub torn_bytes: u64,
    /// The error at which reading the log stopped, if any.
    pub fault: Option<String>,
}

/// `FolderSummary` describes the content of a data folder; it prints as one line for the folder
/// and one for each cell and log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderSummary {
    /// The path of the folder.
    pub path: PathBuf,
    /// The format version and the keeper that owns the folder, `None` without an identity file.
    pub identity: Option<(u32, KeeperId)>,
    /// The names of the cells.
    pub cells: Vec<String>,
    /// The logs, in the order of their names.
    pub logs: Vec<LogSummary>,
}

/// `inspect` summarizes the folder at `path`; it takes no lock and changes nothing.
///
/// A running keeper may replace files at the same time, so an error may disappear at the next
/// call.
pub fn inspect(path: &Path) -> Result<FolderSummary> {
    inspect_with(&DiskFiles, path)
}

/// `inspect_with` is [`inspect`] with the given file operations.
pub fn inspect_with<F: FileOps>(f: &F, path: &Path) -> Result<FolderSummary> {
    let names = f.list(path).map_err(|e| Error::file("list", path, e))?;
    let identity = cell::read::<F, Identity>(f, path, folder::IDENTITY_FILE)?;
    let cells = names
        .iter()
        .filter_map(|n| n.strip_suffix(folder::CELL_SUFFIX))
        .map(str::to_owned)
        .collect();
    let logs = names
        .iter()
        .filter_map(|n| Manifest::log_name(n))
        .map(|name| summarize_log(f, path, name))
        .collect();
    Ok(FolderSummary {
        path: path.to_path_buf(),
        identity: identity.map(|i| (i.format, i.keeper)),
        cells,
        logs,
    })
}

fn summarize_log<F: FileOps>(f: &F, dir: &Path, name: &str) -> LogSummary {
    let mut summary = LogSummary {
        name: name.to_owned(),
        lost: false,
        snapshot: None,
        records: 0,
        last: Position(0),
        torn_bytes: 0,
        fault: None,
    };
    if let Err(e) = read_log(f, dir, name, &mut summary) {
        summary.fault = Some(e.to_string());
    }
    summary
}

fn read_log<F: FileOps>(f: &F, dir: &Path, name: &str, summary: &mut LogSummary) -> Result<()> {
    let Some(m) = Manifest::read(f, dir, name)? else {
        return Ok(());
    };
    summary.lost = m.lost;
    if let Some(position) = m.snapshot {
        let bytes = snapshot::read(f, dir, name, position)?;
        summary.snapshot = Some((position, bytes.len()));
        summary.last = position;
    }
    let mut restored = RestoredLog::default();
    segment::scan_all(f, dir, name, &m, &mut restored)?;
    summary.records = restored.records.len();
    summary.torn_bytes = restored.torn_bytes;
    if let Some(record) = restored.records.last() {
        summary.last = record.position;
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
