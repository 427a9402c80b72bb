//! The client of the ledger: claims idempotency keys at the keepers of their home regions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use rand::Rng;
use shallothill_core::hash::ContentHash;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{KeeperId, NodeName, Region};
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{
    Claim, ClaimId, ClaimOutcome, ClaimReply, Claimant, CompleteRequest, Completion,
    WithdrawRequest,
};
use shallothill_runtime::clock;
use shallothill_runtime::timer::Timer;
use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::control::{Keeper, Keepers};

/// `RETRY_PAUSE` is the pause before a call is repeated at a keeper that could not be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// `MAX_BACKGROUND_CALLS` bounds the withdrawals and completions that are retried in the
/// background.
const MAX_BACKGROUND_CALLS: usize = 10_000;

/// `COMPLETION_RETRY_PERIOD` is the time for which a completion is retried.
const COMPLETION_RETRY_PERIOD: Duration = Duration::from_secs(60);

/// `WITHDRAWAL_RETRY_PERIOD` is the time for which a withdrawal is retried: until the key expires.
const WITHDRAWAL_RETRY_PERIOD: Duration = Duration::from_secs(24 * 3600);

/// `CALL_TIMEOUT` bounds each background call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `MAX_RELEASE_WAIT` bounds the wait until the keepers have freed a key.
const MAX_RELEASE_WAIT: Duration = Duration::from_millis(250);

/// `MAX_CLAIM_MARGIN` is the largest margin between the end of a claim and the deadline of its
/// request. It covers [`MAX_RELEASE_WAIT`] and the transit time of the refusal to the entry node,
/// which reports a request without a reply as unknown.
const MAX_CLAIM_MARGIN: Duration = Duration::from_millis(500);

/// `MAX_RETRY_PAUSE` bounds the pause between retries of a background call.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(60);

/// `EXPIRY_MARGIN` is the time after the deadline of a request at which its claim expires; it
/// allows for the clock skew between hosts.
const EXPIRY_MARGIN: Duration = Duration::from_secs(15);

/// `LedgerClient` claims idempotency keys on behalf of this gate.
#[derive(Debug)]
pub struct LedgerClient {
    node: NodeName,
    regions: Vec<Region>,
    keepers: Arc<Keepers>,
    timeout: Duration,
    timer: Timer,
    tasks: TaskTracker,
    claims: AtomicUsize,
    background_calls: AtomicUsize,
}

/// `GrantedClaim` is the claim of this gate on a key; dropping it before the request is dispatched
/// withdraws the claim.
#[derive(Debug)]
pub struct GrantedClaim {
    ledger: Arc<LedgerClient>,
    group: Vec<Arc<Keeper>>,
    claimant: Claimant,
    /// When a refusal must leave the gate to reach the entry node before the deadline.
    refuse_by: Instant,
    dispatched: bool,
}

impl GrantedClaim {
    /// `mark_dispatched` records that the request may have run from now on, so that the claim is no
    /// longer withdrawn on drop.
    pub fn mark_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// `release` withdraws an unused claim and waits until a majority of the keepers have freed the
    /// key, so that another attempt does not find it claimed. The wait is bounded by
    /// [`MAX_RELEASE_WAIT`] and ends earlier when the deadline of the request is near.
    pub async fn release(mut self) {
        self.dispatched = true;
        let withdrawal = self.claimant.withdraw_request();
        let mut freed = self.ledger.send_withdrawal(&self.group, &withdrawal);
        let until = self.refuse_by.min(Instant::now() + MAX_RELEASE_WAIT);
        for _ in 0..=self.group.len() / 2 {
            if !matches!(time::timeout_at(until, freed.recv()).await, Ok(Some(()))) {
                return;
            }
        }
    }

    /// `complete` stores the outcome of the request at the keepers, in the background.
    pub fn complete(&self, completion: Completion) {
        let req = self.claimant.complete_request(completion);
        self.ledger.send_completion(&self.group, &req);
    }
}

impl Drop for GrantedClaim {
    fn drop(&mut self) {
        if !self.dispatched {
            let withdrawal = self.claimant.withdraw_request();
            drop(self.ledger.send_withdrawal(&self.group, &withdrawal));
        }
    }
}

