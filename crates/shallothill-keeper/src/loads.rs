//! Load summaries per service over the backend servers of all keepers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, NodeName, ServiceName};
use shallothill_core::time::Millis;
use shallothill_directory::{EndpointLoad, ServiceSummary};

/// `STALE_AFTER` is the age at which a node's loads or another keeper's shards are dropped.
pub const STALE_AFTER: Duration = Duration::from_secs(20);

/// `Histogram` maps bucket numbers to counts. A bucket is 1/8 of a power of two wide, about 9%.
pub type Histogram = BTreeMap<u16, u32>;

/// `ServiceShard` aggregates the backend servers of a service that report to one keeper.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShard {
    /// Backend servers by the bucket of their median latency in microseconds.
    pub p50: Histogram,
    /// Backend servers by the bucket of the age of their oldest request in microseconds.
    pub oldest: Histogram,
    /// Number of completed requests.
    pub completed: u64,
    /// Number of requests that ended with an error.
    pub errors: u64,
}

/// `ServiceShards` holds one keeper's shards by service.
pub type ServiceShards = BTreeMap<ServiceName, ServiceShard>;

/// `LoadTable` holds the loads reported to this keeper and the shards of the other keepers.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    nodes: BTreeMap<NodeName, (Millis, Vec<EndpointLoad>)>,
    others: BTreeMap<KeeperId, (Millis, ServiceShards)>,
    summaries: BTreeMap<ServiceName, ServiceSummary>,
    own: ServiceShards,
}

impl LoadTable {
    /// `report` replaces the loads that a node reported before.
    pub fn report(&mut self, now: Millis, node: &NodeName, loads: Vec<EndpointLoad>) {
        self.nodes.insert(node.clone(), (now, loads));
    }

    /// `merge` replaces the shards of another keeper.
    pub fn merge(&mut self, now: Millis, from: KeeperId, shards: ServiceShards) {
        self.others.insert(from, (now, shards));
    }

    /// `refresh` drops stale loads and shards and recomputes the own shards and the summaries; call
    /// it about once a second.
    pub fn refresh(&mut self, now: Millis) {
        let fresh = |since: &Millis| now.saturating_since(*since) < STALE_AFTER;
        self.nodes.retain(|_, (since, _)| fresh(since));
        self.others.retain(|_, (since, _)| fresh(since));
        let mut own = ServiceShards::new();
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
            (service.clone(), summarize(service, shards))
        });
        self.summaries = summaries.collect();
    }

    /// `own_shards` returns the shards of the nodes that report to this keeper, as of the last
    /// [`Self::refresh`].
    pub fn own_shards(&self) -> &ServiceShards {
        &self.own
    }

    /// `summaries` returns the summaries of the services in `loads`.
    pub fn summaries(&self, loads: &[EndpointLoad]) -> Vec<ServiceSummary> {
        let services: BTreeSet<&ServiceName> = loads.iter().map(|l| &l.service).collect();
        let found = services.into_iter().filter_map(|s| self.summaries.get(s));
        found.cloned().collect()
    }

    /// `all_summaries` iterates over the summaries of all services, in the order of their names.
    pub fn all_summaries(&self) -> impl Iterator<Item = &ServiceSummary> {
        self.summaries.values()
    }
}

impl ServiceShard {
    fn add(&mut self, load: &EndpointLoad) {
        // A backend server that completed nothing has no median latency.
        if load.completed > 0 {
            *self.p50.entry(bucket_of(load.p50_us)).or_default() += 1;
        }
        *self.oldest.entry(bucket_of(load.oldest_us)).or_default() += 1;
        self.completed += u64::from(load.completed);
        self.errors += u64::from(load.errors);
    }
}

fn summarize<'a>(
    service: &ServiceName,
    shards: impl Iterator<Item = &'a ServiceShard>,
) -> ServiceSummary {
    let mut sum = ServiceShard::default();
    for shard in shards {
        for (bucket, count) in &shard.p50 {
            *sum.p50.entry(*bucket).or_default() += count;
        }
        for (bucket, count) in &shard.oldest {
            *sum.oldest.entry(*bucket).or_default() += count;
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
    let total: u64 = histogram.values().map(|count| u64::from(*count)).sum();
    let mut cumulative = 0;
    for (bucket, count) in histogram {
        cumulative += u64::from(*count);
        if cumulative * 2 >= total {
            return bucket_middle(*bucket);
        }
    }
    0
}

// Values below 8 have a bucket each; from 8 on, the exponent and the three bits after the leading
// one select the bucket.
fn bucket_of(value: u64) -> u16 {
    if value < 8 {
        return value as u16;
    }
    let exponent = 63 - value.leading_zeros() as u16;
    let fraction = (value >> (exponent - 3)) & 7;
    exponent * 8 + fraction as u16 - 16
}

fn bucket_middle(bucket: u16) -> u64 {
    if bucket < 8 {
        return u64::from(bucket);
    }
    let exponent = (bucket + 16) / 8;
    let fraction = u64::from((bucket + 16) % 8);
    let width = 1u64 << (exponent - 3);
    (8 + fraction) * width + width / 2
}
