//! Loads of backend servers, summed up for each service over all keepers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, NodeName, ServiceName};
use shallothill_core::time::Millis;
use shallothill_directory::{EndpointLoad, ServiceSummary};

/// `STALE_AFTER` is the age from which a node's loads or another keeper's sums do not count.
pub const STALE_AFTER: Duration = Duration::from_secs(20);

/// `Histogram` counts values in buckets that are 1/8 of a power of two wide, about 9%.
pub type Histogram = BTreeMap<u16, u32>;

/// `ServiceShard` sums up the backend servers of a service that report to one keeper.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShard {
    /// Median latencies by bucket.
    pub p50: Histogram,
    /// Ages of the oldest requests by bucket.
    pub oldest: Histogram,
    /// Completed requests.
    pub completed: u64,
    /// Errors.
    pub errors: u64,
}

/// `Shards` holds one keeper's sums by service.
pub type Shards = BTreeMap<ServiceName, ServiceShard>;

/// `LoadTable` holds the loads reported to this keeper and the sums of the others.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    nodes: BTreeMap<NodeName, (Millis, Vec<EndpointLoad>)>,
    others: BTreeMap<KeeperId, (Millis, Shards)>,
    summaries: BTreeMap<ServiceName, ServiceSummary>,
    own: Shards,
}

impl LoadTable {
    /// `report` replaces the loads of a node.
    pub fn report(&mut self, now: Millis, node: &NodeName, loads: Vec<EndpointLoad>) {
        self.nodes.insert(node.clone(), (now, loads));
    }

    /// `merge` replaces the sums of another keeper.
    pub fn merge(&mut self, now: Millis, from: KeeperId, shards: Shards) {
        self.others.insert(from, (now, shards));
    }

    /// `refresh` drops what is stale and computes the sums and summaries again; call it about
    /// once a second.
    pub fn refresh(&mut self, now: Millis) {
        let fresh = |since: &Millis| now.saturating_since(*since) < STALE_AFTER;
        self.nodes.retain(|_, (since, _)| fresh(since));
        self.others.retain(|_, (since, _)| fresh(since));
        let mut own = Shards::new();
        for load in self.nodes.values().flat_map(|(_, loads)| loads) {
            if !own.contains_key(&load.service) {
                own.insert(load.service.clone(), ServiceShard::default());
            }
            if let Some(shard) = own.get_mut(&load.service) {
                shard.add(load);
            }
        }
        self.own = own;
        let all = || {
            let others = self.others.values().map(|(_, shards)| shards);
            others.chain([&self.own])
        };
        let services: BTreeSet<&ServiceName> = all().flat_map(BTreeMap::keys).collect();
        let summaries = services.into_iter().map(|service| {
            let shards = all().filter_map(|shards| shards.get(service));
            (service.clone(), summary(service, shards))
        });
        self.summaries = summaries.collect();
    }

    /// `own` returns the sums over the nodes that report to this keeper.
    pub fn own(&self) -> &Shards {
        &self.own
    }

    /// `summaries` returns what is usual for the services that `loads` names.
    pub fn summaries(&self, loads: &[EndpointLoad]) -> Vec<ServiceSummary> {
        let services: BTreeSet<&ServiceName> = loads.iter().map(|l| &l.service).collect();
        let known = services.into_iter().filter_map(|s| self.summaries.get(s));
        known.cloned().collect()
    }

    /// `all` iterates over the summaries of all services.
    pub fn all(&self) -> impl Iterator<Item = &ServiceSummary> {
        self.summaries.values()
    }
}

impl ServiceShard {
    fn add(&mut self, load: &EndpointLoad) {
        // A backend server that completed nothing has no median latency.
        if load.completed > 0 {
            *self.p50.entry(bucket(load.p50_us)).or_default() += 1;
        }
        *self.oldest.entry(bucket(load.oldest_us)).or_default() += 1;
        self.completed += u64::from(load.completed);
        self.errors += u64::from(load.errors);
    }
}

fn summary<'a>(
    service: &ServiceName,
    shards: impl Iterator<Item = &'a ServiceShard>,
) -> ServiceSummary {
    let mut sum = ServiceShard::default();
    for shard in shards {
        for (bucket, n) in &shard.p50 {
            *sum.p50.entry(*bucket).or_default() += n;
        }
        for (bucket, n) in &shard.oldest {
            *sum.oldest.entry(*bucket).or_default() += n;
        }
        sum.completed += shard.completed;
        sum.errors += shard.errors;
    }
    ServiceSummary {
        service: service.clone(),
        endpoints: sum.oldest.values().sum(),
        p50_us: median(&sum.p50),
        oldest_us: median(&sum.oldest),
        completed: sum.completed,
        errors: sum.errors,
    }
}

fn median(histogram: &Histogram) -> u64 {
    let total: u64 = histogram.values().map(|n| u64::from(*n)).sum();
    let mut seen = 0;
    for (bucket, n) in histogram {
        seen += u64::from(*n);
        if seen * 2 >= total {
            return middle(*bucket);
        }
    }
    0
}

// Values below 8 have a bucket each; above, three bits after the leading one select the bucket.
fn bucket(value: u64) -> u16 {
    if value < 8 {
        return value as u16;
    }
    let exponent = 63 - value.leading_zeros() as u16;
    let fraction = (value >> (exponent - 3)) & 7;
    exponent * 8 + fraction as u16 - 16
}

fn middle(bucket: u16) -> u64 {
    if bucket < 8 {
        return u64::from(bucket);
    }
    let exponent = (bucket + 16) / 8;
    let fraction = u64::from((bucket + 16) % 8);
    let width = 1u64 << (exponent - 3);
    (8 + fraction) * width + width / 2
}
