//! The state that a keeper's tasks and servers share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use shallothill_core::config::Config;
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{LeaseOptions, LeaseReply, LeaseRequest, LeaseTable};
use shallothill_runtime::timer::Timer;
use shallothill_wire::keeper_info::KeeperInfo;
use shallothill_wire::watch::{SectionsReply, SectionsRequest};
use tokio::sync::watch;

use crate::change_log;
use crate::config_state::{ConfigState, SectionHistory};
use crate::confirmations::Confirmations;
use crate::credit::CreditService;
use crate::endpoint_departures::EndpointDepartures;
use crate::isolation::Isolation;
use crate::ledger::LedgerHandle;
use crate::log::LogHandle;
use crate::membership_planner::{MembershipOptions, MembershipPlanner};
use crate::node_registry::NodeRegistry;
use crate::peers::{Peer, Peers};
use crate::published::PublishedConfig;
use crate::settings::Settings;

/// `PEER_SILENT_AFTER` is the time without an answer after which another keeper counts as silent.
pub const PEER_SILENT_AFTER: Duration = Duration::from_secs(6);

/// `VERSION_MAX` is far above any version that is ever reached; higher ones are ignored as faulty.
const VERSION_MAX: ConfigVersion = ConfigVersion(1 << 48);

/// `DIRECTORY_WAIT_MIN` covers two intervals between a node's reports, 2 s each, in case one fails.
const DIRECTORY_WAIT_MIN: Duration = Duration::from_secs(5);

/// `DIRECTORY_WAIT_MAX` bounds the wait for other keepers that do not answer.
const DIRECTORY_WAIT_MAX: Duration = Duration::from_secs(8);

/// `KeeperParts` holds the dependencies of a [`Keeper`].
#[derive(Debug)]
pub struct KeeperParts {
    /// Settings of this keeper, with its final id.
    pub settings: Settings,
    /// Monotonic clock and timers; its time starts at 0 with the process.
    pub timer: Timer,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The state machine of the config log.
    pub state: Arc<Mutex<ConfigState>>,
    /// The sections that changed in recent versions.
    pub section_history: Arc<Mutex<SectionHistory>>,
    /// Calls to this keeper's ledger member.
    pub ledger: LedgerHandle,
    /// Calls to the driver of the config log, and its status.
    pub log: LogHandle,
    /// Connections to the other keepers.
    pub peers: Arc<Peers>,
    /// The departures of backend servers.
    pub departures: Arc<EndpointDepartures>,
}

/// `Keeper` holds the state that the tasks and servers of a keeper share.
#[derive(Debug)]
pub struct Keeper {
    /// Settings of this keeper, with its final id.
    pub settings: Settings,
    /// Monotonic clock and timers; its time starts at 0 with the process.
    pub timer: Timer,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The configuration version that is served to nodes and other keepers.
    pub published: ArcSwap<PublishedConfig>,
    /// The state machine of the config log.
    pub state: Arc<Mutex<ConfigState>>,
    /// The sections that changed in recent versions, for snapshots of the config log.
    pub section_history: Arc<Mutex<SectionHistory>>,
    /// Nodes with their backend servers, loads, crash notices and versions.
    pub node_registry: Mutex<NodeRegistry>,
    /// Grants ejection tokens of this keeper's region.
    pub leases: Mutex<LeaseTable>,
    /// Calls to this keeper's ledger member.
    pub ledger: LedgerHandle,
    /// Calls to the driver of the config log, and its status.
    pub log: LogHandle,
    /// Connections to the other keepers.
    pub peers: Arc<Peers>,
    /// The departures of backend servers.
    pub departures: Arc<EndpointDepartures>,
    /// Tokens of callers with quotas.
    pub credit: CreditService,
    /// Plans changes of the group; used only where keepers discover each other.
    pub membership_planner: Mutex<MembershipPlanner>,
    /// The configuration that was checked last and the hash of its text, so that it is not parsed
    /// again when it is published.
    pub checked_config: Mutex<Option<(ContentHash, Arc<Config>)>>,
    /// The confirmed version that is sent to nodes.
    pub confirmations: Confirmations,
    isolation: Mutex<Isolation>,
    changes: watch::Sender<()>,
    highest_version: watch::Sender<ConfigVersion>,
    ahead_node: Mutex<Option<(ConfigVersion, SocketAddr)>>,
}

