//! The list of files that make up a log.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::cell;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::position::Position;

const SUFFIX: &str = ".manifest";

/// `SegmentRef` names one file of records.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SegmentRef {
    /// The number in the file's name; never used twice, so that a file that a crash left behind is
    /// never mistaken for a current one.
    pub(crate) seq: u64,
    /// The position of the first record.
    pub(crate) first: Position,
}

/// `Manifest` lists the files in force of one log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Manifest {
    pub(crate) snapshot: Option<Position>,
    pub(crate) segments: Vec<SegmentRef>,
    pub(crate) next_seq: u64,
    pub(crate) lost: bool,
}

impl Manifest {
    pub(crate) fn read<F: FileOps>(f: &F, dir: &Path, log: &str) -> Result<Option<Self>> {
        cell::read(f, dir, &Self::file(log))
    }

    pub(crate) fn write<F: FileOps>(&self, f: &F, dir: &Path, log: &str) -> Result<()> {
        cell::write(f, dir, &Self::file(log), self)
    }

    pub(crate) fn file(log: &str) -> String {
        format!("{log}{SUFFIX}")
    }

    /// `log_of` returns the name of the log whose manifest `file` is.
    pub(crate) fn log_of(file: &str) -> Option<&str> {
        file.strip_suffix(SUFFIX)
    }

    /// `names` returns the data files in force.
    pub(crate) fn names(&self, log: &str) -> Vec<String> {
        let segments = self.segments.iter().map(|s| segment_file(log, s.seq));
        let snapshot = self.snapshot.map(|p| snapshot_file(log, p));
        segments.chain(snapshot).collect()
    }
}

pub(crate) fn segment_file(log: &str, seq: u64) -> String {
    format!("{log}-{seq:020}.log")
}

pub(crate) fn snapshot_file(log: &str, position: Position) -> String {
    format!("{log}-{:020}.snapshot", position.0)
}

/// `data_files` lists all data files of a log, in force or left behind.
pub(crate) fn data_files<F: FileOps>(f: &F, dir: &Path, log: &str) -> Result<Vec<String>> {
    let names = f.list(dir).map_err(|e| Error::file("list", dir, e))?;
    let mine = |n: &String| {
        n.strip_prefix(log)
            .and_then(|rest| rest.strip_prefix('-'))
            .is_some_and(|rest| rest.ends_with(".log") || rest.ends_with(".snapshot"))
    };
    Ok(names.into_iter().filter(mine).collect())
}

/// `remove_others` deletes the data files of a log that the manifest does not name.
pub(crate) fn remove_others<F: FileOps>(
    f: &F,
    dir: &Path,
    log: &str,
    manifest: &Manifest,
) -> Result<()> {
    let current = manifest.names(log);
    for name in data_files(f, dir, log)? {
        if !current.contains(&name) {
            let path = dir.join(&name);
            f.remove(&path)
                .map_err(|e| Error::file("remove", &path, e))?;
        }
    }
    Ok(())
}
