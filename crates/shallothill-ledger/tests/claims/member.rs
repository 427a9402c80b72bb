//! Replies of one member to claims on old, reused and completed keys.

use shallothill_core::hash::ContentHash;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{
    Claim, ClaimAnswer, ClaimId, ClaimOutcome, ClaimRefusal, ClaimRequest, Claimant,
    CompleteRequest, Completion, LedgerMember, LedgerOptions, LedgerRecord, WithdrawRequest,
};

const GROUP: [KeeperId; 3] = [KeeperId(1), KeeperId(2), KeeperId(3)];
const HOUR_MS: u64 = 3_600_000;

fn key() -> IdempotencyKey {
    IdempotencyKey::try_parse("019ae8a0-0000-7000-8000-000000000001").unwrap()
}

fn after_creation(ms: u64) -> UnixMillis {
    UnixMillis(key().created().0 + ms)
}

fn claim(n: u64, body: &[u8]) -> Claim {
    Claim {
        id: ClaimId(0, n),
        body_hash: ContentHash::of(body),
        gate: NodeName::try_new("n1").unwrap(),
        expires: after_creation(10_000),
    }
}

fn request(n: u64) -> ClaimRequest {
    ClaimRequest {
        key: key(),
        claim: claim(n, b"body"),
    }
}

fn ready_member(id: KeeperId) -> LedgerMember {
    let mut member =
        LedgerMember::try_new(id, &GROUP, Incarnation(0), LedgerOptions::default()).unwrap();
    member.apply(&LedgerRecord::Ready {
        incarnation: Incarnation(1),
    });
    member
}

fn answered_completion() -> Completion {
    Completion::Answered {
        status: 201,
        headers: Vec::new(),
        body: Some(b"ok".to_vec()),
    }
}

/// Guards against a second dispatch of a dropped key when the wall clock is set back.
#[test]
fn holds_dropped_key_stays_refused() {
    let mut m = ready_member(KeeperId(1));
    m.claim(after_creation(0), &request(1));
    // A member drops keys only once it holds newer ones, whatever time its clock shows.
    let newer = ClaimRequest {
        key: IdempotencyKey::try_parse("019aef0f-f300-7000-8000-000000000002").unwrap(),
        claim: claim(3, b"body"),
    };
    m.claim(after_creation(30 * HOUR_MS), &newer);

    m.drop_old_keys(after_creation(30 * HOUR_MS));
    let (reply, records) = m.claim(after_creation(0), &request(2));

    assert_eq!(reply.answer, ClaimAnswer::Refused(ClaimRefusal::TooOld));
    assert!(records.is_empty());
}

/// Guards against keys created far in the future, which would be kept beyond the retention.
#[test]
fn key_from_the_future_is_refused() {
    let mut m = ready_member(KeeperId(1));

    let (reply, _) = m.claim(UnixMillis(key().created().0 - HOUR_MS), &request(1));

    assert_eq!(reply.answer, ClaimAnswer::Refused(ClaimRefusal::TooNew));
}

/// Guards against a key that a late duplicate of a withdrawn claim blocks again.
#[test]
fn withdrawn_claim_is_not_accepted_again() {
    let mut m = ready_member(KeeperId(1));
    m.claim(after_creation(0), &request(1));
    m.withdraw(&WithdrawRequest {
        key: key(),
        claim: ClaimId(0, 1),
    });

    let (late, _) = m.claim(after_creation(1), &request(1));
    let (next, _) = m.claim(after_creation(1), &request(2));

    assert_eq!(late.answer, ClaimAnswer::Refused(ClaimRefusal::Withdrawn));
    assert!(matches!(next.answer, ClaimAnswer::Holds { claim, .. } if claim.id == ClaimId(0, 2)));
}

/// Guards against a resend that is dispatched, or gets another answer, after the request has ended.
#[test]
fn resend_gets_the_stored_answer() {
    let mut m = ready_member(KeeperId(1));
    m.claim(after_creation(0), &request(1));
    let complete = CompleteRequest {
        key: key(),
        claim: claim(1, b"body"),
        completion: answered_completion(),
    };
    m.complete(&complete);
    let mut resend = Claimant::new(key(), claim(2, b"body"), &GROUP);

    let (reply, _) = m.claim(after_creation(5), &resend.claim_request());
    let outcome = resend.on_reply(after_creation(5), reply);

    assert_eq!(
        outcome,
        Some(&ClaimOutcome::Completed(answered_completion()))
    );
}

/// Guards against an unknown completion that replaces a stored answer.
#[test]
fn stored_answer_is_not_replaced() {
    let mut m = ready_member(KeeperId(1));
    m.claim(after_creation(0), &request(1));
    let complete = CompleteRequest {
        key: key(),
        claim: claim(1, b"body"),
        completion: answered_completion(),
    };
    m.complete(&complete);

    let unknown = CompleteRequest {
        completion: Completion::Unknown,
        ..complete
    };
    let records = m.complete(&unknown);

    assert_eq!(records, Some(Vec::new()));
}

/// Guards against one key being used for two different requests.
#[test]
fn another_request_under_the_same_key_is_an_error() {
    let mut members = [ready_member(KeeperId(1)), ready_member(KeeperId(2))];
    let mut other = Claimant::new(key(), claim(2, b"another body"), &GROUP);

    let mut outcome = None;
    for m in &mut members {
        m.claim(after_creation(0), &request(1));
        let (reply, _) = m.claim(after_creation(1), &other.claim_request());
        outcome = other.on_reply(after_creation(1), reply).cloned();
    }

    assert_eq!(outcome, Some(ClaimOutcome::DifferentRequest));
}

/// Guards against a snapshot that lacks a claim, a withdrawal or an incarnation.
#[test]
fn snapshot_rebuilds_the_member() {
    let mut m = ready_member(KeeperId(1));
    m.claim(after_creation(0), &request(1));
    m.withdraw(&WithdrawRequest {
        key: key(),
        claim: ClaimId(0, 1),
    });
    m.claim(after_creation(0), &request(2));
    m.apply(&LedgerRecord::PeerIncarnation {
        peer: KeeperId(2),
        incarnation: Incarnation(7),
    });

    let mut restored = LedgerMember::try_new(
        KeeperId(1),
        &GROUP,
        Incarnation(0),
        LedgerOptions::default(),
    )
    .unwrap();
    for record in m.snapshot() {
        restored.apply(&record);
    }

    assert_eq!(restored.snapshot(), m.snapshot());
    assert_eq!(
        restored.query(after_creation(1), &key()),
        m.query(after_creation(1), &key())
    );
}
