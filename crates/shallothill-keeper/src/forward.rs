//! Forwards an operator's submission to the primary of the config log.
//!
//! The text is sent as a patch of the text that both keepers usually have, because links between
//! regions are billed by volume and a change is mostly much smaller than the text.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_config::TextPatch;
use shallothill_core::hash::ContentHash;
use shallothill_wire::operator::{SubmitReply, SubmitRequest};

use crate::keeper::{Keeper, lock};
use crate::peers::Peer;

/// `FORWARD_TIMEOUT` bounds the call that forwards a submission to the primary.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);

/// `PatchedSubmit` is a submission whose text is a patch of the accepted text of both keepers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PatchedSubmit {
    /// The submission with an empty text.
    pub req: SubmitRequest,
    /// The hash of the text that the patch applies to.
    pub base_hash: ContentHash,
    /// Turns that text into the submitted one.
    pub patch: TextPatch,
    /// The hash of the submitted text.
    pub text_hash: ContentHash,
}

impl PatchedSubmit {
    /// `new` replaces the text of `req` by a patch of `base`.
    pub fn new(req: &SubmitRequest, base: &str) -> Self {
        Self {
            base_hash: ContentHash::of(base.as_bytes()),
            patch: TextPatch::diff(base, &req.text),
            text_hash: ContentHash::of(req.text.as_bytes()),
            req: SubmitRequest {
                text: String::new(),
                change_id: req.change_id.clone(),
                operator: req.operator.clone(),
                ..*req
            },
        }
    }

    /// `restore` returns the submission with its text, or `None` if `base` is another text than the
    /// one that was patched.
    pub fn restore(self, base: &str) -> Option<SubmitRequest> {
        if ContentHash::of(base.as_bytes()) != self.base_hash {
            return None;
        }
        let text = self.patch.apply(base).ok()?;
        let is_same = ContentHash::of(text.as_bytes()) == self.text_hash;
        is_same.then_some(SubmitRequest { text, ..self.req })
    }
}

/// `submit_at` submits `req` at the primary `peer`.
///
/// Fails with `Connect` or `Call` if the primary does not answer; the change id makes it safe to
/// submit again.
pub(crate) async fn submit_at(
    keeper: &Keeper,
    peer: &Peer,
    req: &SubmitRequest,
) -> shallothill_wire::Result<SubmitReply> {
    let base = lock(&keeper.state).text();
    let patched = PatchedSubmit::new(req, &base);
    let call = peer
        .peer_rpc
        .call(FORWARD_TIMEOUT, |client, cx| async move {
            client.submit_patch(cx, patched).await
        });
    // A primary of an earlier release does not know the call.
    if let Ok(Some(reply)) = call.await {
        return Ok(reply);
    }
    let whole = req.clone();
    let call = peer
        .peer_rpc
        .call(FORWARD_TIMEOUT, |client, cx| async move {
            client.submit(cx, whole).await
        });
    call.await
}
