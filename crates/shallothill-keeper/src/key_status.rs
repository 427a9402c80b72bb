//! Answers operators' questions on an idempotency key.

use std::time::Duration;

use futures::future;
use hyper::StatusCode;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_ledger::{Claim, ClaimAnswer, ClaimReply, Completion};
use shallothill_runtime::clock;
use shallothill_wire::operator::KeyReply;

use crate::keeper::Keeper;

/// `ASK_TIMEOUT` bounds the time that the members of the key's group may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// `query` asks the keepers of the key's home region and sums up their answers.
///
/// Fails with a status and a message when the key is not valid or too few keepers answer.
pub async fn query(keeper: &Keeper, key: &str) -> Result<KeyReply, (StatusCode, &'static str)> {
    let bad = "the key is not valid; use `[<region>.]<UUIDv7>` with a known region\n";
    let bad = (StatusCode::BAD_REQUEST, bad);
    let key = IdempotencyKey::try_parse(key).map_err(|_| bad)?;
    let home = key.home(&keeper.settings.regions).map_err(|_| bad)?;
    let members = keeper.settings.keepers.iter().filter(|k| k.region == *home);
    let members: Vec<_> = members.collect();
    let asked = members.iter().map(|member| ask(keeper, member.id, &key));
    let replies: Vec<ClaimReply> = future::join_all(asked)
        .await
        .into_iter()
        .flatten()
        .collect();
    if replies.len() < members.len() / 2 + 1 {
        let few = "too few keepers of the key's home region answer; ask again later\n";
        return Err((StatusCode::SERVICE_UNAVAILABLE, few));
    }
    Ok(sum_up(&replies, members.len()))
}

async fn ask(
    keeper: &Keeper,
    member: shallothill_core::ids::KeeperId,
    key: &IdempotencyKey,
) -> Option<ClaimReply> {
    if member == keeper.settings.id {
        return keeper.ledger.query(key.clone()).await;
    }
    let key = key.clone();
    let peer = keeper.peers.get(member)?;
    let control = &peer.control;
    let call = control.call(ASK_TIMEOUT, |client, cx| async move {
        client.query_key(cx, key).await
    });
    call.await.ok()
}

fn sum_up(replies: &[ClaimReply], members: usize) -> KeyReply {
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
    // A claim that fewer than a majority hold may still have been granted with a member that does
    // not answer now.
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
