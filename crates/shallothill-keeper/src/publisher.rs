//! Serves each new configuration, from the log or from whoever has a higher version.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::{error, info, warn};
use shallothill_core::sections::Section;
use shallothill_core::version::ConfigVersion;
use shallothill_wire::watch::{ConfigUpdate, SectionsRequest};
use tokio::sync::watch;
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::keeper::{Keeper, Peer, lock};
use crate::published::Published;

/// `LOG_HEAD_START` is the time that the log gets to deliver a version that was heard of before
/// its text is fetched; nodes of other keepers usually report it a moment earlier.
const LOG_HEAD_START: Duration = Duration::from_millis(300);

/// `FETCH_TIMEOUT` bounds each call for a configuration or its sections.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// `SECTIONS_MAX` is the number of sections asked for in one call.
const SECTIONS_MAX: usize = 256;

/// `run` publishes until `stop` is cancelled; `applied` is woken when the log applied a change.
pub async fn run(keeper: Arc<Keeper>, mut applied: watch::Receiver<()>, stop: CancellationToken) {
    let mut highest = keeper.highest();
    loop {
        applied.mark_unchanged();
        highest.mark_unchanged();
        let step = async {
            publish_applied(&keeper).await;
            if *highest.borrow() > keeper.published.load().version() {
                let _ = keeper.timer.after(LOG_HEAD_START).await;
                if lock(&keeper.state).version() <= keeper.published.load().version() {
                    fetch(&keeper).await;
                }
                return;
            }
            tokio::select! {
                _ = applied.changed() => {}
                _ = highest.changed() => {}
            }
        };
        tokio::select! {
            () = step => {}
            () = stop.cancelled() => return,
        }
    }
}

/// `publish_applied` serves the version that the log has applied, if it is newer.
pub async fn publish_applied(keeper: &Arc<Keeper>) {
    let (version, text) = {
        let state = lock(&keeper.state);
        (state.version(), state.text())
    };
    let current = keeper.published.load_full();
    if version <= current.version() {
        return;
    }
    let mut sections = lock(&keeper.sections).clone();
    sections.truncate(version);
    let next = task::spawn_blocking(move || {
        let config = shallothill_config::read(&text).ok()?;
        // A snapshot of the log brings the history that leads to its version.
        if sections.last() == Some(version) {
            return Some(Published::new(version, config, sections));
        }
        Some(current.next(version, config))
    });
    match next.await {
        Ok(Some(next)) => {
            info!("config: version {version} is served");
            keeper.publish(next);
        }
        _ => error!(
            "config: the accepted version {version} cannot be read by this release; run the same \
             release on all keepers"
        ),
    }
}

async fn fetch(keeper: &Keeper) {
    let current = keeper.published.load_full();
    let from = current.version();
    let asked = keeper.peers.values().map(|peer| async move {
        let call = peer.peer.call(FETCH_TIMEOUT, |client, cx| async move {
            client.config(cx, from).await
        });
        (peer, call.await.ok().flatten())
    });
    let mut asked: FuturesUnordered<_> = asked.collect();
    while let Some((peer, update)) = asked.next().await {
        let Some(update) = update else { continue };
        if let Some(next) = complete(peer, &current, update).await {
            info!(
                "config: version {} is served, fetched from {}",
                next.version(),
                peer.peer.address()
            );
            keeper.publish(next);
            return;
        }
        warn!(
            "config: {} sent an incomplete configuration",
            peer.peer.address()
        );
    }
}

async fn complete(peer: &Peer, current: &Published, update: ConfigUpdate) -> Option<Published> {
    let mut fetched = Vec::new();
    if let ConfigUpdate::Manifest { version, manifest } = &update {
        let mut lacking = current.lacking(manifest);
        while !lacking.is_empty() {
            let ids = lacking.iter().take(SECTIONS_MAX).cloned().collect();
            let got = sections(peer, *version, ids).await?;
            if got.is_empty() {
                return None;
            }
            lacking.retain(|id| got.iter().all(|s| s.id() != *id));
            fetched.extend(got);
        }
    }
    current.updated(update, fetched)
}

async fn sections(
    peer: &Peer,
    version: ConfigVersion,
    ids: Vec<shallothill_core::sections::SectionId>,
) -> Option<Vec<Section>> {
    let req = SectionsRequest { version, ids };
    let call = peer.peer.call(FETCH_TIMEOUT, |client, cx| async move {
        client.sections(cx, req).await
    });
    call.await.ok()?.sections
}
