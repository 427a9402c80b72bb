//! The steps of nodes and keepers in the simulated fleet.

use std::time::Duration;

use shallothill_policy::quota::{CreditReply, CreditRequest};

use super::event::Event;
use super::fleet::Fleet;
use super::keeper::Pending;
use super::node::{Ended, Waiter};

const NODE_TIMEOUT: Duration = Duration::from_millis(450);
const KEEPER_TIMEOUT: Duration = Duration::from_millis(250);
const PENDING_TIMEOUT: Duration = Duration::from_millis(350);
const WAIT_MAX: Duration = Duration::from_millis(1500);
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// One way between a node and the keeper that it asks, and between two regions.
const NEAR_MS: u64 = 2;
const FAR_MS: u64 = 20;

const FRAME_BYTES: u64 = 40;
const ASK_BYTES: u64 = 14;
const GRANT_BYTES: u64 = 18;

impl Fleet {
    pub(super) fn arrive(&mut self, node: usize, caller: u64) {
        let now = self.now;
        let Some(quota) = self.quotas.get(&caller).copied() else {
            return;
        };
        self.next_id += 1;
        let id = self.next_id;
        let waiter = Waiter {
            id,
            caller,
            arrived: now,
        };
        match self.nodes[node].arrive(now, quota, waiter) {
            Some(end) => self.record_end(waiter, end),
            None => {
                self.after(WAIT_MAX, Event::WaitEnds { node, id });
                if self.nodes[node].in_flight.is_none() {
                    self.ask_keeper(node);
                }
            }
        }
    }

    fn record_end(&mut self, waiter: Waiter, end: Ended) {
        let waited = self.now.0 - waiter.arrived.0;
        let record = self.records.entry(waiter.caller).or_default();
        match end {
            Ended::Admitted => record.admitted.push(self.now),
            Ended::Denied => return record.denied.push(self.now),
        }
        if waited > 0 {
            record.waited += 1;
            record.waited_ms += waited;
            record.waited_max_ms = record.waited_max_ms.max(waited);
        }
    }

    pub(super) fn ask_keeper(&mut self, node: usize) {
        let now = self.now;
        let Some(req) = self.nodes[node].holder.request(now) else {
            return;
        };
        let number = req.number;
        self.nodes[node].in_flight = Some(number);
        self.node_messages += 1;
        self.node_bytes += FRAME_BYTES + ASK_BYTES * req.asks.len() as u64;
        self.after(NODE_TIMEOUT, Event::NodeTimeout { node, number });
        if now >= self.nodes[node].cut_until {
            let keeper = self.nodes[node].keeper;
            self.send(NEAR_MS, Event::AtKeeper { keeper, node, req });
        }
    }

    pub(super) fn follow_next(&mut self, node: usize) {
        let keepers = self.keepers.len();
        let n = &mut self.nodes[node];
        n.in_flight = None;
        n.keeper = (n.keeper + 1) % keepers;
        self.after(RETRY_PAUSE, Event::NodeRetry { node });
    }

    pub(super) fn ask_if_waiting(&mut self, node: usize) {
        let now = self.now;
        let n = &mut self.nodes[node];
        if n.in_flight.is_none() && n.holder.has_unanswered(now) {
            self.ask_keeper(node);
        }
    }

    pub(super) fn at_keeper(&mut self, keeper: usize, node: usize, req: CreditRequest) {
        let now = self.now;
        let quotas = &self.quotas;
        let k = &mut self.keepers[keeper];
        if now < k.down_until {
            return;
        }
        let Some(answer) = k.relay.handle(now, &req, |c| quotas.get(&c).copied()) else {
            return;
        };
        if answer.missing.is_empty() {
            return self.reply_to_node(node, answer.reply);
        }
        k.relay.start_waiting(now, &answer);
        self.next_id += 1;
        let id = self.next_id;
        let missing = answer.missing.clone();
        k.pending.push(Pending {
            id,
            node,
            answer,
            missing,
        });
        self.after(PENDING_TIMEOUT, Event::PendingEnds { keeper, id });
        self.ask_issuer(keeper);
    }

