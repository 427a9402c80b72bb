//! The log on simulated files, with crashes, damaged files, full disks and failed syncs.

mod faulty;

use faulty::FaultyFiles;
use shallothill_storage::{Error, Log, Position, RestoredLog, Result};

type FaultyLog = Log<FaultyFiles>;

fn open(files: &FaultyFiles) -> Result<(FaultyLog, RestoredLog)> {
    Log::try_open(&files.folder()?, "config")
}

fn record(position: u64) -> Vec<u8> {
    format!("record {position}").into_bytes()
}

/// Returns files with a log of `n` synced records that is not marked lost.
fn files_with_records(n: u64) -> FaultyFiles {
    let files = FaultyFiles::default();
    let (mut log, _) = open(&files).expect("a new log");
    for position in 1..=n {
        log.append(&record(position)).expect("appended");
        if position % 4 == 0 {
            log.sync().expect("synced");
        }
    }
    log.mark_repaired().expect("marked");
    files
}

fn newest_segment(files: &FaultyFiles) -> String {
    let mut names = files
        .file_names()
        .into_iter()
        .filter(|n| n.ends_with(".log"));
    names.next_back().expect("a file of records")
}

fn assert_damaged<T>(result: Result<T>) {
    let error = result.err().expect("an error");
    assert!(matches!(error, Error::Damaged { .. }), "{error}");
    assert!(
        error.to_string().contains("recover from the other"),
        "{error}"
    );
}

fn positions(restored: &RestoredLog) -> Vec<u64> {
    restored.records.iter().map(|r| r.position.0).collect()
}

/// Guards against lost or reordered records after a normal restart.
#[test]
fn restores_all_synced_records() {
    let files = files_with_records(30);

    let (log, restored) = open(&files).expect("opened");

    assert_eq!(positions(&restored), (1..=30).collect::<Vec<_>>());
    assert_eq!(restored.records[6].bytes, record(7));
    assert_eq!(
        (log.last_position(), log.synced_position()),
        (Position(30), Position(30))
    );
    assert!(!log.is_lost());
}

/// Guards against a log that syncs once for each record.
#[test]
fn many_appends_share_one_sync() {
    let files = files_with_records(0);
    let (mut log, _) = open(&files).expect("opened");
    let before = files.sync_count();

    for position in 1..=5 {
        log.append(&record(position)).expect("appended");
    }
    let synced = log.sync().expect("synced");

    assert_eq!((synced, files.sync_count() - before), (Position(5), 1));
}

/// Guards against a keeper that cannot start because a crash left a torn last record.
#[test]
fn cuts_off_a_torn_record_at_every_length() {
    let full = 20 + record(29).len();
    for kept in 0..full {
        let files = files_with_records(28);
        let (mut log, _) = open(&files).expect("opened");
        log.append(&record(29)).expect("appended");
        log.sync().expect("synced");
        let name = newest_segment(&files);
        files.modify(&name, |b| b.truncate(b.len() - full + kept));
        drop(log);

        let (mut log, restored) = open(&files).expect("opened");

        assert_eq!(positions(&restored).last(), Some(&28), "{kept} bytes kept");
        assert_eq!(restored.torn_bytes, kept as u64);
        assert_eq!(log.append(b"next").expect("appended"), Position(29));
    }
}

/// Guards against a log that does not open because a crash persisted the size of a file but not
/// its last sectors, which then read as zeros.
#[test]
fn cuts_off_zeros_at_the_end() {
    let files = files_with_records(3);
    files.modify(&newest_segment(&files), |b| b.extend([0; 700]));

    let (_, restored) = open(&files).expect("opened");

    assert_eq!((positions(&restored).len(), restored.torn_bytes), (3, 700));
}

/// Guards against damage that is taken for a torn record, which would drop acknowledged records.
#[test]
fn finds_a_flipped_bit_in_any_byte() {
    let size = files_with_records(30).file_names().len();
    for file in 0..size {
        let name = files_with_records(30).file_names()[file].clone();
        if name == "lock" || name == "identity" {
            continue;
        }
        let mut length = 0;
        files_with_records(30).modify(&name, |b| length = b.len());
        for at in 0..length {
            let files = files_with_records(30);
            files.modify(&name, |b| b[at] ^= 1 << (at % 8));
            assert_damaged(open(&files));
        }
    }
}

