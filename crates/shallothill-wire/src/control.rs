//! The service of keepers for nodes.

use std::io;
use std::net::SocketAddr;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{LeaseReply, LeaseRequest, ReleaseRequest};
use shallothill_ledger::{ClaimReply, ClaimRequest, CompleteRequest, WithdrawRequest};
use tarpc::client;

use crate::channel;
use crate::keeper_info::KeeperInfo;
use crate::report::{ReportReply, ReportRequest};
use crate::transport;
use crate::watch::{SectionsReply, SectionsRequest, WatchReply, WatchRequest};

/// `KeeperControl` is what nodes ask of keepers.
#[tarpc::service]
pub trait KeeperControl {
    /// `report` takes a node's state for the directory.
    async fn report(req: ReportRequest) -> ReportReply;
    /// `watch` waits for changes of the configuration and the directory.
    async fn watch(req: WatchRequest) -> WatchReply;
    /// `sections` returns sections of a configuration version.
    async fn sections(req: SectionsRequest) -> SectionsReply;
    /// `confirmed_version` returns the accepted version, no older than any acknowledgement before
    /// the call; `None` when no quorum confirms that.
    async fn confirmed_version() -> Option<ConfigVersion>;
    /// `isolated` tells whether the keeper has heard no primary of the config log for a while, so that
    /// it may miss accepted versions.
    async fn isolated() -> bool;
    /// `keepers` lists the keepers that the answering one knows, itself included.
    async fn keepers() -> Vec<KeeperInfo>;
    /// `claim` supports a claim on a key; the answer is durable.
    async fn claim(req: ClaimRequest) -> ClaimReply;
    /// `query_key` tells what the keeper holds for a key.
    async fn query_key(key: IdempotencyKey) -> ClaimReply;
    /// `withdraw` frees a key; returns false when it must be sent again.
    async fn withdraw(req: WithdrawRequest) -> bool;
    /// `complete` stores how a request ended; returns false when it must be sent again.
    async fn complete(req: CompleteRequest) -> bool;
    /// `lease` reserves or renews an ejection token.
    async fn lease(req: LeaseRequest) -> LeaseReply;
    /// `release` gives an ejection token back.
    async fn release(req: ReleaseRequest);
}

impl channel::Connect for KeeperControlClient {
    async fn connect(address: SocketAddr) -> io::Result<Self> {
        let transport = transport::connect(address).await?;
        Ok(Self::new(client::Config::default(), transport).spawn())
    }
}
