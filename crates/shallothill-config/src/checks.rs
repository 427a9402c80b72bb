//! Checks references and conflicts between the items of a configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use shallothill_core::config::{ApiKey, Config, Floor, Target};
use shallothill_core::ids::{CallerName, RouteName, ServiceName};

use crate::cycles;
use crate::faults::Faults;
use crate::fields::{Fields, join};
use crate::node::{Entry, Position, Value};

/// `check` reports unknown services and regions, dependency cycles, duplicate routes and keys that
/// two callers share.
///
/// Items with faults of their own are missing from `cfg`, so references are checked against the
/// names in the text; a reference to a faulty item is not a second fault.
pub(crate) fn check(fields: &Fields<'_>, cfg: &Config, faults: &mut Faults) {
    let services = entries(fields, "services");
    let names: BTreeSet<&str> = services.iter().map(|e| e.key.as_str()).collect();
    for (name, service) in &cfg.services {
        let path = join("services", name.as_str());
        for other in &service.depends_on {
            if !names.contains(other.as_str()) {
                let at = position(services, name.as_str(), "depends_on", Some(other.as_str()));
                faults.push(
                    at,
                    join(&path, "depends_on"),
                    unknown_service(other.as_str()),
                );
            }
        }
        if let Floor::PerRegion(by_region) = &service.floor {
            let at = position(services, name.as_str(), "floor", None);
            // Without a valid list of regions every region name is accepted here.
            let listed = |r| cfg.regions.is_empty() || cfg.regions.contains(r);
            for region in by_region.keys().filter(|r| !listed(r)) {
                let field = join(&join(&path, "floor"), region.as_str());
                let message = "the region is not listed; add it to `regions` or remove it here";
                faults.push(at, field, message);
            }
        }
    }
    report_cycles(services, cfg, faults);
    let routes = entries(fields, "routes");
    for (name, route) in &cfg.routes {
        let field = match &route.target {
            Target::Service(_) => "service",
            Target::Split(_) => "split",
        };
        let unknown = |s: &&ServiceName| !names.contains(s.as_str());
        for service in route.target.services().filter(unknown) {
            let at = position(routes, name.as_str(), field, None);
            let field = join(&join("routes", name.as_str()), field);
            faults.push(at, field, unknown_service(service.as_str()));
        }
    }
    report_duplicate_routes(routes, cfg, faults);
    report_shared_keys(entries(fields, "callers"), cfg, faults);
}

/// `ANY_METHOD` is the duplicate check's entry for a route that accepts every method.
const ANY_METHOD: &str = "any";

fn unknown_service(name: &str) -> String {
    format!("there is no service `{name}`; add it to `services` or correct the name")
}

fn report_cycles(services: &[Entry], cfg: &Config, faults: &mut Faults) {
    let graph: BTreeMap<&str, Vec<&str>> = cfg
        .services
        .iter()
        .map(|(name, s)| {
            let targets = s.depends_on.iter().map(|d| d.as_str()).collect();
            (name.as_str(), targets)
        })
        .collect();
    for cycle in cycles::find_cycles(&graph) {
        let name = cycle.first().copied().unwrap_or_default();
        let at = position(services, name, "depends_on", cycle.get(1).copied());
        let field = join(&join("services", name), "depends_on");
        let message = format!(
            "the dependencies form a cycle: {}; remove one of them",
            cycle.join(" -> ")
        );
        faults.push(at, field, message);
    }
}

fn report_duplicate_routes(routes: &[Entry], cfg: &Config, faults: &mut Faults) {
    let mut seen: BTreeMap<(Option<String>, &str, &str), &str> = BTreeMap::new();
    for entry in routes {
        // Routes are visited in the order of the text, so the fault is at the later one.
        let name = RouteName::try_new(&entry.key).ok();
        let found = name.and_then(|n| cfg.routes.get_key_value(&n));
        let Some((name, route)) = found else { continue };
        let any = route.methods.is_empty().then_some(ANY_METHOD);
        let methods = route.methods.iter().map(String::as_str).chain(any);
        let host = route.host.as_ref().map(|h| h.to_ascii_lowercase());
        for method in methods {
            let key = (host.clone(), route.path.as_str(), method);
            match seen.get(&key) {
                Some(first) if *first != name.as_str() => {
                    let at = position(routes, name.as_str(), "path", None);
                    let message = format!(
                        "the route `{first}` has the same path and method {method}; \
                         change or remove one of them"
                    );
                    faults.push(at, join(&join("routes", name.as_str()), "path"), message);
                }
                Some(_) => {}
                None => {
                    seen.insert(key, name.as_str());
                }
            }
        }
    }
}

// Names both callers and never the key.
fn report_shared_keys(callers: &[Entry], cfg: &Config, faults: &mut Faults) {
    let mut owners: HashMap<&ApiKey, &CallerName> = HashMap::new();
    for entry in callers {
        // Callers are visited in the order of the text, so the fault is at the later one.
        let name = CallerName::try_new(&entry.key).ok();
        let found = name.and_then(|n| cfg.callers.get_key_value(&n));
        let Some((name, caller)) = found else {
            continue;
        };
        for key in &caller.keys {
            let Some(owner) = owners.insert(key, name) else {
                continue;
            };
            let message = format!("the caller `{owner}` has the same key; give each its own");
            let field = join(&join("callers", name.as_str()), "keys");
            faults.push(entry.at, field, message);
        }
    }
}

fn entries<'a>(fields: &Fields<'a>, name: &str) -> &'a [Entry] {
    match fields.get(name).map(|e| &e.node.value) {
        Some(Value::Mapping(entries)) => entries,
        _ => &[],
    }
}

/// `position` returns the position of the value `element` in the list `field` of `item`, else that
/// of the field, else that of the item.
fn position(items: &[Entry], item: &str, field: &str, element: Option<&str>) -> Position {
    let Some(entry) = items.iter().find(|e| e.key == item) else {
        return Position::default();
    };
    let Value::Mapping(fields) = &entry.node.value else {
        return entry.at;
    };
    let Some(field) = fields.iter().find(|e| e.key == field) else {
        return entry.at;
    };
    let values = match &field.node.value {
        Value::List(values) => values.as_slice(),
        _ => &[],
    };
    let is_element = |v: &Value| matches!(v, Value::Text(text) if Some(text.as_str()) == element);
    values
        .iter()
        .find(|n| is_element(&n.value))
        .map_or(field.node.at, |n| n.at)
}
