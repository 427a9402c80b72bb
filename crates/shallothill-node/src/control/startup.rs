//! Learns at the start which configuration version a node must have before it serves.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::version::ConfigVersion;

use crate::control::probe;
use crate::control::{Keeper, Keepers};

/// `TIMEOUT` bounds the wait for one source.
const TIMEOUT: Duration = Duration::from_secs(1);

/// `SOURCES_MAX` bounds the keepers that are asked.
const SOURCES_MAX: usize = 5;

/// `learn_version` asks several keepers for their version and returns the highest, or `None` when
/// none of them answers.
pub async fn learn_version(keepers: &Keepers) -> Option<ConfigVersion> {
    let ask = |keeper: Arc<Keeper>| async move { probe::version_of(&keeper, TIMEOUT).await };
    let all = keepers.all();
    let sources = all.iter().take(SOURCES_MAX).cloned();
    let asked: FuturesUnordered<_> = sources.map(ask).collect();
    let answers: Vec<Option<ConfigVersion>> = asked.collect().await;
    answers.into_iter().flatten().max()
}
