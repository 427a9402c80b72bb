//! The class and the rank of a request.

use std::sync::Arc;

use hyper::header::HeaderMap;
use shallothill_core::class::Class;
use shallothill_core::config::{Caller, Route};
use shallothill_core::headers;

use crate::entry::Entry;
use crate::entry::caller::IdentifiedCaller;
use crate::gate::ParentRequest;
use crate::header_filter;

/// `RequestPriority` is the priority of a request, and the running request that it is a call of.
#[derive(Debug)]
pub(super) struct RequestPriority {
    pub(super) class: Class,
    pub(super) rank: u8,
    pub(super) parent: Option<Arc<ParentRequest>>,
}

impl Entry {
    /// `priority` returns the priority of a request: that of the running request that it is a call
    /// of, else that of its caller, else that of its route.
    pub(super) fn priority(
        &self,
        map: &HeaderMap,
        route: &Route,
        caller: &IdentifiedCaller<'_>,
    ) -> RequestPriority {
        // Calls between services carry no key.
        let parent = match caller.keyed_name() {
            Some(_) => None,
            None => self.parent_of(map),
        };
        let own_rank = caller.settings.and_then(|c| c.rank).or(route.rank);
        RequestPriority {
            class: match &parent {
                Some(parent) => parent.class,
                None => request_class(map, route, caller.settings),
            },
            rank: parent
                .as_ref()
                .map_or(own_rank.unwrap_or_default(), |p| p.rank),
            parent,
        }
    }
}

// Only internal callers may pass on the class of the request that they work for; other callers
// cannot raise their own class.
fn request_class(map: &HeaderMap, route: &Route, caller: Option<&Caller>) -> Class {
    let own = caller.map_or(route.class, |c| c.class);
    if !own.is_internal() {
        return own;
    }
    header_filter::single_value(map, headers::CLASS)
        .and_then(|v| v.parse().ok())
        .unwrap_or(own)
}
