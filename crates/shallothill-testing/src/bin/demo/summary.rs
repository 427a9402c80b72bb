//! Prints the summary of one deployment.

use std::time::Duration;

use shallothill_testing::tally::Tally;

use crate::deployment::RequestKind;

/// `print` prints one line for each request kind. The latencies are the added ones, compared to
/// `direct`, and cover the time before the faults.
pub(crate) fn print(kinds: &[RequestKind], tallies: &[Tally], direct: &[Duration]) {
    println!(
        "{:<26}{:>7}{:>7}{:>9}{:>8}{:>8}{:>8}{:>6}{:>10}{:>10}",
        "request",
        "sent",
        "resent",
        "answered",
        "refused",
        "unknown",
        "doubled",
        "lost",
        "p50 added",
        "p99 added"
    );
    for (kind, tally) in kinds.iter().zip(tallies) {
        println!(
            "{:<26}{:>7}{:>7}{:>9}{:>8}{:>8}{:>8}{:>6}{:>10}{:>10}",
            kind.label,
            tally.sent,
            tally.resent,
            tally.answered,
            tally.refused,
            tally.unknown,
            tally.duplicated,
            tally.lost,
            added_latency(&tally.baseline_latencies, direct, 50),
            added_latency(&tally.baseline_latencies, direct, 99),
        );
        if !tally.reasons.is_empty() {
            let reasons = tally.reasons.iter().map(|(why, n)| format!("{n} {why}"));
            println!(
                "  without success: {}",
                reasons.collect::<Vec<_>>().join(", ")
            );
        }
        if tally.refused_but_ran + tally.wrong_answer > 0 {
            println!(
                "  WRONG: {} refused sends ran, {} sends got another request's answer",
                tally.refused_but_ran, tally.wrong_answer
            );
        }
    }
}

/// Returns a percentile of `sorted`, which is in ascending order; `None` if it is empty.
fn percentile(sorted: &[Duration], percent: usize) -> Option<Duration> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get(last * percent / 100).copied()
}

fn added_latency(proxied: &[Duration], direct: &[Duration], percent: usize) -> String {
    match (percentile(proxied, percent), percentile(direct, percent)) {
        (Some(proxied), Some(direct)) => {
            let ms = (proxied.as_secs_f64() - direct.as_secs_f64()) * 1000.0;
            format!("{ms:.2} ms")
        }
        _ => String::from("-"),
    }
}
