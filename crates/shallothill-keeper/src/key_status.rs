//! Reports the state of an idempotency key to operators.

use std::time::Duration;

use futures::future;
use hyper::StatusCode;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_ledger::{Claim, ClaimAnswer, ClaimReply, Completion};
use shallothill_runtime::clock;
use shallothill_wire::operator::KeyReply;

use crate::keeper::Keeper;

/// `QUERY_TIMEOUT` bounds the call to each member of the key's ledger group.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// `query_key` queries the keepers of the key's home region and summarizes their replies.
///
/// Fails with a status and a message when the key is not valid or too few keepers answer.
pub async fn query_key(keeper: &Keeper, key: &str) -> Result<KeyReply, (StatusCode, &'static str)> {
    let invalid = "the key is not valid; use `[<region>.]<UUIDv7>` with a known region\n";
    let invalid = (StatusCode::BAD_REQUEST, invalid);
    let key = IdempotencyKey::try_parse(key).map_err(|_| invalid)?;
    let home = key
        .home_region(&keeper.settings.regions)
        .map_err(|_| invalid)?;
    let members = keeper.settings.keepers.iter().filter(|k| k.region == *home);
    let members: Vec<_> = members.collect();
    let queries = members
        .iter()
        .map(|member| query_member(keeper, member.id, &key));
    let replies: Vec<ClaimReply> = future::join_all(queries)
        .await
        .into_iter()
        .flatten()
        .collect();
    if replies.len() < members.len() / 2 + 1 {
        let message = "too few keepers of the key's home region answer; ask again later\n";
        return Err((StatusCode::SERVICE_UNAVAILABLE, message));
    }
    Ok(summarize(&replies, members.len()))
}

async fn query_member(
    keeper: &Keeper,
    member: shallothill_core::ids::KeeperId,
    key: &IdempotencyKey,
) -> Option<ClaimReply> {
    if member == keeper.settings.id {
        return keeper.ledger.query(key.clone()).await;
    }
    let key = key.clone();
    let peer = keeper.peers.get(member)?;
    let control = &peer.control_rpc;
    let call = control.call(QUERY_TIMEOUT, |client, cx| async move {
        client.query_key(cx, key).await
    });
    call.await.ok()
}

fn summarize(replies: &[ClaimReply], members: usize) -> KeyReply {
    let reply = |state: &str, claim: Option<&Claim>, status: Option<u16>| KeyReply {
        state: state.to_owned(),
        gate: claim.map(|c| c.gate.clone()),
        status,
    };
    let mut held: Vec<&Claim> = Vec::new();
    let mut refused = 0;
    let mut contested = false;
    for answer in replies.iter().map(|r| &r.answer) {
        match answer {
            ClaimAnswer::Holds {
                claim,
                completion: Some(Completion::Answered { status, .. }),
            } => return reply("completed", Some(claim), Some(*status)),
            ClaimAnswer::Holds {
                claim,
                completion: Some(Completion::Unknown),
            } => return reply("may have run", Some(claim), None),
            ClaimAnswer::Holds { claim, .. } => held.push(claim),
            ClaimAnswer::Contested => contested = true,
            ClaimAnswer::Refused(_) => refused += 1,
            ClaimAnswer::Free => {}
        }
    }
    if contested {
        return reply("contested", None, None);
    }
    // A claim that less than a majority holds may still have been granted together with a member
    // that does not answer now.
    if let Some(claim) = held.first() {
        let expired = clock::now() > claim.expires;
        let state = if expired {
            "may have run"
        } else {
            "in progress"
        };
        return reply(state, Some(claim), None);
    }
    if refused > members / 2 {
        return reply("refused", None, None);
    }
    reply("free", None, None)
}
