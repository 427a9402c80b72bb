//! Learns at the start which configuration version a node must have before it serves.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::version::ConfigVersion;

use crate::control::probe;
use crate::control::{Keeper, Keepers};

/// `TIMEOUT` bounds the wait for one source.
const TIMEOUT: Duration = Duration::from_secs(1);

/// `CONFIRM_TIMEOUT` bounds the wait for a keeper that asks the primary in turn.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1200);

/// `confirmed_version` asks the keepers in turn, nearest first, for a version that a quorum
/// confirms. A keeper that was just started, or is cut off, has an older one itself and does not
/// know it.
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
/// when none of them answers. It serves sites at which no quorum can be reached, where any keeper
/// may be the one that is left.
pub async fn highest_reported_version(keepers: &Keepers) -> Option<ConfigVersion> {
    let ask = |keeper: Arc<Keeper>| async move { probe::version_of(&keeper, TIMEOUT).await };
    let all = keepers.all();
    let asked: FuturesUnordered<_> = all.iter().cloned().map(ask).collect();
    let answers: Vec<Option<ConfigVersion>> = asked.collect().await;
    answers.into_iter().flatten().max()
}
