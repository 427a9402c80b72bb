//! The stored result of a claimed request.

use serde::{Deserialize, Serialize};

/// `Completion` records how a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Completion {
    /// The backend server answered; a resend of the request gets the same answer.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
        /// The body, or `None` when it exceeded `LedgerOptions::max_answer_bytes`.
        body: Option<Vec<u8>>,
    },
    /// The request was dispatched and its gate cannot tell whether it ran.
    Unknown,
}

impl Completion {
    /// `without_large_body` drops an answer body of more than `max_bytes`.
    pub fn without_large_body(mut self, max_bytes: usize) -> Self {
        if let Self::Answered { body, .. } = &mut self
            && body.as_ref().is_some_and(|b| b.len() > max_bytes)
        {
            *body = None;
        }
        self
    }
}
