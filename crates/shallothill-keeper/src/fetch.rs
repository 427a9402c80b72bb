//! Fetches a configuration from another keeper, or from a node that acts on it.

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
use crate::published::Published;

/// `TIMEOUT` bounds each call for a configuration or its sections.
const TIMEOUT: Duration = Duration::from_secs(2);

/// `SECTIONS_MAX` is the number of sections asked for in one call; 64 buckets of 61,000 callers
/// take about 1 MB.
const SECTIONS_MAX: usize = 64;

/// `Fetch` asks others for configurations.
#[derive(Clone, Debug)]
pub struct Fetch {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Fetch {
    fn default() -> Self {
        Self {
            client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

/// `Source` is who is asked for sections.
#[derive(Clone, Copy, Debug)]
enum Source<'a> {
    Keeper(&'a Peer),
    Node(SocketAddr),
}

impl Fetch {
    /// `newest` asks all other keepers, and then the node that reported the highest version, and
    /// serves the first newer configuration that is complete.
    pub async fn newest(&self, keeper: &Keeper) {
        let current = keeper.published.load_full();
        let from = current.version();
        let all = keeper.peers.all();
        let asked = all.values().map(|peer| async move {
            let call = peer.peer.call(TIMEOUT, |client, cx| async move {
                client.config(cx, from).await
            });
            (peer, call.await.ok().flatten())
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        while let Some((peer, update)) = asked.next().await {
            let Some(update) = update else { continue };
            if self
                .serve(keeper, Source::Keeper(peer), &current, update)
                .await
            {
                return;
            }
        }
        let Some(address) = keeper.node_ahead() else {
            return;
        };
        let manifest = self.ask_node(address, "/peer/config/manifest", Bytes::new());
        let answer: Option<(ConfigVersion, Manifest)> = manifest.await;
        if let Some((version, manifest)) = answer.filter(|(v, _)| *v > from) {
            let update = ConfigUpdate::Manifest { version, manifest };
            self.serve(keeper, Source::Node(address), &current, update)
                .await;
        }
    }

    async fn serve(
        &self,
        keeper: &Keeper,
        source: Source<'_>,
        current: &Published,
        update: ConfigUpdate,
    ) -> bool {
        let address = source.address();
        let Some(next) = self.complete(source, current, update).await else {
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

    async fn complete(
        &self,
        source: Source<'_>,
        current: &Published,
        update: ConfigUpdate,
    ) -> Option<Published> {
        let mut fetched = Vec::new();
        if let ConfigUpdate::Manifest { version, manifest } = &update {
            let mut lacking = current.lacking(manifest);
            while !lacking.is_empty() {
                let ids = lacking.iter().take(SECTIONS_MAX).cloned().collect();
                let got = self.sections(source, *version, ids).await?;
                let before = lacking.len();
                lacking.retain(|id| got.iter().all(|s| s.id() != *id));
                if lacking.len() == before {
                    return None;
                }
                fetched.extend(got);
            }
        }
        current.updated(update, fetched)
    }

    async fn sections(
        &self,
        source: Source<'_>,
        version: ConfigVersion,
        ids: Vec<SectionId>,
    ) -> Option<Vec<Section>> {
        let reply = match source {
            Source::Keeper(peer) => {
                let req = SectionsRequest { version, ids };
                let call = peer.peer.call(TIMEOUT, |client, cx| async move {
                    client.sections(cx, req).await
                });
                call.await.ok()?
            }
            Source::Node(address) => {
                let path = format!("/peer/config/sections/{version}");
                let body = Bytes::from(rmp_serde::to_vec(&ids).ok()?);
                self.ask_node::<SectionsReply>(address, &path, body).await?
            }
        };
        reply.sections
    }

    async fn ask_node<T: DeserializeOwned>(
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
            let whole = limited.collect().await.ok()?.to_bytes();
            rmp_serde::from_slice(&whole).ok()
        };
        time::timeout(TIMEOUT, exchange).await.ok()?
    }
}

impl Source<'_> {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Keeper(peer) => peer.peer.address(),
            Self::Node(address) => *address,
        }
    }
}
