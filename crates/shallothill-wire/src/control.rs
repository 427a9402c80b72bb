//! The RPC service that keepers offer to nodes.

use std::io;
use std::net::SocketAddr;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::NodeName;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{LeaseReply, LeaseRequest, ReleaseRequest};
use shallothill_ledger::{ClaimReply, ClaimRequest, CompleteRequest, WithdrawRequest};
use shallothill_policy::quota::{CreditReply, CreditRequest};
use tarpc::client;

use crate::channel;
use crate::departures::{DeparturesReply, RecordDeparturesReply, RecordDeparturesRequest};
use crate::keeper_info::KeeperInfo;
use crate::received_bytes::ReceivedBytes;
use crate::report::{ReportReply, ReportRequest};
use crate::transport;
use crate::watch::{SectionsReply, SectionsRequest, WatchReply, WatchRequest};

/// `KeeperControl` defines the calls that nodes make to keepers.
#[tarpc::service]
pub trait KeeperControl {
    /// `report` stores a node's state in the directory.
    async fn report(req: ReportRequest) -> ReportReply;
    /// `record_departures` stores departures of backend servers.
    async fn record_departures(req: RecordDeparturesRequest) -> RecordDeparturesReply;
    /// `departures` returns the recent departures of the backend servers of a node.
    async fn departures(node: NodeName) -> DeparturesReply;
    /// `watch` is a long poll for changes of the configuration and of the directory.
    async fn watch(req: WatchRequest) -> WatchReply;
    /// `sections` returns the requested sections of a configuration version.
    async fn sections(req: SectionsRequest) -> SectionsReply;
    /// `confirmed_version` returns the accepted version, which includes every change acknowledged
    /// before the call; `None` when no quorum confirms it.
    async fn confirmed_version() -> Option<ConfigVersion>;
    /// `isolated` tells whether the keeper has received nothing from a primary of the config log
    /// for a while, so that it may lack accepted versions.
    async fn isolated() -> bool;
    /// `keepers` lists the keepers that the called one knows, itself included.
    async fn keepers() -> Vec<KeeperInfo>;
    /// `claim` votes for a claim on an idempotency key; the vote is durable before the reply.
    async fn claim(req: ClaimRequest) -> ClaimReply;
    /// `query_key` returns the ledger entry that the keeper stores for a key, without a claim.
    async fn query_key(key: IdempotencyKey) -> ClaimReply;
    /// `withdraw` releases the claim on a key; returns false when the call must be repeated.
    async fn withdraw(req: WithdrawRequest) -> bool;
    /// `complete` stores the result of a request; returns false when the call must be repeated.
    async fn complete(req: CompleteRequest) -> bool;
    /// `lease` grants or renews a lease on an ejection token.
    async fn lease(req: LeaseRequest) -> LeaseReply;
    /// `credit` reports and requests tokens of callers with quotas; `None` for a request that was
    /// superseded.
    async fn credit(req: CreditRequest) -> Option<CreditReply>;
    /// `release` returns an ejection token before its lease ends.
    async fn release(req: ReleaseRequest);
}

impl channel::Connect for KeeperControlClient {
    async fn connect(address: SocketAddr) -> io::Result<(Self, ReceivedBytes)> {
        let (transport, received) = transport::connect(address).await?;
        let client = Self::new(client::Config::default(), transport).spawn();
        Ok((client, received))
    }
}