impl Keeper {
    /// `new` builds the state with empty directory, leases and configuration.
    pub fn new(parts: KeeperParts) -> Self {
        let KeeperParts {
            settings,
            timer,
            incarnation,
            state,
            section_history,
            ledger,
            log,
            peers,
            departures,
        } = parts;
        let options = MembershipOptions {
            tolerated_losses: settings.tolerated_losses,
            ..MembershipOptions::default()
        };
        Self {
            peers,
            departures,
            credit: CreditService::new(settings.quotas.options()),
            membership_planner: Mutex::new(MembershipPlanner::new(options)),
            confirmations: Confirmations::default(),
            isolation: Mutex::default(),
            node_registry: Mutex::new(NodeRegistry::new(settings.id, incarnation)),
            leases: Mutex::new(LeaseTable::new(
                settings.id,
                timer.now(),
                LeaseOptions::default(),
            )),
            published: ArcSwap::from_pointee(PublishedConfig::default()),
            checked_config: Mutex::new(None),
            changes: watch::Sender::new(()),
            highest_version: watch::Sender::new(ConfigVersion(0)),
            ahead_node: Mutex::new(None),
            settings,
            timer,
            incarnation,
            state,
            section_history,
            ledger,
            log,
        }
    }

    /// `observe_version` records a version that a node or another keeper acts on.
    pub fn observe_version(&self, version: ConfigVersion) {
        if version > VERSION_MAX {
            return;
        }
        self.highest_version.send_if_modified(|highest| {
            let newer = version > *highest;
            *highest = version.max(*highest);
            newer
        });
    }

    /// `observe_node_version` records the version that a node acts on, and the node's address if no
    /// other node has a higher one.
    pub fn observe_node_version(&self, version: ConfigVersion, address: SocketAddr) {
        if version > self.published.load().version() && version <= VERSION_MAX {
            let mut ahead = lock(&self.ahead_node);
            if ahead.is_none_or(|(highest, _)| version >= highest) {
                *ahead = Some((version, address));
            }
        }
        self.observe_version(version);
    }

    /// `ahead_node_address` returns the address of a node that acts on a higher version than this
    /// keeper serves.
    pub fn ahead_node_address(&self) -> Option<SocketAddr> {
        let served = self.published.load().version();
        let ahead = *lock(&self.ahead_node);
        ahead
            .filter(|(version, _)| *version > served)
            .map(|(_, address)| address)
    }

    /// `subscribe_highest_version` returns a receiver of the highest version that was observed.
    pub fn subscribe_highest_version(&self) -> watch::Receiver<ConfigVersion> {
        self.highest_version.subscribe()
    }

    /// `publish` serves `next` if its version is higher than the served one.
    pub fn publish(&self, next: PublishedConfig) {
        let next = Arc::new(next);
        let current = self.published.load_full();
        if next.version() > current.version() {
            change_log::log_changes(
                (current.version(), current.config()),
                (next.version(), next.config()),
            );
        }
        self.published.rcu(|current| {
            let newer = next.version() > current.version();
            Arc::clone(if newer { &next } else { current })
        });
        *lock(&self.section_history) = self.published.load().history().clone();
        self.observe_version(next.version());
        self.notify_changes();
    }

    /// `notify_changes` wakes all receivers of [`Self::subscribe_changes`].
    pub fn notify_changes(&self) {
        self.changes.send_replace(());
    }

    /// `subscribe_changes` returns a receiver that wakes at each change of the configuration, the
    /// directory or the isolation.
    pub fn subscribe_changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// `update_node_registry` runs `f` and notifies subscribers when the directory changed.
    pub fn update_node_registry<T>(&self, f: impl FnOnce(Millis, &mut NodeRegistry) -> T) -> T {
        let mut node_registry = lock(&self.node_registry);
        let before = node_registry.directory.cursor();
        let result = f(self.timer.now(), &mut node_registry);
        let changed = node_registry.directory.cursor() != before;
        drop(node_registry);
        if changed {
            self.notify_changes();
        }
        result
    }

    /// `request_lease` grants or refuses an ejection token of this keeper's region.
    pub fn request_lease(&self, req: &LeaseRequest) -> LeaseReply {
        let budget = self.ejection_budget(req);
        lock(&self.leases).handle_request(self.timer.now(), req, budget)
    }

    /// `sections` returns sections of the served version, or `None` for any other version.
    ///
    /// The reply names the accepted version, which may not be published yet: a node that starts
    /// right after an acceptance must not serve the version before it.
    pub fn sections(&self, req: &SectionsRequest) -> SectionsReply {
        let published = self.published.load();
        let accepted = lock(&self.state).version();
        SectionsReply {
            sections: (published.version() == req.version).then(|| published.sections(&req.ids)),
            config_version: published.version().max(accepted),
        }
    }

