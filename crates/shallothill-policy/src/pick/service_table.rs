//! The endpoints of one service, indexed for picks in constant time.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use rand::Rng;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{NodeName, Zone};
use shallothill_core::time::Millis;

use crate::pick::byte_budget::ByteBudget;
use crate::pick::endpoint::{Endpoint, EndpointInfo, EndpointKey};
use crate::pick::options::PickOptions;
use crate::pick::path_stats::PathStats;
use crate::pick::request::{PickRequest, Picked, Tier};

// Random draws per list: enough to find two usable endpoints while most are usable, and a constant
// amount of work.
const MAX_DRAWS: usize = 6;
const PERMILLE: u32 = 1000;

/// `ServiceTable` holds the endpoints of a service by tier and state.
///
/// Ready and cold endpoints are picked first; demoted ones and those whose node no longer reports
/// are picked last, ejected ones only for trials and draining ones never. The work of a pick does
/// not depend on the number of endpoints.
#[derive(Debug)]
pub struct ServiceTable {
    endpoints: Vec<Endpoint>,
    by_key: HashMap<EndpointKey, u32>,
    preferred: [Vec<u32>; 3],
    fallback: [Vec<u32>; 3],
    ejected: Vec<u32>,
    tiers: Vec<Tier>,
    spill: Arc<[AtomicU32; 2]>,
    // Smoothed utilisation of the first two tiers, in thousandths.
    utilisation_permille: Arc<[AtomicU32; 2]>,
    cross_region_bytes: Arc<ByteBudget>,
    options: PickOptions,
}

impl ServiceTable {
    /// `build` indexes `endpoints` for an entry node at `me`. Counters are taken over from
    /// `previous` and from `paths`, which gets an entry for every new node.
    pub fn build(
        me: &Zone,
        endpoints: Vec<EndpointInfo>,
        previous: Option<&Self>,
        paths: &mut HashMap<NodeName, Arc<PathStats>>,
        options: PickOptions,
    ) -> Self {
        let previous_endpoints: HashMap<EndpointKey, &Endpoint> = previous
            .iter()
            .flat_map(|t| t.endpoints.iter().map(|e| (e.key, e)))
            .collect();
        let mut table = Self {
            endpoints: Vec::with_capacity(endpoints.len()),
            by_key: HashMap::with_capacity(endpoints.len()),
            preferred: Default::default(),
            fallback: Default::default(),
            ejected: Vec::new(),
            tiers: Vec::with_capacity(endpoints.len()),
            spill: previous.map_or_else(Arc::default, |t| Arc::clone(&t.spill)),
            utilisation_permille: previous
                .map_or_else(Arc::default, |t| Arc::clone(&t.utilisation_permille)),
            cross_region_bytes: previous
                .map_or_else(Arc::default, |t| Arc::clone(&t.cross_region_bytes)),
            options,
        };
        for info in endpoints {
            let key = EndpointKey::of(&info.id);
            let path = paths.entry(info.id.node.clone()).or_default();
            let endpoint = Endpoint {
                key,
                stats: previous_endpoints
                    .get(&key)
                    .map_or_else(Arc::default, |e| Arc::clone(&e.stats)),
                path: Arc::clone(path),
                info,
            };
            table.add(me, endpoint);
        }
        table
    }

    fn add(&mut self, me: &Zone, endpoint: Endpoint) {
        let zone = &endpoint.info.zone;
        let tier = if zone == me {
            Tier::DataCentre
        } else if zone.region == me.region {
            Tier::Region
        } else {
            Tier::OtherRegion
        };
        let i = self.endpoints.len() as u32;
        match endpoint.info.state {
            ServingState::Draining => {}
            ServingState::Ejected => self.ejected.push(i),
            ServingState::Demoted => self.fallback[tier as usize].push(i),
            _ if !endpoint.info.reporting => self.fallback[tier as usize].push(i),
            ServingState::Ready | ServingState::Cold | ServingState::Unproven => {
                self.preferred[tier as usize].push(i);
            }
        }
        self.tiers.push(tier);
        self.by_key.insert(endpoint.key, i);
        self.endpoints.push(endpoint);
    }

    /// `endpoints` returns all endpoints in the order given to [`ServiceTable::build`].
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// `find` returns the endpoint with `key`, or `None` when the service has none.
    pub fn find(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(*self.by_key.get(&key)? as usize)
    }

