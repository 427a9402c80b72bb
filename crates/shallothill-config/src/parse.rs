//! Parses a configuration text.

use std::collections::BTreeMap;

use shallothill_core::config::{Config, Fault};
use shallothill_core::ids::{CallerName, Region, RouteName, ServiceName};

use crate::checks;
use crate::faults::Faults;
use crate::fields;
use crate::fields::Fields;
use crate::limits;
use crate::node;
use crate::node::{Entry, Node, Position};
use crate::scalars;
use crate::{caller, caller_limits, route, service};

const FIELDS: [&str; 6] = [
    "regions",
    "limits",
    "require_keys",
    "services",
    "routes",
    "callers",
];

/// `parse` returns the configuration that `text` describes.
///
/// Fails with all faults in the order of the text, at most [`limits::FAULTS_MAX`] and one more
/// that gives the number of the rest. A text that is not YAML or is too large has a single fault.
pub fn parse(text: &str) -> Result<Config, Vec<Fault>> {
    parse_with(text, |document| document)
}

/// `parse_accepted` is [`parse`] for a text that was accepted before, maybe by an earlier release,
/// which rounded numbers to three decimals.
pub fn parse_accepted(text: &str) -> Result<Config, Vec<Fault>> {
    parse_with(text, Node::with_rounded_numbers)
}

fn parse_with(text: &str, prepare: fn(Node) -> Node) -> Result<Config, Vec<Fault>> {
    let mut faults = Faults::default();
    if text.len() > limits::TEXT_MAX_BYTES {
        let message = format!(
            "the text has {} bytes; shorten it to {} bytes",
            text.len(),
            limits::TEXT_MAX_BYTES
        );
        faults.push(Position::default(), "text", message);
        return Err(faults.into_sorted());
    }
    let document = prepare(node::parse_yaml(text).map_err(|fault| vec![fault])?);
    let start = Position { line: 1, column: 1 };
    let fields = Fields::parse(&document, start, String::new(), &FIELDS, &mut faults);
    let cfg = fields.and_then(|fields| parse_document(&fields, &mut faults));
    match cfg {
        Some(cfg) if faults.count() == 0 => Ok(cfg),
        _ => Err(faults.into_sorted()),
    }
}

fn parse_document(fields: &Fields<'_>, faults: &mut Faults) -> Option<Config> {
    let regions = regions(fields, faults);
    let services = ItemParser {
        field: "services",
        max: limits::SERVICES_MAX,
        try_new: ServiceName::try_new,
        parse: service::parse,
    };
    let routes = ItemParser {
        field: "routes",
        max: limits::ROUTES_MAX,
        try_new: RouteName::try_new,
        parse: route::parse,
    };
    let callers = ItemParser {
        field: "callers",
        max: limits::CALLERS_MAX,
        try_new: CallerName::try_new,
        parse: caller::parse,
    };
    let cfg = Config {
        regions: regions.clone().unwrap_or_default(),
        limits: caller_limits::parse(fields, faults),
        require_keys: require_keys(fields, faults),
        services: services.parse_all(fields, faults),
        routes: routes.parse_all(fields, faults),
        callers: callers.parse_all(fields, faults),
    };
    checks::check(fields, &cfg, faults);
    regions.map(|_| cfg)
}

fn require_keys(fields: &Fields<'_>, faults: &mut Faults) -> bool {
    let parsed = fields.optional("require_keys", faults, scalars::boolean);
    parsed.flatten().unwrap_or(false)
}

fn regions(fields: &Fields<'_>, faults: &mut Faults) -> Option<Vec<Region>> {
    let entry = fields.required_entry("regions", faults)?;
    let items = fields::list(&entry.node, "regions", faults)?;
    let faults_before = faults.count();
    let mut regions = Vec::new();
    for item in items {
        match scalars::name(Region::try_new)(&item.value) {
            Ok(region) if regions.contains(&region) => {
                let message = format!("`{region}` stands twice; remove one");
                faults.push(item.at, "regions", message);
            }
            Ok(region) => regions.push(region),
            Err(message) => faults.push(item.at, "regions", message),
        }
    }
    let max = limits::REGIONS_MAX;
    if items.is_empty() || items.len() > max {
        let message = format!("{} regions; list 1 to {max} regions", items.len());
        faults.push(entry.node.at, "regions", message);
    }
    (faults.count() == faults_before).then_some(regions)
}

/// `ItemParser` parses one mapping from names to items, such as `services`.
struct ItemParser<N, T> {
    field: &'static str,
    max: usize,
    try_new: fn(&str) -> shallothill_core::Result<N>,
    parse: fn(&Entry, String, &mut Faults) -> Option<T>,
}

impl<N: Ord, T> ItemParser<N, T> {
    /// `parse_all` returns the items that have no faults of their own; an absent mapping is empty.
    fn parse_all(&self, fields: &Fields<'_>, faults: &mut Faults) -> BTreeMap<N, T> {
        let mut items = BTreeMap::new();
        let Some(entry) = fields.get(self.field) else {
            return items;
        };
        let Some(entries) = fields::mapping(&entry.node, self.field, faults) else {
            return items;
        };
        if entries.len() > self.max {
            let (n, max, field) = (entries.len(), self.max, self.field);
            let message = format!("{n} {field} are above the limit; list at most {max}");
            faults.push(entry.at, field, message);
        }
        let mut first_at: BTreeMap<&str, Position> = BTreeMap::new();
        for entry in entries {
            let path = fields::join(self.field, &entry.key);
            if let Some(first) = first_at.get(entry.key.as_str()) {
                faults.push(entry.at, path, fields::repeated_message(*first));
                continue;
            }
            first_at.insert(&entry.key, entry.at);
            let name = (self.try_new)(&entry.key);
            if let Err(e) = &name {
                faults.push(entry.at, path.clone(), e.to_string());
            }
            let item = (self.parse)(entry, path, faults);
            if let (Ok(name), Some(item)) = (name, item) {
                items.insert(name, item);
            }
        }
        items
    }
}
