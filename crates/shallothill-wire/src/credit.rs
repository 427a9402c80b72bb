//! Requests for tokens of callers with quotas.

use shallothill_policy::quota::CreditRequest;

/// `ASKS_MAX` bounds the callers in one request, so that the message stays below 1 MB.
pub const ASKS_MAX: usize = 20_000;

/// `is_valid` tells whether a request keeps to the bounds of the messages.
pub fn is_valid(req: &CreditRequest) -> bool {
    req.asks.len() <= ASKS_MAX && req.number > req.acknowledged
}
