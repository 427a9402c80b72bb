//! Drives the replica of the config log: feeds it events and executes its actions on the disk, the
//! other keepers and the config state.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_replica::{
    Action, Content, DurableState, Entry, Event, HardState, MemberState, Message, ProposeResult,
    ReadToken, Replica, ReplicaOptions, Request, RequestId, Snapshot,
};
use shallothill_runtime::timer::Timer;
use tokio::sync::{mpsc as async_mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use tracing::{error, info};

use super::disk::{DiskCommand, DiskReport, LogDisk, build_snapshot};
use super::handle::{LogCallError, LogCommand, LogStatus, ReadLease};
use super::links::PeerLinks;
use crate::config_state::{Change, ConfigState, Outcome, SectionHistory};
use crate::errors;
use crate::fatal::Fatal;
use crate::keeper::lock;
use crate::ledger::LedgerHandle;
use crate::settings::LogTimes;

/// `TICK` is the interval at which the replica checks its timeouts.
const TICK: Duration = Duration::from_millis(20);

/// `PAYLOAD_MAX_BYTES` bounds an entry; a patch that replaces the entire text fits.
const PAYLOAD_MAX_BYTES: usize = shallothill_config::limits::TEXT_MAX_BYTES + 64 * 1024;

type ProposeAnswer = oneshot::Sender<Result<Outcome, LogCallError>>;
type CallAnswer = oneshot::Sender<Result<(), LogCallError>>;

/// `DriverParts` holds the dependencies of a [`Driver`].
#[derive(Debug)]
pub struct DriverParts {
    /// Id of this keeper.
    pub me: KeeperId,
    /// The initial members: all keepers or seeds in the settings.
    pub members: Vec<KeeperId>,
    /// Whether this start creates a new group.
    pub new_group: bool,
    /// Heartbeat interval, election timeout and lease of the log.
    pub times: LogTimes,
    /// Source of the time that the replica gets, and of its ticks.
    pub timer: Timer,
    /// The stored config log.
    pub disk: LogDisk,
    /// The content of `disk` at the start.
    pub durable: DurableState,
    /// The state machine that committed changes are applied to.
    pub state: Arc<Mutex<ConfigState>>,
    /// The sections that changed in recent versions; part of each snapshot.
    pub section_history: Arc<Mutex<SectionHistory>>,
    /// The ledger member, which becomes ready when a new group is formed.
    pub ledger: LedgerHandle,
    /// Calls from this process, sent through a [`LogHandle`](super::LogHandle).
    pub commands: async_mpsc::Receiver<LogCommand>,
    /// Messages of the other keepers' replicas.
    pub messages: async_mpsc::Receiver<(KeeperId, Message)>,
    /// Sends messages to the other keepers' replicas.
    pub links: PeerLinks,
    /// Receives the status after each step that changes it.
    pub status: watch::Sender<LogStatus>,
    /// Notified after each applied change.
    pub applied: watch::Sender<()>,
    /// Receives failures after which the process must end.
    pub fatal: Fatal,
}

/// `Driver` owns the replica and executes its actions.
#[derive(Debug)]
pub struct Driver {
    me: KeeperId,
    timer: Timer,
    replica: Replica,
    member_state: Option<MemberState>,
    state: Arc<Mutex<ConfigState>>,
    section_history: Arc<Mutex<SectionHistory>>,
    ledger: LedgerHandle,
    first_incarnation: Incarnation,
    disk_tx: mpsc::SyncSender<DiskCommand>,
    disk_reports: async_mpsc::UnboundedReceiver<DiskReport>,
    commands: async_mpsc::Receiver<LogCommand>,
    messages: async_mpsc::Receiver<(KeeperId, Message)>,
    links: PeerLinks,
    status: watch::Sender<LogStatus>,
    applied: watch::Sender<()>,
    pending_proposals: BTreeMap<RequestId, (Change, ProposeAnswer)>,
    pending_member_changes: BTreeMap<RequestId, CallAnswer>,
    pending_reads: BTreeMap<ReadToken, CallAnswer>,
    next_read: u64,
    formed: bool,
    fatal: Fatal,
}

impl Driver {
    /// `try_new` restores the state machine and builds the replica.
    ///
    /// Fails when the members do not form a valid group or the last snapshot cannot be read.
    pub fn try_new(parts: DriverParts) -> errors::Result<Self> {
        let options = ReplicaOptions {
            me: parts.me,
            members: parts.members,
            create_group: parts.new_group,
            seed: rand::random(),
            max_payload_bytes: PAYLOAD_MAX_BYTES,
            ..parts.times.apply(ReplicaOptions::default())
        };
        let member_state = parts.durable.hard_state.as_ref().map(|h| h.member_state);
        if let Some(snapshot) = &parts.durable.snapshot {
            restore(&parts.state, &parts.section_history, snapshot)?;
        }
        let replica = Replica::try_new(options, parts.durable, parts.timer.now())?;
        let (disk_tx, disk_reports) = parts.disk.start(parts.fatal.clone());
        let driver = Self {
            me: parts.me,
            timer: parts.timer,
            replica,
            member_state,
            state: parts.state,
            section_history: parts.section_history,
            ledger: parts.ledger,
            first_incarnation: crate::ledger::first_incarnation(),
            disk_tx,
            disk_reports,
            commands: parts.commands,
            messages: parts.messages,
            links: parts.links,
            status: parts.status,
            applied: parts.applied,
            pending_proposals: BTreeMap::new(),
            pending_member_changes: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_read: 0,
            formed: false,
            fatal: parts.fatal,
        };
        driver.publish_status();
        Ok(driver)
    }

    /// `run` drives the replica until `stop` is cancelled or the disk's thread has ended.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = self.timer.every(TICK);
        loop {
            let event = tokio::select! {
                _ = ticks.recv() => Event::Tick,
                Some((from, msg)) = self.messages.recv() => Event::Message { from, msg },
                Some(command) = self.commands.recv() => match self.start_command(command) {
                    Some(event) => event,
                    None => continue,
                },
                report = self.disk_reports.recv() => match report {
                    Some(DiskReport::Synced(upto)) => Event::Synced { upto },
                    Some(DiskReport::SnapshotTaken(snapshot)) => Event::SnapshotTaken { snapshot },
                    None => return,
                },
                () = stop.cancelled() => return,
            };
            for action in self.replica.step(self.timer.now(), event) {
                if self.execute(action).await.is_none() {
                    return;
                }
            }
            self.publish_status();
        }
    }

    // Returns `None` for a command that is answered at once.
    fn start_command(&mut self, command: LogCommand) -> Option<Event> {
        let event = match command {
            LogCommand::Propose(change, tx) => {
                let id = RequestId(rand::random());
                let payload = rmp_serde::to_vec(&change).unwrap_or_default().into();
                self.pending_proposals.insert(id, (change, tx));
                let request = Request { id, payload };
                Event::Propose { request }
            }
            LogCommand::ChangeMembers(members, tx) => {
                let id = RequestId(rand::random());
                self.pending_member_changes.insert(id, tx);
                Event::ChangeMembers { id, members }
            }
            LogCommand::Read(tx) => {
                self.next_read += 1;
                let token = ReadToken(self.next_read);
                self.pending_reads.insert(token, tx);
                Event::Read { token }
            }
            LogCommand::Lease(tx) => {
                // A caller that no longer waits needs no answer.
                let _ = tx.send(self.read_lease());
                return None;
            }
        };
        Some(event)
    }

    fn read_lease(&self) -> Result<ReadLease, LogCallError> {
        let primary = self.replica.status().primary;
        let lease = self.replica.read_lease();
        let lease = lease.map(|(view, until)| ReadLease { view, until });
        lease.ok_or_else(|| not_primary(self.me, primary))
    }

    // Returns `None` when the disk's thread has ended.
    async fn execute(&mut self, action: Action) -> Option<()> {
        match action {
            Action::Append { first, entries } => {
                self.send_to_disk(DiskCommand::Append(first, entries))?
            }
            Action::Truncate { after } => self.send_to_disk(DiskCommand::Truncate(after))?,
            Action::SaveState(hard_state) => self.save(hard_state).await?,
            Action::Sync(token) => self.send_to_disk(DiskCommand::Sync(token))?,
            Action::Send { to, msg } => self.links.send(to, msg),
            Action::Apply { entry, .. } => self.apply(&entry),
            Action::InstallSnapshot(snapshot) => {
                if let Err(e) = restore(&self.state, &self.section_history, &snapshot) {
                    self.fatal
                        .report(format!("config: {e}; run the same release on all keepers"));
                    return None;
                }
                self.applied.send_replace(());
                self.send_to_disk(DiskCommand::Install(snapshot))?;
            }
            Action::TakeSnapshot(meta) => {
                let sections = lock(&self.section_history).clone();
                let state = lock(&self.state).snapshot(sections);
                let state = rmp_serde::to_vec(&state).unwrap_or_default();
                self.send_to_disk(DiskCommand::Snapshot(build_snapshot(meta, state)))?;
            }
            Action::Reply { request, result } => self.reply(request, result),
            Action::ReadReady { token } => self.finish_read(token, Ok(())),
            Action::ReadRefused { token, primary } => {
                self.finish_read(token, Err(not_primary(self.me, primary)));
            }
        }
        Some(())
    }

    // The ledger member of a new group becomes ready when the replica becomes complete. The ledger
    // member is first: after a crash in between, the replica only forms the group again.
    async fn save(&mut self, hard_state: HardState) -> Option<()> {
        let formed = self.member_state == Some(MemberState::Forming)
            && hard_state.member_state == MemberState::Complete;
        if formed {
            self.ledger.form(self.first_incarnation).await?;
            self.formed = true;
            info!("keeper: the new group is formed");
        }
        self.member_state = Some(hard_state.member_state);
        self.send_to_disk(DiskCommand::Save(hard_state))
    }

    fn send_to_disk(&self, command: DiskCommand) -> Option<()> {
        self.disk_tx.send(command).ok()
    }

    fn apply(&mut self, entry: &Entry) {
        let Content::Request(request) = &entry.content else {
            return;
        };
        match rmp_serde::from_slice::<Change>(&request.payload) {
            Ok(change) => {
                lock(&self.state).apply(&change);
                self.applied.send_replace(());
            }
            Err(e) => error!(
                "config: an entry of the log cannot be read by this release: {e}; run the same \
                 release on all keepers"
            ),
        }
    }

    fn reply(&mut self, request: RequestId, result: ProposeResult) {
        if let Some(tx) = self.pending_member_changes.remove(&request) {
            let answer = match result {
                ProposeResult::Committed(_) => Ok(()),
                ProposeResult::NotPrimary { primary } => Err(not_primary(self.me, primary)),
                other => Err(LogCallError::Unavailable(format!("{other:?}"))),
            };
            // A dropped receiver is no loss: the group manager checks the members again soon.
            let _ = tx.send(answer);
            return;
        }
        let Some((change, tx)) = self.pending_proposals.remove(&request) else {
            return;
        };
        let unavailable = |reason: &str| Err(LogCallError::Unavailable(reason.to_owned()));
        let answer = match result {
            ProposeResult::Committed(_) => {
                let outcome = lock(&self.state).outcome_of(&change.change_id, change.text_hash);
                outcome.ok_or_else(|| {
                    LogCallError::Unavailable("the change was not applied".to_owned())
                })
            }
            ProposeResult::NotPrimary { primary } => Err(not_primary(self.me, primary)),
            ProposeResult::Busy => unavailable("too many changes wait"),
            ProposeResult::Refused => unavailable("the change is too large"),
            ProposeResult::Unknown => unavailable("the primary of the config log changed"),
        };
        // A caller that no longer waits can resend the same change id.
        let _ = tx.send(answer);
    }

    fn finish_read(&mut self, token: ReadToken, answer: Result<(), LogCallError>) {
        if let Some(tx) = self.pending_reads.remove(&token) {
            // A caller that no longer waits needs no answer.
            let _ = tx.send(answer);
        }
    }

    fn publish_status(&self) {
        let replica = self.replica.status();
        self.status.send_if_modified(|current| {
            if current.replica.as_ref() == Some(&replica) {
                return false;
            }
            *current = LogStatus {
                primary: replica.primary,
                forming: replica.member_state == MemberState::Forming,
                formed: self.formed,
                replica: Some(replica),
            };
            true
        });
    }
}

fn not_primary(me: KeeperId, primary: Option<KeeperId>) -> LogCallError {
    match primary {
        Some(primary) if primary != me => LogCallError::NotPrimary(primary),
        _ => LogCallError::Unavailable("no quorum of keepers can be reached".to_owned()),
    }
}

fn restore(
    state: &Mutex<ConfigState>,
    sections: &Mutex<SectionHistory>,
    snapshot: &Snapshot,
) -> errors::Result<()> {
    let decoded = rmp_serde::from_slice::<crate::config_state::Snapshot>(&snapshot.state);
    let mut decoded = decoded.map_err(|e| {
        errors::FatalSnafu {
            message: format!("a snapshot of the config log cannot be read by this release: {e}"),
        }
        .build()
    })?;
    *lock(sections) = std::mem::take(&mut decoded.sections);
    *lock(state) = ConfigState::restore(decoded);
    Ok(())
}
