//! Names of the HTTP headers that shallothill reads and adds, in lower case.

/// `CALLER` names the caller, as listed in the configuration.
pub const CALLER: &str = "x-shallothill-caller";
/// `OUTCOME` tells the outcome of the request; see [`crate::outcome::Outcome::as_str`].
pub const OUTCOME: &str = "x-shallothill-outcome";
/// `DEADLINE_MS` is the time that is left for the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-shallothill-deadline-ms";
/// `CLASS` is the class of the request on hops between nodes and on internal calls.
pub const CLASS: &str = "x-shallothill-class";
/// `ATTEMPT` numbers the attempt, from 1, on hops between nodes.
pub const ATTEMPT: &str = "x-shallothill-attempt";
/// `CONFIG_VERSION` is the configuration version that the sender acts on.
pub const CONFIG_VERSION: &str = "x-shallothill-config-version";
/// `LOAD` is the gate's load, `in_flight/slots/queued/state`.
pub const LOAD: &str = "x-shallothill-load";
/// `ROUTE` names the route that the entry node matched, on hops between nodes.
pub const ROUTE: &str = "x-shallothill-route";
/// `SERVICE` names the service of the request, on hops between nodes.
pub const SERVICE: &str = "x-shallothill-service";
/// `ENDPOINT` names the backend server that the entry node picked, on hops between nodes.
pub const ENDPOINT: &str = "x-shallothill-endpoint";
/// `REASON` is a short machine-readable reason for a refusal or a failure.
pub const REASON: &str = "x-shallothill-reason";
/// `TRIAL` marks a trial request for an ejected backend server, on hops between nodes.
pub const TRIAL: &str = "x-shallothill-trial";
/// `CAUTION` tells the gate what it may do with the request when its backend server is suspected, on
/// hops between nodes; absent for the usual `trust`.
pub const CAUTION: &str = "x-shallothill-caution";
/// `IDEMPOTENT` is `false` on hops between nodes when the entry node's route is not idempotent.
pub const IDEMPOTENT: &str = "x-shallothill-idempotent";
/// `FINGERPRINT` is the request's fingerprint, on hops between nodes.
pub const FINGERPRINT: &str = "x-shallothill-fingerprint";
/// `CRASH` numbers the crash of a backend server that the attempt was in flight at, on responses
/// between nodes.
pub const CRASH: &str = "x-shallothill-crash";
/// `ONCE_PER` is `attempt` on hops between nodes when a non-idempotent request has no key.
pub const ONCE_PER: &str = "x-shallothill-once-per";
/// `RANK` is the rank of the request within its class, on hops between nodes.
pub const RANK: &str = "x-shallothill-rank";
/// `OBJECTIVE_MS` is the time for which an answer is still of full use, in milliseconds, on hops
/// between nodes.
pub const OBJECTIVE_MS: &str = "x-shallothill-objective-ms";
/// `REPEATED` marks attempts on hops between nodes whose request may have reached a backend server
/// before.
pub const REPEATED: &str = "x-shallothill-repeated";
/// `REACHED` marks responses between nodes when the request reached a backend server.
pub const REACHED: &str = "x-shallothill-reached";
/// `RETRY_AFTER_MS` is the time after which a refused request may be sent again, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-shallothill-retry-after-ms";
/// `IDEMPOTENCY_KEY` identifies a non-idempotent request across resends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `OWN_PREFIX` starts every header that belongs to shallothill.
pub const OWN_PREFIX: &str = "x-shallothill-";
