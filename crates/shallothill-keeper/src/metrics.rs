//! Sends the keeper's metrics.

use std::sync::Arc;

use cadence::{Gauged, StatsdClient};
use shallothill_ledger::MemberStatus;
use shallothill_runtime::logs;

use crate::keeper::{Keeper, lock};

/// `run` sends the metrics every `metrics_every` seconds until the timer service ends.
pub async fn run(keeper: Arc<Keeper>, client: Arc<StatsdClient>) {
    let mut ticks = keeper.timer.every(keeper.settings.process.metrics_period());
    while ticks.recv().await.is_some() {
        for (name, value) in gauges(&keeper) {
            // A lost sample does no harm; the next one follows.
            let _ = client.gauge(name, value);
        }
        logs::report_dropped_lines();
    }
}

fn gauges(keeper: &Keeper) -> Vec<(&'static str, u64)> {
    let log = keeper.log.status();
    let ledger = keeper.ledger.state();
    let credit = keeper.credit.status();
    let node_registry = lock(&keeper.node_registry);
    vec![
        ("config.version", keeper.published.load().version().0),
        ("config.commit", log.replica.map_or(0, |r| r.commit.0)),
        ("config.quorum", u64::from(log.primary.is_some())),
        (
            "config.primary",
            u64::from(log.primary == Some(keeper.settings.id)),
        ),
        ("ledger.keys", ledger.keys as u64),
        ("ledger.syncs", ledger.syncs),
        (
            "ledger.whole",
            u64::from(ledger.status == MemberStatus::Ready),
        ),
        (
            "directory.nodes",
            node_registry.directory.nodes().count() as u64,
        ),
        ("crashes", node_registry.crashes.len() as u64),
        ("credit.relayed_callers", credit.relayed_callers as u64),
        ("credit.issued_callers", credit.issued_callers as u64),
        ("keepers.heard", keeper.responsive_keepers().len() as u64),
    ]
}