/// Guards against a missing file that is taken for an empty log not marked lost.
#[test]
fn finds_a_missing_file() {
    let names = files_with_records(30).file_names();
    for name in names.iter().filter(|n| n.starts_with("config")) {
        let files = files_with_records(30);
        files.delete(name);
        assert_damaged(open(&files));
    }
    let files = files_with_records(30);
    for name in names.iter().filter(|n| n.starts_with("config")) {
        files.delete(name);
    }
    let (log, _) = open(&files).expect("opened");
    assert!(log.is_lost());
}

/// Guards against a missing or damaged snapshot that is not detected.
#[test]
fn finds_a_damaged_snapshot() {
    let with_snapshot = || {
        let files = files_with_records(30);
        let (mut log, _) = open(&files).expect("opened");
        log.snapshot(Position(25), b"state").expect("stored");
        files
    };
    let name = |f: &FaultyFiles| {
        let mut names = f.file_names().into_iter();
        names
            .find(|n| n.ends_with(".snapshot"))
            .expect("a snapshot")
    };

    let files = with_snapshot();
    files.delete(&name(&files));
    assert_damaged(open(&files));
    let files = with_snapshot();
    files.modify(&name(&files), |b| b[22] ^= 4);
    assert_damaged(open(&files));
}

/// Guards against a log that accepts records after a failed sync, which leaves the content of the
/// disk unknown.
#[test]
fn refuses_everything_after_a_failed_sync() {
    let files = files_with_records(3);
    let (mut log, _) = open(&files).expect("opened");
    log.append(b"x").expect("appended");
    files.fail_sync(true);

    let failed = log.sync().expect_err("a failed sync");
    files.fail_sync(false);

    assert!(matches!(failed, Error::SyncFailed { .. }));
    assert!(failed.to_string().contains("check the disk"));
    let refused = [
        log.append(b"y").err(),
        log.sync().err(),
        log.truncate_after(Position(1)).err(),
        log.snapshot(Position(3), b"s").err(),
        log.mark_repaired().err(),
    ];
    for error in refused {
        assert!(matches!(error, Some(Error::LogFailed { .. })), "{error:?}");
    }
}

/// Guards against a full disk that loses synced records or prevents a restart of the keeper.
#[test]
fn a_full_disk_loses_nothing_synced() {
    let files = files_with_records(3);
    let (mut log, _) = open(&files).expect("opened");
    log.append(&[7; 100]).expect("appended");
    files.limit_capacity(Some(500));

    let error = loop {
        log.append(&[7; 100]).expect("appended");
        if let Err(e) = log.sync() {
            break e;
        }
    };

    assert!(matches!(error, Error::DiskFull { .. }), "{error}");
    assert!(error.to_string().contains("free some space"));
    let synced = log.synced_position();
    drop(log);
    files.limit_capacity(None);
    files.restart(1000);
    let (log, _) = open(&files).expect("opened");
    assert_eq!(log.last_position(), synced);
}

/// Guards against truncated records that reappear after a restart, also across segments.
#[test]
fn truncated_records_do_not_return() {
    for after in 0..30 {
        let files = files_with_records(30);
        let (mut log, _) = open(&files).expect("opened");
        log.truncate_after(Position(after)).expect("truncated");
        let next = log.append(b"other").expect("appended");
        log.sync().expect("synced");
        drop(log);
        files.restart(0);

        let (_, restored) = open(&files).expect("opened");

        assert_eq!(next, Position(after + 1));
        assert_eq!(positions(&restored), (1..=after + 1).collect::<Vec<_>>());
        assert_eq!(restored.records[after as usize].bytes, b"other");
    }
}

