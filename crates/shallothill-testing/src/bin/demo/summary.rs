//! Prints the summary of one deployment.

use std::time::Duration;

use shallothill_testing::tally::Tally;

use crate::deployment::Kind;

/// `print` prints one line a kind; latencies are those above the `direct` ones, before faults.
pub(crate) fn print(kinds: &[Kind], tallies: &[Tally], direct: &[Duration]) {
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
            tally.doubled,
            tally.lost,
            added(&tally.quiet, direct, 50),
            added(&tally.quiet, direct, 99),
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

/// `quantile` returns a percentile of sorted times.
fn quantile(sorted: &[Duration], percent: usize) -> Option<Duration> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get(last * percent / 100).copied()
}

fn added(with: &[Duration], direct: &[Duration], percent: usize) -> String {
    match (quantile(with, percent), quantile(direct, percent)) {
        (Some(with), Some(direct)) => {
            let ms = (with.as_secs_f64() - direct.as_secs_f64()) * 1000.0;
            format!("{ms:.2} ms")
        }
        _ => String::from("-"),
    }
}
