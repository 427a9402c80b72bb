//! The replica: its state, its events and its dispatch of messages.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::action::Action;
use crate::ballot::Ballot;
use crate::durable::{DurableState, HardState, MemberState};
use crate::entry::{Entry, EntryId, Op, View};
use crate::errors;
use crate::errors::Result;
use crate::event::Event;
use crate::memory_log::MemoryLog;
use crate::message::Message;
use crate::options;
use crate::options::ReplicaOptions;
use crate::outbox::{Deferred, Outbox};
use crate::primary_state::PrimaryState;
use crate::recovery::Recovery;
use crate::state_transfer::StateTransfer;
use crate::status::{ReplicaStatus, Role};

/// `Replica` is one member of the group that replicates the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) options: ReplicaOptions,
    pub(crate) hard_state: HardState,
    pub(crate) log: MemoryLog,
    /// The highest position that is known to be committed.
    pub(crate) commit: Op,
    /// The last position that the driver was told to apply.
    pub(crate) applied: Op,
    /// The primary that this replica follows, or itself.
    pub(crate) primary: Option<KeeperId>,
    /// Set while this replica is the primary.
    pub(crate) primary_state: Option<PrimaryState>,
    /// Set while this replica collects pre-votes or votes.
    pub(crate) ballot: Option<Ballot>,
    pub(crate) transfer: Option<StateTransfer>,
    pub(crate) recovery: Recovery,
    /// Whether the saved state `Complete` is durable; only then the replica votes and acknowledges.
    pub(crate) can_vote: bool,
    pub(crate) snapshot_requested: bool,
    pub(crate) outbox: Outbox,
    /// The latest time that the driver passed.
    pub(crate) now: Millis,
    /// When the last message of a primary arrived. At a start it is the current time, because an
    /// earlier process may have received one just before.
    pub(crate) primary_heard_at: Millis,
    pub(crate) election_deadline: Millis,
    rng: StdRng,
}

impl Replica {
    /// `try_new` builds a replica from the state of its disk.
    ///
    /// It fails with `GroupSize` for no or more than 9 members, with `NotAMember` if a new group is
    /// created without this replica, and with `Timing` if the lease or the heartbeat is not
    /// shorter than the election timeout.
    pub fn try_new(
        mut options: ReplicaOptions,
        durable: DurableState,
        now: Millis,
    ) -> Result<Self> {
        options.members.sort_unstable();
        options.members.dedup();
        let count = options.members.len();
        if count == 0 || count > options::MAX_MEMBERS {
            return errors::GroupSizeSnafu { count }.fail();
        }
        if options.create_group && !options.members.contains(&options.me) {
            return errors::NotAMemberSnafu { me: options.me }.fail();
        }
        check_timing(&options)?;
        let mut rng = StdRng::seed_from_u64(options.seed);
        let mut outbox = Outbox::new(options.protocol_faults.ack_before_sync);
        let was_saved = durable.hard_state.is_some();
        let mut hard_state = match durable.hard_state {
            Some(hard_state) => hard_state,
            None => initial_hard_state(&options, &mut rng),
        };
        let log = restore(&hard_state, durable.snapshot, durable.entries, &mut outbox);
        if log.last().view > hard_state.view {
            // The entry reached the disk before the hard state of its view. The replica may have
            // voted in that view, so it must not vote for another candidate in it.
            hard_state.view = log.last().view;
            hard_state.voted_for = Some(options.me);
        }
        if !was_saved {
            outbox.push_durable(Action::SaveState(hard_state.clone()));
        }
        let commit = log.snapshot_end().op;
        let mut replica = Self {
            can_vote: hard_state.member_state == MemberState::Complete,
            recovery: Recovery::new(now),
            hard_state,
            log,
            commit,
            applied: commit,
            primary: None,
            primary_state: None,
            ballot: None,
            transfer: None,
            snapshot_requested: false,
            outbox,
            now,
            primary_heard_at: now,
            election_deadline: now,
            rng,
            options,
        };
        replica.reset_election_deadline();
        Ok(replica)
    }

