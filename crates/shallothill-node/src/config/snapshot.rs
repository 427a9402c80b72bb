//! A configuration version as the node acts on it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use shallothill_core::config::{Caller, Route, Service};
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::{CallerName, Region, RouteName, ServiceName};
use shallothill_core::sections;
use shallothill_core::sections::{Manifest, Section, SectionId};
use shallothill_core::version::ConfigVersion;

use crate::config::RouteTable;

/// `Sections` holds the sections of a configuration, shared between versions.
pub type Sections = BTreeMap<SectionId, Arc<Section>>;

/// `ConfigSnapshot` is one configuration version with the indexes that requests need.
///
/// Callers stay in their sections, because an index of 61,000 of them would double their memory.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    version: ConfigVersion,
    sections: Sections,
    manifest: Manifest,
    root: ContentHash,
    services: HashMap<ServiceName, Arc<Service>>,
    routes: Arc<RouteTable>,
    regions: Vec<Region>,
}

impl ConfigSnapshot {
    /// `new` builds the snapshot of `version`. Parts that equal those of `former` are shared.
    pub fn new(
        version: ConfigVersion,
        sections: Sections,
        manifest: Manifest,
        former: &Self,
    ) -> Self {
        let is_route = |id: &SectionId| matches!(id, SectionId::Routes(_));
        let same_routes = manifest
            .iter()
            .filter(|(id, _)| is_route(id))
            .eq(former.manifest.iter().filter(|(id, _)| is_route(id)));
        let routes = if same_routes {
            Arc::clone(&former.routes)
        } else {
            let items = sections.values().filter_map(|s| match s.as_ref() {
                Section::Routes(_, items) => Some(items),
                _ => None,
            });
            Arc::new(RouteTable::new(items.flatten()))
        };
        let mut services = HashMap::new();
        let mut regions = Vec::new();
        for section in sections.values() {
            match section.as_ref() {
                Section::Service(name, service) => {
                    let same = former
                        .services
                        .get(name)
                        .filter(|s| s.as_ref() == service.as_ref());
                    let service = same.map_or_else(|| Arc::new(*service.clone()), Arc::clone);
                    services.insert(name.clone(), service);
                }
                Section::Fleet(list, _) => regions.clone_from(list),
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
        }
    }

    /// `version` returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// `root` returns the hash over all sections.
    pub fn root(&self) -> ContentHash {
        self.root
    }

    /// `manifest` returns the hashes of the sections.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// `sections` returns the sections.
    pub fn sections(&self) -> &Sections {
        &self.sections
    }

    /// `service` returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// `services` returns all services.
    pub fn services(&self) -> &HashMap<ServiceName, Arc<Service>> {
        &self.services
    }

    /// `routes` returns the route table.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// `route` returns a route by its name.
    pub fn route(&self, name: &RouteName) -> Option<&Route> {
        let id = SectionId::Routes(sections::bucket(name.as_str()));
        match self.sections.get(&id)?.as_ref() {
            Section::Routes(_, items) => items.get(name),
            _ => None,
        }
    }

    /// `regions` returns the regions that floors are split over.
    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// `caller` returns a caller.
    pub fn caller(&self, name: &CallerName) -> Option<&Caller> {
        let id = SectionId::Callers(sections::bucket(name.as_str()));
        match self.sections.get(&id)?.as_ref() {
            Section::Callers(_, items) => items.get(name),
            _ => None,
        }
    }
}
