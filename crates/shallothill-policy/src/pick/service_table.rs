//! The endpoints of one service, indexed for picks in constant time.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use shallothill_core::health::ServingState;
use shallothill_core::ids::{NodeName, Zone};
use shallothill_core::time::Millis;

use crate::pick::byte_budget::ByteBudget;
use crate::pick::endpoint::{Endpoint, EndpointInfo, EndpointKey};
use crate::pick::options::PickOptions;
use crate::pick::path_stats::PathStats;
use crate::pick::request::Tier;

pub(super) const PERMILLE: u32 = 1000;

/// `ServiceTable` holds the endpoints of a service by tier and state.
///
/// Ready and cold endpoints are picked first; demoted ones and those whose node no longer reports
/// are picked last, ejected ones only for trials and draining ones never. The work of a pick does
/// not depend on the number of endpoints.
#[derive(Debug)]
pub struct ServiceTable {
    pub(super) endpoints: Vec<Endpoint>,
    by_key: HashMap<EndpointKey, u32>,
    pub(super) preferred: [Vec<u32>; 3],
    pub(super) fallback: [Vec<u32>; 3],
    pub(super) ejected: Vec<u32>,
    pub(super) tiers: Vec<Tier>,
    pub(super) spill: Arc<[AtomicU32; 2]>,
    // Smoothed utilisation of the first two tiers, in thousandths.
    pub(super) utilisation_permille: Arc<[AtomicU32; 2]>,
    pub(super) cross_region_bytes: Arc<ByteBudget>,
    pub(super) options: PickOptions,
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
