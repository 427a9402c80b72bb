//! `shallothill submit` submits a configuration text.

use std::env;

use bytes::Bytes;
use clap::ArgMatches;
use hyper::Method;
use serde_json::json;
use shallothill_core::config::Config;
use shallothill_core::version::ConfigVersion;
use shallothill_wire::operator::{SubmitReply, SubmitRequest};
use uuid::Uuid;

use crate::client::{Call, Keepers};
use crate::commands;
use crate::commands::check;
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;

/// `run` checks the text, submits it and prints the answer.
///
/// After a lost answer the submission is resent with the same change id, so that the change is
/// never applied twice.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    let Some(base) = matches.get_one::<u64>("base").copied() else {
        return errors::MissingBaseSnafu.fail();
    };
    let (path, text) = commands::read_file(matches)?;
    let keepers = Keepers::try_new(matches)?;
    let cfg = match shallothill_config::parse(&text) {
        Ok(cfg) => cfg,
        Err(faults) => {
            check::print_faults(&path, &faults, out);
            return Ok(Exit::Refused);
        }
    };
    let given = matches.get_one::<String>("change-id").cloned();
    let change_id = given.unwrap_or_else(|| Uuid::now_v7().to_string());
    let req = SubmitRequest {
        base: ConfigVersion(base),
        change_id: change_id.clone(),
        operator: operator(matches),
        text,
        labels: None,
    };
    let call = Call {
        method: Method::POST,
        path: String::from("/config/submit"),
        // Serializing strings and numbers to memory cannot fail.
        body: Bytes::from(rmp_serde::to_vec_named(&req).unwrap_or_default()),
    };
    let reply = keepers.call_until_accepted(&call, |reply| match reply {
        SubmitReply::Unavailable { reason } => Err(reason),
        reply => Ok(reply),
    });
    let reply = reply
        .await
        .map_err(|causes| errors::Error::SubmissionResultUnknown {
            base,
            change_id: change_id.clone(),
            causes: causes.join("; "),
        })?;
    Ok(print_reply(&path, &cfg, &change_id, &reply, out))
}

fn operator(matches: &ArgMatches) -> String {
    let given = matches.get_one::<String>("operator").cloned();
    let user = || env::var("USER").unwrap_or_else(|_| String::from("unknown"));
    given.unwrap_or_else(user)
}

fn print_reply(
    path: &str,
    cfg: &Config,
    change_id: &str,
    reply: &SubmitReply,
    out: &Output,
) -> Exit {
    match reply {
        SubmitReply::Accepted { version } => {
            let text = format!("accepted as version {version} (change {change_id})");
            out.result(&json!({"version": version, "change_id": change_id}), &text);
            Exit::Ok
        }
        SubmitReply::Invalid { faults } => {
            check::print_faults(path, faults, out);
            Exit::Refused
        }
        SubmitReply::ChangeIdReused { version } => {
            let earlier = version.map_or(String::from("was refused"), |v| {
                format!("was accepted as version {v}")
            });
            let text = format!(
                "the change id {change_id} was used for another text, which {earlier}; nothing \
                 changed, submit without `--change-id`"
            );
            out.result(
                &json!({"change_id_reused": change_id, "version": version}),
                &text,
            );
            Exit::Refused
        }
        SubmitReply::Conflict {
            current,
            current_text,
        } => {
            print_conflict(cfg, *current, current_text, out);
            Exit::Refused
        }
        // Unreachable: `run` resends the submission until the timeout.
        SubmitReply::Unavailable { .. } => Exit::Unknown,
    }
}

fn print_conflict(cfg: &Config, current: ConfigVersion, current_text: &str, out: &Output) {
    // Version 0 has an empty text, which does not parse and means the empty configuration.
    let current_cfg = shallothill_config::parse_accepted(current_text).unwrap_or_default();
    let changes = shallothill_config::diff(&current_cfg, cfg);
    let changes: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let text = format!(
        "conflict: another change was accepted first, the current version is {current}; nothing \
         changed\nfrom version {current} to your text:\n{}\nget the current text with \
         `shallothill show`, apply your change to it and submit it with `--base {current}`",
        changes.join("\n")
    );
    let value = json!({"current": current, "current_text": current_text, "changes": changes});
    out.result(&json!({ "conflict": value }), &text);
}
