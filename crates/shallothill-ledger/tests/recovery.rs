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

fn member(id: KeeperId) -> LedgerMember {
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

/// Recovers keeper 1 from keepers 2 and 3 and returns it with the number of pages.
fn recover(others: &mut [LedgerMember]) -> (LedgerMember, usize, usize) {
    let mut recovery = Recovery::new(GROUP[0], Incarnation(2), &GROUP);
    let (mut pages, mut largest) = (0, 0);
    let records = loop {
        for (other, id) in others.iter_mut().zip(&GROUP[1..]) {
            if let Some(req) = recovery.next_request(*id) {
                let (reply, _) = other.on_recovery_request(&req).unwrap();
                let size = reply.entries.iter().map(|(_, e)| e.estimated_bytes()).sum();
                largest = usize::max(largest, size);
                recovery.on_reply(reply);
                pages += 1;
            }
        }
        if let Some(records) = recovery.try_finish() {
            break records;
        }
    };
    let mut lost =
        LedgerMember::try_new(GROUP[0], &GROUP, Incarnation(2), LedgerOptions::default()).unwrap();
    for record in &records {
        lost.apply(record);
    }
    (lost, pages, largest)
}

/// A reply with all entries of a day would exceed the frame limit, so that a keeper with a lost
/// disk could never recover.
#[test]
fn recovery_comes_in_pages_that_fit_a_frame() {
    let mut others = [member(GROUP[1]), member(GROUP[2])];
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

    let (lost, pages, largest) = recover(&mut others);

    assert_eq!(lost.len(), 600);
    assert!(
        pages > 2 && largest * 2 < 8 * 1024 * 1024,
        "{pages} pages, {largest} bytes"
    );
}

/// A claim that its gate withdrew must not make a key contested, which would refuse the shop's
/// resends for a day.
#[test]
fn withdrawn_claim_does_not_contest_a_key() {
    let mut others = [member(GROUP[1]), member(GROUP[2])];
    others[0].claim(NOW, &request(1, 10));
    others[1].claim(NOW, &request(1, 11));
    others[1].withdraw(&WithdrawRequest {
        key: key(1),
        claim: ClaimId(0, 10),
    });

    let (lost, _, _) = recover(&mut others);

    let expected = ClaimAnswer::Holds {
        claim: claim(11),
        completion: None,
    };
    assert_eq!(lost.query(NOW, &key(1)).answer, expected);
}

/// Two claims of which either may have been granted with the lost disk must not be decided anew.
#[test]
fn holds_a_non_idempotent_request_runs_at_most_once_after_a_lost_disk() {
    let mut others = [member(GROUP[1]), member(GROUP[2])];
    others[0].claim(NOW, &request(1, 10));
    others[1].claim(NOW, &request(1, 11));

    let (mut lost, _, _) = recover(&mut others);

    let (reply, records) = lost.claim(NOW, &request(1, 12));
    assert_eq!(
        (reply.answer, records),
        (ClaimAnswer::Contested, Vec::new())
    );
}

/// A wall clock that jumps ahead for a moment must not make a member forget claims, or refuse new
/// keys for days after it was set right.
#[test]
fn clock_that_jumps_ahead_forgets_nothing() {
    let mut member = member(GROUP[1]);
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
