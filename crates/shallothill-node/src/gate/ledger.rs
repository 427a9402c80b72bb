//! Claims on idempotency keys at the keepers of their home regions.

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

/// `ASK_AGAIN` is the pause before a claim is sent again to a member that was out of reach.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// `REPEATS_MAX` bounds the withdrawals and completions that are repeated in the background.
const REPEATS_MAX: usize = 10_000;

/// `COMPLETE_FOR` is the time for which a completion is repeated.
const COMPLETE_FOR: Duration = Duration::from_secs(60);

/// `WITHDRAW_FOR` is the time for which a withdrawal is repeated: until the key expires.
const WITHDRAW_FOR: Duration = Duration::from_secs(24 * 3600);

/// `CALL_TIMEOUT` bounds one call in the background.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `RELEASE_WAIT` bounds the wait for the members to free a key.
const RELEASE_WAIT: Duration = Duration::from_millis(250);

/// `CLAIM_MARGIN` is the largest part of the time left that a claim leaves before the deadline. It
/// covers [`RELEASE_WAIT`] and the way of the refusal back to the entry node, which reports a
/// request without a reply as unknown.
const CLAIM_MARGIN: Duration = Duration::from_millis(500);

/// `PAUSE_MAX` bounds the pause between two repeats.
const PAUSE_MAX: Duration = Duration::from_secs(60);

/// `EXPIRY_MARGIN` is added to the deadline of a request before its answer is no longer expected,
/// for clocks that differ.
const EXPIRY_MARGIN: Duration = Duration::from_secs(15);

/// `LedgerClient` claims keys for this gate.
#[derive(Debug)]
pub struct LedgerClient {
    node: NodeName,
    regions: Vec<Region>,
    keepers: Arc<Keepers>,
    timeout: Duration,
    timer: Timer,
    tasks: TaskTracker,
    claims: AtomicUsize,
    repeats: AtomicUsize,
}

/// `Claimed` is a claim that was granted and not used yet; dropped unused, it is withdrawn.
#[derive(Debug)]
pub struct Claimed {
    ledger: Arc<LedgerClient>,
    group: Vec<Arc<Keeper>>,
    claimant: Claimant,
    /// When a refusal must leave the gate to reach the entry node before the deadline.
    refuse_by: Instant,
    dispatched: bool,
}

impl Claimed {
    /// `dispatch` marks the claim as used: from now on the request may have run.
    pub fn dispatch(&mut self) {
        self.dispatched = true;
    }

    /// `release` withdraws an unused claim and waits a moment until most members have freed the
    /// key, so that another attempt does not find it taken. The wait ends early when the deadline
    /// of the request is near.
    pub async fn release(mut self) {
        self.dispatched = true;
        let withdrawal = self.claimant.withdraw_request();
        let mut freed = self.ledger.withdraw(&self.group, &withdrawal);
        let until = self.refuse_by.min(Instant::now() + RELEASE_WAIT);
        for _ in 0..=self.group.len() / 2 {
            if !matches!(time::timeout_at(until, freed.recv()).await, Ok(Some(()))) {
                return;
            }
        }
    }

    /// `complete` stores how the request ended.
    pub fn complete(&self, completion: Completion) {
        let req = self.claimant.complete_request(completion);
        self.ledger.store(&self.group, &req);
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if !self.dispatched {
            let withdrawal = self.claimant.withdraw_request();
            drop(self.ledger.withdraw(&self.group, &withdrawal));
        }
    }
}

struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LedgerClient {
    /// `new` builds the claimant of `node` over the fixed list `regions`.
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
            repeats: AtomicUsize::new(0),
        }
    }

    /// `in_flight_counts` returns the claims that await answers and the calls that are repeated.
    pub fn in_flight_counts(&self) -> (usize, usize) {
        let count = |c: &AtomicUsize| c.load(Ordering::Relaxed);
        (count(&self.claims), count(&self.repeats))
    }

    /// `claim` claims `key` for a request with the hash `body_hash`. The claim is withdrawn when
    /// it is not granted or the returned future is dropped. A claim without an answer ends well
    /// before `deadline`.
    pub async fn claim(
        self: &Arc<Self>,
        key: &IdempotencyKey,
        body_hash: ContentHash,
        deadline: Instant,
    ) -> Result<Claimed, ClaimOutcome> {
        let Ok(home) = key.home(&self.regions) else {
            return Err(ClaimOutcome::Unavailable);
        };
        let group = self.keepers.group(home);
        let ids: Vec<KeeperId> = group.iter().map(|k| k.id()).collect();
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        // With less than twice the margin left, half of the time goes to the claim.
        let margin = CLAIM_MARGIN.min(left / 2);
        let lasting = left + EXPIRY_MARGIN;
        let (high, low) = {
            let mut rng = rand::rng();
            (rng.random(), rng.random())
        };
        let claim = Claim {
            id: ClaimId(high, low),
            body_hash,
            gate: self.node.clone(),
            expires: UnixMillis(clock::now().0 + u64::try_from(lasting.as_millis()).unwrap_or(0)),
        };
        let mut claimed = Claimed {
            ledger: Arc::clone(self),
            claimant: Claimant::new(key.clone(), claim, &ids),
            group,
            refuse_by: now + (left - margin / 4),
            dispatched: false,
        };
        let until = now + self.timeout.min(left - margin);
        let verdict = self.ask(&mut claimed, until).await;
        if verdict == ClaimOutcome::Granted {
            return Ok(claimed);
        }
        if verdict == ClaimOutcome::Unavailable {
            claimed.release().await;
        }
        Err(verdict)
    }

    async fn ask(&self, claimed: &mut Claimed, until: Instant) -> ClaimOutcome {
        let _counted = Counted::new(&self.claims);
        let req = claimed.claimant.claim_request();
        let ask = |keeper: Arc<Keeper>| {
            let req = req.clone();
            async move {
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let req = req.clone();
                    let answered = keeper
                        .channel()
                        .call(left, |c, cx| async move { c.claim(cx, req).await })
                        .await;
                    match answered {
                        Ok(reply) => return reply,
                        Err(_) => time::sleep(ASK_AGAIN).await,
                    }
                }
            }
        };
        let mut asked: FuturesUnordered<_> = claimed.group.iter().cloned().map(ask).collect();
        loop {
            let reply: Option<ClaimReply> = time::timeout_at(until, asked.next())
                .await
                .unwrap_or_default();
            match reply {
                Some(reply) => {
                    if let Some(verdict) = claimed.claimant.on_reply(clock::now(), reply) {
                        return verdict.clone();
                    }
                }
                None => return claimed.claimant.final_outcome(clock::now()).clone(),
            }
        }
    }

    fn withdraw(
        self: &Arc<Self>,
        group: &[Arc<Keeper>],
        req: &WithdrawRequest,
    ) -> mpsc::UnboundedReceiver<()> {
        let (tx, rx) = mpsc::unbounded_channel();
        for keeper in group {
            let (req, tx) = (req.clone(), tx.clone());
            self.repeat(keeper, WITHDRAW_FOR, move |keeper| {
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

    fn store(self: &Arc<Self>, group: &[Arc<Keeper>], req: &CompleteRequest) {
        for keeper in group {
            let req = req.clone();
            self.repeat(keeper, COMPLETE_FOR, move |keeper| {
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

    // Repeats a call until it is acknowledged. Beyond the bound it is tried once.
    fn repeat<F, Fut>(self: &Arc<Self>, keeper: &Arc<Keeper>, lasting: Duration, call: F)
    where
        F: Fn(Arc<Keeper>) -> Fut + Send + 'static,
        Fut: Future<Output = bool> + Send,
    {
        let ledger = Arc::clone(self);
        let keeper = Arc::clone(keeper);
        self.tasks.spawn(async move {
            let _counted = Counted::new(&ledger.repeats);
            let end = ledger.timer.now() + lasting;
            let mut pause = ASK_AGAIN;
            loop {
                let done = call(Arc::clone(&keeper)).await;
                let full = ledger.repeats.load(Ordering::Relaxed) > REPEATS_MAX;
                if done || full || ledger.timer.now() >= end || ledger.tasks.is_closed() {
                    return;
                }
                // The service ends only with the process.
                let _ = ledger.timer.after(pause).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        });
    }

    /// `keepers_by_region` lists the keepers of each region.
    pub fn keepers_by_region(&self) -> BTreeMap<Region, Vec<KeeperId>> {
        let members = |r: &Region| self.keepers.group(r).iter().map(|k| k.id()).collect();
        let regions = self.regions.iter();
        regions.map(|r| (r.clone(), members(r))).collect()
    }
}
