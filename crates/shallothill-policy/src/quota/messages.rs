//! The messages between the holders, the relays and the issuer.

use serde::{Deserialize, Serialize};

/// `CreditRequest` reports the tokens of one sender and asks for more. A sender has one request in
/// flight at most.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CreditRequest {
    /// Identifies the run of the sending process.
    pub sender: u64,
    /// The number of the request, counted from 1.
    pub number: u64,
    /// The number of the last request whose reply the sender has applied, 0 for none.
    pub acknowledged: u64,
    /// The granter of the reported tokens; 0 before the first reply.
    pub granter: u64,
    /// The callers with a change or a need.
    pub asks: Vec<CreditAsk>,
}

/// `CreditAsk` is the part of a request that concerns one caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CreditAsk {
    /// The hash of the caller's name.
    pub caller: u64,
    /// The tokens used since the last acknowledged request.
    pub used: u32,
    /// The tokens that the sender has or has passed on.
    pub held: u32,
    /// The requests that wait for a token.
    pub needed: u32,
    /// Further tokens, for requests that are expected.
    pub wanted: u32,
}

/// `CreditReply` answers a [`CreditRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CreditReply {
    /// Identifies the granter; it changes when an issuer or relay begins without its former state.
    pub granter: u64,
    /// The number of the request.
    pub number: u64,
    /// The callers that get tokens or are denied. A caller that needs tokens and is not listed may
    /// be within its quota; the granter cannot tell.
    pub grants: Vec<CreditGrant>,
}

/// `CreditGrant` is the part of a reply that concerns one caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CreditGrant {
    /// The hash of the caller's name.
    pub caller: u64,
    /// The tokens granted.
    pub tokens: u32,
    /// Those of them that the granter counts as used already, since requests wait for them. The
    /// receiver does not report them, neither as held nor as used.
    pub settled: u32,
    /// The time to live of the tokens, from the time at which the request was sent.
    pub ttl_ms: u16,
    /// The time until there is credit again, if not all needed tokens were granted; otherwise 0.
    pub denied_ms: u32,
}
