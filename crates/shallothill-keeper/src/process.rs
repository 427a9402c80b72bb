//! Starts and stops a keeper and its tasks.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::StatsdClient;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_replica::Message;
use shallothill_runtime::timer::Timer;
use shallothill_runtime::{admin, metrics as runtime_metrics};
use shallothill_wire::control::KeeperControl;
use shallothill_wire::{answer_calls, transport};
use snafu::ResultExt;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::config_state::{ConfigState, SectionHistory};
use crate::control::ControlServer;
use crate::data::DurableData;
use crate::errors;
use crate::fatal::Fatal;
use crate::group::GroupManager;
use crate::keeper::{Keeper, KeeperParts};
use crate::ledger::LedgerHandle;
use crate::listeners::Listeners;
use crate::log::{Driver, DriverParts, LogHandle, PeerLinks};
use crate::operators::OperatorHandler;
use crate::peer::KeeperPeer;
use crate::peer_server::PeerServer;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::{
    confirmations, credit, departure, departure_recovery, housekeeping, ledger, metrics, publisher,
    sync,
};

/// `MESSAGE_QUEUE_MAX` bounds the messages of other keepers that wait for the driver of the config
/// log.
const MESSAGE_QUEUE_MAX: usize = 1024;

/// `CALLS_PER_CONNECTION_MAX` bounds the concurrent calls of one connection; further ones are
/// refused, and their callers retry. A node has a few long polls and a call for each claim in
/// progress.
const CALLS_PER_CONNECTION_MAX: usize = 1024;

/// `STOP_TIMEOUT` bounds the wait for tasks in a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// `StartOptions` holds the options of one start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StartOptions {
    /// Whether this is the first start of a new group.
    pub new_group: bool,
}

