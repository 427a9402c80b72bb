//! Requests for tokens of callers with quotas.

use shallothill_policy::quota::{CreditReply, CreditRequest};

/// `ASKS_MAX` bounds the callers in one request, so that the message stays below 1 MB.
pub const ASKS_MAX: usize = 20_000;

/// `is_valid` tells whether a request keeps to the bounds of the messages.
pub fn is_valid(req: &CreditRequest) -> bool {
    req.asks.len() <= ASKS_MAX && req.number > req.acknowledged
}

/// `encoded_bytes` returns the approximate size of a request and its reply on the wire.
pub fn encoded_bytes(req: &CreditRequest, reply: &CreditReply) -> usize {
    const FRAME_BYTES: usize = 40;
    const ASK_BYTES: usize = 14;
    const GRANT_BYTES: usize = 18;
    2 * FRAME_BYTES + req.asks.len() * ASK_BYTES + reply.grants.len() * GRANT_BYTES
}
