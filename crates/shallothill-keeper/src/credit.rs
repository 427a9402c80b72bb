//! Grants tokens of callers with quotas: as relay to the nodes that ask this keeper, and as issuer
//! while it is the primary of the config log.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use serde::Serialize;
use shallothill_core::config::Quota;
use shallothill_core::hash;
use shallothill_core::version::ConfigVersion;
use shallothill_policy::quota::{
    CreditOptions, CreditReply, CreditRequest, Issuer, Relay, RelayReply,
};
use shallothill_replica::View;
use shallothill_wire::credit;
use tokio::sync::{Notify, watch};
use tracing::{debug, info};

use crate::keeper::{Keeper, lock};
use crate::log::LogCallError;

/// `REPORT_PERIOD` is the time between requests to the issuer while no node waits.
const REPORT_PERIOD: Duration = Duration::from_millis(150);

/// `ISSUER_TIMEOUT` bounds a request to the issuer. It leaves a waiting node the time to ask another
/// keeper.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(250);

/// `MISSING_TIMEOUT` bounds the time for which a node's request waits for the issuer.
const MISSING_TIMEOUT: Duration = Duration::from_millis(350);

/// `FAILURE_PAUSE` is the pause after a request to the issuer that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// `IDLE_CHECK_ROUNDS` is the number of periods after which idle buckets are dropped.
const IDLE_CHECK_ROUNDS: u32 = 20;

/// `Quotas` holds the quotas of one configuration version by the hash of the caller's name.
#[derive(Debug, Default)]
struct Quotas {
    version: ConfigVersion,
    by_caller: HashMap<u64, Quota>,
}

/// `CreditService` holds the tokens of this keeper and, at the primary, the buckets.
#[derive(Debug)]
pub struct CreditService {
    options: CreditOptions,
    relay: Mutex<Relay>,
    issuer: Mutex<Option<(View, Issuer)>>,
    quotas: ArcSwap<Quotas>,
    /// Wakes the task that asks the issuer.
    needed: Notify,
    /// Notified after each request to the issuer.
    asked: watch::Sender<()>,
}

/// `CreditStatus` counts the callers that use credit, for metrics and dumps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CreditStatus {
    /// The callers of which nodes hold or asked for tokens at this keeper.
    pub relayed_callers: usize,
    /// The callers with a bucket; 0 at keepers that do not issue.
    pub issued_callers: usize,
}

impl CreditService {
    /// `new` returns a service without tokens.
    pub fn new(options: CreditOptions) -> Self {
        Self {
            options,
            relay: Mutex::new(Relay::new(random_id())),
            issuer: Mutex::new(None),
            quotas: ArcSwap::default(),
            needed: Notify::new(),
            asked: watch::Sender::new(()),
        }
    }

    /// `status` counts the callers that use credit.
    pub fn status(&self) -> CreditStatus {
        CreditStatus {
            relayed_callers: lock(&self.relay).callers(),
            issued_callers: lock(&self.issuer).as_ref().map_or(0, |(_, i)| i.callers()),
        }
    }

    fn quotas(&self, keeper: &Keeper) -> Arc<Quotas> {
        let published = keeper.published.load();
        let known = self.quotas.load_full();
        if known.version == published.version() {
            return known;
        }
        let callers = published.config().callers.iter();
        let by_caller = callers.map(|(name, caller)| {
            let quota = caller.quota.unwrap_or_default();
            (hash::hash64(name.as_str().as_bytes()), quota)
        });
        let quotas = Arc::new(Quotas {
            version: published.version(),
            by_caller: by_caller.collect(),
        });
        self.quotas.store(Arc::clone(&quotas));
        quotas
    }
}

/// `serve_node` answers the request of a node. If tokens are missing, it waits for the issuer.
pub async fn serve_node(keeper: &Keeper, req: CreditRequest) -> Option<CreditReply> {
    if !credit::is_valid(&req) {
        return None;
    }
    let service = &keeper.credit;
    let quotas = service.quotas(keeper);
    let quota_of = |caller: u64| quotas.by_caller.get(&caller).copied();
    let mut asked = service.asked.subscribe();
    let mut answer = {
        let mut relay = lock(&service.relay);
        let now = keeper.timer.now();
        let answer = relay.handle(now, &req, quota_of)?;
        relay.start_waiting(now, &answer);
        answer
    };
    let waiting = Waiting::new(service, &answer);
    let mut end = keeper.timer.after(MISSING_TIMEOUT);
    while !answer.missing.is_empty() {
        service.needed.notify_one();
        tokio::select! {
            _ = asked.changed() => {
                let now = keeper.timer.now();
                lock(&service.relay).complete(now, quota_of, &mut answer);
            }
            _ = &mut end => break,
        }
    }
    drop(waiting);
    Some(answer.reply)
}

