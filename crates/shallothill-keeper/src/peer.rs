//! The RPC service between keepers.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, NodeName, Zone};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Cursor, Delta};
use shallothill_ledger::{RecoveryReply, RecoveryRequest};
use shallothill_policy::quota::{CreditReply, CreditRequest};
use shallothill_replica::Message;
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::operator::{CurrentText, SubmitReply, SubmitRequest};
use shallothill_wire::received_bytes::ReceivedBytes;
use shallothill_wire::watch::{ConfigUpdate, SectionsReply, SectionsRequest};
use shallothill_wire::{channel, transport};
use tarpc::client;

use crate::endpoint_departures::KnownDepartures;
use crate::forward::PatchedSubmit;
use crate::loads::ServiceShards;

/// `SyncRequest` is a long poll for changes that the calling keeper does not have.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The calling keeper.
    pub from: KeeperId,
    /// The version that the calling keeper serves.
    pub config_version: ConfigVersion,
    /// Position in the called keeper's directory after the last reply; `None` requests all of it.
    pub cursor: Option<Cursor>,
    /// The keepers that are silent for the calling keeper; the called one also sends their nodes.
    pub relay: Vec<KeeperId>,
    /// Whether the reply should contain load shards.
    pub loads: bool,
    /// Milliseconds after which the called keeper replies even without changes.
    pub wait_ms: u32,
}

/// `SyncReply` holds the changes since a [`SyncRequest`]'s position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncReply {
    /// The version that the called keeper serves.
    pub config_version: ConfigVersion,
    /// Directory changes since the cursor; `None` without any.
    pub directory: Option<Delta>,
    /// Crash notices since the cursor.
    pub crashes: Vec<CrashNotice>,
    /// The keepers that are responsive for the called keeper.
    #[serde(rename = "heard")]
    pub responsive: Vec<KeeperId>,
    /// Load shards of the nodes that report to the called keeper, if requested.
    pub loads: Option<ServiceShards>,
}

/// `NodeVersion` tells which configuration version a node acts on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeVersion {
    /// Name of the node.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: Zone,
    /// The version that it acts on; `None` while the keeper has no contact with it.
    pub config_version: Option<ConfigVersion>,
}

/// `PeerStatus` is a keeper's part of the answer to an operator's status request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// The version that the keeper serves.
    pub config_version: ConfigVersion,
    /// Whether it is the primary of the config log.
    pub primary: bool,
    /// The nodes that report to it.
    pub nodes: Vec<NodeVersion>,
}

/// `MeetRequest` introduces the calling keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeetRequest {
    /// The calling keeper.
    pub from: KeeperId,
    /// Its zone.
    pub zone: Zone,
    /// Whether its replica is complete, so that it can become a member.
    #[serde(rename = "whole")]
    pub has_complete_log: bool,
}

/// `MeetReply` introduces the called keeper and names the primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeetReply {
    /// Zone of the called keeper.
    pub zone: Zone,
    /// The primary of the config log; `None` if the called keeper knows none.
    pub primary: Option<KeeperId>,
}

/// `KeeperPeer` is the service that each keeper offers to the others.
#[tarpc::service]
pub trait KeeperPeer {
    /// `sync` waits for changes of the directory and the configuration version.
    async fn sync(req: SyncRequest) -> SyncReply;
    /// `config` returns the update from the caller's version to the served one; `None` if that is
    /// not newer.
    async fn config(from: ConfigVersion) -> Option<ConfigUpdate>;
    /// `sections` returns sections of the requested version, if that is the served one.
    async fn sections(req: SectionsRequest) -> SectionsReply;
    /// `status` returns the versions that the keeper and the nodes reporting to it act on.
    async fn status() -> PeerStatus;
    /// `submit` forwards an operator's submission to the primary of the config log.
    async fn submit(req: SubmitRequest) -> SubmitReply;
    /// `submit_patch` is `submit` with the text as a patch; `None` if the called keeper has another
    /// text than the one that was patched.
    async fn submit_patch(req: PatchedSubmit) -> Option<SubmitReply>;
    /// `current` returns the accepted text at the primary of the config log, which contains every
    /// change that was acknowledged before the call; `None` when no quorum confirms that.
    async fn current() -> Option<CurrentText>;
    /// `confirmed_version` returns the accepted version at the primary of the config log, at least
    /// that of every change acknowledged before the call; `None` when no quorum confirms that.
    async fn confirmed_version() -> Option<ConfigVersion>;
    /// `credit` reports and requests tokens at the primary of the config log; `None` when it may not
    /// issue or the request was superseded.
    async fn credit(req: CreditRequest) -> Option<CreditReply>;
    /// `meet` introduces a keeper; the primary adds it as a member.
    async fn meet(req: MeetRequest) -> MeetReply;
    /// `replica` delivers a message of the config log; the called keeper may drop it.
    async fn replica(from: KeeperId, msg: Message);
    /// `leave` requests the removal of a member that is about to stop. It returns whether that is
    /// still a member that another one can replace, so that the caller should wait for the removal.
    async fn leave(from: KeeperId) -> bool;
    /// `recover` returns a page of records for a ledger member that lost its disk; `None` while the
    /// called one is recovering too.
    async fn recover(req: RecoveryRequest) -> Option<RecoveryReply>;
    /// `departures` returns the recent departures of the backend servers of all nodes.
    async fn departures() -> KnownDepartures;
}

impl channel::Connect for KeeperPeerClient {
    async fn connect(address: SocketAddr) -> io::Result<(Self, ReceivedBytes)> {
        let (transport, received) = transport::connect(address).await?;
        let client = Self::new(client::Config::default(), transport).spawn();
        Ok((client, received))
    }
}