    fn reply_to_node(&mut self, node: usize, reply: CreditReply) {
        self.node_messages += 1;
        self.node_bytes += FRAME_BYTES + GRANT_BYTES * reply.grants.len() as u64;
        if self.now >= self.nodes[node].cut_until {
            self.send(NEAR_MS, Event::AtNode { node, reply });
        }
    }

    pub(super) fn at_node(&mut self, node: usize, reply: &CreditReply) {
        let now = self.now;
        let quotas = &self.quotas;
        let n = &mut self.nodes[node];
        if n.in_flight != Some(reply.number) {
            return;
        }
        n.in_flight = None;
        n.holder.apply(now, reply);
        let quota_of = |c: u64| quotas.get(&c).copied().unwrap_or_default();
        let ended = n.serve_waiting(now, quota_of);
        if n.holder.has_unanswered(now) {
            self.follow_next(node);
        }
        for (waiter, end) in ended {
            self.record_end(waiter, end);
        }
    }

    pub(super) fn ask_issuer(&mut self, keeper: usize) {
        let now = self.now;
        let to = self.issuer;
        let k = &mut self.keepers[keeper];
        if now < k.down_until || k.in_flight.is_some() {
            return;
        }
        k.relay.expire(now);
        let Some(req) = k.relay.holder().request(now) else {
            return;
        };
        let number = req.number;
        k.in_flight = Some(number);
        self.after(KEEPER_TIMEOUT, Event::KeeperTimeout { keeper, number });
        let ms = if to == keeper { 0 } else { FAR_MS };
        if to != keeper {
            self.keeper_bytes += FRAME_BYTES + ASK_BYTES * req.asks.len() as u64;
        }
        self.send(ms, Event::AtIssuer { keeper, to, req });
    }

    pub(super) fn at_issuer(&mut self, keeper: usize, to: usize, req: &CreditRequest) {
        let now = self.now;
        let quotas = &self.quotas;
        let k = &mut self.keepers[to];
        let Some(issuer) = k.issuer.as_mut().filter(|_| now >= k.down_until) else {
            return;
        };
        if let Some(reply) = issuer.handle(now, req, |c| quotas.get(&c).copied()) {
            let ms = if to == keeper { 0 } else { FAR_MS };
            if to != keeper {
                self.keeper_bytes += FRAME_BYTES + GRANT_BYTES * reply.grants.len() as u64;
            }
            self.send(ms, Event::FromIssuer { keeper, reply });
        }
    }

    pub(super) fn apply_grants(&mut self, keeper: usize, reply: &CreditReply) {
        let now = self.now;
        let k = &mut self.keepers[keeper];
        if now < k.down_until || k.in_flight != Some(reply.number) {
            return;
        }
        k.in_flight = None;
        k.relay.holder().apply(now, reply);
        self.end_pending(keeper, None);
        if self.keepers[keeper]
            .pending
            .iter()
            .any(|p| !p.answer.missing.is_empty())
        {
            self.ask_issuer(keeper);
        }
    }

    /// `end_pending` answers the nodes whose missing tokens have arrived, and the one with `id`.
    pub(super) fn end_pending(&mut self, keeper: usize, id: Option<u64>) {
        let now = self.now;
        let quotas = &self.quotas;
        let k = &mut self.keepers[keeper];
        let mut replies = Vec::new();
        let pending = std::mem::take(&mut k.pending);
        for mut p in pending {
            let quota_of = |c: u64| quotas.get(&c).copied();
            k.relay.complete(now, quota_of, &mut p.answer);
            if p.answer.missing.is_empty() || Some(p.id) == id {
                k.relay.stop_waiting(&p.missing);
                replies.push((p.node, p.answer.reply));
            } else {
                k.pending.push(p);
            }
        }
        for (node, reply) in replies {
            self.reply_to_node(node, reply);
        }
    }
}