/// `Process` is a started keeper with its tasks; [`Self::run`] waits for its end.
#[derive(Debug)]
pub struct Process {
    /// Bound address of the service for nodes.
    pub control_address: SocketAddr,
    /// Bound address of the service for other keepers.
    pub peer_address: SocketAddr,
    /// Bound address of the admin endpoint for operators.
    pub admin_address: SocketAddr,
    keeper: Arc<Keeper>,
    metrics: Arc<StatsdClient>,
    fatal: mpsc::UnboundedReceiver<String>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Process {
    /// `start` opens the data folder, starts all tasks and serves on `listeners`.
    ///
    /// Fails when the settings contradict themselves or the data folder cannot be used.
    pub async fn start(
        settings: Settings,
        listeners: Listeners,
        options: StartOptions,
    ) -> errors::Result<Self> {
        settings.check()?;
        let settings = settings.with_discovered_id();
        let control_address = address(&listeners.control)?;
        let peer_address = address(&listeners.peer)?;
        let admin_address = address(&listeners.admin)?;
        let (fatal_tx, fatal) = Fatal::new();
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let timer = Timer::start();
        let data = DurableData::open(&settings).await?;
        let ledger = LedgerHandle::start(data.member, data.journal, fatal_tx.clone());
        let state = Arc::new(Mutex::new(ConfigState::default()));
        let section_history = Arc::new(Mutex::new(SectionHistory::default()));
        let (log, commands, status) = LogHandle::new();
        let (applied, applied_rx) = watch::channel(());
        let (messages_tx, messages) = mpsc::channel(MESSAGE_QUEUE_MAX);
        let peers = Arc::new(Peers::new(&settings));
        let driver = Driver::try_new(DriverParts {
            me: settings.id,
            members: settings.members(),
            new_group: options.new_group && is_founder(&settings),
            times: settings.log.clone(),
            timer: timer.clone(),
            disk: data.disk,
            durable: data.durable,
            state: Arc::clone(&state),
            section_history: Arc::clone(&section_history),
            ledger: ledger.clone(),
            commands,
            messages,
            links: PeerLinks::new(settings.id, Arc::clone(&peers), &tasks, &stop),
            status,
            applied,
            fatal: fatal_tx,
        })?;
        let metrics =
            runtime_metrics::statsd_client("shallothill.keeper", settings.process.metrics_address)?;
        let incarnation = Incarnation(rand::random());
        let keeper = Keeper::new(KeeperParts {
            settings,
            timer,
            incarnation,
            state,
            section_history,
            ledger,
            log,
            peers,
            departures: Arc::new(data.departures),
        });
        let process = Self {
            control_address,
            peer_address,
            admin_address,
            keeper: Arc::new(keeper),
            metrics: Arc::new(metrics),
            fatal,
            stop,
            tasks,
        };
        // The content of the last snapshot is published before the log continues from it, so that
        // the section history has no gap there.
        publisher::publish_applied(&process.keeper).await;
        process.tasks.spawn(driver.run(process.stop.clone()));
        process.spawn(listeners, messages_tx, applied_rx);
        Ok(process)
    }

    /// `run` waits until `stop` is cancelled and then stops gracefully.
    ///
    /// Fails with `Fatal` when the keeper cannot continue, such as after a failed sync.
    pub async fn run(mut self, stop: CancellationToken) -> errors::Result<()> {
        let ended = tokio::select! {
            () = stop.cancelled() => Ok(()),
            message = self.fatal.recv() => {
                let message = message.unwrap_or_default();
                errors::FatalSnafu { message }.fail()
            }
        };
        if ended.is_ok() && self.keeper.settings.uses_discovery() {
            departure::leave(&self.keeper).await;
        }
        self.stop.cancel();
        self.tasks.close();
        if tokio::time::timeout(STOP_TIMEOUT, self.tasks.wait())
            .await
            .is_err()
        {
            info!("keeper: some tasks did not end in time");
        }
        ended
    }

    /// `keeper` returns the state that the tasks and servers share.
    pub fn keeper(&self) -> &Arc<Keeper> {
        &self.keeper
    }

    fn spawn(
        &self,
        listeners: Listeners,
        messages: mpsc::Sender<(KeeperId, Message)>,
        applied: watch::Receiver<()>,
    ) {
        let tasks = &self.tasks;
        let stop = || self.stop.clone();
        let keeper = || Arc::clone(&self.keeper);
        let server = ControlServer(keeper());
        tasks.spawn(transport::serve(
            listeners.control,
            stop(),
            move |channel| {
                answer_calls!(
                    channel.max_concurrent_requests(CALLS_PER_CONNECTION_MAX),
                    server.clone().serve()
                )
            },
        ));
        let server = PeerServer {
            keeper: keeper(),
            messages,
        };
        tasks.spawn(transport::serve(listeners.peer, stop(), move |channel| {
            answer_calls!(
                channel.max_concurrent_requests(CALLS_PER_CONNECTION_MAX),
                server.clone().serve()
            )
        }));
        let operators = Arc::new(OperatorHandler(keeper()));
        tasks.spawn(admin::serve(listeners.admin, operators, stop()));
        tasks.spawn(publisher::run(keeper(), applied, stop()));
        if self.keeper.settings.uses_discovery() {
            let group = GroupManager {
                keeper: keeper(),
                tasks: tasks.clone(),
                stop: stop(),
            };
            tasks.spawn(group.run());
        } else {
            tasks.spawn(until_stopped(ledger::recover(keeper()), stop()));
            for id in self.keeper.peers.all().keys() {
                tasks.spawn(sync::poll_peer(keeper(), *id, stop()));
            }
        }
        tasks.spawn(until_stopped(confirmations::run(keeper()), stop()));
        tasks.spawn(until_stopped(credit::run(keeper()), stop()));
        tasks.spawn(until_stopped(departure_recovery::run(keeper()), stop()));
        tasks.spawn(until_stopped(housekeeping::run(keeper()), stop()));
        tasks.spawn(until_stopped(
            housekeeping::run_isolation_checks(keeper()),
            stop(),
        ));
        tasks.spawn(until_stopped(
            metrics::run(keeper(), self.metrics.clone()),
            stop(),
        ));
    }
}

// With discovery, the seeds form a new group and the other keepers join it.
fn is_founder(settings: &Settings) -> bool {
    !settings.uses_discovery() || settings.members().contains(&settings.id)
}

async fn until_stopped(task: impl Future<Output = ()>, stop: CancellationToken) {
    tokio::select! {
        () = task => {}
        () = stop.cancelled() => {}
    }
}

fn address(listener: &TcpListener) -> errors::Result<SocketAddr> {
    listener.local_addr().context(errors::AddressSnafu)
}