    /// `cross_region_bytes` returns the counter and limit of bytes sent to other regions.
    pub fn cross_region_bytes(&self) -> &ByteBudget {
        &self.cross_region_bytes
    }

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
        // Start at the drawn tier and go outward; the nearer tiers come last because they are known
        // to be loaded.
        let order = (start..3).chain((0..start).rev());
        for strict in [true, false] {
            for lists in [&self.preferred, &self.fallback] {
                for t in order.clone() {
                    if t == 2 && strict && !self.may_cross_regions(now, req) {
                        continue;
                    }
                    if let Some(i) = self.choose_of_two(&lists[t], now, rng, req.avoid, strict) {
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
                let wants = reported.is_some_and(|l| {
                    matches!(l.state, ServingState::Ejected | ServingState::Unproven)
                });
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
        avoid: &[EndpointKey],
        strict: bool,
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
            if same || avoid.contains(&e.key) || (strict && !self.is_usable(e, now)) {
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
        let claimed = !strict || self.endpoints[i as usize].path.claim_probe(now);
        claimed.then_some(i)
    }

    fn is_usable(&self, e: &Endpoint, now: Millis) -> bool {
        if e.path.is_penalised(now) {
            return false;
        }
        let suspect_states = [ServingState::Demoted, ServingState::Ejected];
        let believed = e.stats.believed_state(now, self.options.suspicion_max_age);
        if believed.is_some_and(|s| suspect_states.contains(&s)) {
            return false;
        }
        let fresh = self.options.load_max_age;
        e.stats.recent_load(now, fresh).is_none_or(|l| {
            let accepting = l.state != ServingState::Draining;
            accepting && (l.in_flight < l.slots || l.queued < l.slots)
        })
    }

    fn relative_load(&self, e: &Endpoint, now: Millis) -> f64 {
        let own = e.stats.own_in_flight();
        let reported = e.stats.recent_load(now, self.options.load_max_age);
        let slots = reported.map_or(e.info.slots, |l| l.slots).max(1);
        let reported_load = reported.map_or(0, |l| u32::from(l.in_flight) + u32::from(l.queued));
        // The own count reacts immediately; the reported one includes requests of other entry
        // nodes.
        f64::from(own + reported_load) / f64::from(slots)
    }

    /// `update_spill` adjusts the spill-over between tiers; call it about every 250 ms. Its work
    /// grows with the number of endpoints of the entry node's region.
    pub fn update_spill(&self, now: Millis) {
        for tier in 0..2 {
            let share = self.spill[tier].load(Ordering::Relaxed);
            let utilisation = self.smooth_utilisation(tier, now);
            let next = if utilisation > self.options.spill_above {
                share + self.options.spill_step_permille
            } else if utilisation >= self.options.return_below {
                share
            } else {
                share.saturating_sub(self.options.return_step_permille)
            };
            self.spill[tier].store(next.min(PERMILLE), Ordering::Relaxed);
        }
    }

    // Smooths the utilisation, so that only sustained load spills over: a small number of slots is
    // fully used by chance from time to time.
    fn smooth_utilisation(&self, tier: usize, now: Millis) -> f64 {
        let now = self.utilisation(tier, now).unwrap_or(0.0) * f64::from(PERMILLE);
        let before = f64::from(self.utilisation_permille[tier].load(Ordering::Relaxed));
        let next = before + (now - before) / 4.0;
        self.utilisation_permille[tier].store(next.round() as u32, Ordering::Relaxed);
        next / f64::from(PERMILLE)
    }

    /// `spill_permille` returns the shares of picks, in thousandths, that leave the entry node's
    /// data centre and its region.
    pub fn spill_permille(&self) -> (u32, u32) {
        let share = |tier: usize| self.spill[tier].load(Ordering::Relaxed);
        (share(0), share(1))
    }

    fn utilisation(&self, tier: usize, now: Millis) -> Option<f64> {
        let mut load = 0u32;
        let mut slots = 0u32;
        for i in &self.preferred[tier] {
            let stats = &self.endpoints[*i as usize].stats;
            if let Some(l) = stats.recent_load(now, self.options.load_max_age) {
                load += u32::from(l.in_flight) + u32::from(l.queued);
                slots += u32::from(l.slots);
            }
        }
        (slots > 0).then(|| f64::from(load) / f64::from(slots))
    }
}
