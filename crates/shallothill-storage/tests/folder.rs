//! The data folder on the real file system.

use std::path::Path;

use serde::Serialize;
use shallothill_core::ids::KeeperId;
use shallothill_storage::{DataFolder, Error, FolderOptions, Log, Position, inspect};

fn options(keeper: u32) -> FolderOptions {
    FolderOptions {
        keeper: KeeperId(keeper),
        ..FolderOptions::default()
    }
}

fn folder(path: &Path) -> DataFolder {
    DataFolder::try_open(path, options(1)).expect("a folder")
}

/// Guards against a keeper that treats an existing folder as new, or a new one as existing.
#[test]
fn reports_whether_the_folder_is_new() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("k1");

    let first = folder(&path).is_new();
    let second = folder(&path).is_new();

    assert!(first && !second);
}

/// Guards against cells that are lost, and against damaged ones that are used.
#[test]
fn cells_persist_and_damage_is_detected() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("k1");
    folder(&path)
        .write_cell("view", &(7, "x"))
        .expect("written");

    let open = folder(&path);
    let value: Option<(u32, String)> = open.read_cell("view").expect("read");
    let missing: Option<u32> = open.read_cell("other").expect("read");
    std::fs::write(path.join("view.cell"), b"SHC1 no such value").expect("written");
    let damaged = open.read_cell::<(u32, String)>("view");

    assert_eq!(value, Some((7, "x".to_owned())));
    assert_eq!(missing, None);
    assert!(matches!(damaged, Err(Error::Damaged { .. })));
    open.remove_cell("view").expect("removed");
    open.remove_cell("view").expect("nothing to remove");
    assert_eq!(open.read_cell::<u32>("view").expect("read"), None);
}

/// Guards against a keeper that uses the folder of another one.
#[test]
fn refuses_the_folder_of_another_keeper() {
    let dir = tempfile::tempdir().expect("a folder");
    drop(folder(dir.path()));

    let error = DataFolder::try_open(dir.path(), options(2)).expect_err("refused");

    assert!(matches!(error, Error::OtherKeeper { .. }));
    assert!(error.to_string().contains("correct `id` or `data_dir`"));
}

/// Guards against an older release that reads a folder of a newer format.
#[test]
fn refuses_another_format() {
    #[derive(Serialize)]
    struct Identity {
        format: u32,
        keeper: KeeperId,
        added_later: bool,
    }
    let dir = tempfile::tempdir().expect("a folder");
    let identity = Identity {
        format: 2,
        keeper: KeeperId(1),
        added_later: true,
    };
    let open = folder(dir.path());
    open.write_cell("identity", &identity).expect("written");
    drop(open);
    let newer = dir.path().join("identity.cell");
    std::fs::rename(newer, dir.path().join("identity")).expect("renamed");

    let error = DataFolder::try_open(dir.path(), options(1)).expect_err("refused");

    assert!(matches!(error, Error::OtherFormat { found: 2, .. }));
    assert!(error.to_string().contains("run the release that wrote it"));
}

/// Guards against a folder without its identity file that is treated as new.
#[test]
fn detects_a_missing_identity() {
    let dir = tempfile::tempdir().expect("a folder");
    folder(dir.path()).write_cell("view", &1).expect("written");
    std::fs::remove_file(dir.path().join("identity")).expect("removed");

    let error = DataFolder::try_open(dir.path(), options(1)).expect_err("refused");

    assert!(matches!(error, Error::Damaged { .. }));
}

/// Guards against an inspection that changes the folder, needs its lock or does not report damage.
#[test]
fn inspects_without_a_lock() {
    let dir = tempfile::tempdir().expect("a folder");
    let open = folder(dir.path());
    let (mut log, _) = Log::try_open(&open, "ledger").expect("a log");
    for i in 0..5_u8 {
        log.append(&[i; 10]).expect("appended");
    }
    log.sync().expect("synced");
    log.snapshot(Position(3), b"state").expect("stored");
    let files = || {
        let entries = std::fs::read_dir(dir.path()).expect("a folder");
        let read = |p: &Path| std::fs::read(p).expect("read");
        let mut all: Vec<_> = entries
            .map(|e| e.expect("a file").path())
            .map(|p| (p.clone(), read(&p)))
            .collect();
        all.sort();
        all
    };
    let before = files();

    let summary = inspect(dir.path()).expect("a summary");

    assert_eq!(files(), before);
    assert_eq!(
        (summary.logs[0].last, summary.logs[0].lost),
        (Position(5), true)
    );
    let text = summary.to_string();
    assert!(text.contains("format 1, keeper k1"), "{text}");
    assert!(
        text.contains("log ledger: marked lost, snapshot at 3 of 5 bytes"),
        "{text}"
    );
    let damaged = before
        .iter()
        .find(|(p, _)| p.extension().is_some_and(|e| e == "snapshot"));
    std::fs::write(&damaged.expect("a snapshot").0, b"short").expect("written");
    let text = inspect(dir.path()).expect("a summary").to_string();
    assert!(text.contains("fault: "), "{text}");
}
