//! Requests for tokens of callers with quotas.

use shallothill_policy::quota::{CreditAsk, CreditRequest};

/// `ASKS_MAX` bounds the callers in one request, so that the message stays below 1 MB.
pub const ASKS_MAX: usize = 20_000;

/// `TOKENS_MAX` bounds each number of tokens in a request, far above what any caller sends in the life
/// of a token, so that sums of them do not overflow.
const TOKENS_MAX: u32 = 1_000_000;

/// `is_valid` tells whether a request keeps to the bounds of the messages.
pub fn is_valid(req: &CreditRequest) -> bool {
    let in_bounds = |ask: &CreditAsk| {
        let numbers = [ask.used, ask.held, ask.needed, ask.wanted];
        numbers.into_iter().all(|n| n <= TOKENS_MAX)
    };
    req.asks.len() <= ASKS_MAX && req.number > req.acknowledged && req.asks.iter().all(in_bounds)
}
