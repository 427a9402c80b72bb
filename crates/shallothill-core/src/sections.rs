//! Splits a configuration into sections, so that an update transfers only the changed ones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::{Caller, Config, Limits, Route, Service};
use crate::hash;
use crate::hash::ContentHash;
use crate::ids::{CallerName, Region, RouteName, ServiceName};

/// `SectionId` identifies a section. Routes and callers are spread over 256 buckets each by a hash
/// of their name: with 61,000 callers, a change of one transfers about 240 of them.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum SectionId {
    /// The settings of the whole fleet.
    Fleet,
    /// One service, by its name.
    Service(ServiceName),
    /// One bucket of routes, by its number.
    Routes(u8),
    /// One bucket of callers, by its number.
    Callers(u8),
    /// The rules for the access of callers. Absent if no key is required.
    Access,
}

/// `Section` is the content of a section.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Section {
    /// The list of regions and the limits of callers.
    Fleet(Vec<Region>, Option<Limits>),
    /// The name and the settings of one service.
    Service(ServiceName, Box<Service>),
    /// The number of a bucket and the routes in it.
    Routes(u8, BTreeMap<RouteName, Route>),
    /// The number of a bucket and the callers in it.
    Callers(u8, BTreeMap<CallerName, Caller>),
    /// Whether requests need the key of a caller, except on public routes.
    Access(bool),
}

impl Section {
    /// `id` returns the id under which a manifest lists the section.
    pub fn id(&self) -> SectionId {
        match self {
            Self::Fleet(..) => SectionId::Fleet,
            Self::Service(name, _) => SectionId::Service(name.clone()),
            Self::Routes(bucket, _) => SectionId::Routes(*bucket),
            Self::Callers(bucket, _) => SectionId::Callers(*bucket),
            Self::Access(_) => SectionId::Access,
        }
    }

    /// `content_hash` returns the hash of the section's MessagePack encoding.
    pub fn content_hash(&self) -> ContentHash {
        // These types hold only strings, numbers and maps, so serializing them into memory cannot
        // fail.
        ContentHash::of(&rmp_serde::to_vec(self).unwrap_or_default())
    }
}

/// `Manifest` lists the hash of each section of a configuration.
pub type Manifest = BTreeMap<SectionId, ContentHash>;

/// `root_hash` returns the hash of a manifest; configurations with equal root hashes are equal.
pub fn root_hash(manifest: &Manifest) -> ContentHash {
    ContentHash::of(&rmp_serde::to_vec(manifest).unwrap_or_default())
}

/// `split` returns the sections of a configuration, with its routes as nodes act on them; empty
/// buckets have no section.
pub fn split(cfg: &Config) -> Vec<Section> {
    let mut routes: BTreeMap<u8, BTreeMap<RouteName, Route>> = BTreeMap::new();
    for (name, route) in &cfg.routes {
        let bucket = routes.entry(bucket(name.as_str())).or_default();
        bucket.insert(name.clone(), route.effective(cfg.limits.as_ref()));
    }
    let mut callers: BTreeMap<u8, BTreeMap<CallerName, Caller>> = BTreeMap::new();
    for (name, caller) in &cfg.callers {
        let bucket = callers.entry(bucket(name.as_str())).or_default();
        bucket.insert(name.clone(), caller.clone());
    }
    let mut sections = vec![Section::Fleet(cfg.regions.clone(), cfg.limits)];
    if cfg.require_keys {
        sections.push(Section::Access(true));
    }
    let services = cfg.services.iter();
    sections.extend(services.map(|(n, s)| Section::Service(n.clone(), Box::new(s.clone()))));
    sections.extend(
        routes
            .into_iter()
            .map(|(b, items)| Section::Routes(b, items)),
    );
    sections.extend(
        callers
            .into_iter()
            .map(|(b, items)| Section::Callers(b, items)),
    );
    sections
}

/// `manifest` returns the manifest of `sections`.
pub fn manifest<'a>(sections: impl IntoIterator<Item = &'a Section>) -> Manifest {
    sections
        .into_iter()
        .map(|s| (s.id(), s.content_hash()))
        .collect()
}

/// `join` rebuilds a configuration from all of its sections; it reverses [`split`], but for the form
/// in which routes were written.
pub fn join<'a>(sections: impl IntoIterator<Item = &'a Section>) -> Config {
    let mut cfg = Config::default();
    for section in sections {
        match section {
            Section::Fleet(regions, limits) => {
                cfg.regions.clone_from(regions);
                cfg.limits = *limits;
            }
            Section::Service(name, service) => {
                cfg.services.insert(name.clone(), service.as_ref().clone());
            }
            Section::Routes(_, items) => {
                cfg.routes
                    .extend(items.iter().map(|(n, r)| (n.clone(), r.clone())));
            }
            Section::Callers(_, items) => {
                cfg.callers
                    .extend(items.iter().map(|(n, c)| (n.clone(), c.clone())));
            }
            Section::Access(require_keys) => cfg.require_keys = *require_keys,
        }
    }
    cfg
}

/// `bucket` returns the bucket of the route or caller with the name `name`.
pub fn bucket(name: &str) -> u8 {
    (hash::hash64(name.as_bytes()) % 256) as u8
}
