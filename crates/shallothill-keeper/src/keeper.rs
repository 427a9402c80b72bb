//! The state that the parts of a keeper share.

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
use shallothill_directory::{LeaseMember, LeaseOptions, LeaseReply, LeaseRequest};
use shallothill_runtime::timer::Timer;
use shallothill_wire::keeper_info::KeeperInfo;
use shallothill_wire::watch::{SectionsReply, SectionsRequest};
use tokio::sync::watch;

use crate::change_log;
use crate::config_state::{ConfigState, SectionHistory};
use crate::isolation::Isolation;
use crate::ledger::LedgerHandle;
use crate::log::LogHandle;
use crate::membership_planner::{MembershipOptions, MembershipPlanner};
use crate::node_registry::NodeRegistry;
use crate::peers::{Peer, Peers};
use crate::published::Published;
use crate::settings::Settings;

/// `HEARD_FOR` is how long another keeper counts as heard after its last answer.
pub const HEARD_FOR: Duration = Duration::from_secs(6);

/// `VERSION_MAX` is far above any version that is ever reached; a higher one comes from a fault.
const VERSION_MAX: ConfigVersion = ConfigVersion(1 << 48);

/// `START_MIN` covers the time between two reports of a node, 2 s, with a failed one.
const START_MIN: Duration = Duration::from_secs(5);

/// `START_MAX` bounds the wait for keepers that do not answer.
const START_MAX: Duration = Duration::from_secs(8);

/// `KeeperParts` is what a keeper is built from.
#[derive(Debug)]
pub struct KeeperParts {
    /// The settings.
    pub settings: Settings,
    /// The timer service.
    pub timer: Timer,
    /// The life of the process.
    pub incarnation: Incarnation,
    /// The state machine of the config log.
    pub state: Arc<Mutex<ConfigState>>,
    /// Which sections changed in recent versions.
    pub sections: Arc<Mutex<SectionHistory>>,
    /// The ledger member.
    pub ledger: LedgerHandle,
    /// The config log.
    pub log: LogHandle,
    /// The other keepers.
    pub peers: Arc<Peers>,
}

/// `Keeper` is the shared state of the keeper's tasks and servers.
#[derive(Debug)]
pub struct Keeper {
    /// The settings.
    pub settings: Settings,
    /// The timer service.
    pub timer: Timer,
    /// The life of the process.
    pub incarnation: Incarnation,
    /// The configuration that is served.
    pub published: ArcSwap<Published>,
    /// The state machine of the config log.
    pub state: Arc<Mutex<ConfigState>>,
    /// Which sections changed in recent versions, for snapshots of the config log.
    pub sections: Arc<Mutex<SectionHistory>>,
    /// What is known of nodes.
    pub node_registry: Mutex<NodeRegistry>,
    /// Ejection tokens.
    pub leases: Mutex<LeaseMember>,
    /// The ledger member.
    pub ledger: LedgerHandle,
    /// The config log.
    pub log: LogHandle,
    /// The other keepers.
    pub peers: Arc<Peers>,
    /// Who belongs to the group, where keepers are discovered.
    pub membership_planner: Mutex<MembershipPlanner>,
    /// The text that was checked last, by its hash, so that it is not read again to be served.
    pub checked: Mutex<Option<(ContentHash, Arc<Config>)>>,
    isolation: Mutex<Isolation>,
    news: watch::Sender<()>,
    highest: watch::Sender<ConfigVersion>,
    ahead: Mutex<Option<(ConfigVersion, SocketAddr)>>,
}

impl Keeper {
    /// `new` shares the given parts.
    pub fn new(parts: KeeperParts) -> Self {
        let KeeperParts {
            settings,
            timer,
            incarnation,
            state,
            sections,
            ledger,
            log,
            peers,
        } = parts;
        let options = MembershipOptions {
            tolerated_losses: settings.tolerated_losses,
            ..MembershipOptions::default()
        };
        Self {
            peers,
            membership_planner: Mutex::new(MembershipPlanner::new(options)),
            isolation: Mutex::default(),
            node_registry: Mutex::new(NodeRegistry::new(settings.id, incarnation)),
            leases: Mutex::new(LeaseMember::new(
                settings.id,
                timer.now(),
                LeaseOptions::default(),
            )),
            published: ArcSwap::from_pointee(Published::default()),
            checked: Mutex::new(None),
            news: watch::Sender::new(()),
            highest: watch::Sender::new(ConfigVersion(0)),
            ahead: Mutex::new(None),
            settings,
            timer,
            incarnation,
            state,
            sections,
            ledger,
            log,
        }
    }

    /// `learn_version` notes a version that a node or another keeper acts on.
    pub fn learn_version(&self, version: ConfigVersion) {
        if version > VERSION_MAX {
            return;
        }
        self.highest.send_if_modified(|highest| {
            let news = version > *highest;
            *highest = version.max(*highest);
            news
        });
    }

    /// `learn_from_node` notes the version of a node, and its address if it is ahead of all others.
    pub fn learn_from_node(&self, version: ConfigVersion, address: SocketAddr) {
        if version > self.published.load().version() && version <= VERSION_MAX {
            let mut ahead = lock(&self.ahead);
            if ahead.is_none_or(|(known, _)| version >= known) {
                *ahead = Some((version, address));
            }
        }
        self.learn_version(version);
    }

