//! Memory, log bytes and time per key of one ledger member.

use std::time::Instant;

use shallothill_core::hash::ContentHash;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{
    Claim, ClaimId, ClaimRequest, CompleteRequest, Completion, LedgerMember, LedgerOptions,
    LedgerRecord,
};

use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::scenarios::memory::resident_mb;

const KEY_COUNTS: [u64; 3] = [10_000, 33_000, 100_000];
/// Body size of a typical stored answer.
const ANSWER_BYTES: usize = 200;
const CREATED_MS: u64 = 1_796_000_000_000;

struct Cost {
    mb: f64,
    log_bytes: usize,
    ns: f64,
}

fn claim_request(n: u64) -> Result<ClaimRequest> {
    let time = format!("{CREATED_MS:012x}");
    let key = format!("{}-{}-7000-8000-{n:012x}", &time[..8], &time[8..]);
    Ok(ClaimRequest {
        key: IdempotencyKey::try_parse(&key)?,
        claim: Claim {
            id: ClaimId(n, n),
            body_hash: ContentHash(n, n),
            gate: NodeName::try_new("node-1")?,
            expires: UnixMillis(CREATED_MS + 10_000),
        },
    })
}

fn completion() -> Completion {
    Completion::Answered {
        status: 201,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: Some(vec![7; ANSWER_BYTES]),
    }
}

/// Claims and completes `keys` keys at a new member, which is returned so that its memory stays in
/// use.
fn fill_member(keys: u64) -> Result<(LedgerMember, Cost)> {
    let me = KeeperId(1);
    let group = [me, KeeperId(2), KeeperId(3)];
    let options = LedgerOptions::default();
    // `try_new` only checks that the group lists the member, which holds here.
    let Ok(mut member) = LedgerMember::try_new(me, &group, Incarnation(1), options) else {
        return shallothill_core::errors::InvalidNameSnafu {
            kind: "keeper",
            name: me.to_string(),
        }
        .fail();
    };
    member.apply(&LedgerRecord::Ready {
        incarnation: Incarnation(1),
    });
    let requests: Vec<_> = (0..keys).map(claim_request).collect::<Result<_>>()?;
    let before = resident_mb();
    let start = Instant::now();
    let mut log_bytes = 0;
    for req in &requests {
        let (_, mut records) = member.claim(UnixMillis(CREATED_MS), req);
        let done = CompleteRequest {
            key: req.key.clone(),
            claim: req.claim.clone(),
            completion: completion(),
        };
        records.extend(member.complete(&done).unwrap_or_default());
        let encoded = records.iter().filter_map(|r| rmp_serde::to_vec(r).ok());
        log_bytes += encoded.map(|b| b.len()).sum::<usize>();
    }
    let cost = Cost {
        ns: start.elapsed().as_nanos() as f64 / keys as f64,
        mb: resident_mb() - before,
        log_bytes,
    };
    Ok((member, cost))
}

pub(super) fn run(_seed: u64, report: &mut Report) -> Result<()> {
    let columns = ["keys", "MB", "bytes/key", "log bytes/key", "ns/key"];
    let title = "ledger: one member, a claim and a stored answer for each key";
    let mut table = Table::new(title, &columns);
    let mut kept = Vec::new();
    for keys in KEY_COUNTS {
        let (member, cost) = fill_member(keys)?;
        let per_key = |v: f64| format!("{:.0}", v / keys as f64);
        table.add_row(vec![
            keys.to_string(),
            format!("{:.1}", cost.mb),
            per_key(cost.mb * 1e6),
            per_key(cost.log_bytes as f64),
            format!("{:.0}", cost.ns),
        ]);
        kept.push(member);
    }
    report.tables.push(table);
    Ok(())
}
