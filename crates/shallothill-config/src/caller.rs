//! Parses one entry of `callers`.

use shallothill_core::config::{ApiKey, Caller, Quota};

use crate::faults::Faults;
use crate::fields;
use crate::fields::Fields;
use crate::limits;
use crate::node::Entry;
use crate::scalars;

const FIELDS: [&str; 6] = [
    "class",
    "requests_per_s",
    "concurrent",
    "keys",
    "rank",
    "quota",
];
const QUOTA_FIELDS: [&str; 2] = ["requests_per_s", "burst"];

/// `parse` returns the caller of `entry`, or `None` after it has reported faults.
pub(crate) fn parse(entry: &Entry, path: String, faults: &mut Faults) -> Option<Caller> {
    let fields = Fields::parse(&entry.node, entry.at, path, &FIELDS, faults)?;
    let class = fields.required("class", faults, scalars::class);
    let limit = scalars::number(1, u32::MAX);
    let requests_per_s = fields.optional("requests_per_s", faults, &limit);
    let concurrent = fields.optional("concurrent", faults, &limit);
    let keys = keys(&fields, faults);
    let rank = fields.optional("rank", faults, scalars::number(0, u8::MAX));
    let quota = quota(&fields, faults);
    Some(Caller {
        class: class?,
        requests_per_s: requests_per_s?,
        concurrent: concurrent?,
        keys: keys?,
        rank: rank?,
        quota: quota?,
    })
}

// Messages name the place of a key and never the key itself, since faults are shown and logged.
fn keys(fields: &Fields<'_>, faults: &mut Faults) -> Option<Vec<ApiKey>> {
    let Some(entry) = fields.get("keys") else {
        return Some(Vec::new());
    };
    let field = fields.path_of("keys");
    let items = fields::list(&entry.node, &field, faults)?;
    let faults_before = faults.count();
    let mut keys: Vec<ApiKey> = Vec::new();
    for item in items {
        match scalars::text(&item.value).map(ApiKey::try_new) {
            Ok(Ok(key)) if keys.contains(&key) => {
                faults.push(item.at, &field, "a key is listed twice; remove one of them");
            }
            Ok(Ok(key)) => keys.push(key),
            Ok(Err(e)) => faults.push(item.at, &field, e.to_string()),
            Err(message) => faults.push(item.at, &field, message),
        }
    }
    if items.len() > limits::KEYS_MAX {
        let (n, max) = (items.len(), limits::KEYS_MAX);
        let message = format!("{n} keys are above the limit; list at most {max}");
        faults.push(entry.at, &field, message);
    }
    (faults.count() == faults_before).then_some(keys)
}

fn quota(fields: &Fields<'_>, faults: &mut Faults) -> Option<Option<Quota>> {
    let Some(entry) = fields.get("quota") else {
        return Some(None);
    };
    let path = fields.path_of("quota");
    let fields = Fields::parse(&entry.node, entry.at, path, &QUOTA_FIELDS, faults)?;
    let requests_per_s = fields.optional("requests_per_s", faults, scalars::request_rate);
    let burst = fields.optional("burst", faults, scalars::number(0, u32::MAX));
    Some(Some(Quota {
        requests_per_s: requests_per_s?,
        burst: burst?,
    }))
}
