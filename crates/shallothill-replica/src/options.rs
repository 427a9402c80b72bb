//! Options of a replica.

use std::time::Duration;

use shallothill_core::ids::KeeperId;

/// `MAX_MEMBERS` is the largest size of a group that the settings list.
pub(crate) const MAX_MEMBERS: usize = 9;

/// `MAX_GROWN_MEMBERS` is the largest size to which a group may grow. A group that can spare no
/// member has to grow before it replaces one.
pub(crate) const MAX_GROWN_MEMBERS: usize = 16;

/// `ElectionRule` selects how the primary of a new view is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionRule {
    /// A candidate wins if its log is at least as complete as the logs of a majority.
    MostCompleteLog,
    /// The members take turns, by view number (Viewstamped Replication Revisited, section 4.2).
    Rotation,
}

/// `ReplicaOptions` holds the identity, the timeouts and the limits of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaOptions {
    /// The id of this replica.
    pub me: KeeperId,
    /// The members according to the settings; once there is a log, its members apply instead.
    pub members: Vec<KeeperId>,
    /// Whether the operator creates a new group of `members`; an empty disk otherwise recovers.
    pub create_group: bool,
    /// The seed of the random timeouts and incarnations; it must differ at each start.
    pub seed: u64,
    /// How the primary of a new view is chosen.
    pub election_rule: ElectionRule,
    /// The longest interval between two messages of a primary to the same replica.
    pub heartbeat: Duration,
    /// The shortest time without a primary after which a replica becomes a candidate; the actual
    /// time is random, up to twice this.
    pub election_timeout: Duration,
    /// How long after a round that a majority answered the primary may serve reads without another
    /// round. It is shorter than `election_timeout` by a margin for clocks that run at different
    /// speeds; zero makes every read wait for a round.
    pub lease: Duration,
    /// The largest total size of the entries in one message, in bytes; a single larger entry is
    /// still sent.
    pub max_batch_bytes: usize,
    /// The largest payload of a request, in bytes.
    pub max_payload_bytes: usize,
    /// The size of the chunks in which a snapshot is sent, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// The largest number of unanswered messages with entries to one replica.
    pub max_in_flight_batches: usize,
    /// The largest number of proposed entries that wait for their commit.
    pub max_uncommitted_entries: usize,
    /// The number of applied entries after which the replica requests a new snapshot.
    pub snapshot_every_entries: u64,
    /// The number of entries before a snapshot that stay in memory for replicas that lag a little.
    pub trailing_entries: u64,
    /// Deliberate protocol faults, with which tests show that their checks detect them.
    #[doc(hidden)]
    pub protocol_faults: ProtocolFaults,
}

/// `ProtocolFaults` disables single rules of the protocol, so that tests can show what each rule
/// prevents.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProtocolFaults {
    /// Sends messages without waiting for the sync that they rely on.
    pub ack_before_sync: bool,
    /// Starts an empty disk in the state `Complete`.
    pub vote_after_loss: bool,
    /// Counts answers from incarnations of a disk that has been lost since.
    pub count_old_incarnations: bool,
    /// Skips the pre-vote and the check that no primary was heard recently.
    pub no_pre_vote: bool,
    /// Votes for candidates whose log is less complete.
    pub vote_for_any_log: bool,
    /// Adopts a lower commit position from a late message.
    pub commit_may_regress: bool,
    /// Stays primary without answers from a majority.
    pub no_check_quorum: bool,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            me: KeeperId(0),
            members: Vec::new(),
            create_group: false,
            seed: 0,
            election_rule: ElectionRule::MostCompleteLog,
            heartbeat: Duration::from_millis(100),
            election_timeout: Duration::from_millis(600),
            lease: Duration::from_millis(400),
            max_batch_bytes: 256 * 1024,
            max_payload_bytes: 768 * 1024,
            snapshot_chunk_bytes: 256 * 1024,
            max_in_flight_batches: 8,
            max_uncommitted_entries: 1024,
            snapshot_every_entries: 1000,
            trailing_entries: 200,
            protocol_faults: ProtocolFaults::default(),
        }
    }
}
