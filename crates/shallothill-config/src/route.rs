//! Parses one entry of `routes`.

use std::time::Duration;

use shallothill_core::config::{BodyMode, Route, Target};
use shallothill_core::ids::ServiceName;

use crate::faults::Faults;
use crate::fields;
use crate::fields::Fields;
use crate::limits;
use crate::node::{Entry, Value};
use crate::scalars;
use crate::split;

const FIELDS: [&str; 16] = [
    "service",
    "split",
    "host",
    "methods",
    "path",
    "below",
    "idempotent",
    "once_per",
    "class",
    "rank",
    "deadline",
    "objective",
    "attempts",
    "max_body_bytes",
    "body",
    "public",
];
/// `ANY_METHOD` is written in place of the list of methods to accept every method.
const ANY_METHOD: &str = "any";
/// `OBJECTIVE_EXCESS_MAX` bounds how far the objective may exceed the deadline; a larger one was
/// most likely written with a wrong unit.
const OBJECTIVE_EXCESS_MAX: Duration = Duration::from_secs(60);

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// `BODY_DEFAULT_BYTES` is the body limit of a route without `max_body_bytes`.
const BODY_DEFAULT_BYTES: u64 = 1024 * 1024;

/// `parse` returns the route of `entry`, or `None` after it has reported faults.
pub(crate) fn parse(entry: &Entry, path: String, faults: &mut Faults) -> Option<Route> {
    let fields = Fields::parse(&entry.node, entry.at, path, &FIELDS, faults)?;
    let target = target(&fields, faults);
    let host = fields.optional("host", faults, host);
    let methods = methods(&fields, faults);
    let path = fields.required("path", faults, route_path);
    let below = fields.optional("below", faults, scalars::boolean);
    let idempotent = fields.required("idempotent", faults, scalars::boolean);
    let once_per = fields.optional("once_per", faults, scalars::once_per);
    let class = fields.required("class", faults, scalars::class);
    let rank = fields.optional("rank", faults, scalars::number(0, u8::MAX));
    let deadline = fields.required("deadline", faults, scalars::duration);
    let objective = fields.optional("objective", faults, scalars::duration);
    check_objective(&fields, objective, deadline, faults);
    let attempts = scalars::number(1, limits::ATTEMPTS_MAX);
    let attempts = fields.optional("attempts", faults, attempts);
    let body_limit = scalars::number(0, limits::BODY_MAX_BYTES);
    let max_body_bytes = fields.optional("max_body_bytes", faults, body_limit);
    let body = fields.optional("body", faults, scalars::body_mode);
    check_body(&fields, body, idempotent, faults);
    let public = fields.optional("public", faults, scalars::boolean);
    Some(Route {
        target: target?,
        host: host?,
        methods: methods?,
        path: path?,
        below: below?.unwrap_or(false),
        idempotent: idempotent?,
        once_per: once_per?.unwrap_or_default(),
        class: class?,
        rank: rank?,
        deadline: deadline?,
        objective: objective?,
        attempts: attempts?,
        max_body_bytes: max_body_bytes?.unwrap_or(BODY_DEFAULT_BYTES),
        body: body?.unwrap_or_default(),
        public: public?,
    })
}

fn target(fields: &Fields<'_>, faults: &mut Faults) -> Option<Target> {
    let Some(entry) = fields.get("split") else {
        let name = scalars::name(ServiceName::try_new);
        return fields.required("service", faults, name).map(Target::from);
    };
    let field = fields.path_of("split");
    if let Some(service) = fields.get("service") {
        let message = "`service` and `split` exclude each other; remove one";
        faults.push(service.at, fields.path_of("service"), message);
        return None;
    }
    let target = Target::Split(split::parse(&entry.node, &field, faults)?);
    if target.total_weight() == 0 {
        let message = "the weights add up to 0; raise one of them";
        faults.push(entry.node.at, &field, message);
        return None;
    }
    Some(target)
}

