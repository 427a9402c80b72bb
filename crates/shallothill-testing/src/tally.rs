//! Checks the results that callers received against the records of the stand-ins.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::record::RecordedRequest;
use crate::request::Request;
use shallothill_core::outcome::Outcome;

/// `Tally` holds the result counts and violations of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests, resends not counted.
    pub sent: usize,
    /// Attempts after the first of each request.
    pub resent: usize,
    /// Requests of which at least one attempt succeeded.
    pub answered: usize,
    /// Requests of which every attempt was refused as not run.
    pub refused: usize,
    /// Requests neither answered nor refused, so that the caller cannot tell whether they ran.
    pub unknown: usize,
    /// Non-idempotent requests that ran more than once.
    pub duplicated: usize,
    /// Requests that were answered with success although they did not run.
    pub lost: usize,
    /// Attempts that were refused as not run although they ran.
    pub refused_but_ran: usize,
    /// Attempts that received the response of another request.
    pub wrong_answer: usize,
    /// Number of unsuccessful attempts by the reason that the node reported, or by the outcome
    /// without one.
    pub reasons: BTreeMap<String, usize>,
    /// Latencies of successful first attempts before the first fault, ascending.
    pub baseline_latencies: Vec<Duration>,
}

impl Tally {
    /// `has_no_violations` returns whether no request was run twice or lost, ran although refused,
    /// or received the response of another.
    pub fn has_no_violations(&self) -> bool {
        self.duplicated + self.lost + self.refused_but_ran + self.wrong_answer == 0
    }
}

/// `count` returns a tally for each of `kinds` request kinds, checked against `records`.
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
        tally.duplicated += usize::from(runs.is_some_and(|n| n > 1));
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
            if request.before_faults && first.succeeded() {
                tally.baseline_latencies.push(first.latency);
            }
        } else if request.refused() {
            tally.refused += 1;
        } else {
            tally.unknown += 1;
        }
    }
    for tally in &mut tallies {
        tally.baseline_latencies.sort();
    }
    tallies
}
