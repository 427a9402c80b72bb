//! One configuration version with indexes for request handling.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use shallothill_core::config::{ApiKey, Caller, Limits, Route, Service};
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::{CallerName, Region, RouteName, ServiceName};
use shallothill_core::sections;
use shallothill_core::sections::{Manifest, Section, SectionId};
use shallothill_core::version::ConfigVersion;

use crate::config::RouteTable;

/// `Sections` maps ids to sections. Versions share their unchanged sections.
pub type Sections = BTreeMap<SectionId, Arc<Section>>;

/// `ConfigSnapshot` holds one configuration version with indexes of its services and routes.
///
/// Callers have no index by name, because one of 61,000 callers would double their memory; the index
/// of their keys shares the texts of keys and names with the sections.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    version: ConfigVersion,
    sections: Sections,
    manifest: Manifest,
    root: ContentHash,
    services: HashMap<ServiceName, Arc<Service>>,
    routes: Arc<RouteTable>,
    regions: Vec<Region>,
    limits: Option<Limits>,
    require_keys: bool,
    keys: Arc<HashMap<ApiKey, CallerName>>,
}

impl ConfigSnapshot {
    /// `new` builds the snapshot of `version` and shares unchanged routes, services and the index of
    /// keys with `previous`.
    pub fn new(
        version: ConfigVersion,
        sections: Sections,
        manifest: Manifest,
        previous: &Self,
    ) -> Self {
        let unchanged = |kind: fn(&SectionId) -> bool| {
            let new = manifest.iter().filter(|(id, _)| kind(id));
            new.eq(previous.manifest.iter().filter(|(id, _)| kind(id)))
        };
        let keys = if unchanged(|id| matches!(id, SectionId::Callers(_))) {
            Arc::clone(&previous.keys)
        } else {
            Arc::new(index_keys(&sections))
        };
        let routes = if unchanged(|id| matches!(id, SectionId::Routes(_))) {
            Arc::clone(&previous.routes)
        } else {
            let items = sections.values().filter_map(|s| match s.as_ref() {
                Section::Routes(_, items) => Some(items),
                _ => None,
            });
            Arc::new(RouteTable::new(items.flatten()))
        };
        let mut services = HashMap::new();
        let mut regions = Vec::new();
        let mut limits = None;
        let mut require_keys = false;
        for section in sections.values() {
            match section.as_ref() {
                Section::Service(name, service) => {
                    let unchanged = previous
                        .services
                        .get(name)
                        .filter(|s| s.as_ref() == service.as_ref());
                    let service = unchanged.map_or_else(|| Arc::new(*service.clone()), Arc::clone);
                    services.insert(name.clone(), service);
                }
                Section::Fleet(list, fleet_limits) => {
                    regions.clone_from(list);
                    limits = *fleet_limits;
                }
                Section::Access(required) => require_keys = *required,
                Section::Routes(..) | Section::Callers(..) => {}
            }
        }
        let root = sections::root_hash(&manifest);
        Self {
            version,
            sections,
            manifest,
            root,
            services,
            routes,
            regions,
            limits,
            require_keys,
            keys,
        }
    }

    /// `version` returns the configuration version; 0 before the first configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// `root` returns the hash over the hashes of all sections.
    pub fn root(&self) -> ContentHash {
        self.root
    }

    /// `manifest` returns the content hash of each section.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// `sections` returns all sections by their ids.
    pub fn sections(&self) -> &Sections {
        &self.sections
    }

    /// `service` returns the settings of a service, if it is configured.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// `services` returns the settings of all services.
    pub fn services(&self) -> &HashMap<ServiceName, Arc<Service>> {
        &self.services
    }

    /// `routes` returns the table that requests are looked up in.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// `route` returns the route with this name, if it is configured.
    pub fn route(&self, name: &RouteName) -> Option<&Route> {
        let id = SectionId::Routes(sections::bucket(name.as_str()));
        match self.sections.get(&id)?.as_ref() {
            Section::Routes(_, items) => items.get(name),
            _ => None,
        }
    }

    /// `regions` returns the regions that the floors of services are split over.
    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// `limits` returns the limits for all callers, if the configuration sets them.
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// `require_keys` tells whether requests need the key of a caller, except on public routes.
    pub fn require_keys(&self) -> bool {
        self.require_keys
    }

    /// `caller_of_key` returns the caller that `key` identifies, if the configuration has the key.
    pub fn caller_of_key(&self, key: &str) -> Option<(&CallerName, &Caller)> {
        let name = self.keys.get(key)?;
        Some((name, self.caller(name)?))
    }

    /// `caller` returns the settings of a caller, if it is configured.
    pub fn caller(&self, name: &CallerName) -> Option<&Caller> {
        let id = SectionId::Callers(sections::bucket(name.as_str()));
        match self.sections.get(&id)?.as_ref() {
            Section::Callers(_, items) => items.get(name),
            _ => None,
        }
    }
}

fn index_keys(sections: &Sections) -> HashMap<ApiKey, CallerName> {
    let callers = sections.values().filter_map(|s| match s.as_ref() {
        Section::Callers(_, items) => Some(items),
        _ => None,
    });
    callers
        .flatten()
        .flat_map(|(name, c)| c.keys.iter().map(|key| (key.clone(), name.clone())))
        .collect()
}
