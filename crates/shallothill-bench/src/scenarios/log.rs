//! The cost of log commits, of a start from the data folder, and of log entries.

use std::path::Path;
use std::time::Instant;

use shallothill_config::TextPatch;
use shallothill_core::ids::KeeperId;
use shallothill_storage::{DataFolder, FolderOptions, Log};

use crate::report::{Report, Table};
use crate::scenarios::scale::{SCALE_PERCENTS, Scale};
use crate::scenarios::{Result, scale};

const COMMITS: usize = 2048;
const GROUP_SIZES: [usize; 4] = [1, 8, 64, 256];
const CHANGES: usize = 10_000;
const RECORD: [u8; 300] = [7; 300];

type StorageResult<T> = shallothill_storage::Result<T>;

fn open(path: &Path) -> StorageResult<(DataFolder, Log, usize)> {
    let options = FolderOptions {
        keeper: KeeperId(1),
        ..FolderOptions::default()
    };
    let folder = DataFolder::try_open(path, options)?;
    let (log, restored) = Log::try_open(&folder, "config")?;
    Ok((folder, log, restored.records.len()))
}

/// Appends `COMMITS` records with one sync per `group` records; returns the number of syncs and the
/// elapsed seconds.
fn measure_commits(path: &Path, group: usize) -> StorageResult<(usize, f64)> {
    let (_folder, mut log, _) = open(path)?;
    let start = Instant::now();
    let mut syncs = 0;
    for n in 1..=COMMITS {
        log.append(&RECORD)?;
        if n % group == 0 {
            log.sync()?;
            syncs += 1;
        }
    }
    Ok((syncs, start.elapsed().as_secs_f64()))
}

/// Writes `CHANGES` records, with a snapshot near the end if `snapshot` is set, and reopens the
/// folder; returns the number of records read and the elapsed seconds.
fn measure_restart(path: &Path, snapshot: bool) -> StorageResult<(usize, f64)> {
    {
        let (_folder, mut log, _) = open(path)?;
        for n in 0..CHANGES {
            log.append(&RECORD)?;
            if snapshot && n == CHANGES - 500 {
                log.sync()?;
                let last = log.last_position();
                log.snapshot(last, &RECORD)?;
            }
        }
        log.sync()?;
    }
    let start = Instant::now();
    let (_folder, _log, records) = open(path)?;
    Ok((records, start.elapsed().as_secs_f64()))
}

fn commits(report: &mut Report) -> StorageResult<()> {
    let columns = ["commits/sync", "syncs/commit", "commits/s"];
    let mut table = Table::new("log: commits by size of the group", &columns);
    let mut per_commit = Vec::new();
    for group in GROUP_SIZES {
        let dir = scratch_folder()?;
        let (syncs, s) = measure_commits(&dir.path().join("k1"), group)?;
        let ratio = syncs as f64 / COMMITS as f64;
        per_commit.push(ratio);
        table.add_row(vec![
            group.to_string(),
            format!("{ratio:.4}"),
            format!("{:.0}", COMMITS as f64 / s),
        ]);
    }
    report.tables.push(table);
    let shared = per_commit.last().copied().unwrap_or(1.0);
    report.add_bound(
        "log: commits that wait together share one sync",
        format!("{shared:.4} syncs a commit in groups of 256"),
        shared <= 1.0 / 256.0,
    );
    Ok(())
}

fn restarts(report: &mut Report) -> StorageResult<()> {
    let columns = ["snapshot", "records read", "ms"];
    let mut table = Table::new("log: start after 10,000 changes", &columns);
    let mut read = Vec::new();
    for snapshot in [false, true] {
        let dir = scratch_folder()?;
        let (records, s) = measure_restart(&dir.path().join("k1"), snapshot)?;
        read.push(records);
        table.add_row(vec![
            snapshot.to_string(),
            records.to_string(),
            format!("{:.1}", s * 1000.0),
        ]);
    }
    report.tables.push(table);
    report.add_bound(
        "log: a start reads only the records after the snapshot",
        format!("{read:?} records"),
        read.last().is_some_and(|n| *n < 500),
    );
    Ok(())
}

// Uses the build folder because the temporary folder of the system may be in memory, where a sync
// costs nothing.
fn scratch_folder() -> StorageResult<tempfile::TempDir> {
    let base = std::env::current_exe().ok();
    let parent = base.as_deref().and_then(Path::parent);
    let made = parent.map_or_else(tempfile::tempdir, tempfile::tempdir_in);
    made.map_err(|source| shallothill_storage::Error::File {
        action: "create",
        path: parent.map(Path::to_path_buf).unwrap_or_default(),
        source,
    })
}

fn patches(report: &mut Report) -> Result<()> {
    let columns = ["% of full", "change", "patch", "whole text"];
    let mut table = Table::new("log: bytes of a log entry for one change", &columns);
    let mut most = 0;
    for percent in SCALE_PERCENTS {
        let cfg = Scale { percent }.config()?;
        let old = scale::config_text(&cfg);
        for (kind, new) in scale::sample_changes(&cfg) {
            let patch = TextPatch::diff(&old, &scale::config_text(&new));
            let bytes = rmp_serde::to_vec(&patch).map_or(usize::MAX, |b| b.len());
            most = most.max(bytes);
            table.add_row(vec![
                percent.to_string(),
                kind.to_owned(),
                bytes.to_string(),
                old.len().to_string(),
            ]);
        }
    }
    report.tables.push(table);
    report.add_bound(
        "log: an entry's size follows the change and not the text",
        format!("at most {most} bytes"),
        most <= 1024,
    );
    Ok(())
}

pub(super) fn run(_seed: u64, report: &mut Report) -> Result<()> {
    let stored = commits(report).and_then(|()| restarts(report));
    if let Err(e) = stored {
        report.add_bound("log: the data folder works", e.to_string(), false);
    }
    patches(report)
}
