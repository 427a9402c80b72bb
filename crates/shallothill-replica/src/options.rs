//! Choices of a replica.

use std::time::Duration;

use shallothill_core::ids::KeeperId;

/// `MAX_MEMBERS` is the largest group.
pub(crate) const MAX_MEMBERS: usize = 9;

/// `ElectionRule` tells who becomes primary of a new view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionRule {
    /// The candidate whose log is at least as complete as those of a majority.
    MostCompleteLog,
    /// The members in turn, by view number (Viewstamped Replication Revisited, section 4.2).
    Rotation,
}

/// `ReplicaOptions` holds the identity and the limits of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaOptions {
    /// This replica.
    pub me: KeeperId,
    /// The members according to the settings; once a log exists, the log decides.
    pub members: Vec<KeeperId>,
    /// Whether an operator creates a new group with `members`.
    pub create_group: bool,
    /// The seed of the random timeouts and incarnations; different at each start.
    pub seed: u64,
    /// How a primary is chosen.
    pub election: ElectionRule,
    /// The longest time between two messages of a primary.
    pub heartbeat: Duration,
    /// The shortest time without a primary after which a replica becomes a candidate; the longest
    /// is twice that.
    pub election_timeout: Duration,
    /// How long a majority's answers let a primary serve reads; under `election_timeout`, by a
    /// margin for clocks of different speed.
    pub lease: Duration,
    /// The largest total of entries in one message, in bytes.
    pub max_batch_bytes: usize,
    /// The largest payload of a request, in bytes.
    pub max_payload_bytes: usize,
    /// The size of a piece of a snapshot in one message, in bytes.
    pub chunk_bytes: usize,
    /// How many messages with entries may be on the way to one replica.
    pub max_in_flight: usize,
    /// How many proposed entries may wait for their commit.
    pub max_uncommitted: usize,
    /// How many applied entries make the replica ask for a snapshot.
    pub snapshot_every: u64,
    /// How many entries before a snapshot stay in memory for replicas that lag a little.
    pub keep_behind: u64,
    /// Deliberate faults, for tests that show that the checks find them.
    #[doc(hidden)]
    pub broken: Broken,
}

/// `Broken` switches off single rules, so that tests can show what the rule prevents.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Broken {
    /// Releases messages without waiting for the sync.
    pub ack_before_sync: bool,
    /// Counts as whole with an empty disk.
    pub vote_after_loss: bool,
    /// Counts answers of lives of a disk that was lost since.
    pub count_old_lives: bool,
    /// Skips the pre-vote and the check that the primary is silent.
    pub no_pre_vote: bool,
    /// Votes for candidates whose log is less complete.
    pub vote_for_any_log: bool,
    /// Takes over a lower commit position from a late message.
    pub commit_may_fall: bool,
    /// Stays primary without answers of a majority.
    pub no_check_quorum: bool,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            me: KeeperId(0),
            members: Vec::new(),
            create_group: false,
            seed: 0,
            election: ElectionRule::MostCompleteLog,
            heartbeat: Duration::from_millis(100),
            election_timeout: Duration::from_millis(600),
            lease: Duration::from_millis(400),
            max_batch_bytes: 256 * 1024,
            max_payload_bytes: 768 * 1024,
            chunk_bytes: 256 * 1024,
            max_in_flight: 8,
            max_uncommitted: 1024,
            snapshot_every: 1000,
            keep_behind: 200,
            broken: Broken::default(),
        }
    }
}
