//! The replica.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::action::Action;
use crate::ballot::Ballot;
use crate::durable::{Durable, HardState, Standing};
use crate::entry::{Entry, LogPoint, Op, View};
use crate::errors;
use crate::errors::Result;
use crate::event::Event;
use crate::fetch::Fetching;
use crate::leading::Leading;
use crate::memory_log::MemoryLog;
use crate::message::Message;
use crate::options;
use crate::options::ReplicaOptions;
use crate::outbox::{Deferred, Outbox};
use crate::recovery::Recovery;
use crate::status::{ReplicaStatus, Role};

/// `Replica` is one member of a replicated log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) options: ReplicaOptions,
    pub(crate) hard: HardState,
    pub(crate) log: MemoryLog,
    pub(crate) commit: Op,
    pub(crate) applied: Op,
    pub(crate) primary: Option<KeeperId>,
    pub(crate) leading: Option<Leading>,
    pub(crate) ballot: Option<Ballot>,
    pub(crate) fetching: Option<Fetching>,
    pub(crate) recovery: Recovery,
    /// Whether the saved standing `Whole` is durable.
    pub(crate) counts: bool,
    pub(crate) snapshot_asked: bool,
    pub(crate) out: Outbox,
    pub(crate) now: Millis,
    /// When a primary was last heard, or may have been heard by an earlier life of the process.
    pub(crate) heard: Millis,
    pub(crate) deadline: Millis,
    rng: StdRng,
}

impl Replica {
    /// `try_new` builds a replica from what its disk holds.
    ///
    /// Fails with `GroupSize` for no or more than 9 members, with `NotAMember` when a new group is
    /// to be created without this replica, and with `Timing` for a lease that outlasts the
    /// election timeout.
    pub fn try_new(mut options: ReplicaOptions, durable: Durable, now: Millis) -> Result<Self> {
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
        let mut out = Outbox::new(options.broken.ack_before_sync);
        let saved = durable.hard.is_some();
        let mut hard = match durable.hard {
            Some(hard) => hard,
            None => first_state(&options, &mut rng),
        };
        let log = restore(&hard, durable.snapshot, durable.entries, &mut out);
        if log.last().view > hard.view {
            // The entry reached the disk before the state that belongs to it. Whether the replica
            // had voted in that view is not known, so it votes for nobody else in it.
            hard.view = log.last().view;
            hard.voted_for = Some(options.me);
        }
        if !saved {
            out.durable(Action::SaveState(hard.clone()));
        }
        let commit = log.snapshot_point().op;
        let mut replica = Self {
            counts: hard.standing == Standing::Whole,
            recovery: Recovery::new(now),
            hard,
            log,
            commit,
            applied: commit,
            primary: None,
            leading: None,
            ballot: None,
            fetching: None,
            snapshot_asked: false,
            out,
            now,
            heard: now,
            deadline: now,
            rng,
            options,
        };
        replica.reset_deadline();
        Ok(replica)
    }

