//! Selection of one endpoint among those of a service.

use std::sync::atomic::Ordering;

use rand::Rng;
use shallothill_core::health::ServingState;
use shallothill_core::time::Millis;

use crate::pick::endpoint::Endpoint;
use crate::pick::request::{PickRequest, Picked};
use crate::pick::service_table::{PERMILLE, ServiceTable};
use crate::pick::stats::ReportedLoad;

// Random draws per list: enough to find two usable endpoints while most are usable, and a constant
// amount of work.
const MAX_DRAWS: usize = 6;

/// `Standard` is what an endpoint must meet to be picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standard {
    /// It has a free slot, and requests that must run at most once are not refused there.
    Room,
    /// Likewise, but a request may have to wait for a slot for a part of the usual latency.
    ShortQueue,
    /// It is not suspected, and its queue has places.
    Accepting,
    /// Any endpoint will do, since no better one was found.
    Any,
}

// Returns the standards in the order in which they are tried, each with its tiers. Other regions
// come after a short wait in the own one, and before a long wait.
fn standards(start: usize) -> [(Standard, &'static [usize]); 6] {
    let (region, all): (&[usize], &[usize]) = match start {
        0 => (&[0, 1], &[0, 1, 2]),
        1 => (&[1, 0], &[1, 0, 2]),
        _ => (&[1, 0], &[2, 1, 0]),
    };
    [
        (Standard::Room, region),
        (Standard::ShortQueue, region),
        (Standard::Room, &[2]),
        (Standard::ShortQueue, &[2]),
        (Standard::Accepting, all),
        (Standard::Any, all),
    ]
}

impl ServiceTable {
    /// `pick` selects an endpoint, or returns `None` if the request may use none of them.
    pub fn pick(
        &self,
        now: Millis,
        rng: &mut impl Rng,
        req: &PickRequest<'_>,
    ) -> Option<Picked<'_>> {
        if let Some(picked) = self.pick_trial(now, rng, req) {
            return Some(picked);
        }
        let start = self.start_tier(rng, req);
        if !self.options.by_state {
            return self.pick_by_tier(now, rng, req, start);
        }
        for (standard, tiers) in standards(start) {
            for lists in [&self.preferred, &self.fallback] {
                for t in tiers.iter().copied() {
                    let crosses = t == 2 && standard != Standard::Any;
                    if crosses && !self.may_cross_regions(now, req) {
                        continue;
                    }
                    if let Some(i) = self.choose_of_two(&lists[t], now, rng, req, standard) {
                        return Some(self.picked(i, false));
                    }
                }
            }
        }
        None
    }

    // The order of picks by tier alone, with which the bench compares.
    fn pick_by_tier(
        &self,
        now: Millis,
        rng: &mut impl Rng,
        req: &PickRequest<'_>,
        start: usize,
    ) -> Option<Picked<'_>> {
        // Start at the drawn tier and go outward; the nearer tiers come last because they are known
        // to be loaded.
        let order = (start..3).chain((0..start).rev());
        for standard in [Standard::Accepting, Standard::Any] {
            for lists in [&self.preferred, &self.fallback] {
                for t in order.clone() {
                    let crosses = t == 2 && standard != Standard::Any;
                    if crosses && !self.may_cross_regions(now, req) {
                        continue;
                    }
                    if let Some(i) = self.choose_of_two(&lists[t], now, rng, req, standard) {
                        return Some(self.picked(i, false));
                    }
                }
            }
        }
        None
    }

    fn may_cross_regions(&self, now: Millis, req: &PickRequest<'_>) -> bool {
        self.cross_region_bytes
            .allows(now, req.cross_region_bytes_per_s)
    }

    fn picked(&self, i: u32, trial: bool) -> Picked<'_> {
        Picked {
            endpoint: &self.endpoints[i as usize],
            tier: self.tiers[i as usize],
            trial,
        }
    }

    fn pick_trial(
        &self,
        now: Millis,
        rng: &mut impl Rng,
        req: &PickRequest<'_>,
    ) -> Option<Picked<'_>> {
        if !req.idempotent || !req.avoid.is_empty() {
            return None;
        }
        if let Some(i) = self.endpoint_wanting_trial(now, rng) {
            return Some(self.picked(i, false));
        }
        if self.ejected.is_empty() {
            return None;
        }
        if rng.random_range(0..PERMILLE) >= self.options.trial_share_permille {
            return None;
        }
        let i = self.ejected[rng.random_range(0..self.ejected.len())];
        let endpoint = &self.endpoints[i as usize];
        endpoint
            .stats
            .claim_trial(now, self.options.trial_interval)
            .then(|| self.picked(i, true))
    }

    // Finds an endpoint of the region whose gate wants a trial now, because it is suspected or has
    // run nothing lately.
    fn endpoint_wanting_trial(&self, now: Millis, rng: &mut impl Rng) -> Option<u32> {
        for list in self.preferred[..2].iter().chain(&self.fallback[..2]) {
            if list.is_empty() {
                continue;
            }
            let first = rng.random_range(0..list.len());
            let drawn = (0..MAX_DRAWS.min(list.len())).map(|n| list[(first + n) % list.len()]);
            for i in drawn {
                let stats = &self.endpoints[i as usize].stats;
                let reported = stats.recent_load(now, self.options.load_max_age);
                let wants = reported.is_some_and(|l| wants_trial(&l));
                if wants && stats.claim_trial(now, self.options.trial_interval) {
                    return Some(i);
                }
            }
        }
        None
    }

    fn start_tier(&self, rng: &mut impl Rng, req: &PickRequest<'_>) -> usize {
        let mut tier = 0;
        // A retry stays in the region as long as a nearer endpoint can serve it.
        let outermost = if req.avoid.is_empty() { 2 } else { 1 };
        while tier < outermost {
            let share = self.spill[tier].load(Ordering::Relaxed);
            let spills = share > 0 && rng.random_range(0..PERMILLE) < share;
            if !spills && !self.preferred[tier].is_empty() {
                break;
            }
            tier += 1;
        }
        tier
    }

    fn choose_of_two(
        &self,
        list: &[u32],
        now: Millis,
        rng: &mut impl Rng,
        req: &PickRequest<'_>,
        standard: Standard,
    ) -> Option<u32> {
        if list.is_empty() {
            return None;
        }
        let mut best: Option<(u32, f64)> = None;
        let mut found = 0;
        let first = rng.random_range(0..list.len());
        for draw in 0..MAX_DRAWS {
            // Short lists are scanned in full, so that every endpoint is considered.
            let at = if list.len() <= MAX_DRAWS {
                if draw == list.len() {
                    break;
                }
                (first + draw) % list.len()
            } else {
                rng.random_range(0..list.len())
            };
            let i = list[at];
            let e = &self.endpoints[i as usize];
            let same = best.is_some_and(|(b, _)| b == i);
            if same || req.avoid.contains(&e.key) || !self.meets(e, now, req, standard) {
                continue;
            }
            found += 1;
            let load = self.relative_load(e, now);
            if best.is_none_or(|(_, least)| load < least) {
                best = Some((i, load));
            }
            if found == 2 {
                break;
            }
        }
        let (i, _) = best?;
        let claimed = standard == Standard::Any || self.endpoints[i as usize].path.claim_probe(now);
        claimed.then_some(i)
    }

    fn meets(&self, e: &Endpoint, now: Millis, req: &PickRequest<'_>, standard: Standard) -> bool {
        if standard == Standard::Any {
            return true;
        }
        let believed = e.stats.believed_state(now, self.options.suspicion_max_age);
        let suspect_states = [ServingState::Demoted, ServingState::Ejected];
        if e.path.is_penalised(now) || believed.is_some_and(|s| suspect_states.contains(&s)) {
            return false;
        }
        let wants_proven = standard != Standard::Accepting && !req.idempotent;
        if wants_proven && believed == Some(ServingState::Unproven) {
            return false;
        }
        let load = e.stats.recent_load(now, self.options.load_max_age);
        load.is_none_or(|l| {
            l.state != ServingState::Draining
                && match standard {
                    Standard::Room => l.in_flight < l.slots && l.queued == 0,
                    // Such a wait costs less than the bytes of a request that crosses regions.
                    Standard::ShortQueue => l.queued < l.slots * 3 / 4,
                    _ => l.in_flight < l.slots || l.queued < l.slots,
                }
        })
    }

    fn relative_load(&self, e: &Endpoint, now: Millis) -> f64 {
        let own = e.stats.own_in_flight();
        let reported = e.stats.recent_load(now, self.options.load_max_age);
        let slots = reported.map_or(e.info.slots, |l| l.slots).max(1);
        let reported_load = reported.map_or(0, |l| u32::from(l.in_flight) + u32::from(l.queued));
        // The own count reacts immediately; the reported one includes requests of other entry
        // nodes.
        let next = u32::from(self.options.by_state);
        // The request itself counts, so that of two idle endpoints the one with more slots is less
        // loaded.
        f64::from(own + reported_load + next) / f64::from(slots)
    }
}

// A gate asks for a trial of a suspected endpoint, and of an unproven one at which nothing runs that
// would prove it.
fn wants_trial(load: &ReportedLoad) -> bool {
    match load.state {
        ServingState::Ejected => true,
        ServingState::Unproven => load.in_flight == 0 && load.queued == 0,
        _ => false,
    }
}
