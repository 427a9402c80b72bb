//! Names of the HTTP headers that shallothill reads and sets, in lower case.

/// `CALLER` carries the name of the caller in the configuration; set by the caller, or by the node
/// if the configuration requires keys.
pub const CALLER: &str = "x-shallothill-caller";
/// `KEY` carries the key that identifies a caller; set by the caller.
pub const KEY: &str = "x-shallothill-key";
/// `OUTCOME` carries the outcome of the request; see [`crate::outcome::Outcome::as_str`].
pub const OUTCOME: &str = "x-shallothill-outcome";
/// `DEADLINE_MS` carries the time left until the deadline of the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-shallothill-deadline-ms";
/// `CLASS` carries the class of the request on hops between nodes and on internal calls.
pub const CLASS: &str = "x-shallothill-class";
/// `ATTEMPT` carries the number of the attempt, from 1, on hops between nodes.
pub const ATTEMPT: &str = "x-shallothill-attempt";
/// `CONFIG_VERSION` carries the configuration version that the sender uses.
pub const CONFIG_VERSION: &str = "x-shallothill-config-version";
/// `LOAD` carries the load of the gate as `in_flight/slots/queued/state`.
pub const LOAD: &str = "x-shallothill-load";
/// `ROUTE` carries the name of the route that the entry node matched, on hops between nodes.
pub const ROUTE: &str = "x-shallothill-route";
/// `SERVICE` carries the name of the requested service, on hops between nodes.
pub const SERVICE: &str = "x-shallothill-service";
/// `ENDPOINT` carries the name of the backend server that the entry node picked, on hops between
/// nodes.
pub const ENDPOINT: &str = "x-shallothill-endpoint";
/// `ENTRY` carries the name of the entry node to the gate, which informs it of changed states.
pub const ENTRY: &str = "x-shallothill-entry";
/// `REASON` carries a short machine-readable reason for a refusal or a failure.
pub const REASON: &str = "x-shallothill-reason";
/// `TRIAL` marks a trial request for an ejected backend server, on hops between nodes.
pub const TRIAL: &str = "x-shallothill-trial";
/// `CAUTION` carries the risk that the gate may take with the request when its backend server is
/// suspected of a gray failure, on hops between nodes; absent for the usual `trust`.
pub const CAUTION: &str = "x-shallothill-caution";
/// `IDEMPOTENT` is `false` on hops between nodes when the entry node's route is not idempotent.
pub const IDEMPOTENT: &str = "x-shallothill-idempotent";
/// `FINGERPRINT` carries the fingerprint of the request, on hops between nodes.
pub const FINGERPRINT: &str = "x-shallothill-fingerprint";
/// `CRASH` carries the id of the backend server crash during which the attempt was in flight, on
/// responses between nodes.
pub const CRASH: &str = "x-shallothill-crash";
/// `ONCE_PER` is `attempt` on hops between nodes when a non-idempotent request has no key.
pub const ONCE_PER: &str = "x-shallothill-once-per";
/// `RANK` carries the rank of the request within its class, on hops between nodes.
pub const RANK: &str = "x-shallothill-rank";
/// `OBJECTIVE_MS` carries the time left until the request exceeds its target latency, in
/// milliseconds, on hops between nodes.
pub const OBJECTIVE_MS: &str = "x-shallothill-objective-ms";
/// `SPENT_MS` marks a call that a backend server makes while it runs a request, on hops between
/// nodes. It carries the time that backend servers have worked for that request, in milliseconds.
pub const SPENT_MS: &str = "x-shallothill-spent-ms";
/// `REPLY_BY_MS` carries the time left until the entry node of an attempt stops, in milliseconds, on
/// hops between nodes.
pub const REPLY_BY_MS: &str = "x-shallothill-reply-by-ms";
/// `REPEATED` marks attempts of a request that an earlier attempt may have delivered to a backend
/// server, on hops between nodes.
pub const REPEATED: &str = "x-shallothill-repeated";
/// `REACHED` marks responses between nodes when the request reached a backend server.
pub const REACHED: &str = "x-shallothill-reached";
/// `CALL_SHORTAGE` marks responses between nodes when a call that the backend server made for the
/// request waited long for capacity or was refused.
pub const CALL_SHORTAGE: &str = "x-shallothill-call-shortage";
/// `PROCESS` carries the id of the sending process, on hops between nodes.
pub const PROCESS: &str = "x-shallothill-process";
/// `ATTEMPT_NUMBER` carries the number of the attempt among all those of the sending process.
pub const ATTEMPT_NUMBER: &str = "x-shallothill-attempt-number";
/// `SENT_TO` carries the id of the process that a lost attempt was sent to, in questions about it.
pub const SENT_TO: &str = "x-shallothill-sent-to";
/// `RETRY_AFTER_MS` carries the time after which a refused request may be resent, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-shallothill-retry-after-ms";
/// `IDEMPOTENCY_KEY` carries the key that identifies a non-idempotent request across resends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `OWN_PREFIX` is the prefix of all headers that shallothill defines.
pub const OWN_PREFIX: &str = "x-shallothill-";
