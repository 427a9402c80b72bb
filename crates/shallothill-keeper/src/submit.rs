//! Submits an operator's change to the config log and reads the accepted text.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use shallothill_config::TextPatch;
use shallothill_config::limits::TEXT_MAX_BYTES;
use shallothill_core::config::{Config, Fault};
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::KeeperId;
use shallothill_core::version::ConfigVersion;
use shallothill_runtime::clock;
use shallothill_wire::operator::{CurrentText, SubmitReply, SubmitRequest};
use tokio::{task, time};

use crate::config_state::{Change, Outcome};
use crate::forward;
use crate::keeper::{Keeper, lock};
use crate::log::LogCallError;

/// `ID_MAX_BYTES` bounds change ids and operators' names, which are stored for thousands of
/// changes.
pub const ID_MAX_BYTES: usize = 128;

/// `FORWARD_ATTEMPTS` is the number of times that a submission is forwarded while the primary
/// changes.
const FORWARD_ATTEMPTS: usize = 3;

/// `COMMIT_TIMEOUT` bounds the wait for the commit. A change that is committed later keeps its id,
/// so a resend gets its outcome.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// `READ_TIMEOUT` bounds a read of the accepted text or version, here or at the primary.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// `APPLY_TIMEOUT` is longer than the time between two heartbeats, each of which carries the commit
/// position up to which a keeper may apply.
const APPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// `submit` checks the text, proposes it to the config log and returns the outcome.
///
/// A keeper that is not the primary forwards the submission to it. `forward` is false for a
/// submission that another keeper forwarded, so it is forwarded once at most.
pub async fn submit(keeper: &Arc<Keeper>, req: SubmitRequest, forward: bool) -> SubmitReply {
    if let Some(fault) = limit_fault(&req) {
        return SubmitReply::Invalid {
            faults: vec![fault],
        };
    }
    // The forwarding keeper has already checked the text.
    if forward && let Err(reply) = check_text(keeper, &req).await {
        return reply;
    }
    propose(keeper, &req, forward).await
}

/// `submit_checked` is [`submit`] for a text that the caller has parsed into `cfg`.
pub async fn submit_checked(keeper: &Arc<Keeper>, req: SubmitRequest, cfg: Config) -> SubmitReply {
    if let Some(fault) = limit_fault(&req) {
        return SubmitReply::Invalid {
            faults: vec![fault],
        };
    }
    let text_hash = ContentHash::of(req.text.as_bytes());
    *lock(&keeper.checked_config) = Some((text_hash, Arc::new(cfg)));
    propose(keeper, &req, true).await
}

async fn propose(keeper: &Arc<Keeper>, req: &SubmitRequest, forward: bool) -> SubmitReply {
    for _ in 0..FORWARD_ATTEMPTS {
        if let Some(reply) = submit_once(keeper, req, forward).await {
            return reply;
        }
    }
    unavailable("the primary of the config log keeps changing")
}

// Proposes here or at the primary; `None` when the primary changed before it answered.
async fn submit_once(
    keeper: &Arc<Keeper>,
    req: &SubmitRequest,
    forward: bool,
) -> Option<SubmitReply> {
    let answer = tokio::select! {
        answer = propose_at_primary(keeper, req) => answer,
        _ = keeper.timer.after(COMMIT_TIMEOUT) => {
            Err(LogCallError::Unavailable("no quorum of keepers answered in time".to_owned()))
        }
    };
    let reply = match answer {
        Ok(reply) => reply,
        Err(LogCallError::Unavailable(reason)) => unavailable(&reason),
        Err(LogCallError::NotPrimary(_)) if !forward => {
            unavailable("the primary of the config log is changing")
        }
        Err(LogCallError::NotPrimary(primary)) => {
            let Some(peer) = keeper.peers.get(primary) else {
                return Some(unavailable("no primary of the config log is known"));
            };
            let call = forward::submit_at(keeper, &peer, req);
            // The change id makes it safe to retry at the next primary while the former one hangs.
            tokio::select! {
                reply = call => reply.unwrap_or_else(|e| unavailable(&e.to_string())),
                () = keeper.log.wait_for_other_primary(primary) => return None,
            }
        }
    };
    Some(reply)
}

