//! Takes a token for each request of a caller with a quota.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use shallothill_core::config::Quota;
use shallothill_core::hash;
use shallothill_core::outcome::Outcome;
use shallothill_policy::quota::{CreditReply, CreditRequest, Holder, HolderOptions, Take, Token};
use shallothill_runtime::timer::Timer;
use tokio::sync::{Notify, watch};
use tokio::time;
use tokio::time::Instant;

use crate::counters::{Counters, CreditResult};
use crate::entry::Entry;
use crate::entry::caller::IdentifiedCaller;
use crate::refusal::Refusal;

/// `WAIT_MAX` bounds the time for which a request waits for a token. It covers an election of the
/// keepers.
const WAIT_MAX: Duration = Duration::from_millis(1500);

/// `WAIT_DIVISOR` gives the part of the time left for a request in which it may wait for a token.
const WAIT_DIVISOR: u32 = 4;

/// `CreditPool` holds the tokens of this node. The task that asks the keepers fills it.
#[derive(Debug)]
pub struct CreditPool {
    holder: Mutex<Holder>,
    timer: Timer,
    counters: Arc<Counters>,
    needed: Notify,
    answered: watch::Sender<()>,
}

impl CreditPool {
    /// `new` returns a pool without tokens.
    pub fn new(timer: Timer, counters: Arc<Counters>) -> Self {
        // 0 stands for no sender.
        let sender = rand::random::<u64>().max(1);
        Self {
            holder: Mutex::new(Holder::new(HolderOptions::default(), sender)),
            timer,
            counters,
            needed: Notify::new(),
            answered: watch::Sender::new(()),
        }
    }

    /// `needed` returns once a request waits for a token.
    pub async fn needed(&self) {
        self.needed.notified().await;
    }

    /// `request` returns the next request to a keeper, if there is something to report or ask for.
    pub fn request(&self) -> Option<CreditRequest> {
        self.lock().request(self.timer.now())
    }

    /// `apply` takes the reply of a keeper. Returns false if a request waits on, because the keeper
    /// could not ask the issuer.
    pub fn apply(&self, reply: &CreditReply) -> bool {
        let now = self.timer.now();
        let mut holder = self.lock();
        holder.apply(now, reply);
        let answered = !holder.has_unanswered(now);
        drop(holder);
        self.answered.send_replace(());
        answered
    }

    /// `ask_again` asks for another request, because requests wait on.
    pub fn ask_again(&self) {
        if self.lock().has_unanswered(self.timer.now()) {
            self.needed.notify_one();
        }
    }

    /// `dump` returns the state for operators.
    pub fn dump(&self) -> Value {
        let mut holder = self.lock();
        json!({
            "callers": holder.callers(),
            "tokens": holder.tokens(self.timer.now()),
        })
    }

    async fn acquire(
        self: &Arc<Self>,
        caller: u64,
        quota: Quota,
        deadline: Instant,
    ) -> Result<CreditToken, Refusal> {
        let mut answered = self.answered.subscribe();
        self.lock().arrive(self.timer.now(), caller, quota);
        match self.try_take(caller, quota) {
            Take::Token(token) => return Ok(self.admit(token, CreditResult::Local)),
            Take::Denied(after) => return Err(self.deny(after)),
            Take::Ask => {}
        }
        let now = Instant::now();
        let wait = deadline.saturating_duration_since(now) / WAIT_DIVISOR;
        let end = now + wait.min(WAIT_MAX);
        let _waiting = Waiting::start(self, caller, quota);
        self.needed.notify_one();
        loop {
            // The sender of the channel lives as long as the pool.
            let _ = match time::timeout_at(end, answered.changed()).await {
                Ok(changed) => changed,
                Err(_) => {
                    self.counters.count_credit(CreditResult::NoAnswer);
                    return Err(NO_CREDIT);
                }
            };
            match self.try_take(caller, quota) {
                Take::Token(token) => return Ok(self.admit(token, CreditResult::Waited)),
                Take::Denied(after) => return Err(self.deny(after)),
                Take::Ask => {}
            }
        }
    }

    fn try_take(&self, caller: u64, quota: Quota) -> Take {
        self.lock().take(self.timer.now(), caller, quota)
    }

    fn admit(self: &Arc<Self>, token: Token, result: CreditResult) -> CreditToken {
        self.counters.count_credit(result);
        CreditToken {
            token: Some(token),
            pool: Arc::clone(self),
        }
    }

    fn deny(&self, after: Duration) -> Refusal {
        self.counters.count_credit(CreditResult::Denied);
        Refusal {
            retry_after: Some(after),
            ..OVER_QUOTA
        }
    }

    fn put_back(&self, token: Token) {
        self.lock().put_back(self.timer.now(), token);
    }

    fn lock(&self) -> MutexGuard<'_, Holder> {
        // A panic cannot leave the tokens inconsistent in a way that admits more requests.
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Waiting` counts a request as waiting until it is dropped.
struct Waiting<'a> {
    pool: &'a CreditPool,
    caller: u64,
}

impl<'a> Waiting<'a> {
    fn start(pool: &'a CreditPool, caller: u64, quota: Quota) -> Self {
        let now = pool.timer.now();
        pool.lock().start_waiting(now, caller, quota);
        Self { pool, caller }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.pool.lock().stop_waiting(self.caller);
    }
}

/// `CreditToken` admits one request. Dropping it puts the token back, unless the request was
/// started.
#[derive(Debug)]
pub(crate) struct CreditToken {
    token: Option<Token>,
    pool: Arc<CreditPool>,
}

impl CreditToken {
    /// `start` counts the token as used.
    pub(super) fn start(mut self) -> StartedRequest {
        StartedRequest {
            token: self.token.take(),
            pool: Arc::clone(&self.pool),
        }
    }
}

impl Drop for CreditToken {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            self.pool.put_back(token);
        }
    }
}

/// `StartedRequest` is a request that used a token and may have run.
#[derive(Debug)]
pub(super) struct StartedRequest {
    token: Option<Token>,
    pool: Arc<CreditPool>,
}

impl StartedRequest {
    /// `end` puts the token back if the request did not run.
    pub(super) fn end(self, outcome: Outcome) {
        if outcome == Outcome::RefusedNotRun
            && let Some(token) = self.token
        {
            self.pool.put_back(token);
        }
    }
}

impl Entry {
    /// `credit` returns the tokens of callers with quotas.
    pub fn credit(&self) -> &Arc<CreditPool> {
        &self.deps.credit
    }

    /// `take_credit` takes a token for a request of a caller that a key identified and whose quota
    /// is limited; `None` for other requests.
    pub(super) async fn take_credit(
        &self,
        caller: &IdentifiedCaller<'_>,
        deadline: Instant,
    ) -> Result<Option<CreditToken>, Refusal> {
        let quota = caller.settings.and_then(|settings| settings.quota);
        let quota = quota.filter(|quota| quota.limited_rate().is_some());
        let (Some(name), Some(quota)) = (caller.keyed_name(), quota) else {
            return Ok(None);
        };
        let hash = hash::hash64(name.as_str().as_bytes());
        let taken = self.deps.credit.acquire(hash, quota, deadline).await;
        taken.map(Some)
    }
}

const OVER_QUOTA: Refusal = Refusal::invalid(
    429,
    "over-quota",
    "the caller is over its quota; send the request later",
);
const NO_CREDIT: Refusal = Refusal::not_run(
    "no-credit",
    "no keeper answers whether the caller is within its quota; send the request again",
);
