//! Fake keepers that share a directory and a configuration and have a real ledger member each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use shallothill_core::config::Config;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{DataCentre, KeeperId, NodeName, Region, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::sections;
use shallothill_core::time::{Millis, UnixMillis};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{
    DepartureTable, Directory, DirectoryOptions, EndpointLoad, LeaseAnswer, LeaseReply,
    LeaseRequest, ReleaseRequest, ServiceSummary,
};
use shallothill_ledger::{
    ClaimReply, ClaimRequest, CompleteRequest, LedgerMember, LedgerOptions, LedgerRecord,
    WithdrawRequest,
};
use shallothill_node::settings::KeeperAddress;
use shallothill_policy::quota::{CreditReply, CreditRequest};
use shallothill_wire::control::KeeperControl;
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::departures::{
    DeparturesReply, KeeperGroup, RecordDeparturesReply, RecordDeparturesRequest,
};
use shallothill_wire::keeper_info::KeeperInfo;
use shallothill_wire::report::{ReportReply, ReportRequest};
use shallothill_wire::watch::{
    ConfigUpdate, Confirmed, SectionsReply, SectionsRequest, WatchReply, WatchRequest,
};
use shallothill_wire::{answer_calls, transport};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::time;
use tokio_util::sync::{CancellationToken, DropGuard};

pub struct SharedState {
    started: Instant,
    pub config: Mutex<(ConfigVersion, Config)>,
    /// A keeper with an old configuration, and that configuration.
    pub outdated: Mutex<Option<(KeeperId, ConfigVersion, Config)>>,
    /// Whether ejection leases are granted.
    pub grants_leases: AtomicBool,
    /// The keepers that report themselves as isolated from the primary.
    pub isolated: Mutex<BTreeSet<KeeperId>>,
    /// The keepers that have not read their log yet.
    pub without_log: Mutex<BTreeSet<KeeperId>>,
    /// The keepers that list no other keeper.
    pub without_peers: Mutex<BTreeSet<KeeperId>>,
    /// The number of watches that requested the complete directory.
    pub initial_watches: AtomicUsize,
    /// The number of calls for sections.
    pub section_calls: AtomicUsize,
    /// The delay of replies to initial watches and to calls for sections, in ms.
    pub long_reply_delay_ms: AtomicU64,
    infos: Mutex<Vec<KeeperInfo>>,
    directory: Mutex<Directory>,
    crashes: Mutex<Vec<CrashNotice>>,
    departures: Mutex<DepartureTable>,
    pub claims: Mutex<BTreeMap<IdempotencyKey, usize>>,
}

impl SharedState {
    fn now(&self) -> Millis {
        Millis(0) + self.started.elapsed()
    }

    fn config_of(&self, id: KeeperId) -> (ConfigVersion, Config) {
        match &*self.outdated.lock().unwrap() {
            Some((outdated, version, cfg)) if *outdated == id => (*version, cfg.clone()),
            _ => self.config.lock().unwrap().clone(),
        }
    }

    pub fn set_config(&self, version: u64, cfg: Config) {
        *self.config.lock().unwrap() = (ConfigVersion(version), cfg);
    }
}

#[derive(Clone)]
struct FakeKeeper {
    id: KeeperId,
    shared: Arc<SharedState>,
    member: Arc<Mutex<LedgerMember>>,
}

pub struct Keepers {
    pub shared: Arc<SharedState>,
    pub addresses: Vec<KeeperAddress>,
    stop_guards: Vec<DropGuard>,
}