    /// `node_ahead` returns the address of a node that acts on a higher version than the one that
    /// is served.
    pub fn node_ahead(&self) -> Option<SocketAddr> {
        let served = self.published.load().version();
        let ahead = *lock(&self.ahead);
        ahead
            .filter(|(version, _)| *version > served)
            .map(|(_, address)| address)
    }

    /// `highest` returns a receiver of the highest version heard of.
    pub fn highest(&self) -> watch::Receiver<ConfigVersion> {
        self.highest.subscribe()
    }

    /// `publish` serves `next` from now on, if it is newer than what is served.
    pub fn publish(&self, next: Published) {
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
        *lock(&self.sections) = self.published.load().history().clone();
        self.learn_version(next.version());
        self.wake();
    }

    /// `wake` lets everyone who waits for news look again.
    pub fn wake(&self) {
        self.news.send_replace(());
    }

    /// `news` returns a receiver that is woken by every change.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// `update_node_registry` runs `f` and wakes the watchers when the directory changed.
    pub fn update_node_registry<T>(&self, f: impl FnOnce(Millis, &mut NodeRegistry) -> T) -> T {
        let mut node_registry = lock(&self.node_registry);
        let before = node_registry.directory.cursor();
        let result = f(self.timer.now(), &mut node_registry);
        let changed = node_registry.directory.cursor() != before;
        drop(node_registry);
        if changed {
            self.wake();
        }
        result
    }

    /// `lease` decides on a request for an ejection token of this keeper's region.
    pub fn lease(&self, req: &LeaseRequest) -> LeaseReply {
        let budget = self.budget(req);
        lock(&self.leases).request(self.timer.now(), req, budget)
    }

    /// `sections` returns sections of the served version, or nothing for any other version.
    ///
    /// The reply names the accepted version, which may be served only a moment later: a node that
    /// starts right after an acceptance must not serve the version before it.
    pub fn sections(&self, req: &SectionsRequest) -> SectionsReply {
        let published = self.published.load();
        let accepted = lock(&self.state).version();
        SectionsReply {
            sections: (published.version() == req.version).then(|| published.sections(&req.ids)),
            config_version: published.version().max(accepted),
        }
    }

    /// `heard` notes that a keeper answered.
    pub fn heard(&self, from: KeeperId) {
        if let Some(peer) = self.peers.get(from) {
            *lock(&peer.heard) = Some(self.timer.now());
        }
    }

    /// `answered` notes that a member answered a heartbeat of the config log.
    pub fn answered(&self, from: KeeperId) {
        if let Some(peer) = self.peers.get(from) {
            *lock(&peer.answered) = Some(self.timer.now());
        }
    }

    /// `is_responsive` tells whether a keeper answered lately.
    pub fn is_responsive(&self, peer: &Peer) -> bool {
        let now = self.timer.now();
        lock(&peer.heard).is_some_and(|at| now.saturating_since(at) < HEARD_FOR)
    }

    /// `watch_isolation` notes whether a primary is known; call it about every 100 ms.
    pub fn watch_isolation(&self) {
        let alone = self.log.status().primary.is_none();
        let now = self.timer.now();
        if lock(&self.isolation).note(now, alone) {
            self.wake();
        }
    }

    /// `is_isolated` tells whether no primary has been known for a while, so that accepted versions
    /// may be missing here.
    pub fn is_isolated(&self) -> bool {
        lock(&self.isolation).is_isolated()
    }

    /// `known_keepers` lists the keepers whose places are known, this one included.
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
                control_address: peer.control.address(),
            })
        });
        others.chain([me]).collect()
    }

    /// `heard_keepers` lists the other keepers that answered lately.
    pub fn heard_keepers(&self) -> Vec<KeeperId> {
        let all = self.peers.all();
        let heard = all.iter().filter(|(_, peer)| self.is_responsive(peer));
        heard.map(|(id, _)| *id).collect()
    }

    /// `silent_keepers` lists the other keepers that have not answered for a while; at the start
    /// each of them gets that time.
    pub fn silent_keepers(&self) -> Vec<KeeperId> {
        let now = self.timer.now();
        let last = |peer: &Peer| lock(&peer.heard).unwrap_or_default();
        let all = self.peers.all();
        let silent = all
            .iter()
            .filter(|(_, peer)| now.saturating_since(last(peer)) >= HEARD_FOR);
        silent.map(|(id, _)| *id).collect()
    }

    /// `knows_nodes` tells whether the directory is complete enough to be sent to nodes, which
    /// drop everything that a full delta does not list. A keeper that was just started has to hear
    /// its own nodes and the other keepers first; in a new group there is nothing to wait for.
    pub fn knows_nodes(&self) -> bool {
        if self.log.status().formed {
            return true;
        }
        let age = self.timer.now().saturating_since(Millis(0));
        let all_heard = || self.peers.all().values().all(|p| lock(&p.heard).is_some());
        age >= START_MAX || age >= START_MIN && all_heard()
    }

    fn budget(&self, req: &LeaseRequest) -> u32 {
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
            .capacity(&token.service, &token.region);
        capacity.saturating_sub(floor)
    }
}

/// `lock` locks a mutex whose holders never leave its state half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
