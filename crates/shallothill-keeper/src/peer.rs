//! The service of keepers for each other.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, NodeName, Zone};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Cursor, Delta};
use shallothill_ledger::{RecoveryReply, RecoveryRequest};
use shallothill_replica::Message;
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::operator::{CurrentText, SubmitReply, SubmitRequest};
use shallothill_wire::watch::{ConfigUpdate, SectionsReply, SectionsRequest};
use shallothill_wire::{channel, transport};
use tarpc::client;

use crate::loads::Shards;

/// `SyncRequest` waits until the asked keeper knows something that the asking one lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The asking keeper.
    pub from: KeeperId,
    /// The version that it serves.
    pub config_version: ConfigVersion,
    /// Its position in the asked keeper's directory.
    pub cursor: Option<Cursor>,
    /// The keepers that the asking one does not hear and whose nodes it wants from this one.
    pub relay: Vec<KeeperId>,
    /// Whether the sums of loads are wanted too.
    pub loads: bool,
    /// How long the asked keeper may wait before it answers without news, in milliseconds.
    pub wait_ms: u32,
}

/// `SyncReply` holds what is newer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncReply {
    /// The version that the answering keeper serves.
    pub config_version: ConfigVersion,
    /// Changes of the directory.
    pub directory: Option<Delta>,
    /// Crash notices since the cursor.
    pub crashes: Vec<CrashNotice>,
    /// The keepers that the answering one hears.
    pub heard: Vec<KeeperId>,
    /// Sums over the nodes that report to the answering keeper, if wanted.
    pub loads: Option<Shards>,
}

/// `NodeVersion` tells which configuration a node acts on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeVersion {
    /// The node.
    pub node: NodeName,
    /// Its place.
    pub zone: Zone,
    /// The version that it acts on, or `None` when it is not heard.
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

/// `MeetRequest` introduces a keeper to another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeetRequest {
    /// The keeper.
    pub from: KeeperId,
    /// The place that it stands in.
    pub zone: Zone,
    /// Whether it holds the whole log, so that it can become a member.
    pub whole: bool,
}

/// `MeetReply` tells a keeper where to ask further.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeetReply {
    /// The place of the answering keeper.
    pub zone: Zone,
    /// The primary of the config log, as far as the answering keeper knows.
    pub primary: Option<KeeperId>,
}

/// `KeeperPeer` is what keepers ask of each other.
#[tarpc::service]
pub trait KeeperPeer {
    /// `sync` waits for news of the directory and the configuration version.
    async fn sync(req: SyncRequest) -> SyncReply;
    /// `config` leads from the caller's version to the answering keeper's, if that is newer.
    async fn config(from: ConfigVersion) -> Option<ConfigUpdate>;
    /// `sections` returns sections of a configuration version.
    async fn sections(req: SectionsRequest) -> SectionsReply;
    /// `status` tells what the keeper and the nodes that report to it act on.
    async fn status() -> PeerStatus;
    /// `submit` carries an operator's submission to the primary of the config log.
    async fn submit(req: SubmitRequest) -> SubmitReply;
    /// `current` returns the accepted text at the primary of the config log, no older than any
    /// acknowledgement before the call; `None` when that is not certain.
    async fn current() -> Option<CurrentText>;
    /// `confirmed_version` returns the accepted version at the primary of the config log, no older
    /// than any acknowledgement before the call; `None` when that is not certain.
    async fn confirmed_version() -> Option<ConfigVersion>;
    /// `meet` introduces a keeper; the primary makes it a member.
    async fn meet(req: MeetRequest) -> MeetReply;
    /// `replica` delivers a message of the config log; it may be dropped.
    async fn replica(from: KeeperId, msg: Message);
    /// `leave` tells the primary that a member is about to stop; returns whether it is still a member
    /// that another one replaces, so that the answer is worth waiting for.
    async fn leave(from: KeeperId) -> bool;
    /// `recover` answers a ledger member that lost its disk; `None` while this one recovers too.
    async fn recover(req: RecoveryRequest) -> Option<RecoveryReply>;
}

impl channel::Connect for KeeperPeerClient {
    async fn connect(address: SocketAddr) -> io::Result<Self> {
        let transport = transport::connect(address).await?;
        Ok(Self::new(client::Config::default(), transport).spawn())
    }
}