fn host(value: &Value) -> Result<String, String> {
    let host = scalars::text(value)?;
    let accepted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | ':');
    if host.is_empty() || host.len() > limits::HOST_MAX_BYTES || !host.chars().all(accepted) {
        let max = limits::HOST_MAX_BYTES;
        return Err(format!(
            "`{host}` is no host; write 1 to {max} letters, digits, `-`, `.`, `_` or `:`"
        ));
    }
    Ok(host.to_owned())
}

fn check_objective(
    fields: &Fields<'_>,
    objective: Option<Option<Duration>>,
    deadline: Option<Duration>,
    faults: &mut Faults,
) {
    if let (Some(Some(objective)), Some(deadline)) = (objective, deadline)
        && objective >= deadline + OBJECTIVE_EXCESS_MAX
    {
        let message = "the objective is a minute or more above the deadline; lower it";
        faults.push(
            fields.position("objective"),
            fields.path_of("objective"),
            message,
        );
    }
}

// A streamed body can be sent to one backend server only, which an idempotent route does not expect.
fn check_body(
    fields: &Fields<'_>,
    body: Option<Option<BodyMode>>,
    idempotent: Option<bool>,
    faults: &mut Faults,
) {
    if body == Some(Some(BodyMode::Streamed)) && idempotent == Some(true) {
        let message = "a streamed body is sent only once; write `idempotent: false` or remove it";
        faults.push(fields.position("body"), fields.path_of("body"), message);
    }
}

fn methods(fields: &Fields<'_>, faults: &mut Faults) -> Option<Vec<String>> {
    let entry = fields.required_entry("methods", faults)?;
    if matches!(&entry.node.value, Value::Text(text) if text == ANY_METHOD) {
        return Some(Vec::new());
    }
    let field = fields.path_of("methods");
    let items = fields::list(&entry.node, &field, faults)?;
    let faults_before = faults.count();
    let mut methods: Vec<String> = Vec::new();
    for item in items {
        match method(&item.value) {
            Ok(name) if methods.iter().any(|m| m == name) => {
                faults.push(
                    item.at,
                    &field,
                    format!("`{name}` stands twice; remove one"),
                );
            }
            Ok(name) => methods.push(name.to_owned()),
            Err(message) => faults.push(item.at, &field, message),
        }
    }
    if items.is_empty() {
        faults.push(entry.node.at, &field, "the list is empty; add a method");
    }
    (faults.count() == faults_before).then_some(methods)
}

fn method(value: &Value) -> Result<&str, String> {
    let name = scalars::text(value)?;
    if METHODS.contains(&name) {
        return Ok(name);
    }
    Err(format!(
        "`{name}` is no accepted method; use one of: {}",
        METHODS.join(", ")
    ))
}

fn route_path(value: &Value) -> Result<String, String> {
    let path = scalars::text(value)?;
    if path.len() > limits::PATH_MAX_BYTES {
        let max = limits::PATH_MAX_BYTES;
        return Err(format!("the path is longer than {max} bytes; shorten it"));
    }
    if !path.starts_with('/') {
        return Err(format!("`{path}` is no path; start it with `/`"));
    }
    if path.len() > 1 && path.ends_with('/') {
        let short = match path.trim_end_matches('/') {
            "" => "/",
            short => short,
        };
        return Err(format!(
            "the path ends with `/`; write `{short}`, which includes `{path}`"
        ));
    }
    let accepted = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    if !path.chars().all(accepted) {
        return Err(String::from(
            "the path holds a space, `?`, `#` or a character outside ASCII; \
             write it percent-encoded and without a query",
        ));
    }
    let mut segments = path[1..].split('/');
    if path.len() > 1 && segments.any(|s| matches!(s, "" | "." | "..")) {
        return Err(String::from(
            "the path holds an empty, `.` or `..` segment; write the plain path",
        ));
    }
    Ok(path.to_owned())
}