/// `CountGuard` counts a pending operation until it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LedgerClient {
    /// `new` builds the client of the gate on `node`. `regions` is the fixed list that maps keys to
    /// their home regions, and `timeout` bounds a claim.
    pub fn new(
        node: NodeName,
        regions: Vec<Region>,
        keepers: Arc<Keepers>,
        timeout: Duration,
        timer: Timer,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            node,
            regions,
            keepers,
            timeout,
            timer,
            tasks,
            claims: AtomicUsize::new(0),
            background_calls: AtomicUsize::new(0),
        }
    }

    /// `in_flight_counts` returns the number of claims that wait for replies and the number of
    /// background calls that are not yet acknowledged.
    pub fn in_flight_counts(&self) -> (usize, usize) {
        let count = |c: &AtomicUsize| c.load(Ordering::Relaxed);
        (count(&self.claims), count(&self.background_calls))
    }

    /// `claim` claims `key` for a request with the hash `body_hash`. The claim is withdrawn when
    /// it is not granted or the returned future is dropped. A claim that gets no reply ends before
    /// `deadline` by the claim margin.
    ///
    /// Fails with the outcome when the claim is not granted.
    pub async fn claim(
        self: &Arc<Self>,
        key: &IdempotencyKey,
        body_hash: ContentHash,
        deadline: Instant,
    ) -> Result<GrantedClaim, ClaimOutcome> {
        let Ok(home) = key.home_region(&self.regions) else {
            return Err(ClaimOutcome::Unavailable);
        };
        let group = self.keepers.group(home);
        let ids: Vec<KeeperId> = group.iter().map(|k| k.id()).collect();
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        // If less than twice the margin is left, the claim gets half of the time.
        let margin = MAX_CLAIM_MARGIN.min(left / 2);
        let lifetime = left + EXPIRY_MARGIN;
        let (high, low) = {
            let mut rng = rand::rng();
            (rng.random(), rng.random())
        };
        let claim = Claim {
            id: ClaimId(high, low),
            body_hash,
            gate: self.node.clone(),
            expires: UnixMillis(clock::now().0 + u64::try_from(lifetime.as_millis()).unwrap_or(0)),
        };
        let mut granted = GrantedClaim {
            ledger: Arc::clone(self),
            claimant: Claimant::new(key.clone(), claim, &ids),
            group,
            refuse_by: now + (left - margin / 4),
            dispatched: false,
        };
        let until = now + self.timeout.min(left - margin);
        let outcome = self.request_claim(&mut granted, until).await;
        if outcome == ClaimOutcome::Granted {
            return Ok(granted);
        }
        if outcome == ClaimOutcome::Unavailable {
            granted.release().await;
        }
        Err(outcome)
    }

    async fn request_claim(&self, granted: &mut GrantedClaim, until: Instant) -> ClaimOutcome {
        let _count = CountGuard::new(&self.claims);
        let req = granted.claimant.claim_request();
        let call_keeper = |keeper: Arc<Keeper>| {
            let req = req.clone();
            async move {
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let req = req.clone();
                    let result = keeper
                        .channel()
                        .call(left, |c, cx| async move { c.claim(cx, req).await })
                        .await;
                    match result {
                        Ok(reply) => return reply,
                        Err(_) => time::sleep(RETRY_PAUSE).await,
                    }
                }
            }
        };
        let mut replies: FuturesUnordered<_> =
            granted.group.iter().cloned().map(call_keeper).collect();
        loop {
            let reply: Option<ClaimReply> = time::timeout_at(until, replies.next())
                .await
                .unwrap_or_default();
            match reply {
                Some(reply) => {
                    if let Some(outcome) = granted.claimant.on_reply(clock::now(), reply) {
                        return outcome.clone();
                    }
                }
                None => return granted.claimant.final_outcome(clock::now()).clone(),
            }
        }
    }

    fn send_withdrawal(
        self: &Arc<Self>,
        group: &[Arc<Keeper>],
        req: &WithdrawRequest,
    ) -> mpsc::UnboundedReceiver<()> {
        let (tx, rx) = mpsc::unbounded_channel();
        for keeper in group {
            let (req, tx) = (req.clone(), tx.clone());
            self.retry_until_acknowledged(keeper, WITHDRAWAL_RETRY_PERIOD, move |keeper| {
                let (req, tx) = (req.clone(), tx.clone());
                async move {
                    let channel = keeper.channel();
                    let call =
                        channel.call(
                            CALL_TIMEOUT,
                            |c, cx| async move { c.withdraw(cx, req).await },
                        );
                    let freed = call.await.unwrap_or(false);
                    if freed {
                        let _ = tx.send(());
                    }
                    freed
                }
            });
        }
        rx
    }

    fn send_completion(self: &Arc<Self>, group: &[Arc<Keeper>], req: &CompleteRequest) {
        for keeper in group {
            let req = req.clone();
            self.retry_until_acknowledged(keeper, COMPLETION_RETRY_PERIOD, move |keeper| {
                let req = req.clone();
                async move {
                    let channel = keeper.channel();
                    let call =
                        channel.call(
                            CALL_TIMEOUT,
                            |c, cx| async move { c.complete(cx, req).await },
                        );
                    call.await.unwrap_or(false)
                }
            });
        }
    }

    // Retries a call in the background until it is acknowledged, the period has passed or the node
    // stops. Calls beyond the limit are made once.
    fn retry_until_acknowledged<F, Fut>(
        self: &Arc<Self>,
        keeper: &Arc<Keeper>,
        lifetime: Duration,
        call: F,
    ) where
        F: Fn(Arc<Keeper>) -> Fut + Send + 'static,
        Fut: Future<Output = bool> + Send,
    {
        let ledger = Arc::clone(self);
        let keeper = Arc::clone(keeper);
        self.tasks.spawn(async move {
            let _count = CountGuard::new(&ledger.background_calls);
            let end = ledger.timer.now() + lifetime;
            let mut pause = RETRY_PAUSE;
            loop {
                let done = call(Arc::clone(&keeper)).await;
                let over_limit =
                    ledger.background_calls.load(Ordering::Relaxed) > MAX_BACKGROUND_CALLS;
                if done || over_limit || ledger.timer.now() >= end || ledger.tasks.is_closed() {
                    return;
                }
                // The timer service ends only with the process.
                let _ = ledger.timer.after(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        });
    }

    /// `keepers_by_region` returns the keepers of each region, which hold the claims on its keys.
    pub fn keepers_by_region(&self) -> BTreeMap<Region, Vec<KeeperId>> {
        let members = |r: &Region| self.keepers.group(r).iter().map(|k| k.id()).collect();
        let regions = self.regions.iter();
        regions.map(|r| (r.clone(), members(r))).collect()
    }
}