/// Guards against snapshots that remove later records, and against obsolete segments that remain.
#[test]
fn a_snapshot_bounds_the_log() {
    let files = files_with_records(30);
    let (mut log, _) = open(&files).expect("opened");

    log.snapshot(Position(28), b"state").expect("stored");
    let size = log.size_bytes();
    let early = log.truncate_after(Position(20));
    drop(log);
    let (mut log, restored) = open(&files).expect("opened");

    assert!(size < 300, "{size}");
    assert!(matches!(early, Err(Error::OutOfRange { .. })));
    let snapshot = restored.snapshot.as_ref().expect("a snapshot");
    assert_eq!(
        (snapshot.position, &snapshot.bytes[..]),
        (Position(28), &b"state"[..])
    );
    assert_eq!(positions(&restored), [29, 30]);

    // A snapshot received from another replica, beyond the end of this log.
    log.snapshot(Position(90), b"later").expect("stored");
    assert_eq!(log.append(b"x").expect("appended"), Position(91));
    log.sync().expect("synced");
    drop(log);
    let (_, restored) = open(&files).expect("opened");
    assert_eq!(positions(&restored), [91]);
}

/// Runs every kind of operation on a log until one fails; returns the last position known to be
/// durable.
fn run_all_operations(files: &FaultyFiles) -> (u64, Result<()>) {
    let mut durable = 30;
    let mut run = || -> Result<()> {
        let (mut log, _) = open(files)?;
        for position in 31..=40 {
            log.append(&record(position))?;
            if position % 3 == 0 {
                durable = log.sync()?.0;
            }
        }
        durable = log.sync()?.0;
        log.snapshot(Position(35), b"state to 35")?;
        log.append(&record(41))?;
        log.snapshot(Position(41), b"state to 41")?;
        durable = 41;
        for position in 42..=60 {
            log.append(&record(position))?;
        }
        durable = log.sync()?.0;
        drop(log);
        files.write_cell_twice()
    };
    let result = run();
    (durable, result)
}

impl FaultyFiles {
    fn write_cell_twice(&self) -> Result<()> {
        let folder = self.folder()?;
        folder.write_cell("view", &1_u64)?;
        folder.write_cell("view", &2_u64)
    }
}

/// Guards against a crash at any file operation that loses synced records or damages the log.
#[test]
fn a_crash_at_any_operation_keeps_what_was_synced() {
    let files = files_with_records(30);
    let before = files.operation_count();
    run_all_operations(&files).1.expect("no fault");
    let total = files.operation_count() - before;
    assert!(total > 40, "{total}");
    for crash in 0..total {
        for keep in [0, 1, 24, 25, 10_000, 10_001] {
            let files = files_with_records(30);
            files.crash_after(crash);
            let (durable, result) = run_all_operations(&files);
            assert!(result.is_err());
            files.restart(keep);

            let (log, restored) = open(&files).expect("opened");

            assert!(
                log.last_position().0 >= durable,
                "crash {crash}, keep {keep}"
            );
            assert!(!log.is_lost());
            let start = restored.snapshot.map_or(0, |s| s.position.0);
            for (i, r) in restored.records.iter().enumerate() {
                assert_eq!(r.position.0, start + 1 + i as u64);
                assert_eq!(r.bytes, record(r.position.0));
            }
            drop(log);
            let folder = files.folder().expect("opened");
            let cell: Option<u64> = folder.read_cell("view").expect("read");
            assert!(cell.is_none_or(|v| v == 1 || v == 2));
        }
    }
}

/// Guards against a crash during a repair that leaves an incomplete log that is not marked lost.
#[test]
fn holds_lost_until_repaired_at_every_crash() {
    let repair = |files: &FaultyFiles| -> Result<()> {
        let folder = files.folder()?;
        let mut log = Log::try_reset(&folder, "config")?;
        log.snapshot(Position(20), b"state to 20")?;
        log.append(&record(21))?;
        log.sync()?;
        log.mark_repaired()
    };
    let damaged = || {
        let files = files_with_records(30);
        files.modify("config.manifest", |b| b[9] ^= 1);
        files
    };
    let files = damaged();
    let before = files.operation_count();
    repair(&files).expect("repaired");
    for crash in 0..files.operation_count() - before {
        for keep in [0, 25, 10_000, 10_001] {
            let files = damaged();
            files.crash_after(crash);
            let interrupted = repair(&files);
            files.restart(keep);

            let opened = open(&files);

            assert!(interrupted.is_err());
            match opened {
                Err(e) => assert!(matches!(e, Error::Damaged { .. }), "{e}"),
                Ok((log, _)) => assert!(log.is_lost() || log.last_position() == Position(21)),
            }
        }
    }
}
