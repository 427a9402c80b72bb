//! Tokens of callers with quotas at a group of keepers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::Group;
use serde_json::json;
use shallothill_core::hash;
use shallothill_keeper::credit;
use shallothill_policy::quota::{CreditAsk, CreditReply, CreditRequest};
use shallothill_wire::operator::SubmitReply;

const CALLER: &str = "limited";

fn text() -> String {
    let document = json!({
        "regions": ["central"],
        "require_keys": true,
        "services": {"rulings": {
            "slots": 5, "connections": 300, "floor": 1, "disposition": "quick",
            "expected_latency": "40ms",
        }},
        "routes": {"rulings": {
            "service": "rulings", "methods": ["GET"], "path": "/", "idempotent": true,
            "class": "shop", "deadline": "5s",
        }},
        "callers": {CALLER: {
            "class": "shop", "keys": ["key-1"],
            "quota": {"requests_per_s": 0.1, "burst": 0},
        }},
    });
    document.to_string()
}

fn request(sender: u64, needed: u32) -> CreditRequest {
    CreditRequest {
        sender,
        number: 1,
        acknowledged: 0,
        granter: 0,
        asks: vec![CreditAsk {
            caller: hash::hash64(CALLER.as_bytes()),
            used: 0,
            held: 0,
            needed,
            wanted: 0,
        }],
    }
}

fn tokens(reply: &CreditReply) -> u32 {
    reply.grants.iter().map(|g| g.tokens).sum()
}

async fn start_group() -> Group {
    let group = Group::start(3).await;
    let reply = group.submit_until_answered(0, 0, "c1", &text()).await;
    assert!(matches!(reply, SubmitReply::Accepted { .. }), "{reply:?}");
    for i in 0..3 {
        let keeper = group.keeper(i);
        common::wait("the version", || keeper.published.load().version().0 == 1).await;
    }
    group
}

async fn ask(group: &Group, i: usize, sender: u64, needed: u32) -> Option<CreditReply> {
    let req = request(sender, needed);
    let call = group
        .control(i)
        .call(Duration::from_secs(5), |client, cx| async move {
            client.credit(cx, req).await
        })
        .await;
    call.unwrap()
}

/// Guards against keepers that each grant the quota, in place of the primary for all of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keepers_grant_one_quota_together() {
    let group = start_group().await;
    let mut granted = 0;
    let mut denied = 0;

    for i in 0..3 {
        let reply = ask(&group, i, i as u64 + 1, 10).await.unwrap();
        granted += tokens(&reply);
        denied += reply.grants.iter().filter(|g| g.denied_ms > 0).count();
    }

    // The capacity is 0.6 x (0.1 x 0.1 x 5 + 20) = 12; a new issuer has less.
    assert!((1..=12).contains(&granted), "{granted}");
    assert!(denied >= 2, "{denied}");
}

/// Guards against a keeper that issues without being the primary.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_primary_issues() {
    let group = start_group().await;
    let primary = group.primary().await;

    for i in 0..3 {
        let issued = credit::issue(group.keeper(i), &request(9, 1)).await;
        assert_eq!(issued.is_ok(), i == primary, "{issued:?}");
    }
}

/// Guards against tokens, or a denial, of a keeper that cannot know whether the caller is within its
/// quota.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_granted_or_denied_without_a_quorum() {
    let mut group = start_group().await;
    group.stop_one(0).await;
    group.stop_one(1).await;
    let keeper = Arc::clone(group.keeper(2));
    let unleased = || keeper.log.status().primary.is_none();
    common::wait("the loss of the quorum", unleased).await;

    let reply = ask(&group, 2, 1, 1).await.unwrap();

    assert_eq!(reply.grants, []);
}
