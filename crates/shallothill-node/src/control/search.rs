//! Finds a keeper to follow when the followed one is silent or isolated.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::ids::KeeperId;

use crate::control::{Keeper, Keepers};

/// `CALL_TIMEOUT` is the longest wait for the answer of a keeper.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// `Found` is the result of a search; an index is that of a keeper in the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Found {
    /// This keeper hears a primary.
    Connected(usize),
    /// No keeper hears a primary; this one answers.
    Isolated(usize),
    /// No keeper answers.
    Nothing,
}

/// `find_keeper` asks all keepers except `except` at the same time and returns the first one that
/// hears a primary, which is usually the nearest.
pub async fn find_keeper(keepers: &Keepers, except: KeeperId) -> Found {
    let all = keepers.all();
    let others = all.iter().cloned().enumerate();
    let mut calls: FuturesUnordered<_> =
        others
            .filter(|(_, keeper)| keeper.id() != except)
            .map(|(index, keeper): (usize, Arc<Keeper>)| async move {
                (index, is_isolated(&keeper).await)
            })
            .collect();
    let mut isolated = Found::Nothing;
    while let Some((index, answer)) = calls.next().await {
        match answer {
            Some(false) => return Found::Connected(index),
            Some(true) => isolated = Found::Isolated(index),
            None => {}
        }
    }
    isolated
}

/// `is_isolated` asks a keeper whether it hears no primary; `None` if it does not answer.
pub async fn is_isolated(keeper: &Keeper) -> Option<bool> {
    let call = keeper
        .channel()
        .call(CALL_TIMEOUT, |c, cx| async move { c.isolated(cx).await });
    call.await.ok()
}
