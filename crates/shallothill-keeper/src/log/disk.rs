//! The thread that writes the config log to disk.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use shallothill_replica::{
    DurableState, Entry, HardState, MemberState, Op, Snapshot, SnapshotMeta, SyncToken,
};
use shallothill_storage::{DataFolder, Log, Position, RestoredLog, RetryingLog};
use tokio::sync::mpsc as async_mpsc;

use crate::errors;
use crate::fatal::Fatal;

/// `LOG_NAME` names the config log in the data folder.
pub const LOG_NAME: &str = "config";

/// `STATE_CELL` names the file in the data folder that holds the replica's [`HardState`].
const STATE_CELL: &str = "replica";

/// `DISK_FULL_PAUSE` is the time before an operation that found the disk full is tried again.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(100);

/// `QUEUE_MAX` bounds the commands that wait for the disk.
const QUEUE_MAX: usize = 4096;

/// `DiskCommand` is an operation on the disk; commands are executed in their order.
#[derive(Debug)]
pub(super) enum DiskCommand {
    Append(Op, Vec<Entry>),
    Truncate(Op),
    Save(HardState),
    Install(Snapshot),
    Snapshot(Snapshot),
    Sync(SyncToken),
}

/// `DiskReport` announces that a command is durable.
#[derive(Debug)]
pub(super) enum DiskReport {
    Synced(SyncToken),
    SnapshotTaken(Snapshot),
}

/// `LogDisk` holds the stored config log and its data folder.
///
/// While the disk is full it reports nothing as durable, so the replica neither votes nor counts
/// towards a majority; the other members elect and commit without it.
#[derive(Debug)]
pub struct LogDisk {
    log: RetryingLog,
}

impl LogDisk {
    /// `try_open` opens the config log and returns its content. It replaces a lost or damaged log
    /// by an empty one, from which the replica recovers.
    ///
    /// Fails when the data folder cannot be used.
    pub fn try_open(folder: DataFolder) -> errors::Result<(Self, DurableState)> {
        let hard_state = match folder.read_cell::<HardState>(STATE_CELL) {
            Err(e @ shallothill_storage::Error::Damaged { .. }) => {
                tracing::error!("config: {e}; the keeper recovers from the other members");
                None
            }
            hard_state => hard_state?,
        };
        let (log, restored) = match Log::try_open(&folder, LOG_NAME) {
            Err(e @ shallothill_storage::Error::Damaged { .. }) => {
                tracing::error!("config: {e}; the keeper recovers from the other members");
                (Log::try_reset(&folder, LOG_NAME)?, RestoredLog::default())
            }
            opened => opened?,
        };
        let (snapshot, entries) = decode(&folder, &restored)?;
        let durable = DurableState::from_disk(hard_state, log.is_lost(), snapshot, entries);
        let log = match durable.hard_state {
            Some(_) => log,
            None => Log::try_reset(&folder, LOG_NAME)?,
        };
        let log = RetryingLog::new(folder, LOG_NAME, log);
        Ok((Self { log }, durable))
    }

    /// `start` spawns the thread that executes commands; it ends when the returned sender is
    /// dropped.
    pub(super) fn start(
        mut self,
        fatal: Fatal,
    ) -> (
        mpsc::SyncSender<DiskCommand>,
        async_mpsc::UnboundedReceiver<DiskReport>,
    ) {
        let (tx, rx) = mpsc::sync_channel(QUEUE_MAX);
        // Each command causes one report at most, so the bound on the commands bounds the reports.
        let (reports_tx, reports_rx) = async_mpsc::unbounded_channel();
        thread::spawn(move || {
            if let Err(e) = self.run(&rx, &reports_tx) {
                fatal.report(format!(
                    "config: {e}; nothing more is acknowledged; check the disk before the next \
                     start"
                ));
            }
        });
        (tx, reports_rx)
    }

    // Writes all waiting commands before one sync, whose report covers all of them.
    fn run(
        &mut self,
        rx: &mpsc::Receiver<DiskCommand>,
        reports: &async_mpsc::UnboundedSender<DiskReport>,
    ) -> errors::Result<()> {
        while let Ok(first) = rx.recv() {
            let mut sync = None;
            let mut next = Some(first);
            while let Some(command) = next.take() {
                if let DiskCommand::Sync(token) = command {
                    sync = Some(token);
                } else {
                    self.execute(command, reports)?;
                }
                next = rx.try_recv().ok();
            }
            if let Some(token) = sync {
                self.log.run(wait_for_space, |_, log| log.sync())?;
                if reports.send(DiskReport::Synced(token)).is_err() {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn execute(
        &mut self,
        command: DiskCommand,
        reports: &async_mpsc::UnboundedSender<DiskReport>,
    ) -> errors::Result<()> {
        match command {
            DiskCommand::Append(first, entries) => {
                let next = self.log.log().last_position().next();
                if next != Position(first.0) {
                    let message = format!(
                        "an entry for position {first} cannot follow the log, whose next position \
                         is {next}; report this fault"
                    );
                    return errors::FatalSnafu { message }.fail();
                }
                for entry in &entries {
                    self.log.append(encode(entry))?;
                }
            }
            DiskCommand::Truncate(after) => {
                let after = Position(after.0);
                self.log
                    .run(wait_for_space, |_, log| log.truncate_after(after))?;
            }
            DiskCommand::Save(hard_state) => {
                self.log
                    .run(wait_for_space, |folder, log| save(folder, log, &hard_state))?;
            }
            DiskCommand::Install(snapshot) => self.store_snapshot(&snapshot)?,
            DiskCommand::Snapshot(snapshot) => {
                self.store_snapshot(&snapshot)?;
                // The receiver is dropped only when the process stops.
                let _ = reports.send(DiskReport::SnapshotTaken(snapshot));
            }
            DiskCommand::Sync(_) => {}
        }
        Ok(())
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot) -> shallothill_storage::Result<()> {
        let position = Position(snapshot.meta.last.op.0);
        let bytes = encode(snapshot);
        self.log
            .run(wait_for_space, |_, log| log.snapshot(position, &bytes))
    }
}

// The log is marked first: a replica whose state is `Complete` and whose log is marked as lost
// would not start.
fn save(
    folder: &DataFolder,
    log: &mut Log,
    hard_state: &HardState,
) -> shallothill_storage::Result<()> {
    log.sync()?;
    if hard_state.member_state == MemberState::Complete && log.is_lost() {
        log.mark_repaired()?;
    }
    folder.write_cell(STATE_CELL, hard_state)
}

fn wait_for_space(e: &shallothill_storage::Error) {
    tracing::warn!("config: {e}; the keeper acknowledges nothing and tries again");
    thread::sleep(DISK_FULL_PAUSE);
}

pub(super) fn build_snapshot(meta: SnapshotMeta, state: Vec<u8>) -> Snapshot {
    Snapshot {
        meta,
        state: state.into(),
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Entries hold bytes and numbers only, so serializing them into memory cannot fail.
    rmp_serde::to_vec(value).unwrap_or_default()
}

fn decode(
    folder: &DataFolder,
    restored: &RestoredLog,
) -> errors::Result<(Option<Snapshot>, Vec<Entry>)> {
    let decode_error = |e: rmp_serde::decode::Error| {
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
    let entries = entries
        .collect::<Result<Vec<Entry>, _>>()
        .map_err(decode_error)?;
    Ok((snapshot.map_err(decode_error)?, entries))
}
