//! The selection of the route of a request.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::config::{BodyMode, OncePer, Route, Target};
use shallothill_core::ids::{RouteName, ServiceName};
use shallothill_node::config::{RouteLookup, RouteTable};

fn route(host: Option<&str>, path: &str, below: bool) -> Route {
    Route {
        target: Target::from(ServiceName::try_new("desk").unwrap()),
        host: host.map(str::to_owned),
        methods: Vec::new(),
        path: path.to_owned(),
        below,
        idempotent: true,
        once_per: OncePer::Key,
        class: Class::Editor,
        rank: Some(0),
        deadline: Duration::from_secs(3),
        objective: None,
        attempts: None,
        max_body_bytes: 1024,
        body: BodyMode::Buffered,
        public: Some(false),
    }
}

fn table() -> RouteTable {
    let routes = [
        ("short", route(Some("a.example"), "/x", true)),
        ("long", route(Some("a.example"), "/x/y", true)),
        ("all", route(Some("b.example"), "/", false)),
        ("any", route(None, "/x", false)),
    ];
    let named = routes.map(|(n, r)| (RouteName::try_new(n).unwrap(), r));
    RouteTable::new(named.iter().map(|(n, r)| (n, r)))
}

fn route_found(host: Option<&str>, path: &str) -> Option<String> {
    match table().find("PUT", host, path) {
        RouteLookup::Found(named) => Some(named.name.to_string()),
        RouteLookup::MethodNotAllowed(_) | RouteLookup::NotFound => None,
    }
}

/// Guards against requests that match the route of another host or a shorter prefix.
#[test]
fn host_and_longest_prefix_choose_the_route() {
    let name = |n: &str| Some(n.to_owned());

    assert_eq!(route_found(Some("a.example"), "/x/1"), name("short"));
    assert_eq!(route_found(Some("a.example"), "/x/y/1"), name("long"));
    assert_eq!(route_found(Some("A.example:8080"), "/x/y/1"), name("long"));
    assert_eq!(route_found(Some("a.example"), "/x/y"), name("short"));
    assert_eq!(route_found(Some("b.example"), "/whatever"), name("all"));
    assert_eq!(route_found(Some("b.example"), "/"), name("all"));
    assert_eq!(route_found(Some("c.example"), "/x"), name("any"));
    assert_eq!(route_found(None, "/x/z"), name("any"));
}

/// Guards against a prefix that matches its own path, or a part of a segment, although the route
/// covers only the paths below it.
#[test]
fn prefixes_match_below_at_a_slash_only() {
    assert_eq!(route_found(Some("a.example"), "/xy/1"), None);
    assert_eq!(route_found(Some("c.example"), "/xy"), None);
    assert_eq!(route_found(Some("a.example"), "/x"), Some("any".to_owned()));
}
