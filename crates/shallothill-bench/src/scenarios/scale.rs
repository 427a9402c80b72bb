//! Generated configurations and node reports at a percentage of the design size.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::config::{
    BodyMode, Caller, Config, Disposition, Floor, OncePer, Route, Service, Target,
};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{
    CallerName, DataCentre, EndpointName, NodeName, Region, RouteName, ServiceName, Zone,
};
use shallothill_core::incarnation::Incarnation;
use shallothill_directory::{EndpointStatus, NodeReport};

use crate::scenarios::Result;

/// `SCALE_PERCENTS` lists the sizes that are measured, in percent of the design size.
pub(super) const SCALE_PERCENTS: [usize; 3] = [10, 33, 100];

const NODES: usize = 1700;
const ENDPOINTS: usize = 24_000;
const SERVICES: usize = 1100;
const ROUTES: usize = 7500;
const CALLERS: usize = 61_000;
const REGIONS: usize = 3;
const DATA_CENTRES: usize = 9;

/// `Scale` is a deployment size in percent of the design size.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    pub(super) percent: usize,
}

impl Scale {
    pub(super) fn nodes(self) -> usize {
        NODES * self.percent / 100
    }

    pub(super) fn endpoints(self) -> usize {
        ENDPOINTS * self.percent / 100
    }

    pub(super) fn services(self) -> usize {
        SERVICES * self.percent / 100
    }

    pub(super) fn routes(self) -> usize {
        ROUTES * self.percent / 100
    }

    pub(super) fn callers(self) -> usize {
        CALLERS * self.percent / 100
    }

    /// `config` builds a configuration with the scaled number of services, routes and callers.
    pub(super) fn config(self) -> Result<Config> {
        let mut cfg = Config {
            regions: (0..REGIONS).map(region_name).collect::<Result<_>>()?,
            ..Config::default()
        };
        for n in 0..self.services() {
            cfg.services.insert(service_name(n)?, sample_service());
        }
        for n in 0..self.routes() {
            let name = RouteName::try_new(&format!("route-{n}"))?;
            cfg.routes.insert(name, sample_route(n, self.services())?);
        }
        for n in 0..self.callers() {
            let name = CallerName::try_new(&format!("caller-{n}"))?;
            cfg.callers.insert(name, sample_caller());
        }
        Ok(cfg)
    }

    /// `node_report` builds the report of node `n` with all its endpoints ready.
    pub(super) fn node_report(self, n: usize) -> Result<NodeReport> {
        let per_node = ENDPOINTS.div_ceil(NODES);
        let endpoint = |i: usize| {
            Ok(EndpointStatus {
                service: service_name((n * per_node + i) % self.services())?,
                name: EndpointName::try_new(&format!("e{i}"))?,
                slots: 7,
                state: ServingState::Ready,
            })
        };
        let dc = n % DATA_CENTRES;
        let host = [127, 0, (n / 250) as u8, (n % 250) as u8];
        Ok(NodeReport {
            node: NodeName::try_new(&format!("node-{n}"))?,
            zone: Zone {
                region: region_name(dc % REGIONS)?,
                data_centre: DataCentre::try_new(&format!("data-centre-{dc}"))?,
            },
            peer_address: SocketAddr::from((host, 8081)),
            incarnation: Incarnation(1_796_000_000_000),
            sequence: 12,
            endpoints: (0..per_node).map(endpoint).collect::<Result<_>>()?,
        })
    }
}

/// `config_text` formats a configuration in the syntax that operators edit.
pub(super) fn config_text(cfg: &Config) -> String {
    let mut text = String::new();
    let regions: Vec<&str> = cfg.regions.iter().map(Region::as_str).collect();
    // Writing to a `String` never fails.
    let _ = writeln!(text, "regions: [{}]\nservices:", regions.join(", "));
    for (name, s) in &cfg.services {
        let _ = writeln!(
            text,
            "  {name}:\n    slots: {}\n    connections: {}\n    floor: {}\n    queue: {}\n    \
             disposition: cautious\n    expected_latency: 40ms",
            s.slots.unwrap_or(5),
            s.connections,
            s.floor.total(),
            s.queue
        );
    }
    text.push_str("routes:\n");
    for (name, r) in &cfg.routes {
        let _ = writeln!(
            text,
            "  {name}:\n    service: {}\n    methods: [GET]\n    path: {}\n    idempotent: true\n    \
             class: shop\n    deadline: 10s",
            r.target.services().next().map_or("", ServiceName::as_str),
            r.path
        );
    }
    text.push_str("callers:\n");
    for (name, c) in &cfg.callers {
        let _ = writeln!(
            text,
            "  {name}: {{class: {}, requests_per_s: {}}}",
            c.class,
            c.requests_per_s.unwrap_or_default()
        );
    }
    text
}

pub(super) fn service_name(n: usize) -> Result<ServiceName> {
    ServiceName::try_new(&format!("service-{n}"))
}

fn region_name(n: usize) -> Result<Region> {
    Region::try_new(&format!("region-{n}"))
}

fn sample_service() -> Service {
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

fn sample_route(n: usize, services: usize) -> Result<Route> {
    Ok(Route {
        target: Target::from(service_name(n % services)?),
        host: None,
        methods: vec!["GET".to_owned()],
        path: format!("/service-{}/items-{n}", n % services),
        below: false,
        idempotent: true,
        once_per: OncePer::Key,
        class: Class::Shop,
        rank: Some(0),
        deadline: Duration::from_secs(10),
        objective: None,
        attempts: None,
        max_body_bytes: 65_536,
        body: BodyMode::Buffered,
        public: Some(false),
    })
}

fn sample_caller() -> Caller {
    Caller {
        class: Class::Shop,
        requests_per_s: Some(50),
        concurrent: None,
        keys: Vec::new(),
        rank: None,
        quota: None,
    }
}

/// `sample_changes` returns copies of `cfg` with one caller, one route or one service changed, each
/// with the kind of the change.
pub(super) fn sample_changes(cfg: &Config) -> Vec<(&'static str, Config)> {
    let mut callers = cfg.clone();
    if let Some(c) = callers.callers.values_mut().next() {
        c.requests_per_s = Some(60);
    }
    let mut routes = cfg.clone();
    if let Some(r) = routes.routes.values_mut().next() {
        r.path.push_str("-moved");
    }
    let mut services = cfg.clone();
    if let Some(s) = services.services.values_mut().next() {
        s.floor = Floor::Total(7);
    }
    // The first and the last route are far apart in the text.
    let mut two_routes = routes.clone();
    if let Some(r) = two_routes.routes.values_mut().last() {
        r.path.push_str("-moved");
    }
    vec![
        ("caller", callers),
        ("route", routes),
        ("two routes", two_routes),
        ("service", services),
    ]
}

/// `sections_by_id` splits a configuration into sections and indexes them by id.
pub(super) fn sections_by_id(
    cfg: &Config,
) -> BTreeMap<shallothill_core::sections::SectionId, shallothill_core::sections::Section> {
    let sections = shallothill_core::sections::split(cfg);
    sections.into_iter().map(|s| (s.id(), s)).collect()
}