    /// `record_answer` records that a keeper answered a poll now.
    pub fn record_answer(&self, from: KeeperId) {
        if let Some(peer) = self.peers.get(from) {
            *lock(&peer.last_answer) = Some(self.timer.now());
        }
    }

    /// `record_heartbeat_answer` records that a member answered a heartbeat of the config log now.
    pub fn record_heartbeat_answer(&self, from: KeeperId) {
        if let Some(peer) = self.peers.get(from) {
            *lock(&peer.last_heartbeat_answer) = Some(self.timer.now());
        }
    }

    /// `is_responsive` tells whether a keeper answered a poll within [`PEER_SILENT_AFTER`].
    pub fn is_responsive(&self, peer: &Peer) -> bool {
        let now = self.timer.now();
        lock(&peer.last_answer).is_some_and(|at| now.saturating_since(at) < PEER_SILENT_AFTER)
    }

    /// `update_isolation` records whether a primary is known; call it about every 100 ms.
    pub fn update_isolation(&self) {
        let no_primary = self.log.status().primary.is_none();
        let now = self.timer.now();
        if lock(&self.isolation).update(now, no_primary) {
            self.notify_changes();
        }
    }

    /// `is_isolated` tells whether no primary has been known for so long that accepted versions may
    /// be missing here.
    pub fn is_isolated(&self) -> bool {
        lock(&self.isolation).is_isolated()
    }

    /// `known_keepers` lists the keepers whose zones are known, this one included.
    pub fn known_keepers(&self) -> Vec<KeeperInfo> {
        let me = KeeperInfo {
            id: self.settings.id,
            zone: self.settings.zone(),
            control_address: self.settings.control_address,
        };
        let all = self.peers.all();
        let others = all.iter().filter_map(|(id, peer)| {
            let zone = lock(&peer.zone).clone()?;
            Some(KeeperInfo {
                id: *id,
                zone,
                control_address: peer.control_rpc.address(),
            })
        });
        others.chain([me]).collect()
    }

    /// `responsive_keepers` lists the other keepers that answered within [`PEER_SILENT_AFTER`].
    pub fn responsive_keepers(&self) -> Vec<KeeperId> {
        let all = self.peers.all();
        let responsive = all.iter().filter(|(_, peer)| self.is_responsive(peer));
        responsive.map(|(id, _)| *id).collect()
    }

    /// `silent_keepers` lists the other keepers that have not answered for [`PEER_SILENT_AFTER`],
    /// counted from the start of the process at the earliest.
    pub fn silent_keepers(&self) -> Vec<KeeperId> {
        let now = self.timer.now();
        let last_answer = |peer: &Peer| lock(&peer.last_answer).unwrap_or_default();
        let all = self.peers.all();
        let silent = all
            .iter()
            .filter(|(_, peer)| now.saturating_since(last_answer(peer)) >= PEER_SILENT_AFTER);
        silent.map(|(id, _)| *id).collect()
    }

    /// `is_directory_complete` tells whether the directory can be sent as a full delta; nodes drop
    /// everything that it does not list. A keeper that was just started waits for reports of its
    /// own nodes and answers of the other keepers first, except in a new group.
    pub fn is_directory_complete(&self) -> bool {
        if self.log.status().formed {
            return true;
        }
        let age = self.timer.now().saturating_since(Millis(0));
        let all_answered = || {
            self.peers
                .all()
                .values()
                .all(|p| lock(&p.last_answer).is_some())
        };
        age >= DIRECTORY_WAIT_MAX || age >= DIRECTORY_WAIT_MIN && all_answered()
    }

    fn ejection_budget(&self, req: &LeaseRequest) -> u32 {
        let token = &req.token;
        if token.region != self.settings.region {
            return 0;
        }
        let published = self.published.load();
        let config = published.config();
        let Some(service) = config.services.get(&token.service) else {
            return 0;
        };
        let floor = service.floor.in_region(&token.region, config.regions.len());
        let node_registry = lock(&self.node_registry);
        let capacity = node_registry
            .directory
            .count_healthy_or_ejected(&token.service, &token.region);
        capacity.saturating_sub(floor)
    }
}

/// `lock` locks a mutex and ignores poisoning, since holders never leave the state partly changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
