//! Compares what callers were told with what the stand-ins recorded.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::record::RecordedRequest;
use crate::request::Request;
use shallothill_core::outcome::Outcome;

/// `Tally` counts the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests, without resends.
    pub sent: usize,
    /// Resends.
    pub resent: usize,
    /// Requests that got an answer of success.
    pub answered: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Neither answered nor refused: the caller does not know.
    pub unknown: usize,
    /// Non-idempotent requests that ran more than once.
    pub doubled: usize,
    /// Requests that were answered and did not run.
    pub lost: usize,
    /// Sends that were refused as not run and ran.
    pub refused_but_ran: usize,
    /// Sends that got the answer of another request.
    pub wrong_answer: usize,
    /// Sends without success by the node's reason.
    pub reasons: BTreeMap<String, usize>,
    /// Times of answered first sends before the first fault, sorted.
    pub quiet: Vec<Duration>,
}

impl Tally {
    /// `is_good` tells whether nothing was doubled, lost, run although refused, or mixed up.
    pub fn is_good(&self) -> bool {
        self.doubled + self.lost + self.refused_but_ran + self.wrong_answer == 0
    }
}

/// `count` counts the requests of each of `kinds` kinds against the records.
pub fn count(kinds: usize, requests: &[Request], records: &[RecordedRequest]) -> Vec<Tally> {
    let mut by_id: BTreeMap<&str, usize> = BTreeMap::new();
    let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        for (index, name) in [(&mut by_id, &record.id), (&mut by_key, &record.key)] {
            if let Some(name) = name {
                *index.entry(name).or_default() += 1;
            }
        }
    }
    let mut tallies = vec![Tally::default(); kinds];
    for request in requests {
        let tally = &mut tallies[request.kind];
        let ran = |id: &str| by_id.contains_key(id);
        let runs = request
            .key
            .as_deref()
            .map(|k| by_key.get(k).copied().unwrap_or(0));
        tally.sent += 1;
        tally.resent += request.sends.len() - 1;
        tally.doubled += usize::from(runs.is_some_and(|n| n > 1));
        for send in &request.sends {
            let refused = send.outcome == Outcome::RefusedNotRun;
            tally.refused_but_ran += usize::from(refused && ran(&send.id));
            tally.wrong_answer += usize::from(send.wrong_answer);
            if !send.succeeded() {
                let reason = send
                    .reason
                    .clone()
                    .unwrap_or_else(|| format!("{}", send.outcome));
                *tally.reasons.entry(reason).or_default() += 1;
            }
        }
        if request.answered() {
            let any_ran = runs.map_or(request.sends.iter().any(|s| ran(&s.id)), |n| n > 0);
            tally.answered += 1;
            tally.lost += usize::from(!any_ran);
            let first = &request.sends[0];
            if request.quiet && first.succeeded() {
                tally.quiet.push(first.took);
            }
        } else if request.refused() {
            tally.refused += 1;
        } else {
            tally.unknown += 1;
        }
    }
    for tally in &mut tallies {
        tally.quiet.sort();
    }
    tallies
}
