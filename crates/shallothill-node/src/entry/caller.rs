//! Identifies the caller of a request, by its key or by the name that it states.

use std::time::Duration;

use hyper::header::HeaderMap;
use shallothill_core::config::{ApiKey, Caller, Route};
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
    /// The key, where the request may run only while it is certain that the key is not revoked.
    pub(super) checked_key: Option<ApiKey>,
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
    /// Fails if the configuration requires keys and the request has none or an unknown one, or if
    /// the node cannot tell whether the key was revoked, except on public routes. There a key counts
    /// only while the node can tell.
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
        let current = key.is_none() || self.admits_keys(cfg);
        if let Some(key) = key.filter(|_| current)
            && let Some((name, caller)) = cfg.caller_of_key(key)
        {
            let checked = self.deps.currency.is_some() && route.public != Some(true);
            return Ok(IdentifiedCaller {
                name: Some((name.clone(), Proof::Key)),
                settings: Some(caller),
                checked_key: ApiKey::try_new(key).ok().filter(|_| checked),
            });
        }
        if route.public == Some(true) {
            return Ok(IdentifiedCaller::default());
        }
        if !current {
            return Err(STALE_CONFIG);
        }
        // The key may be one that the newer version adds.
        if self.deps.store.highest_known_version() > cfg.version() {
            return Err(KEY_MAY_BE_NEW);
        }
        Err(UNKNOWN_KEY)
    }

    /// `check_key` fails if `key` was revoked since the request came, or if the node can no longer
    /// tell. A body may take seconds to arrive, and an attempt may follow seconds after another one.
    pub(super) fn check_key(&self, key: Option<&ApiKey>) -> Result<(), Refusal> {
        let Some(key) = key else { return Ok(()) };
        let cfg = self.deps.store.load();
        if !self.admits_keys(&cfg) {
            return Err(STALE_CONFIG);
        }
        match cfg.caller_of_key(key.expose_secret()) {
            Some(_) => Ok(()),
            None => Err(UNKNOWN_KEY),
        }
    }

    fn admits_keys(&self, cfg: &ConfigSnapshot) -> bool {
        let currency = self.deps.currency.as_ref();
        currency.is_none_or(|c| c.admits(cfg.version()))
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
        checked_key: None,
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
const STALE_CONFIG: Refusal = Refusal::not_run(
    "stale-config",
    "the node cannot tell whether the key is still valid, because no keeper confirms its \
     configuration; send the request again",
);
const OVER_LIMIT: Refusal = Refusal::invalid(
    429,
    "over-limit",
    "the caller is over its limit; send the request later",
);
