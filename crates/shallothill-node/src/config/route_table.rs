//! Looks up the route of a request in time independent of the number of routes.

use std::collections::HashMap;
use std::sync::Arc;

use shallothill_core::config::Route;
use shallothill_core::ids::RouteName;

/// `NamedRoute` is a route of the configuration together with its name.
#[derive(Clone, Debug)]
pub struct NamedRoute {
    /// The key of the route in the configuration.
    pub name: RouteName,
    /// The settings of the route.
    pub route: Route,
}

/// `RouteLookup` is the result of looking up a request.
#[derive(Clone, Debug)]
pub enum RouteLookup {
    /// The route matches host, path and method.
    Found(Arc<NamedRoute>),
    /// Routes match the path but not the method; holds the accepted methods, separated by commas.
    MethodNotAllowed(String),
    /// No route has a prefix of the path.
    NotFound,
}

/// `RouteTable` maps hosts and path prefixes to routes. Routes for the request's host take
/// precedence over routes for any host; among them the longest prefix that ends at a `/` boundary
/// wins.
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
    /// The length of the longest prefix; limits the prefixes that are tried for a long path.
    longest_prefix_bytes: usize,
}

impl RouteTable {
    /// `new` builds the table; routes with the same host and prefix may differ in their methods.
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

    /// `find` looks up the route of a request for `host`, which may have a port and any letter
    /// case.
    pub fn find(&self, method: &str, host: Option<&str>, path: &str) -> RouteLookup {
        let table = host.and_then(|h| self.host_table(h));
        match table.map(|t| t.find(method, path)) {
            None | Some(RouteLookup::NotFound) => self.any_host.find(method, path),
            Some(found) => found,
        }
    }

    /// `by_name` returns the route with this name, if the configuration has one.
    pub fn by_name(&self, name: &RouteName) -> Option<&Arc<NamedRoute>> {
        self.by_name.get(name)
    }

    /// `len` returns the number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// `is_empty` tells whether the table has no route for any host.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn host_table(&self, host: &str) -> Option<&HostTable> {
        let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let get = |h: &str| self.by_host.get(h);
        get(host)
            .or_else(|| get(without_port))
            .or_else(|| get(&host.to_ascii_lowercase()))
            .or_else(|| get(&without_port.to_ascii_lowercase()))
    }
}

impl HostTable {
    fn add(&mut self, named: Arc<NamedRoute>) {
        let prefix = named.route.path.trim_end_matches('/').to_owned();
        self.longest_prefix_bytes = self.longest_prefix_bytes.max(prefix.len());
        self.by_prefix.entry(prefix).or_default().push(named);
    }

    fn find(&self, method: &str, path: &str) -> RouteLookup {
        let trimmed = path.trim_end_matches('/');
        let mut end = trimmed.len();
        loop {
            if end <= self.longest_prefix_bytes
                && let Some(routes) = trimmed.get(..end).and_then(|p| self.by_prefix.get(p))
            {
                let has_more_segments = path.as_bytes().get(end) == Some(&b'/');
                let matches = |r: &&Arc<NamedRoute>| has_more_segments || !r.route.below;
                if routes.iter().any(|r| matches(&r)) {
                    return match_method(routes.iter().filter(matches), method);
                }
            }
            match trimmed.get(..end).and_then(|p| p.rfind('/')) {
                Some(slash) => end = slash,
                None => return RouteLookup::NotFound,
            }
        }
    }
}

fn match_method<'a>(
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
