//! The baseline: each node enforces a fixed share of the quota.

use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::StdRng;
use shallothill_core::config::Quota;

use super::record::CallerRecord;
use super::workload::Demand;

/// `fixed_shares` runs the demands against nodes that have an equal share of each quota, with a burst
/// of at least one request.
pub fn fixed_shares(
    seed: u64,
    nodes: usize,
    quotas: &HashMap<u64, Quota>,
    demands: &[Demand],
) -> HashMap<u64, CallerRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut records: HashMap<u64, CallerRecord> = HashMap::new();
    let mut buckets: HashMap<(usize, u64), (f64, u64)> = HashMap::new();
    for demand in demands {
        let Some(quota) = quotas.get(&demand.caller) else {
            continue;
        };
        let rate = quota.limited_rate().unwrap_or_default().per_second() / nodes as f64;
        let capacity = (f64::from(quota.burst.unwrap_or(0)) / nodes as f64).max(1.0);
        let record = records.entry(demand.caller).or_default();
        for (at, node) in demand.arrivals(&mut rng) {
            let bucket = buckets
                .entry((node, demand.caller))
                .or_insert((capacity, at.0));
            let gained = rate * at.0.saturating_sub(bucket.1) as f64 / 1000.0;
            *bucket = ((bucket.0 + gained).min(capacity), at.0);
            if bucket.0 >= 1.0 {
                bucket.0 -= 1.0;
                record.admitted.push(at);
            } else {
                record.denied.push(at);
            }
        }
    }
    records
}
