//! Finds the configuration version that a starting node must have before it serves.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::version::ConfigVersion;

use crate::control::probe;
use crate::control::{Keeper, Keepers};

/// `VERSION_TIMEOUT` is the longest wait for a keeper that returns its own version.
const VERSION_TIMEOUT: Duration = Duration::from_secs(1);

/// `CONFIRM_TIMEOUT` is the longest wait for a keeper that itself asks the primary.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1200);

/// `confirmed_version` asks the keepers in turn, nearest first, for a version that a quorum
/// confirms; `None` if no keeper can confirm one. A keeper that was just started or is cut off may
/// have an older version without knowing it.
pub async fn confirmed_version(keepers: &Keepers) -> Option<ConfigVersion> {
    for keeper in keepers.all().iter() {
        let call = keeper.channel().call(CONFIRM_TIMEOUT, |c, cx| async move {
            c.confirmed_version(cx).await
        });
        if let Ok(Some(version)) = call.await {
            return Some(version);
        }
    }
    None
}

/// `highest_reported_version` asks all keepers for their version and returns the highest, or `None`
/// when none of them answers. It is meant for sites that cannot reach a quorum, where any keeper
/// may be the only one left.
pub async fn highest_reported_version(keepers: &Keepers) -> Option<ConfigVersion> {
    let ask =
        |keeper: Arc<Keeper>| async move { probe::fetch_version(&keeper, VERSION_TIMEOUT).await };
    let all = keepers.all();
    let calls: FuturesUnordered<_> = all.iter().cloned().map(ask).collect();
    let answers: Vec<Option<ConfigVersion>> = calls.collect().await;
    answers.into_iter().flatten().max()
}
