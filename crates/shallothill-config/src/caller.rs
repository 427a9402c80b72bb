//! Parses one entry of `callers`.

use shallothill_core::config::Caller;

use crate::faults::Faults;
use crate::fields::Fields;
use crate::node::Entry;
use crate::scalars;

const FIELDS: [&str; 3] = ["class", "requests_per_s", "concurrent"];

/// `parse` returns the caller of `entry`, or `None` after it has reported faults.
pub(crate) fn parse(entry: &Entry, path: String, faults: &mut Faults) -> Option<Caller> {
    let fields = Fields::parse(&entry.node, entry.at, path, &FIELDS, faults)?;
    let class = fields.required("class", faults, scalars::class);
    let limit = scalars::number(1, u32::MAX);
    let requests_per_s = fields.optional("requests_per_s", faults, &limit);
    let concurrent = fields.optional("concurrent", faults, &limit);
    Some(Caller {
        class: class?,
        requests_per_s: requests_per_s?,
        concurrent: concurrent?,
    })
}
