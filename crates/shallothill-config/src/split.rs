//! Parses and writes the split of a route over several services.

use serde_json::{Value as Json, json};
use shallothill_core::config::Share;
use shallothill_core::ids::ServiceName;

use crate::faults::Faults;
use crate::fields;
use crate::fields::Fields;
use crate::limits;
use crate::node::{Entry, Node, Value};
use crate::scalars;

const FIELDS: [&str; 2] = ["service", "weight"];

/// `parse` returns the parts of a split, or `None` after it has reported faults.
///
/// A mapping from service to weight names each service once, and its order has no meaning. A list of
/// parts keeps its order, and a service may have several parts.
pub(crate) fn parse(node: &Node, field: &str, faults: &mut Faults) -> Option<Vec<Share>> {
    let faults_before = faults.count();
    let shares = match &node.value {
        Value::List(parts) => parse_list(parts, field, faults),
        _ => parse_mapping(fields::mapping(node, field, faults)?, field, faults),
    };
    if shares.len() > limits::SPLIT_PARTS_MAX {
        let (n, max) = (shares.len(), limits::SPLIT_PARTS_MAX);
        let message = format!("{n} parts are above the limit; list at most {max}");
        faults.push(node.at, field, message);
    }
    (faults.count() == faults_before).then_some(shares)
}

fn parse_list(parts: &[Node], field: &str, faults: &mut Faults) -> Vec<Share> {
    let parts = parts.iter().enumerate();
    let shares = parts.filter_map(|(i, part)| {
        let path = fields::join(field, &i.to_string());
        let fields = Fields::parse(part, part.at, path, &FIELDS, faults)?;
        let service = fields.required("service", faults, scalars::name(ServiceName::try_new));
        let weight = fields.required("weight", faults, scalars::number(0, u32::MAX));
        Some(Share {
            service: service?,
            weight: weight?,
        })
    });
    shares.collect()
}

fn parse_mapping(entries: &[Entry], field: &str, faults: &mut Faults) -> Vec<Share> {
    let mut shares: Vec<Share> = Vec::new();
    for entry in entries {
        let field = fields::join(field, &entry.key);
        let service = ServiceName::try_new(&entry.key);
        match (service, scalars::number(0, u32::MAX)(&entry.node.value)) {
            (Ok(service), Ok(_)) if shares.iter().any(|s| s.service == service) => {
                let message = "the service stands twice; remove one, or write a list of parts";
                faults.push(entry.at, field, message);
            }
            (Ok(service), Ok(weight)) => shares.push(Share { service, weight }),
            (Err(e), _) => faults.push(entry.at, field, e.to_string()),
            (_, Err(message)) => faults.push(entry.node.at, field, message),
        }
    }
    // Equal mappings compare as equal.
    shares.sort_by(|a, b| a.service.cmp(&b.service));
    shares
}

/// `to_json` returns the split in the form that [`parse`] turns back into `shares`: a mapping where
/// it holds all of them in their order, which earlier releases read too, else a list.
pub(crate) fn to_json(shares: &[Share]) -> Json {
    if shares.windows(2).all(|w| w[0].service < w[1].service) {
        let weights = shares
            .iter()
            .map(|s| (s.service.to_string(), json!(s.weight)));
        return Json::Object(weights.collect());
    }
    let part = |s: &Share| json!({"service": s.service, "weight": s.weight});
    shares.iter().map(part).collect()
}
