//! A log on a disk that is full for a while.

mod faulty;

use std::cell::Cell;

use faulty::FaultyFiles;
use shallothill_storage::{Log, Position, RetryingLog};

/// The pauses after which the disk has space again.
const PAUSES: u32 = 3;

fn open(files: &FaultyFiles) -> RetryingLog<FaultyFiles> {
    let folder = files.folder().unwrap();
    let (log, _) = Log::try_open(&folder, "config").unwrap();
    RetryingLog::new(folder, "config", log)
}

fn record(position: u64) -> Vec<u8> {
    format!("record {position}").into_bytes()
}

/// Guards against a log that stays closed, or loses or repeats records, after the disk was full.
#[test]
fn records_are_written_once_the_disk_has_space() {
    let mut full_disks = 0;
    // Each capacity cuts off the write at another byte, also in a new segment or its manifest.
    for capacity in 20..600 {
        let files = FaultyFiles::default();
        let mut log = open(&files);
        log.run(|_| {}, |_, log| log.mark_repaired()).unwrap();
        files.limit_capacity(Some(capacity));
        let pauses = Cell::new(0_u32);
        let pause = |_: &_| {
            pauses.set(pauses.get() + 1);
            if pauses.get().is_multiple_of(PAUSES) {
                files.limit_capacity(None);
            }
        };

        for position in 1..=20 {
            assert_eq!(log.append(record(position)).unwrap(), Position(position));
            if position % 3 == 0 {
                log.run(pause, |_, log| log.sync()).unwrap();
            }
        }
        log.run(pause, |folder, log| {
            folder.write_cell("state", &7_u64)?;
            log.sync()
        })
        .unwrap();
        drop(log);
        full_disks += u32::from(pauses.get() > 0);

        let folder = files.folder().unwrap();
        let (_, restored) = Log::try_open(&folder, "config").unwrap();
        let read: Vec<_> = restored.records.iter().map(|r| r.bytes.clone()).collect();
        let written: Vec<_> = (1..=20).map(record).collect();
        assert_eq!(read, written, "capacity of {capacity} bytes");
        assert_eq!(folder.read_cell::<u64>("state").unwrap(), Some(7));
    }
    assert!(full_disks > 100, "only {full_disks} disks were full");
}
