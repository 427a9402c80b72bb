//! `shallothill history` lists the accepted changes.

use std::time::{SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use shallothill_core::time::UnixMillis;
use shallothill_wire::operator::HistoryReply;

use crate::client::{Call, Keepers};
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;
use crate::table;

/// `run` prints one line per change, newest first.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    let limit = matches.get_one::<u64>("limit").copied().unwrap_or(20);
    let call = Call::get(format!("/config/history?limit={limit}"));
    let reply: HistoryReply = Keepers::try_new(matches)?.call(&call).await?;
    let mut rows = vec![table::row([
        "VERSION", "AGE", "OPERATOR", "BYTES", "CHANGE",
    ])];
    for item in &reply.items {
        rows.push(vec![
            item.version.to_string(),
            format_age(item.accepted),
            item.operator.clone(),
            item.bytes.to_string(),
            item.change_id.clone(),
        ]);
    }
    out.result(&reply, &table::align(&rows));
    Ok(Exit::Ok)
}

/// `format_age` returns the time since `then` in whole units; a time in the future gives `0s`.
fn format_age(then: UnixMillis) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    match now.as_secs().saturating_sub(then.0 / 1000) {
        s @ 0..120 => format!("{s}s"),
        s @ 120..7_200 => format!("{}m", s / 60),
        s @ 7_200..172_800 => format!("{}h", s / 3_600),
        s => format!("{}d", s / 86_400),
    }
}