/// `Waiting` ends the wait of a node's request also when the call is cancelled.
struct Waiting<'a> {
    service: &'a CreditService,
    missing: Vec<(u64, u32)>,
}

impl<'a> Waiting<'a> {
    fn new(service: &'a CreditService, answer: &RelayReply) -> Self {
        Self {
            service,
            missing: answer.missing.clone(),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.service.relay).stop_waiting(&self.missing);
    }
}

/// `issue` answers the request of a keeper from the buckets.
///
/// Fails unless this keeper is the primary of the config log and its read lease is valid at the time
/// of the grant, so that two keepers never issue at the same time.
pub async fn issue(
    keeper: &Keeper,
    req: &CreditRequest,
) -> Result<Option<CreditReply>, LogCallError> {
    let unavailable = |reason: &str| Err(LogCallError::Unavailable(reason.to_owned()));
    if !credit::is_valid(req) {
        return unavailable("the request is too large or its numbers are not in order");
    }
    let lease = keeper.log.read_lease().await?;
    let service = &keeper.credit;
    let quotas = service.quotas(keeper);
    let mut issuer = lock(&service.issuer);
    let now = keeper.timer.now();
    if now >= lease.until {
        return unavailable("the lease of the primary has ended");
    }
    if issuer.as_ref().is_none_or(|(view, _)| *view < lease.view) {
        info!(view = lease.view.0, "credit: this keeper issues tokens now");
        let next = Issuer::new(service.options.clone(), random_id(), now);
        *issuer = Some((lease.view, next));
    }
    match issuer.as_mut() {
        Some((view, issuer)) if *view == lease.view => {
            Ok(issuer.handle(now, req, |caller| quotas.by_caller.get(&caller).copied()))
        }
        _ => unavailable("the primary of the config log has changed"),
    }
}

/// `run` asks the issuer for tokens until the timer service ends.
pub async fn run(keeper: Arc<Keeper>) {
    let mut period = keeper.timer.every(REPORT_PERIOD);
    let mut rounds: u32 = 0;
    let mut failing = false;
    loop {
        tokio::select! {
            () = keeper.credit.needed.notified() => {}
            tick = period.recv() => {
                if tick.is_none() {
                    return;
                }
                rounds = rounds.wrapping_add(1);
                if rounds.is_multiple_of(IDLE_CHECK_ROUNDS) {
                    drop_idle(&keeper);
                }
            }
        }
        let answered = ask_issuer(&keeper).await;
        keeper.credit.asked.send_replace(());
        match &answered {
            Ok(()) if failing => info!("credit: the issuer answers again"),
            Err(reason) if !failing => info!("credit: no tokens from the issuer: {reason}"),
            Ok(()) | Err(_) => {}
        }
        failing = answered.is_err();
        if failing {
            // The timer fails only when the process ends.
            let _ = keeper.timer.after(FAILURE_PAUSE).await;
        }
    }
}

async fn ask_issuer(keeper: &Keeper) -> Result<(), String> {
    let req = {
        let mut relay = lock(&keeper.credit.relay);
        let now = keeper.timer.now();
        relay.expire(now);
        relay.holder().request(now)
    };
    let Some(req) = req else {
        return Ok(());
    };
    let reply = match issue(keeper, &req).await {
        Ok(reply) => reply,
        Err(LogCallError::NotPrimary(primary)) => {
            let peer = keeper.peers.get(primary);
            let peer = peer.ok_or_else(|| "the primary is not known".to_owned())?;
            let call = peer.peer_rpc.call(ISSUER_TIMEOUT, |client, cx| async move {
                client.credit(cx, req).await
            });
            call.await.map_err(|e| e.to_string())?
        }
        Err(LogCallError::Unavailable(reason)) => return Err(reason),
    };
    let reply = reply.ok_or_else(|| "the issuer has no valid lease".to_owned())?;
    let mut relay = lock(&keeper.credit.relay);
    let denied = relay.holder().apply(keeper.timer.now(), &reply);
    if denied > 0 {
        debug!(denied, "credit: the issuer denied callers");
    }
    Ok(())
}

fn drop_idle(keeper: &Keeper) {
    if let Some((_, issuer)) = lock(&keeper.credit.issuer).as_mut() {
        issuer.drop_idle(keeper.timer.now());
    }
}

// 0 stands for no granter in the messages.
fn random_id() -> u64 {
    rand::random::<u64>().max(1)
}
