//! Fetches sections of the configuration from keepers and peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode, Uri};
use serde::de::DeserializeOwned;
use shallothill_core::ids::NodeName;
use shallothill_core::sections::{Manifest, Section};
use shallothill_core::version::ConfigVersion;
use shallothill_runtime::timer::Timer;
use shallothill_wire::transport;
use shallothill_wire::watch::{ConfigUpdate, SectionsReply, SectionsRequest, WatchRequest};
use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

use crate::body::Body;
use crate::config::{ApplyResult, ConfigStore};
use crate::control::Keeper;
use crate::gate::Gate;
use crate::peer::PeerLinks;
use crate::view::DirectoryView;

/// `MAX_SECTIONS_PER_CALL` is the largest number of sections in one call. 64 sections of a
/// configuration with 61,000 callers take about 1 MB.
const MAX_SECTIONS_PER_CALL: usize = 64;

/// `CALL_TIMEOUT` is the longest time for one call to a keeper or peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// `PEERS_PER_ROUND` is the largest number of random peers that are asked in one round.
const PEERS_PER_ROUND: usize = 3;

/// `ROUND_PAUSE` is the pause between rounds while a higher version is known.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// `ConfigFetcher` fetches the sections that the store lacks.
#[derive(Debug)]
pub struct ConfigFetcher {
    /// The store that versions are applied to.
    pub store: Arc<ConfigStore>,
    /// The connections to peers.
    pub links: Arc<PeerLinks>,
    /// The directory, which lists the peers.
    pub view: Arc<DirectoryView>,
    /// The timer for pauses.
    pub timer: Timer,
}

impl ConfigFetcher {
    /// `run` fetches from peers, until `stop` is cancelled, while a version above the one in force
    /// is known. The watch delivers that version as well, unless its keeper is cut off from the
    /// others.
    pub async fn run(self: Arc<Self>, gate: Arc<Gate>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = self.store.wait_for_newer_version() => {}
                () = stop.cancelled() => return,
            }
            let known = self.store.highest_known_version();
            if self.store.version() < known {
                info!(
                    in_force = self.store.version().0,
                    "config: version {known} exists; asking peers for it"
                );
            }
            while self.store.version() < self.store.highest_known_version() {
                let peers = self.view.random_peers(PEERS_PER_ROUND);
                for address in self.store.newest_version_peer().into_iter().chain(peers) {
                    let fetched = self.fetch_from_peer(address).await;
                    if fetched == Some(ApplyResult::InForce) {
                        gate.apply_config();
                        let version = self.store.version();
                        info!("config: version {version} of peer {address} is in force");
                        break;
                    }
                    let answered = fetched.is_some();
                    debug!(
                        answered,
                        "config: peer {address} did not send a newer version"
                    );
                }
                tokio::select! {
                    _ = self.timer.after(ROUND_PAUSE) => {}
                    () = stop.cancelled() => return,
                }
            }
        }
    }

    /// `apply_from_keeper` applies an update of `keeper` and fetches the sections that it lacks.
    /// Returns `MissingSections` if the keeper does not have all of them any more.
    ///
    /// Fails with `Connect` or `Call` if the keeper does not answer.
    pub async fn apply_from_keeper(
        &self,
        keeper: &Keeper,
        update: &ConfigUpdate,
    ) -> shallothill_wire::Result<ApplyResult> {
        let missing = match self.store.apply(update, Vec::new()) {
            ApplyResult::MissingSections(missing) => missing,
            applied => return Ok(applied),
        };
        let ConfigUpdate::Manifest { version, .. } = update else {
            return Ok(ApplyResult::HashMismatch);
        };
        let mut fetched = Vec::new();
        for ids in missing.chunks(MAX_SECTIONS_PER_CALL) {
            let req = SectionsRequest {
                version: *version,
                ids: ids.to_vec(),
            };
            let call = keeper
                .channel()
                .call_while_receiving(
                    CALL_TIMEOUT,
                    |c, cx| async move { c.sections(cx, req).await },
                );
            let Some(sections) = call.await?.sections else {
                return Ok(ApplyResult::MissingSections(missing));
            };
            fetched.extend(sections);
        }
        Ok(self.store.apply(update, fetched))
    }

    /// `fetch_from_keeper` fetches the manifest of `keeper` and all sections that differ from it,
    /// and applies them. Logs a warning if the version cannot be applied.
    ///
    /// Fails with `Connect` or `Call` if the keeper does not answer.
    pub async fn fetch_from_keeper(
        &self,
        keeper: &Keeper,
        node: &NodeName,
    ) -> shallothill_wire::Result<()> {
        let req = WatchRequest {
            node: node.clone(),
            config_version: ConfigVersion(0),
            cursor: None,
            complete: false,
            isolated: false,
            wait_ms: 0,
            confirm: false,
        };
        let call = keeper
            .channel()
            .call_while_receiving(CALL_TIMEOUT, |c, cx| async move { c.watch(cx, req).await });
        if let Some(update) = call.await?.config
            && self.apply_from_keeper(keeper, &update).await? != ApplyResult::InForce
        {
            warn!(
                "config: keeper {} sent a version that cannot be applied",
                keeper.id()
            );
        }
        Ok(())
    }

    async fn fetch_from_peer(&self, address: SocketAddr) -> Option<ApplyResult> {
        let (version, manifest): (ConfigVersion, Manifest) = self
            .call_peer(address, "/peer/config/manifest", Bytes::new())
            .await?;
        let update = ConfigUpdate::Manifest { version, manifest };
        let missing = match self.store.apply(&update, Vec::new()) {
            ApplyResult::MissingSections(missing) => missing,
            applied => return Some(applied),
        };
        let mut fetched: Vec<Section> = Vec::new();
        for ids in missing.chunks(MAX_SECTIONS_PER_CALL) {
            let path = format!("/peer/config/sections/{version}");
            let body = Bytes::from(rmp_serde::to_vec(ids).ok()?);
            let reply: SectionsReply = self.call_peer(address, &path, body).await?;
            fetched.extend(reply.sections?);
        }
        Some(self.store.apply(&update, fetched))
    }

    async fn call_peer<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<T> {
        let mut req = Request::new(Body::full(body));
        *req.uri_mut() = Uri::builder()
            .scheme("http")
            .authority("peer")
            .path_and_query(path)
            .build()
            .ok()?;
        let link = self.links.link(address);
        let call = async {
            let response = link.send(req).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let limited = Limited::new(response.into_body(), transport::FRAME_MAX_BYTES);
            let bytes = limited.collect().await.ok()?.to_bytes();
            rmp_serde::from_slice(&bytes).ok()
        };
        time::timeout(CALL_TIMEOUT, call).await.ok()?
    }
}