/// `confirmed_text` returns the accepted text, which contains every change that was acknowledged
/// before the call.
///
/// A keeper that is not the primary asks it for the version only and answers from its own state:
/// replication has carried the text over the links between regions already, and these are billed by
/// volume.
///
/// Fails when no quorum confirms the version in time.
pub async fn confirmed_text(keeper: &Keeper) -> Result<CurrentText, LogCallError> {
    let primary = match with_read_timeout(confirmed_text_if_primary(keeper)).await {
        Err(LogCallError::NotPrimary(primary)) => primary,
        answer => return answer,
    };
    let version = confirmed_version_from(keeper, primary).await?;
    if wait_until_applied(keeper, version).await {
        return Ok(applied_text(keeper));
    }
    let peer = keeper.peers.get(primary).ok_or_else(no_quorum)?;
    let call = peer.peer_rpc.call(READ_TIMEOUT, |client, cx| async move {
        client.current(cx).await
    });
    call.await.ok().flatten().ok_or_else(no_quorum)
}

// Waits until this keeper has applied `version`; returns false after `APPLY_TIMEOUT`, as at a
// keeper that is recovering.
async fn wait_until_applied(keeper: &Keeper, version: ConfigVersion) -> bool {
    let mut updates = keeper.subscribe_changes();
    let end = keeper.timer.after(APPLY_TIMEOUT);
    tokio::pin!(end);
    while lock(&keeper.state).version() < version {
        tokio::select! {
            _ = updates.changed() => {}
            _ = end.as_mut() => return false,
        }
    }
    true
}

/// `confirmed_version` returns the accepted version, at least the version of every change that was
/// acknowledged before the call.
///
/// Fails when no quorum confirms the version in time.
pub async fn confirmed_version(keeper: &Keeper) -> Result<ConfigVersion, LogCallError> {
    match with_read_timeout(confirmed_version_if_primary(keeper)).await {
        Err(LogCallError::NotPrimary(primary)) => confirmed_version_from(keeper, primary).await,
        answer => answer,
    }
}

async fn confirmed_version_from(
    keeper: &Keeper,
    primary: KeeperId,
) -> Result<ConfigVersion, LogCallError> {
    let peer = keeper.peers.get(primary).ok_or_else(no_quorum)?;
    let call = peer.peer_rpc.call(READ_TIMEOUT, |client, cx| async move {
        client.confirmed_version(cx).await
    });
    call.await.ok().flatten().ok_or_else(no_quorum)
}

/// `confirmed_version_if_primary` is [`confirmed_version`] without forwarding; it fails with
/// `NotPrimary` on other keepers.
pub async fn confirmed_version_if_primary(keeper: &Keeper) -> Result<ConfigVersion, LogCallError> {
    keeper.log.read_barrier().await?;
    Ok(lock(&keeper.state).version())
}

async fn with_read_timeout<T>(
    read: impl Future<Output = Result<T, LogCallError>>,
) -> Result<T, LogCallError> {
    let read = time::timeout(READ_TIMEOUT, read).await;
    read.unwrap_or_else(|_| Err(no_quorum()))
}

fn no_quorum() -> LogCallError {
    LogCallError::Unavailable("no quorum of keepers answered in time".to_owned())
}

/// `confirmed_text_if_primary` is [`confirmed_text`] without forwarding; it fails with `NotPrimary`
/// on other keepers.
pub async fn confirmed_text_if_primary(keeper: &Keeper) -> Result<CurrentText, LogCallError> {
    keeper.log.read_barrier().await?;
    Ok(applied_text(keeper))
}

fn applied_text(keeper: &Keeper) -> CurrentText {
    let state = lock(&keeper.state);
    CurrentText {
        version: state.version(),
        label: state.label(),
        text: state.text().as_ref().to_owned(),
    }
}

