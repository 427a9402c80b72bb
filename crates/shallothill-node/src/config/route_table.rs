//! Finds the route of a request in a time that does not depend on the number of routes.

use std::collections::HashMap;
use std::sync::Arc;

use shallothill_core::config::Route;
use shallothill_core::ids::RouteName;

/// `NamedRoute` is a route with its name.
#[derive(Clone, Debug)]
pub struct NamedRoute {
    /// The name.
    pub name: RouteName,
    /// The route.
    pub route: Route,
}

/// `RouteLookup` is the result of looking up a request.
#[derive(Clone, Debug)]
pub enum RouteLookup {
    /// The route of the request.
    Found(Arc<NamedRoute>),
    /// The path is known, but not with this method; holds the accepted methods.
    MethodNotAllowed(String),
    /// No route has a prefix of the path.
    NotFound,
}

/// `RouteTable` maps hosts and path prefixes to routes; routes of the request's host go before
/// those of every host, and among them the longest prefix at a `/` boundary wins.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, HostTable>,
    any_host: HostTable,
    by_name: HashMap<RouteName, Arc<NamedRoute>>,
}

/// `HostTable` maps path prefixes to the routes of one host.
#[derive(Debug, Default)]
struct HostTable {
    by_prefix: HashMap<String, Vec<Arc<NamedRoute>>>,
    // Bounds the prefixes that are tried for a path with many segments.
    longest: usize,
}

impl RouteTable {
    /// `new` builds the table.
    pub fn new<'a>(routes: impl IntoIterator<Item = (&'a RouteName, &'a Route)>) -> Self {
        let mut table = Self::default();
        for (name, route) in routes {
            let named = Arc::new(NamedRoute {
                name: name.clone(),
                route: route.clone(),
            });
            table.by_name.insert(name.clone(), Arc::clone(&named));
            let host = match &route.host {
                Some(host) => table.by_host.entry(host.clone()).or_default(),
                None => &mut table.any_host,
            };
            host.add(named);
        }
        table
    }

    /// `find` looks up the route of a request for `host`, which may have a port.
    pub fn find(&self, method: &str, host: Option<&str>, path: &str) -> RouteLookup {
        let of_host = host.and_then(|h| self.host_table(h));
        match of_host.map(|t| t.find(method, path)) {
            None | Some(RouteLookup::NotFound) => self.any_host.find(method, path),
            Some(found) => found,
        }
    }

    /// `by_name` returns a route by its name.
    pub fn by_name(&self, name: &RouteName) -> Option<&Arc<NamedRoute>> {
        self.by_name.get(name)
    }

    /// `len` returns the number of routes.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// `is_empty` tells whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn host_table(&self, host: &str) -> Option<&HostTable> {
        let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let known = |h: &str| self.by_host.get(h);
        known(host)
            .or_else(|| known(without_port))
            .or_else(|| known(&host.to_ascii_lowercase()))
            .or_else(|| known(&without_port.to_ascii_lowercase()))
    }
}

impl HostTable {
    fn add(&mut self, named: Arc<NamedRoute>) {
        let prefix = named.route.path.trim_end_matches('/').to_owned();
        self.longest = self.longest.max(prefix.len());
        self.by_prefix.entry(prefix).or_default().push(named);
    }

    fn find(&self, method: &str, path: &str) -> RouteLookup {
        let trimmed = path.trim_end_matches('/');
        let mut end = trimmed.len();
        loop {
            if end <= self.longest
                && let Some(routes) = trimmed.get(..end).and_then(|p| self.by_prefix.get(p))
            {
                let goes_on = path.as_bytes().get(end) == Some(&b'/');
                let matches = |r: &&Arc<NamedRoute>| goes_on || !r.route.below;
                if routes.iter().any(|r| matches(&r)) {
                    return choose(routes.iter().filter(matches), method);
                }
            }
            match trimmed.get(..end).and_then(|p| p.rfind('/')) {
                Some(slash) => end = slash,
                None => return RouteLookup::NotFound,
            }
        }
    }
}

fn choose<'a>(
    routes: impl Iterator<Item = &'a Arc<NamedRoute>> + Clone,
    method: &str,
) -> RouteLookup {
    let accepts = |r: &&Arc<NamedRoute>| {
        let methods = &r.route.methods;
        methods.is_empty() || methods.iter().any(|m| m == method)
    };
    if let Some(found) = routes.clone().find(accepts) {
        return RouteLookup::Found(Arc::clone(found));
    }
    let mut methods: Vec<&str> = routes
        .flat_map(|r| r.route.methods.iter().map(String::as_str))
        .collect();
    methods.sort_unstable();
    methods.dedup();
    RouteLookup::MethodNotAllowed(methods.join(", "))
}
