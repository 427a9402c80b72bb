//! Reads one route.

use shallothill_core::config::Route;
use shallothill_core::ids::ServiceName;

use crate::faults::Faults;
use crate::fields;
use crate::fields::Fields;
use crate::limits;
use crate::node::{Entry, Value};
use crate::scalars;

const FIELDS: [&str; 7] = [
    "service",
    "methods",
    "path",
    "idempotent",
    "class",
    "deadline",
    "max_body_bytes",
];

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// `BODY_DEFAULT_BYTES` is the body limit of a route that gives none.
const BODY_DEFAULT_BYTES: u64 = 1024 * 1024;

/// `read` reads the route `entry`; `None` means that faults were reported.
pub(crate) fn read(entry: &Entry, path: String, faults: &mut Faults) -> Option<Route> {
    let fields = Fields::read(&entry.node, entry.at, path, &FIELDS, faults)?;
    let service = fields.required("service", faults, scalars::name(ServiceName::try_new));
    let methods = methods(&fields, faults);
    let path = fields.required("path", faults, route_path);
    let idempotent = fields.required("idempotent", faults, scalars::boolean);
    let class = fields.required("class", faults, scalars::class);
    let deadline = fields.required("deadline", faults, scalars::duration);
    let body_limit = scalars::number(0, limits::BODY_MAX_BYTES);
    let max_body_bytes = fields.optional("max_body_bytes", faults, body_limit);
    Some(Route {
        service: service?,
        methods: methods?,
        path: path?,
        idempotent: idempotent?,
        class: class?,
        deadline: deadline?,
        max_body_bytes: max_body_bytes?.unwrap_or(BODY_DEFAULT_BYTES),
    })
}

fn methods(fields: &Fields<'_>, faults: &mut Faults) -> Option<Vec<String>> {
    let entry = fields.require("methods", faults)?;
    let field = fields.path_of("methods");
    let items = fields::list(&entry.node, &field, faults)?;
    let before = faults.count();
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
    (faults.count() == before).then_some(methods)
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
        let short = path.trim_end_matches('/');
        return Err(format!(
            "the path ends with `/`; write `{short}`, which includes `{path}`"
        ));
    }
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    if !path.chars().all(plain) {
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