impl Keepers {
    /// Starts three keepers of one region.
    pub async fn start(region: &str, cfg: Config) -> Self {
        let shared = Arc::new(SharedState {
            started: Instant::now(),
            config: Mutex::new((ConfigVersion(1), cfg)),
            outdated: Mutex::default(),
            grants_leases: AtomicBool::new(false),
            isolated: Mutex::default(),
            without_log: Mutex::default(),
            without_peers: Mutex::default(),
            initial_watches: AtomicUsize::new(0),
            section_calls: AtomicUsize::new(0),
            long_reply_delay_ms: AtomicU64::new(0),
            infos: Mutex::default(),
            directory: Mutex::new(Directory::new(
                KeeperId(1),
                Incarnation(1),
                DirectoryOptions::default(),
            )),
            crashes: Mutex::default(),
            departures: Mutex::default(),
            claims: Mutex::default(),
        });
        let group = [KeeperId(1), KeeperId(2), KeeperId(3)];
        let mut keepers = Self {
            shared: Arc::clone(&shared),
            addresses: Vec::new(),
            stop_guards: Vec::new(),
        };
        for id in group {
            let incarnation = Incarnation(u64::from(id.0));
            let options = LedgerOptions::default();
            let mut member = LedgerMember::try_new(id, &group, incarnation, options).unwrap();
            member.apply(&LedgerRecord::Ready { incarnation });
            let server = FakeKeeper {
                id,
                shared: Arc::clone(&shared),
                member: Arc::new(Mutex::new(member)),
            };
            keepers.serve(id, region, server).await;
        }
        keepers
    }

    async fn serve(&mut self, id: KeeperId, region: &str, server: FakeKeeper) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        self.addresses.push(KeeperAddress {
            id,
            region: Region::try_new(region).unwrap(),
            data_centre: DataCentre::try_new(&format!("{region}-1")).unwrap(),
            control_address: listener.local_addr().unwrap(),
        });
        self.shared.infos.lock().unwrap().push(KeeperInfo {
            id,
            zone: Zone {
                region: Region::try_new(region).unwrap(),
                data_centre: DataCentre::try_new(&format!("{region}-1")).unwrap(),
            },
            control_address: listener.local_addr().unwrap(),
        });
        let stop = CancellationToken::new();
        self.stop_guards.push(stop.clone().drop_guard());
        tokio::spawn(transport::serve(listener, stop, move |channel| {
            answer_calls!(channel, server.clone().serve())
        }));
    }

    /// Stops keeper `i` immediately.
    pub fn kill(&mut self, i: usize) {
        self.stop_guards[i] = CancellationToken::new().drop_guard();
    }

    pub fn report(&self, report: shallothill_directory::NodeReport) {
        let now = self.shared.now();
        self.shared
            .directory
            .lock()
            .unwrap()
            .apply_report(now, report);
    }

    /// Makes the keepers list each other at other addresses, such as those of relays.
    pub fn advertise(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let mut infos = self.shared.infos.lock().unwrap();
        for (info, address) in infos.iter_mut().zip(addresses) {
            info.control_address = address;
        }
    }

    pub fn address(&self, i: usize) -> SocketAddr {
        self.addresses[i].control_address
    }
}

impl FakeKeeper {
    fn group(&self) -> KeeperGroup {
        let read_log = !self.shared.without_log.lock().unwrap().contains(&self.id);
        let members = self.shared.infos.lock().unwrap().len() as u32;
        KeeperGroup {
            members: if read_log { members } else { 0 },
            keepers: Vec::new(),
        }
    }

    async fn delay_long_reply(&self) {
        let ms = self.shared.long_reply_delay_ms.load(Ordering::Relaxed);
        time::sleep(Duration::from_millis(ms)).await;
    }

    fn is_isolated(&self) -> bool {
        self.shared.isolated.lock().unwrap().contains(&self.id)
    }
}

fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    UnixMillis(since.as_millis() as u64)
}

impl KeeperControl for FakeKeeper {
    async fn report(self, _: Context, req: ReportRequest) -> ReportReply {
        let now = self.shared.now();
        let summary_of = |l: &EndpointLoad| ServiceSummary {
            service: l.service.clone(),
            endpoints: 12,
            p50_us: 2000,
            oldest_us: 2000,
            completed: 1000,
            errors: 0,
        };
        let summaries = req.loads.iter().map(summary_of).take(1).collect();
        let mut directory = self.shared.directory.lock().unwrap();
        if req.leaving {
            directory.apply_leave(now, &req.report.node, req.report.order());
        } else {
            directory.apply_report(now, req.report);
        }
        self.shared.crashes.lock().unwrap().extend(req.crashes);
        ReportReply {
            config_version: self.shared.config_of(self.id).0,
            summaries,
        }
    }

