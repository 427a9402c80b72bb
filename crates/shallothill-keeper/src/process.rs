//! Starts and stops a keeper.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::info;
use shallothill_core::incarnation::Incarnation;
use shallothill_ledger::{LedgerOptions, Member, Record};
use shallothill_runtime::timer::Timer;
use shallothill_runtime::{admin, settings};
use shallothill_wire::{answer_calls, transport};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config_state::ConfigState;
use crate::control::ControlServer;
use crate::errors;
use crate::fatal::Fatal;
use crate::keeper::{Keeper, lock};
use crate::ledger::{LedgerHandle, NoJournal};
use crate::log::LogHandle;
use crate::operators::Operators;
use crate::peer::KeeperPeer;
use crate::peer_server::PeerServer;
use crate::settings::Settings;
use crate::{clock, log as config_log, publisher, sync};
use shallothill_wire::control::KeeperControl;

/// `STOP_WITHIN` bounds the time that a graceful stop takes.
const STOP_WITHIN: Duration = Duration::from_secs(5);

/// `HOUSEKEEPING_EVERY` is the time between two checks for silent nodes and old notices.
const HOUSEKEEPING_EVERY: Duration = Duration::from_secs(1);

/// `FORGET_EVERY` is the number of checks between two that drop old keys; each writes a record.
const FORGET_EVERY: u64 = 60;

/// `StartOptions` holds the choices of one start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StartOptions {
    /// Whether this is the first start of a new group.
    pub new_group: bool,
}

/// `Process` is a running keeper.
#[derive(Debug)]
pub struct Process {
    /// The bound address for nodes.
    pub control_address: SocketAddr,
    /// The bound address for other keepers.
    pub peer_address: SocketAddr,
    /// The bound admin address.
    pub admin_address: SocketAddr,
    keeper: Arc<Keeper>,
    fatal: mpsc::UnboundedReceiver<String>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

struct Listeners {
    control: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

impl Process {
    /// `start` binds the addresses of `settings` and serves.
    ///
    /// Fails when the settings contradict themselves, an address is taken or the data folder
    /// cannot be used.
    pub async fn start(settings: Settings, options: StartOptions) -> errors::Result<Self> {
        settings.check()?;
        let listeners = Listeners {
            control: settings::bind(settings.control_address, "nodes").await?,
            peer: settings::bind(settings.peer_address, "keepers").await?,
            admin: settings::bind(settings.process.admin_address, "operators").await?,
        };
        let (fatal_tx, fatal) = Fatal::new();
        let incarnation = Incarnation(clock::now().0);
        let mut member = Member::try_new(
            settings.id,
            &settings.ledger_group(),
            incarnation,
            LedgerOptions::default(),
        )?;
        if options.new_group {
            member.replay(&Record::Whole { incarnation });
        }
        let ledger = LedgerHandle::start(member, NoJournal, fatal_tx);
        let timer = Timer::start();
        let state = Arc::new(Mutex::new(ConfigState::default()));
        let (log, rx, status) = LogHandle::new();
        let (applied, applied_rx) = watch::channel(());
        let tasks = TaskTracker::new();
        tasks.spawn(config_log::run(
            settings.id,
            Arc::clone(&state),
            rx,
            status,
            applied,
        ));
        let keeper = Arc::new(Keeper::new(
            settings,
            timer,
            incarnation,
            state,
            ledger,
            log,
        ));
        let process = Self {
            control_address: address(&listeners.control)?,
            peer_address: address(&listeners.peer)?,
            admin_address: address(&listeners.admin)?,
            keeper,
            fatal,
            stop: CancellationToken::new(),
            tasks,
        };
        process.spawn(listeners, applied_rx);
        Ok(process)
    }

    /// `run` waits until `stop` is cancelled and then stops gracefully.
    ///
    /// Fails with `Fatal` when the keeper cannot go on, such as after a failed sync.
    pub async fn run(mut self, stop: CancellationToken) -> errors::Result<()> {
        let ended = tokio::select! {
            () = stop.cancelled() => Ok(()),
            message = self.fatal.recv() => {
                let message = message.unwrap_or_default();
                errors::FatalSnafu { message }.fail()
            }
        };
        self.stop.cancel();
        self.tasks.close();
        if tokio::time::timeout(STOP_WITHIN, self.tasks.wait())
            .await
            .is_err()
        {
            info!("keeper: some tasks did not end in time");
        }
        ended
    }

    /// `keeper` returns the shared state.
    pub fn keeper(&self) -> &Arc<Keeper> {
        &self.keeper
    }

    fn spawn(&self, listeners: Listeners, applied: watch::Receiver<()>) {
        let tasks = &self.tasks;
        let stop = || self.stop.clone();
        let keeper = || Arc::clone(&self.keeper);
        let server = ControlServer(keeper());
        tasks.spawn(transport::serve(
            listeners.control,
            stop(),
            move |channel| answer_calls!(channel, server.clone().serve()),
        ));
        let server = PeerServer(keeper());
        tasks.spawn(transport::serve(listeners.peer, stop(), move |channel| {
            answer_calls!(channel, server.clone().serve())
        }));
        let operators = Arc::new(Operators(keeper()));
        tasks.spawn(admin::serve(listeners.admin, operators, stop()));
        tasks.spawn(publisher::run(keeper(), applied, stop()));
        tasks.spawn(housekeeping(keeper(), stop()));
        for id in self.keeper.peers.keys() {
            tasks.spawn(sync::follow(keeper(), *id, stop()));
        }
    }
}

async fn housekeeping(keeper: Arc<Keeper>, stop: CancellationToken) {
    let mut ticks = keeper.timer.every(HOUSEKEEPING_EVERY);
    let mut count: u64 = 0;
    loop {
        tokio::select! {
            _ = ticks.recv() => {}
            () = stop.cancelled() => return,
        }
        count += 1;
        keeper.with_membership(|now, membership| membership.expire(now));
        lock(&keeper.leases).expire(keeper.timer.now());
        if count.is_multiple_of(FORGET_EVERY) {
            keeper.ledger.forget().await;
        }
    }
}

fn address(listener: &TcpListener) -> errors::Result<SocketAddr> {
    listener.local_addr().context(errors::AddressSnafu)
}
