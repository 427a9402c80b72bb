//! The manifest: the list of the files that make up a log.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::cell;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::position::Position;

const SUFFIX: &str = ".manifest";

/// `SegmentRef` identifies one segment, a file of records.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SegmentRef {
    /// The number in the file's name; never reused, so that a file left over from a crash cannot
    /// be confused with a current one.
    pub(crate) seq: u64,
    /// The position of the first record, also when the segment is still empty.
    pub(crate) first: Position,
}

/// `Manifest` lists the current files of one log; the log ignores all others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Manifest {
    /// The last position that the snapshot covers, if there is one.
    pub(crate) snapshot: Option<Position>,
    /// The segments in the order of their positions.
    pub(crate) segments: Vec<SegmentRef>,
    pub(crate) next_seq: u64,
    /// Whether content may be missing, so that it must be recovered from other replicas.
    pub(crate) lost: bool,
}

impl Manifest {
    pub(crate) fn read<F: FileOps>(f: &F, dir: &Path, log: &str) -> Result<Option<Self>> {
        cell::read(f, dir, &Self::file_name(log))
    }

    pub(crate) fn write<F: FileOps>(&self, f: &F, dir: &Path, log: &str) -> Result<()> {
        cell::write(f, dir, &Self::file_name(log), self)
    }

    pub(crate) fn file_name(log: &str) -> String {
        format!("{log}{SUFFIX}")
    }

    /// `log_name` returns the name of the log whose manifest has the file name `file`.
    pub(crate) fn log_name(file: &str) -> Option<&str> {
        file.strip_suffix(SUFFIX)
    }

    /// `data_file_names` returns the names of the current segments and of the snapshot.
    pub(crate) fn data_file_names(&self, log: &str) -> Vec<String> {
        let segments = self.segments.iter().map(|s| segment_file_name(log, s.seq));
        let snapshot = self.snapshot.map(|p| snapshot_file_name(log, p));
        segments.chain(snapshot).collect()
    }
}

pub(crate) fn segment_file_name(log: &str, seq: u64) -> String {
    format!("{log}-{seq:020}.log")
}

pub(crate) fn snapshot_file_name(log: &str, position: Position) -> String {
    format!("{log}-{:020}.snapshot", position.0)
}

/// `data_files` lists all segments and snapshots of a log, current or left over from a crash.
pub(crate) fn data_files<F: FileOps>(f: &F, dir: &Path, log: &str) -> Result<Vec<String>> {
    let names = f.list(dir).map_err(|e| Error::file("list", dir, e))?;
    let belongs_to_log = |n: &String| {
        n.strip_prefix(log)
            .and_then(|rest| rest.strip_prefix('-'))
            .is_some_and(|rest| rest.ends_with(".log") || rest.ends_with(".snapshot"))
    };
    Ok(names.into_iter().filter(belongs_to_log).collect())
}

/// `remove_unlisted_files` deletes the data files of a log that the manifest does not list.
pub(crate) fn remove_unlisted_files<F: FileOps>(
    f: &F,
    dir: &Path,
    log: &str,
    manifest: &Manifest,
) -> Result<()> {
    let current = manifest.data_file_names(log);
    for name in data_files(f, dir, log)? {
        if !current.contains(&name) {
            let path = dir.join(&name);
            f.remove(&path)
                .map_err(|e| Error::file("remove", &path, e))?;
        }
    }
    Ok(())
}