    async fn record_departures(
        self,
        _: Context,
        req: RecordDeparturesRequest,
    ) -> RecordDeparturesReply {
        let mut departures = self.shared.departures.lock().unwrap();
        departures.record(self.shared.now(), &req.node, req.departures);
        RecordDeparturesReply {
            durable: true,
            group: self.group(),
        }
    }

    async fn departures(self, _: Context, node: NodeName) -> DeparturesReply {
        DeparturesReply {
            departures: Some(self.shared.departures.lock().unwrap().of_node(&node)),
            group: self.group(),
        }
    }

    async fn watch(self, _: Context, req: WatchRequest) -> WatchReply {
        let until = Instant::now() + Duration::from_millis(u64::from(req.wait_ms));
        if req.cursor.is_none() {
            self.shared.initial_watches.fetch_add(1, Ordering::Relaxed);
            self.delay_long_reply().await;
        }
        loop {
            let isolated = self.is_isolated();
            let (version, cfg) = self.shared.config_of(self.id);
            let delta = self.shared.directory.lock().unwrap().delta(req.cursor);
            let changed = version > req.config_version || !delta.changes.is_empty();
            let changed = changed || isolated != req.isolated;
            if changed || Instant::now() >= until {
                let manifest = sections::manifest(&sections::split(&cfg));
                let update = ConfigUpdate::Manifest { version, manifest };
                return WatchReply {
                    config: (version > req.config_version).then_some(update),
                    config_version: version,
                    directory: Some(delta),
                    crashes: self.shared.crashes.lock().unwrap().clone(),
                    isolated,
                    confirmed: (req.confirm && !isolated).then_some(Confirmed {
                        version,
                        relative_ms: 0,
                    }),
                };
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn sections(self, _: Context, req: SectionsRequest) -> SectionsReply {
        self.shared.section_calls.fetch_add(1, Ordering::Relaxed);
        self.delay_long_reply().await;
        let (version, cfg) = self.shared.config_of(self.id);
        let mut all = sections::split(&cfg);
        all.retain(|s| req.ids.contains(&s.id()));
        SectionsReply {
            sections: (req.version == version).then_some(all),
            config_version: version,
        }
    }

    async fn confirmed_version(self, cx: Context) -> Option<ConfigVersion> {
        let req = SectionsRequest {
            version: ConfigVersion(0),
            ids: Vec::new(),
        };
        if self.is_isolated() {
            return None;
        }
        Some(self.sections(cx, req).await.config_version)
    }

    async fn isolated(self, _: Context) -> bool {
        self.is_isolated()
    }

    async fn keepers(self, _: Context) -> Vec<KeeperInfo> {
        let mut infos = self.shared.infos.lock().unwrap().clone();
        if self.shared.without_peers.lock().unwrap().contains(&self.id) {
            infos.retain(|info| info.id == self.id);
        }
        infos
    }

    async fn claim(self, _: Context, req: ClaimRequest) -> ClaimReply {
        *self
            .shared
            .claims
            .lock()
            .unwrap()
            .entry(req.key.clone())
            .or_default() += 1;
        self.member.lock().unwrap().claim(unix_now(), &req).0
    }

    async fn query_key(self, _: Context, key: IdempotencyKey) -> ClaimReply {
        self.member.lock().unwrap().query(unix_now(), &key)
    }

    async fn withdraw(self, _: Context, req: WithdrawRequest) -> bool {
        self.member.lock().unwrap().withdraw(&req).is_some()
    }

    async fn complete(self, _: Context, req: CompleteRequest) -> bool {
        self.member.lock().unwrap().complete(&req).is_some()
    }

    async fn lease(self, _: Context, req: LeaseRequest) -> LeaseReply {
        LeaseReply {
            keeper: self.id,
            round: req.round,
            answer: match self.shared.grants_leases.load(Ordering::Relaxed) {
                true => LeaseAnswer::Granted,
                false => LeaseAnswer::OverBudget,
            },
            budget: 1,
        }
    }

    // These keepers have no issuer.
    async fn credit(self, _: Context, _: CreditRequest) -> Option<CreditReply> {
        None
    }

    async fn release(self, _: Context, _: ReleaseRequest) {}
}
