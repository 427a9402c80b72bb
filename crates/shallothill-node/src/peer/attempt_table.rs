//! What a gate knows about the attempts of other nodes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::peer::{AttemptId, ProcessId};

/// `MAX_PER_SENDER` bounds the ended attempts that are remembered for each entry node.
const MAX_PER_SENDER: usize = 64;

/// `MAX_SENDERS` bounds the processes of entry nodes that are remembered, also of those that have
/// ended since.
const MAX_SENDERS: usize = 4096;

/// `MAX_REPLY_BYTES` bounds the replies that are kept.
const MAX_REPLY_BYTES: usize = 2 * 1024 * 1024;

/// `AttemptState` is the answer to a question about an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptState<R, H> {
    /// It has not arrived, and is refused if it still does.
    NeverRuns,
    /// It is running; holds what was given at its start.
    Running(H),
    /// It has ended with this reply.
    Ended(R),
    /// It may have run.
    Unknown,
}

#[derive(Debug)]
enum Record<R, H> {
    Running(H),
    /// Without a reply that was never kept, or no longer.
    Ended(Option<R>),
    Barred,
}

#[derive(Debug)]
struct SenderAttempts<R, H> {
    records: BTreeMap<u64, Record<R, H>>,
    /// Records up to this number may have been dropped.
    forgotten_to: u64,
    last_used: u64,
}

impl<R, H> SenderAttempts<R, H> {
    // Drops the oldest records of attempts that are not running.
    fn forget_oldest(&mut self) {
        while self.records.len() > MAX_PER_SENDER {
            let ended = |(_, r): &(&u64, &Record<R, H>)| !matches!(r, Record::Running(_));
            let Some(number) = self.records.iter().find(ended).map(|(n, _)| *n) else {
                return;
            };
            self.records.remove(&number);
            self.forgotten_to = self.forgotten_to.max(number);
        }
    }
}

/// `AttemptTable` records the attempts that arrived, so that an entry node whose connection broke
/// learns what became of them. `R` is a reply and `H` the handle of a running attempt.
///
/// An attempt that is asked about before it arrives never runs. This holds without any bound on
/// time: an attempt whose record was dropped is refused too, and a question about it gets `Unknown`.
#[derive(Debug)]
pub struct AttemptTable<R, H> {
    senders: HashMap<ProcessId, SenderAttempts<R, H>>,
    /// The replies in the order of their arrival, with their sizes in bytes.
    replies: VecDeque<(AttemptId, usize)>,
    reply_bytes: usize,
    uses: u64,
}

impl<R, H> Default for AttemptTable<R, H> {
    fn default() -> Self {
        Self {
            senders: HashMap::new(),
            replies: VecDeque::new(),
            reply_bytes: 0,
            uses: 0,
        }
    }
}

impl<R: Clone, H: Clone> AttemptTable<R, H> {
    /// `start` records that an attempt arrived and returns whether it may run.
    pub fn start(&mut self, id: AttemptId, handle: H) -> bool {
        let sender = self.sender(id.sender);
        if id.number <= sender.forgotten_to || sender.records.contains_key(&id.number) {
            return false;
        }
        sender.records.insert(id.number, Record::Running(handle));
        sender.forget_oldest();
        true
    }

    /// `finish` records the end of an attempt. `reply` is absent when it cannot be sent again, else
    /// it comes with its size in bytes.
    pub fn finish(&mut self, id: AttemptId, reply: Option<(R, usize)>) {
        let Some(record) = self.record_mut(id) else {
            return;
        };
        let (reply, bytes) = reply.unzip();
        *record = Record::Ended(reply);
        let Some(bytes) = bytes else {
            return;
        };
        self.replies.push_back((id, bytes));
        self.reply_bytes += bytes;
        while self.reply_bytes > MAX_REPLY_BYTES {
            let Some((oldest, bytes)) = self.replies.pop_front() else {
                return;
            };
            self.reply_bytes -= bytes;
            if let Some(Record::Ended(reply)) = self.record_mut(oldest) {
                *reply = None;
            }
        }
    }

    /// `ask` returns what became of an attempt. `same_process` tells whether the entry node knows
    /// that it sent the attempt to this process and not to an earlier one.
    pub fn ask(&mut self, id: AttemptId, same_process: bool) -> AttemptState<R, H> {
        let never_runs = if same_process {
            AttemptState::NeverRuns
        } else {
            AttemptState::Unknown
        };
        let sender = self.sender(id.sender);
        match sender.records.get(&id.number) {
            Some(Record::Running(handle)) => AttemptState::Running(handle.clone()),
            Some(Record::Ended(Some(reply))) => AttemptState::Ended(reply.clone()),
            Some(Record::Ended(None)) => AttemptState::Unknown,
            Some(Record::Barred) => never_runs,
            None if id.number <= sender.forgotten_to => AttemptState::Unknown,
            None => {
                sender.records.insert(id.number, Record::Barred);
                sender.forget_oldest();
                never_runs
            }
        }
    }

    fn record_mut(&mut self, id: AttemptId) -> Option<&mut Record<R, H>> {
        let sender = self.senders.get_mut(&id.sender)?;
        sender.records.get_mut(&id.number)
    }

    fn sender(&mut self, id: ProcessId) -> &mut SenderAttempts<R, H> {
        self.uses += 1;
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&id) {
            let oldest = self.senders.iter().min_by_key(|(_, s)| s.last_used);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.senders.remove(&oldest);
            }
        }
        let sender = self.senders.entry(id).or_insert_with(|| SenderAttempts {
            records: BTreeMap::new(),
            forgotten_to: 0,
            last_used: 0,
        });
        sender.last_used = self.uses;
        sender
    }
}
