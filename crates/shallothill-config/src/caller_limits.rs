//! Parses the size limits and timeouts that apply to requests of callers.

use shallothill_core::config::Limits;

use crate::faults::Faults;
use crate::fields;
use crate::fields::Fields;
use crate::limits;
use crate::scalars;

const FIELDS: [&str; 4] = [
    "header_bytes",
    "body_bytes",
    "header_timeout",
    "idle_timeout",
];

/// `parse` returns the document's `limits`, or `None` if they are absent or faulty.
pub(crate) fn parse(document: &Fields<'_>, faults: &mut Faults) -> Option<Limits> {
    let entry = document.get("limits")?;
    let path = fields::join(&document.path, "limits");
    let fields = Fields::parse(&entry.node, entry.at, path, &FIELDS, faults)?;
    let header_bytes = scalars::number(1, limits::HEADERS_MAX_BYTES);
    let header_bytes = fields.required("header_bytes", faults, header_bytes);
    let body_bytes = scalars::number(0, u64::MAX);
    let body_bytes = fields.required("body_bytes", faults, body_bytes);
    let header_timeout = fields.required("header_timeout", faults, scalars::duration);
    let idle_timeout = fields.required("idle_timeout", faults, scalars::duration);
    Some(Limits {
        header_bytes: header_bytes?,
        body_bytes: body_bytes?,
        header_timeout: header_timeout?,
        idle_timeout: idle_timeout?,
    })
}
