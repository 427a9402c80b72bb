//! Identifies the caller of a request, by its key or by the name that it states.

use std::time::Duration;

use hyper::header::HeaderMap;
use shallothill_core::config::{Caller, Route};
use shallothill_core::headers;
use shallothill_core::ids::CallerName;
use shallothill_policy::limits::Permit;

use crate::config::ConfigSnapshot;
use crate::entry::Entry;
use crate::header_filter;
use crate::refusal::Refusal;

/// `IdentifiedCaller` is the caller of a request, as far as it is known.
#[derive(Debug, Default)]
pub(super) struct IdentifiedCaller<'a> {
    /// The name and whether a key proves it.
    name: Option<(CallerName, Proof)>,
    /// The settings of the caller.
    pub(super) settings: Option<&'a Caller>,
}

/// `Proof` tells how a caller was identified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Proof {
    /// The request has one of the caller's keys.
    Key,
    /// The request states the name.
    Statement,
}

impl IdentifiedCaller<'_> {
    /// `keyed_name` returns the name if a key identified the caller.
    pub(super) fn keyed_name(&self) -> Option<CallerName> {
        let (name, proof) = self.name.as_ref()?;
        (*proof == Proof::Key).then(|| name.clone())
    }
}

impl Entry {
    /// `identify_caller` finds the caller of a request on `route`.
    ///
    /// Fails if the configuration requires keys and the request has none or an unknown one, except
    /// on public routes.
    pub(super) fn identify_caller<'a>(
        &self,
        map: &HeaderMap,
        cfg: &'a ConfigSnapshot,
        route: &Route,
    ) -> Result<IdentifiedCaller<'a>, Refusal> {
        if !cfg.require_keys() {
            return Ok(stated_caller(map, cfg));
        }
        let key = header_filter::single_value(map, self.deps.interface.api_key.as_str());
        if let Some((name, caller)) = key.and_then(|k| cfg.caller_of_key(k)) {
            return Ok(IdentifiedCaller {
                name: Some((name.clone(), Proof::Key)),
                settings: Some(caller),
            });
        }
        if route.public {
            return Ok(IdentifiedCaller::default());
        }
        // The key may be one that the newer version adds.
        if self.deps.store.highest_known_version() > cfg.version() {
            return Err(KEY_MAY_BE_NEW);
        }
        Err(UNKNOWN_KEY)
    }

    /// `strip_caller_headers` removes the key, which must not leave this node, and a name that the
    /// caller gave itself.
    pub(super) fn strip_caller_headers(&self, map: &mut HeaderMap, cfg: &ConfigSnapshot) {
        if cfg.require_keys() {
            map.remove(&self.deps.interface.api_key);
            map.remove(&self.deps.interface.caller_name);
        }
    }

    /// `start_within_limits` counts a request against the limits that this node enforces for its
    /// caller; `None` for an unknown caller.
    pub(super) fn start_within_limits(
        &self,
        caller: &IdentifiedCaller<'_>,
    ) -> Result<Option<Permit>, Refusal> {
        let (Some((name, _)), Some(settings)) = (&caller.name, caller.settings) else {
            return Ok(None);
        };
        let now = self.deps.timer.now();
        let started = self.deps.limits.try_start(now, name, settings);
        started.map(Some).map_err(|r| over_limit(r.retry_after))
    }
}

// Returns the caller if the configuration lists it. Other callers are served without a limit of
// their own, because the configuration of a new caller may not have arrived yet.
fn stated_caller<'a>(map: &HeaderMap, cfg: &'a ConfigSnapshot) -> IdentifiedCaller<'a> {
    let name = header_filter::single_value(map, headers::CALLER);
    let name = name.and_then(|n| CallerName::try_new(n).ok());
    let found = name.and_then(|n| cfg.caller(&n).map(|settings| (n, settings)));
    let Some((name, settings)) = found else {
        return IdentifiedCaller::default();
    };
    IdentifiedCaller {
        name: Some((name, Proof::Statement)),
        settings: Some(settings),
    }
}

fn over_limit(retry_after: Duration) -> Refusal {
    Refusal {
        retry_after: Some(retry_after),
        ..OVER_LIMIT
    }
}

const UNKNOWN_KEY: Refusal = Refusal::invalid(
    401,
    "unknown-key",
    "the request has no key or an unknown one; send the key of a configured caller",
);
const KEY_MAY_BE_NEW: Refusal = Refusal::not_run(
    "key-may-be-new",
    "the node does not have the newest configuration, which may know the key; send it again",
);
const OVER_LIMIT: Refusal = Refusal::invalid(
    429,
    "over-limit",
    "the caller is over its limit; send the request later",
);