    /// `step` handles an event and returns what to do, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.on_tick(),
            Event::Message { from, msg } if from != self.options.me => self.on_message(from, msg),
            Event::Message { .. } => {}
            Event::Propose { request } => self.on_propose(request),
            Event::ChangeMembers { id, members } => self.on_change_members(id, members),
            Event::Synced { upto } => self.out.synced(upto),
            Event::SnapshotTaken { snapshot } => {
                self.snapshot_asked = false;
                if snapshot.meta.last.op > self.log.snapshot_point().op {
                    self.log.snapshot_taken(snapshot, self.options.keep_behind);
                }
            }
            Event::Read { token } => self.on_read(token),
        }
        while let Some(deferred) = self.out.take_ready() {
            self.release(deferred);
        }
        self.out.finish()
    }

    /// `status` returns the main figures.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            me: self.options.me,
            standing: self.hard.standing,
            role: match (&self.leading, &self.ballot) {
                (Some(_), _) => Role::Primary,
                (None, Some(_)) => Role::Candidate,
                (None, None) => Role::Backup,
            },
            view: self.hard.view,
            primary: self.primary,
            last: self.log.last(),
            commit: self.commit,
            members: self.log.members().to_vec(),
            entries_in_memory: self.log.len(),
        }
    }

    fn on_tick(&mut self) {
        if !self.counts {
            self.tick_recovery();
        } else if self.leading.is_some() {
            self.tick_primary();
        } else {
            self.tick_election();
        }
        self.tick_fetch();
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
            _ if !self.counts => {}
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
            Message::NewerLife { highest } => self.on_newer_life(highest),
            Message::SnapshotOffer { view, meta } => self.on_snapshot_offer(from, view, meta),
        }
    }

    fn release(&mut self, deferred: Deferred) {
        match deferred {
            Deferred::Send { to, view, msg } => {
                if view.is_none_or(|v| v == self.hard.view) {
                    self.out.push(Action::Send { to, msg });
                }
            }
            Deferred::OwnAppend { view, op } => self.on_own_append(view, op),
            Deferred::OwnVote { view } => self.on_own_vote(view),
            Deferred::ContentRecovered => self.save_as_whole(),
            Deferred::Whole => self.begin_to_count(),
        }
    }

    pub(crate) fn send(&mut self, to: KeeperId, msg: Message) {
        self.out.push(Action::Send { to, msg });
    }

    /// `others` returns the other members according to the log.
    pub(crate) fn others(&self) -> Vec<KeeperId> {
        let me = self.options.me;
        let members = self.log.members().iter().copied();
        members.filter(|k| *k != me).collect()
    }

    pub(crate) fn is_member(&self) -> bool {
        self.log.members().contains(&self.options.me)
    }

    pub(crate) fn save(&mut self) {
        self.out.durable(Action::SaveState(self.hard.clone()));
    }

    /// `adopt_view` moves to a higher view without a vote; a lower or equal one changes nothing.
    pub(crate) fn adopt_view(&mut self, view: View) {
        if view <= self.hard.view {
            return;
        }
        self.step_down();
        self.hard.view = view;
        self.hard.voted_for = None;
        self.save();
    }

    pub(crate) fn reset_deadline(&mut self) {
        let base = u64::try_from(self.options.election_timeout.as_millis()).unwrap_or(u64::MAX);
        let extra = self.rng.random_range(0..=base);
        self.deadline = self.now + Duration::from_millis(base.saturating_add(extra));
    }

    /// `new_incarnation` returns a life that was never used, above `highest`.
    pub(crate) fn new_incarnation(&mut self, highest: Incarnation) -> Incarnation {
        random_incarnation(&mut self.rng, highest)
    }
}

// A lease of zero makes every read take a round.
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

// The counter in the upper half orders the lives; the random lower half keeps two lives apart that
// did not know of each other.
fn random_incarnation(rng: &mut StdRng, highest: Incarnation) -> Incarnation {
    let counter = (highest.0 >> 32) + 1;
    Incarnation((counter << 32) | u64::from(rng.random::<u32>()))
}

fn first_state(options: &ReplicaOptions, rng: &mut StdRng) -> HardState {
    let standing = if options.broken.vote_after_loss {
        Standing::Whole
    } else if options.create_group {
        Standing::Forming
    } else {
        Standing::Lost
    };
    HardState {
        view: View(0),
        voted_for: None,
        standing,
        incarnation: random_incarnation(rng, Incarnation(0)),
        known: BTreeMap::new(),
        first_members: options.members.clone(),
    }
}

// Views never fall along a log. A crash between the installation of a snapshot and the truncation
// that follows it leaves entries of an older view after the snapshot; they are dropped here.
fn restore(
    hard: &HardState,
    snapshot: Option<crate::snapshot::Snapshot>,
    entries: Vec<Entry>,
    out: &mut Outbox,
) -> MemoryLog {
    let mut log = MemoryLog::new(hard.first_members.clone(), snapshot);
    let mut last: LogPoint = log.last();
    for entry in entries {
        if entry.view < last.view {
            out.durable(Action::Truncate { after: last.op });
            break;
        }
        log.append(entry);
        last = log.last();
    }
    log
}
