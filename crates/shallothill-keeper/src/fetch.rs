//! Fetches a newer configuration from another keeper, or from a node that acts on it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use shallothill_core::sections::{Manifest, Section, SectionId};
use shallothill_core::version::ConfigVersion;
use shallothill_wire::transport;
use shallothill_wire::watch::{ConfigUpdate, SectionsReply, SectionsRequest};
use tokio::time;
use tracing::{info, warn};

use crate::keeper::Keeper;
use crate::peers::Peer;
use crate::published::PublishedConfig;

/// `CALL_TIMEOUT` bounds each call for a configuration or its sections.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `SECTIONS_PER_CALL_MAX` is the number of sections requested in one call; 64 buckets of 61,000
/// callers take about 1 MB.
const SECTIONS_PER_CALL_MAX: usize = 64;

/// `ConfigFetcher` fetches and publishes configurations; clones share the HTTP connections to
/// nodes.
#[derive(Clone, Debug)]
pub struct ConfigFetcher {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for ConfigFetcher {
    fn default() -> Self {
        Self {
            client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

/// `Source` is the process that sections are fetched from.
#[derive(Clone, Copy, Debug)]
enum Source<'a> {
    Keeper(&'a Peer),
    Node(SocketAddr),
}

impl ConfigFetcher {
    /// `fetch_newest` calls all other keepers, and then the node that reported the highest version.
    /// It publishes the first complete configuration that is newer than the served one.
    pub async fn fetch_newest(&self, keeper: &Keeper) {
        let current = keeper.published.load_full();
        let from = current.version();
        let all = keeper.peers.all();
        let calls = all.values().map(|peer| async move {
            let call = peer.peer_rpc.call(CALL_TIMEOUT, |client, cx| async move {
                client.config(cx, from).await
            });
            (peer, call.await.ok().flatten())
        });
        let mut replies: FuturesUnordered<_> = calls.collect();
        while let Some((peer, update)) = replies.next().await {
            let Some(update) = update else { continue };
            if self
                .fetch_and_publish(keeper, Source::Keeper(peer), &current, update)
                .await
            {
                return;
            }
        }
        let Some(address) = keeper.ahead_node_address() else {
            return;
        };
        let manifest = self.get_from_node(address, "/peer/config/manifest", Bytes::new());
        let answer: Option<(ConfigVersion, Manifest)> = manifest.await;
        if let Some((version, manifest)) = answer.filter(|(v, _)| *v > from) {
            let update = ConfigUpdate::Manifest { version, manifest };
            self.fetch_and_publish(keeper, Source::Node(address), &current, update)
                .await;
        }
    }

    async fn fetch_and_publish(
        &self,
        keeper: &Keeper,
        source: Source<'_>,
        current: &PublishedConfig,
        update: ConfigUpdate,
    ) -> bool {
        let address = source.address();
        let Some(next) = self.complete_update(source, current, update).await else {
            warn!("config: {address} sent no complete configuration");
            return false;
        };
        info!(
            "config: version {} was fetched from {address}",
            next.version()
        );
        keeper.publish(next);
        true
    }

    async fn complete_update(
        &self,
        source: Source<'_>,
        current: &PublishedConfig,
        update: ConfigUpdate,
    ) -> Option<PublishedConfig> {
        let mut fetched = Vec::new();
        if let ConfigUpdate::Manifest { version, manifest } = &update {
            let mut missing = current.missing_sections(manifest);
            while !missing.is_empty() {
                let ids = missing
                    .iter()
                    .take(SECTIONS_PER_CALL_MAX)
                    .cloned()
                    .collect();
                let received = self.fetch_sections(source, *version, ids).await?;
                let missing_before = missing.len();
                missing.retain(|id| received.iter().all(|s| s.id() != *id));
                if missing.len() == missing_before {
                    return None;
                }
                fetched.extend(received);
            }
        }
        current.apply_update(update, fetched)
    }

    async fn fetch_sections(
        &self,
        source: Source<'_>,
        version: ConfigVersion,
        ids: Vec<SectionId>,
    ) -> Option<Vec<Section>> {
        let reply = match source {
            Source::Keeper(peer) => {
                let req = SectionsRequest { version, ids };
                let call = peer.peer_rpc.call(CALL_TIMEOUT, |client, cx| async move {
                    client.sections(cx, req).await
                });
                call.await.ok()?
            }
            Source::Node(address) => {
                let path = format!("/peer/config/sections/{version}");
                let body = Bytes::from(rmp_serde::to_vec(&ids).ok()?);
                self.get_from_node::<SectionsReply>(address, &path, body)
                    .await?
            }
        };
        reply.sections
    }

    async fn get_from_node<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<T> {
        let uri = format!("http://{address}{path}");
        let req = Request::builder().method(Method::GET).uri(uri);
        let req = req.body(Full::new(body)).ok()?;
        let exchange = async {
            let response = self.client.request(req).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let limited = Limited::new(response.into_body(), transport::FRAME_MAX_BYTES);
            let body = limited.collect().await.ok()?.to_bytes();
            rmp_serde::from_slice(&body).ok()
        };
        time::timeout(CALL_TIMEOUT, exchange).await.ok()?
    }
}

impl Source<'_> {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Keeper(peer) => peer.peer_rpc.address(),
            Self::Node(address) => *address,
        }
    }
}
