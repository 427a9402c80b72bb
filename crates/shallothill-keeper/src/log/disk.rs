//! The thread that makes the config log durable.

use std::sync::mpsc;
use std::thread;

use shallothill_replica::{
    Durable, Entry, HardState, Op, Snapshot, SnapshotMeta, Standing, SyncToken,
};
use shallothill_storage::{DataFolder, Log, Position, Restored};
use tokio::sync::mpsc as async_mpsc;

use crate::errors;
use crate::fatal::Fatal;

/// `LOG_NAME` names the config log in the data folder.
pub const LOG_NAME: &str = "config";

/// `STATE_CELL` names the small state of the replica in the data folder.
const STATE_CELL: &str = "replica";

/// `QUEUE_MAX` bounds the work that waits for the disk.
const QUEUE_MAX: usize = 4096;

/// `DiskCommand` is done in the order in which it was given.
#[derive(Debug)]
pub(super) enum DiskCommand {
    Append(Op, Vec<Entry>),
    Truncate(Op),
    Save(HardState),
    Install(Snapshot),
    Snapshot(Snapshot),
    Sync(SyncToken),
}

/// `DiskReport` is what the disk reports back.
#[derive(Debug)]
pub(super) enum DiskReport {
    Synced(SyncToken),
    SnapshotTaken(Snapshot),
}

/// `LogDisk` is the config log and the folder that it lies in.
#[derive(Debug)]
pub struct LogDisk {
    folder: DataFolder,
    log: Log,
}

impl LogDisk {
    /// `try_open` opens the config log and returns what it holds; a lost or damaged one is
    /// replaced by an empty one.
    ///
    /// Fails when the data folder cannot be used.
    pub fn try_open(folder: DataFolder) -> errors::Result<(Self, Durable)> {
        let hard = match folder.read_cell::<HardState>(STATE_CELL) {
            Err(e @ shallothill_storage::Error::Damaged { .. }) => {
                tracing::error!("config: {e}; the keeper recovers from the others");
                None
            }
            hard => hard?,
        };
        let (log, restored) = match Log::try_open(&folder, LOG_NAME) {
            Err(e @ shallothill_storage::Error::Damaged { .. }) => {
                tracing::error!("config: {e}; the keeper recovers from the others");
                (Log::try_reset(&folder, LOG_NAME)?, Restored::default())
            }
            opened => opened?,
        };
        let (snapshot, entries) = decode(&folder, &restored)?;
        let durable = Durable::restored(hard, log.is_lost(), snapshot, entries);
        let log = match durable.hard {
            Some(_) => log,
            None => Log::try_reset(&folder, LOG_NAME)?,
        };
        Ok((Self { folder, log }, durable))
    }

    /// `start` runs the disk's thread, which ends when the returned sender is dropped.
    pub(super) fn start(
        mut self,
        fatal: Fatal,
    ) -> (
        mpsc::SyncSender<DiskCommand>,
        async_mpsc::UnboundedReceiver<DiskReport>,
    ) {
        let (tx, rx) = mpsc::sync_channel(QUEUE_MAX);
        // One report answers for each sync at most, so the bound on the work bounds the reports.
        let (done_tx, done_rx) = async_mpsc::unbounded_channel();
        thread::spawn(move || {
            if let Err(e) = self.run(&rx, &done_tx) {
                fatal.report(format!(
                    "config: {e}; nothing more is acknowledged, check the disk before the next \
                     start"
                ));
            }
        });
        (tx, done_rx)
    }

    // Everything that waits is written before one sync, which then answers for all of it.
    fn run(
        &mut self,
        rx: &mpsc::Receiver<DiskCommand>,
        done: &async_mpsc::UnboundedSender<DiskReport>,
    ) -> errors::Result<()> {
        while let Ok(first) = rx.recv() {
            let mut sync = None;
            let mut next = Some(first);
            while let Some(work) = next.take() {
                if let DiskCommand::Sync(token) = work {
                    sync = Some(token);
                } else {
                    self.execute(work, done)?;
                }
                next = rx.try_recv().ok();
            }
            if let Some(token) = sync {
                self.log.sync()?;
                if done.send(DiskReport::Synced(token)).is_err() {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn execute(
        &mut self,
        work: DiskCommand,
        done: &async_mpsc::UnboundedSender<DiskReport>,
    ) -> errors::Result<()> {
        match work {
            DiskCommand::Append(first, entries) => {
                let next = self.log.last().next();
                if next != Position(first.0) {
                    let message = format!(
                        "an entry for position {first} cannot follow the log, whose next position \
                         is {next}; report this fault"
                    );
                    return errors::FatalSnafu { message }.fail();
                }
                for entry in &entries {
                    self.log.append(&encode(entry))?;
                }
            }
            DiskCommand::Truncate(after) => self.log.truncate_after(Position(after.0))?,
            DiskCommand::Save(hard) => {
                // The mark goes first: a whole replica with a lost log would not start.
                self.log.sync()?;
                if hard.standing == Standing::Whole && self.log.is_lost() {
                    self.log.mark_repaired()?;
                }
                self.folder.write_cell(STATE_CELL, &hard)?;
            }
            DiskCommand::Install(snapshot) => self.store_snapshot(&snapshot)?,
            DiskCommand::Snapshot(snapshot) => {
                self.store_snapshot(&snapshot)?;
                // A receiver that is gone means that the process stops.
                let _ = done.send(DiskReport::SnapshotTaken(snapshot));
            }
            DiskCommand::Sync(_) => {}
        }
        Ok(())
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot) -> shallothill_storage::Result<()> {
        let position = Position(snapshot.meta.last.op.0);
        self.log.snapshot(position, &encode(snapshot))
    }
}

/// `snapshot` joins the parts of a snapshot.
pub(super) fn snapshot(meta: SnapshotMeta, state: Vec<u8>) -> Snapshot {
    Snapshot {
        meta,
        state: state.into(),
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Serialization into memory of entries, which hold bytes and numbers only, cannot fail.
    rmp_serde::to_vec(value).unwrap_or_default()
}

fn decode(
    folder: &DataFolder,
    restored: &Restored,
) -> errors::Result<(Option<Snapshot>, Vec<Entry>)> {
    let fail = |e: rmp_serde::decode::Error| {
        errors::DecodeSnafu {
            what: "a record of the config log",
            path: folder.path(),
            message: e.to_string(),
        }
        .build()
    };
    let snapshot = restored.snapshot.as_ref();
    let snapshot = snapshot
        .map(|s| rmp_serde::from_slice(&s.bytes))
        .transpose();
    let records = restored.records.iter();
    let entries = records.map(|r| rmp_serde::from_slice(&r.bytes));
    let entries = entries.collect::<Result<Vec<Entry>, _>>().map_err(fail)?;
    Ok((snapshot.map_err(fail)?, entries))
}
