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

/// `Lookup` is the result of looking up a request.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// The route of the request.
    Found(Arc<NamedRoute>),
    /// The path is known, but not with this method; holds the accepted methods.
    OtherMethods(String),
    /// No route has a prefix of the path.
    Unknown,
}

/// `RouteTable` maps path prefixes to routes; the longest prefix at a `/` boundary wins.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<String, Vec<Arc<NamedRoute>>>,
    by_name: HashMap<RouteName, Arc<NamedRoute>>,
    // Bounds the prefixes that are tried for a path with many segments.
    longest: usize,
}

impl RouteTable {
    /// `new` builds the table.
    pub fn new<'a>(routes: impl IntoIterator<Item = (&'a RouteName, &'a Route)>) -> Self {
        let mut table = Self::default();
        for (name, route) in routes {
            let prefix = route.path.trim_end_matches('/').to_owned();
            table.longest = table.longest.max(prefix.len());
            let named = Arc::new(NamedRoute {
                name: name.clone(),
                route: route.clone(),
            });
            table.by_name.insert(name.clone(), Arc::clone(&named));
            table.by_prefix.entry(prefix).or_default().push(named);
        }
        table
    }

    /// `find` looks up the route of a request.
    pub fn find(&self, method: &str, path: &str) -> Lookup {
        let path = path.trim_end_matches('/');
        let mut end = path.len();
        loop {
            if end <= self.longest
                && let Some(routes) = path.get(..end).and_then(|p| self.by_prefix.get(p))
            {
                return choose(routes, method);
            }
            match path.get(..end).and_then(|p| p.rfind('/')) {
                Some(slash) => end = slash,
                None => return Lookup::Unknown,
            }
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
}

fn choose(routes: &[Arc<NamedRoute>], method: &str) -> Lookup {
    let accepts = |r: &&Arc<NamedRoute>| r.route.methods.iter().any(|m| m == method);
    if let Some(found) = routes.iter().find(accepts) {
        return Lookup::Found(Arc::clone(found));
    }
    let mut methods: Vec<&str> = routes
        .iter()
        .flat_map(|r| r.route.methods.iter().map(String::as_str))
        .collect();
    methods.sort_unstable();
    methods.dedup();
    Lookup::OtherMethods(methods.join(", "))
}
