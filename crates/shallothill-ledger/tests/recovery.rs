//! Recovery of a member that lost its disk.

use shallothill_core::hash::ContentHash;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{
    Claim, ClaimAnswer, ClaimId, ClaimRequest, CompleteRequest, Completion, LedgerMember,
    LedgerOptions, LedgerRecord, Recovery, WithdrawRequest,
};

const NOW: UnixMillis = UnixMillis(1_800_000_000_000);
const GROUP: [KeeperId; 3] = [KeeperId(1), KeeperId(2), KeeperId(3)];

fn ready_member(id: KeeperId) -> LedgerMember {
    let mut member =
        LedgerMember::try_new(id, &GROUP, Incarnation(1), LedgerOptions::default()).unwrap();
    member.apply(&LedgerRecord::Ready {
        incarnation: Incarnation(1),
    });
    member
}

fn key(n: u32) -> IdempotencyKey {
    let ms = NOW.0;
    let text = format!("{:08x}-{:04x}-7000-8000-{n:012x}", ms >> 16, ms & 0xffff);
    IdempotencyKey::try_parse(&text).unwrap()
}

fn claim(id: u64) -> Claim {
    Claim {
        id: ClaimId(0, id),
        body_hash: ContentHash(1, 1),
        gate: NodeName::try_new("n1").unwrap(),
        expires: NOW,
    }
}

fn request(n: u32, id: u64) -> ClaimRequest {
    ClaimRequest {
        key: key(n),
        claim: claim(id),
    }
}

/// Recovers keeper 1 from keepers 2 and 3. Returns its member, the number of pages and the size of
/// the largest page in bytes.
fn recover(others: &mut [LedgerMember]) -> (LedgerMember, usize, usize) {
    let mut recovery = Recovery::new(GROUP[0], Incarnation(2), &GROUP);
    let (mut pages, mut largest_page_bytes) = (0, 0);
    let records = loop {
        for (other, id) in others.iter_mut().zip(&GROUP[1..]) {
            if let Some(req) = recovery.next_request(*id) {
                let (reply, _) = other.on_recovery_request(&req).unwrap();
                let size = reply.entries.iter().map(|(_, e)| e.estimated_bytes()).sum();
                largest_page_bytes = usize::max(largest_page_bytes, size);
                recovery.on_reply(reply);
                pages += 1;
            }
        }
        if let Some(records) = recovery.try_finish() {
            break records;
        }
    };
    let mut recovered =
        LedgerMember::try_new(GROUP[0], &GROUP, Incarnation(2), LedgerOptions::default()).unwrap();
    for record in &records {
        recovered.apply(record);
    }
    (recovered, pages, largest_page_bytes)
}

/// Guards against a recovery that can never end: a single reply with all entries of a day exceeds
/// the frame limit.
#[test]
fn recovery_comes_in_pages_that_fit_a_frame() {
    let mut others = [ready_member(GROUP[1]), ready_member(GROUP[2])];
    for n in 0..600 {
        others[0].claim(NOW, &request(n, u64::from(n)));
        others[0].complete(&CompleteRequest {
            key: key(n),
            claim: claim(u64::from(n)),
            completion: Completion::Answered {
                status: 200,
                headers: Vec::new(),
                body: Some(vec![200; 16 * 1024]),
            },
        });
    }

    let (recovered, pages, largest_page_bytes) = recover(&mut others);

    assert_eq!(recovered.len(), 600);
    assert!(
        pages > 2 && largest_page_bytes * 2 < 8 * 1024 * 1024,
        "{pages} pages, {largest_page_bytes} bytes"
    );
}

/// Guards against a key that stays contested because of a withdrawn claim, so that the caller's
/// resends are refused for a day.
#[test]
fn withdrawn_claim_does_not_contest_a_key() {
    let mut others = [ready_member(GROUP[1]), ready_member(GROUP[2])];
    others[0].claim(NOW, &request(1, 10));
    others[1].claim(NOW, &request(1, 11));
    others[1].withdraw(&WithdrawRequest {
        key: key(1),
        claim: ClaimId(0, 10),
    });

    let (recovered, _, _) = recover(&mut others);

    let expected = ClaimAnswer::Holds {
        claim: claim(11),
        completion: None,
    };
    assert_eq!(recovered.query(NOW, &key(1)).answer, expected);
}

/// Guards against another grant for a key after recovery when either of two claims may have been
/// granted with the lost disk.
#[test]
fn holds_a_non_idempotent_request_runs_at_most_once_after_a_lost_disk() {
    let mut others = [ready_member(GROUP[1]), ready_member(GROUP[2])];
    others[0].claim(NOW, &request(1, 10));
    others[1].claim(NOW, &request(1, 11));

    let (mut recovered, _, _) = recover(&mut others);

    let (reply, records) = recovered.claim(NOW, &request(1, 12));
    assert_eq!(
        (reply.answer, records),
        (ClaimAnswer::Contested, Vec::new())
    );
}

/// Guards against a wall clock that jumps ahead for a moment and makes a member drop claims, or
/// refuse new keys for days after the clock is corrected.
#[test]
fn clock_that_jumps_ahead_drops_no_keys() {
    let mut member = ready_member(GROUP[1]);
    member.claim(NOW, &request(1, 10));

    member.drop_old_keys(UnixMillis(NOW.0 + 10 * 24 * 3_600_000));

    let (held, _) = member.claim(NOW, &request(1, 11));
    let (fresh, _) = member.claim(NOW, &request(2, 12));
    let holds = |id| ClaimAnswer::Holds {
        claim: claim(id),
        completion: None,
    };
    assert_eq!((held.answer, fresh.answer), (holds(10), holds(12)));
}
