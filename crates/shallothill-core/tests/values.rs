//! Validation of names and keys, regional floors, retry rules of outcomes, and sections.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::config::{
    BodyMode, Caller, Config, Disposition, Floor, OncePer, Route, Service, Target,
};
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::{CallerName, Region, RouteName, ServiceName};
use shallothill_core::outcome::Outcome;
use shallothill_core::sections;
use shallothill_core::time::UnixMillis;

const ID: &str = "019ae8a0-0000-7000-8000-000000000001";

fn region(name: &str) -> Region {
    Region::try_new(name).unwrap()
}

fn regions() -> Vec<Region> {
    vec![region("marmara"), region("ege"), region("anadolu")]
}

fn service() -> Service {
    Service {
        depends_on: Vec::new(),
        slots: Some(7),
        connections: 350,
        queue: 14,
        floor: Floor::Total(6),
        disposition: Disposition::CAUTIOUS,
        expected_latency: Duration::from_millis(40),
        slow_after: None,
        cold_start_requests: 50,
        gray_percent: 0,
        retry_budget_percent: 10,
        retry_budget_saved: None,
        max_attempts: 3,
        hedge_after: None,
        cross_region_bytes_per_s: None,
        health_path: None,
    }
}

fn config(callers: u32) -> Config {
    let name = ServiceName::try_new("courier").unwrap();
    let route = Route {
        target: Target::from(name.clone()),
        host: None,
        methods: vec!["POST".to_owned()],
        path: "/courier".to_owned(),
        below: false,
        idempotent: false,
        once_per: OncePer::Key,
        class: Class::Shop,
        rank: Some(0),
        deadline: Duration::from_secs(10),
        objective: None,
        attempts: None,
        max_body_bytes: 65_536,
        body: BodyMode::Buffered,
        public: Some(false),
    };
    let caller = Caller {
        class: Class::Shop,
        requests_per_s: Some(50),
        concurrent: None,
        keys: Vec::new(),
        rank: None,
        quota: None,
    };
    let callers = (0..callers)
        .map(|n| {
            (
                CallerName::try_new(&format!("shop-{n}")).unwrap(),
                caller.clone(),
            )
        })
        .collect();
    Config {
        regions: regions(),
        limits: None,
        require_keys: false,
        services: BTreeMap::from([(name, service())]),
        routes: BTreeMap::from([(RouteName::try_new("book").unwrap(), route)]),
        callers,
    }
}

/// Guards against names that cannot be used in headers, paths or dumps.
#[test]
fn names_reject_separators_and_invalid_lengths() {
    let long = "x".repeat(65);

    let rejected = ["", "a/b", "a b", "a\n", long.as_str()];

    for name in rejected {
        assert!(ServiceName::try_new(name).is_err(), "{name:?}");
    }
    assert!(ServiceName::try_new("spare-parts_2.a").is_ok());
}

/// Guards against keys without a creation time: the ledger could not tell when to expire them.
#[test]
fn only_time_ordered_keys_are_accepted() {
    let v4 = "7f9c24e8-3b12-4fef-91e0-5d3c1d6a2b77";

    assert!(IdempotencyKey::try_parse(v4).is_err());
    assert!(IdempotencyKey::try_parse("").is_err());
    assert!(IdempotencyKey::try_parse(&format!("a b.{ID}")).is_err());
    assert!(IdempotencyKey::try_parse(&format!("ege.{ID}")).is_ok());
}

/// Guards against two nodes that compute different home regions for the same key.
#[test]
fn home_of_a_key_follows_the_prefix_or_the_hash() {
    let without_region = IdempotencyKey::try_parse(ID).unwrap();
    let with_region = IdempotencyKey::try_parse(&format!("ege.{ID}")).unwrap();
    let with_unknown_region = IdempotencyKey::try_parse(&format!("nowhere.{ID}")).unwrap();

    assert_eq!(
        without_region.home_region(&regions()),
        without_region.home_region(&regions())
    );
    assert_eq!(with_region.home_region(&regions()), Ok(&region("ege")));
    assert!(with_unknown_region.home_region(&regions()).is_err());
    assert!(without_region.home_region(&[]).is_err());
}

/// Guards against a wrong age for keys whose creation time is ahead of the local clock.
#[test]
fn age_of_a_key_is_none_before_its_creation() {
    let key = IdempotencyKey::try_parse(ID).unwrap();
    let created = key.created();

    assert_eq!(
        key.age(UnixMillis(created.0 + 5)),
        Some(Duration::from_millis(5))
    );
    assert_eq!(key.age(UnixMillis(created.0 - 5)), None);
    assert_eq!(key.to_string(), ID);
}

/// Guards against regional floors that add up to less than the floor of the service.
#[test]
fn holds_regional_floors_cover_the_total() {
    for total in 0..40 {
        let floor = Floor::Total(total);

        let sum: u32 = regions().iter().map(|r| floor.in_region(r, 3)).sum();

        assert!(sum >= total, "floor {total}");
    }
}

/// Guards against a retry of a non-idempotent request that may have been executed.
#[test]
fn holds_non_idempotent_is_retried_only_when_it_did_not_run() {
    assert!(Outcome::RefusedNotRun.allows_retry(false));
    for outcome in [Outcome::Answered, Outcome::RanAndFailed, Outcome::Unknown] {
        assert!(!outcome.allows_retry(false), "{outcome}");
    }
}

/// Guards against a configuration that changes when it is split into sections and joined again.
#[test]
fn sections_join_to_the_same_configuration() {
    let cfg = config(500);

    let joined = sections::join(&sections::split(&cfg));

    assert_eq!(joined, cfg);
}

/// Guards against nodes that get a route without its defaults, or with a host that no request matches.
#[test]
fn sections_hold_routes_as_nodes_act_on_them() {
    let mut cfg = config(1);
    let written = cfg.routes.values_mut().next().unwrap();
    (written.rank, written.public) = (None, None);
    written.host = Some(String::from("Shop.Example"));

    let joined = sections::join(&sections::split(&cfg));

    let route = joined.routes.values().next().unwrap();
    assert_eq!((route.rank, route.public), (Some(0), Some(false)));
    assert_eq!(route.host.as_deref(), Some("shop.example"));
}

/// Guards against a change of one caller that changes more than one section.
#[test]
fn change_of_one_caller_touches_one_section() {
    let old = config(5000);
    let mut new = old.clone();
    let name = CallerName::try_new("shop-7").unwrap();
    new.callers.get_mut(&name).unwrap().requests_per_s = Some(60);

    let before: BTreeSet<_> = sections::manifest(&sections::split(&old))
        .into_iter()
        .collect();
    let after: BTreeSet<_> = sections::manifest(&sections::split(&new))
        .into_iter()
        .collect();

    assert_eq!(after.difference(&before).count(), 1);
}