    /// `step` handles an event and returns the actions that the driver has to perform, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.on_tick(),
            Event::Message { from, msg } if from != self.options.me => self.on_message(from, msg),
            Event::Message { .. } => {}
            Event::Propose { request } => self.on_propose(request),
            Event::ChangeMembers { id, members } => self.on_change_members(id, members),
            Event::Synced { upto } => self.outbox.confirm_sync(upto),
            Event::SnapshotTaken { snapshot } => {
                self.snapshot_requested = false;
                if snapshot.meta.last.op > self.log.snapshot_end().op {
                    self.log.compact(snapshot, self.options.trailing_entries);
                }
            }
            Event::Read { token } => self.on_read(token),
        }
        while let Some(deferred) = self.outbox.take_ready() {
            self.perform_deferred(deferred);
        }
        self.outbox.end_step()
    }

    /// `status` returns a copy of the main state.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            me: self.options.me,
            member_state: self.hard_state.member_state,
            role: match (&self.primary_state, &self.ballot) {
                (Some(_), _) => Role::Primary,
                (None, Some(_)) => Role::Candidate,
                (None, None) => Role::Backup,
            },
            view: self.hard_state.view,
            primary: self.primary,
            last: self.log.last(),
            commit: self.commit,
            members: self.log.members().to_vec(),
            entries_in_memory: self.log.len(),
        }
    }

    fn on_tick(&mut self) {
        if !self.can_vote {
            self.tick_recovery();
        } else if self.primary_state.is_some() {
            self.tick_primary();
        } else {
            self.tick_election();
        }
        self.tick_transfer();
    }

    fn on_message(&mut self, from: KeeperId, msg: Message) {
        match msg {
            Message::Recover {
                incarnation,
                forming,
            } => self.on_recover(from, incarnation, forming),
            Message::RecoverReply { .. } => self.on_recover_reply(from, msg),
            Message::Fetch { after, snapshot } => self.on_fetch(from, after, snapshot),
            Message::FetchedEntries { .. } | Message::FetchedChunk { .. } => {
                self.on_fetched(from, msg);
            }
            _ if !self.can_vote => {}
            Message::PreVote { view, last } => self.on_pre_vote(from, view, last),
            Message::PreVoteReply {
                view,
                granted,
                current,
            } => self.on_pre_vote_reply(from, view, granted, current),
            Message::Vote { view, last } => self.on_vote(from, view, last),
            Message::VoteReply { .. } => self.on_vote_reply(from, msg),
            Message::Append { .. } => self.on_append(from, msg),
            Message::AppendReply { .. } => self.on_append_reply(from, msg),
            Message::HigherView { view } => self.adopt_view(view),
            Message::NewerIncarnation { highest } => self.on_newer_incarnation(highest),
            Message::SnapshotOffer { view, meta } => self.on_snapshot_offer(from, view, meta),
        }
    }

    fn perform_deferred(&mut self, deferred: Deferred) {
        match deferred {
            Deferred::Send { to, view, msg } => {
                if view.is_none_or(|v| v == self.hard_state.view) {
                    self.outbox.push(Action::Send { to, msg });
                }
            }
            Deferred::OwnAppend { view, op } => self.on_own_append(view, op),
            Deferred::OwnVote { view } => self.on_own_vote(view),
            Deferred::RecoveryDurable => self.save_as_complete(),
            Deferred::StartVoting => self.start_voting(),
        }
    }

    pub(crate) fn send(&mut self, to: KeeperId, msg: Message) {
        self.outbox.push(Action::Send { to, msg });
    }

    /// `other_members` returns the members according to the log, without this replica.
    pub(crate) fn other_members(&self) -> Vec<KeeperId> {
        let me = self.options.me;
        let members = self.log.members().iter().copied();
        members.filter(|k| *k != me).collect()
    }

    pub(crate) fn is_member(&self) -> bool {
        self.log.members().contains(&self.options.me)
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.outbox
            .push_durable(Action::SaveState(self.hard_state.clone()));
    }

    /// `adopt_view` moves to a higher view without voting in it; it ignores a lower or equal view.
    pub(crate) fn adopt_view(&mut self, view: View) {
        if view <= self.hard_state.view {
            return;
        }
        self.step_down();
        self.hard_state.view = view;
        self.hard_state.voted_for = None;
        self.save_hard_state();
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let base = u64::try_from(self.options.election_timeout.as_millis()).unwrap_or(u64::MAX);
        let extra = self.rng.random_range(0..=base);
        self.election_deadline = self.now + Duration::from_millis(base.saturating_add(extra));
    }

    /// `new_incarnation` returns an unused incarnation above `highest`.
    pub(crate) fn new_incarnation(&mut self, highest: Incarnation) -> Incarnation {
        random_incarnation(&mut self.rng, highest)
    }
}

// A lease of zero is valid: every read then waits for a round.
fn check_timing(options: &ReplicaOptions) -> Result<()> {
    let (heartbeat, lease) = (options.heartbeat, options.lease);
    let election_timeout = options.election_timeout;
    if lease < election_timeout && heartbeat < election_timeout {
        return Ok(());
    }
    errors::TimingSnafu {
        heartbeat,
        lease,
        election_timeout,
    }
    .fail()
}

// The counter in the upper half orders the incarnations. The random lower half distinguishes two
// incarnations that were chosen without knowledge of each other.
fn random_incarnation(rng: &mut StdRng, highest: Incarnation) -> Incarnation {
    let counter = (highest.0 >> 32) + 1;
    Incarnation((counter << 32) | u64::from(rng.random::<u32>()))
}

fn initial_hard_state(options: &ReplicaOptions, rng: &mut StdRng) -> HardState {
    let member_state = if options.protocol_faults.vote_after_loss {
        MemberState::Complete
    } else if options.create_group {
        MemberState::Forming
    } else {
        MemberState::Recovering
    };
    HardState {
        view: View(0),
        voted_for: None,
        member_state,
        incarnation: random_incarnation(rng, Incarnation(0)),
        known_incarnations: BTreeMap::new(),
        first_members: options.members.clone(),
    }
}

// Views never decrease along a log. A crash between the installation of a snapshot and the
// truncation that follows it leaves entries of an older view after the snapshot; they are removed
// here.
fn restore(
    hard_state: &HardState,
    snapshot: Option<crate::snapshot::Snapshot>,
    entries: Vec<Entry>,
    outbox: &mut Outbox,
) -> MemoryLog {
    let mut log = MemoryLog::new(hard_state.first_members.clone(), snapshot);
    let mut last: EntryId = log.last();
    for entry in entries {
        if entry.view < last.view {
            outbox.push_durable(Action::Truncate { after: last.op });
            break;
        }
        log.append(entry);
        last = log.last();
    }
    log
}