// A change that fewer members than `min_members` hold could be lost with their disks.
fn has_enough_members(keeper: &Keeper) -> bool {
    let min_members = lock(&keeper.membership_planner).options().min_members();
    let members = keeper.log.status().replica.map_or(0, |r| r.members.len());
    !keeper.settings.uses_discovery() || members >= min_members
}

async fn check_text(keeper: &Keeper, req: &SubmitRequest) -> Result<(), SubmitReply> {
    let text = req.text.clone();
    let checked = task::spawn_blocking(move || {
        let config = shallothill_config::parse(&text)?;
        Ok((ContentHash::of(text.as_bytes()), Arc::new(config)))
    });
    match checked.await {
        Ok(Ok(checked)) => {
            *lock(&keeper.checked_config) = Some(checked);
            Ok(())
        }
        Ok(Err(faults)) => Err(SubmitReply::Invalid { faults }),
        Err(_) => Err(unavailable("the text could not be checked")),
    }
}

async fn propose_at_primary(
    keeper: &Keeper,
    req: &SubmitRequest,
) -> Result<SubmitReply, LogCallError> {
    // Only the current state distinguishes a new change from a resend or an outdated base.
    keeper.log.read_barrier().await?;
    if !has_enough_members(keeper) {
        let reason = "the group of keepers is not complete yet";
        return Err(LogCallError::Unavailable(reason.to_owned()));
    }
    let text_hash = ContentHash::of(req.text.as_bytes());
    // Read before the state is locked: nodes act on a version only after the log has applied it.
    let in_force = *keeper.subscribe_highest_version().borrow();
    let change = {
        let state = lock(&keeper.state);
        if let Some(outcome) = state.outcome_of(&req.change_id, text_hash) {
            drop(state);
            return Ok(reply_for(keeper, outcome));
        }
        let base_is_current = match req.labels {
            Some(labels) => labels.base == state.label() && labels.new > labels.base,
            None => req.base == state.version(),
        };
        if !base_is_current {
            let conflict = Outcome::Conflict(state.version());
            drop(state);
            return Ok(reply_for(keeper, conflict));
        }
        Change {
            change_id: req.change_id.clone(),
            operator: req.operator.clone(),
            base: state.version(),
            labels: req.labels,
            in_force,
            text_hash,
            proposed: clock::now(),
            patch: TextPatch::diff(&state.text(), &req.text),
        }
    };
    let outcome = keeper.log.propose(change).await?;
    Ok(reply_for(keeper, outcome))
}

fn reply_for(keeper: &Keeper, outcome: Outcome) -> SubmitReply {
    match outcome {
        Outcome::Accepted(version) => SubmitReply::Accepted { version },
        Outcome::Reused(version) => SubmitReply::ChangeIdReused { version },
        Outcome::Conflict(_) => {
            let state = lock(&keeper.state);
            SubmitReply::Conflict {
                current: state.version(),
                current_text: state.text().as_ref().to_owned(),
            }
        }
    }
}

fn unavailable(reason: &str) -> SubmitReply {
    SubmitReply::Unavailable {
        reason: format!("{reason}; send the same change id again"),
    }
}

fn limit_fault(req: &SubmitRequest) -> Option<Fault> {
    let fault = |field: &str, message: String| Fault {
        line: 0,
        column: 0,
        field: field.to_owned(),
        message,
    };
    if req.text.len() > TEXT_MAX_BYTES {
        let message = format!(
            "the text has {} bytes; shorten it to {TEXT_MAX_BYTES}",
            req.text.len()
        );
        return Some(fault("", message));
    }
    let ids = [("change_id", &req.change_id), ("operator", &req.operator)];
    let invalid = ids.into_iter().find(|(name, value)| {
        let empty = value.is_empty() && *name == "change_id";
        empty || value.len() > ID_MAX_BYTES
    });
    invalid.map(|(name, _)| fault(name, format!("use 1 to {ID_MAX_BYTES} bytes")))
}
