//! Backend servers that have run nothing lately, under a load that mostly runs once.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{
    DataCentre, EndpointId, EndpointName, NodeName, Region, ServiceName, Zone,
};
use shallothill_core::time::Millis;
use shallothill_policy::gray::{Caution, EpisodeEstimator, GrayOptions, Observation};
use shallothill_policy::pick::{
    EndpointInfo, EndpointKey, PickOptions, PickRequest, ReportedLoad, ServiceTables,
};

const SERVERS: usize = 12;
const SLOTS: u16 = 10;
const WORK: Duration = Duration::from_millis(1000);
const FAST: Duration = Duration::from_millis(1);

/// Servers whose nodes have just started: nothing is known of them.
const RESTARTED: [usize; 3] = [0, 1, 2];

/// Servers that fail all requests; trials of them take a part of the idempotent requests.
const FAILING: [usize; 3] = [3, 4, 5];

fn zone() -> Zone {
    Zone {
        region: Region::try_new("r").unwrap(),
        data_centre: DataCentre::try_new("d").unwrap(),
    }
}

fn service() -> ServiceName {
    ServiceName::try_new("courier").unwrap()
}

fn info(n: usize) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId {
            service: service(),
            node: NodeName::try_new(&format!("n{n}")).unwrap(),
            name: EndpointName::try_new("a").unwrap(),
        },
        zone: zone(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        slots: SLOTS,
        state: ServingState::Ready,
        reporting: true,
    }
}

struct Server {
    estimate: EpisodeEstimator,
    /// When the running requests end.
    running: Vec<u64>,
    started: u64,
}

impl Server {
    fn new(now: Millis, trusted: bool) -> Self {
        let mut estimate = EpisodeEstimator::new(GrayOptions {
            episode_share: 0.3,
            ..GrayOptions::default()
        });
        if trusted {
            estimate.observe(now, Observation::Served(WORK), WORK);
        }
        Self {
            estimate,
            running: Vec::new(),
            started: 0,
        }
    }

    /// Ends the requests that are done.
    fn finish(&mut self, now: u64) {
        let before = self.running.len();
        self.running.retain(|end| *end > now);
        for _ in self.running.len()..before {
            self.estimate
                .observe(Millis(now), Observation::Served(WORK), WORK);
        }
    }

    fn load(&self, now: Millis) -> ReportedLoad {
        let state = if self.estimate.is_suspect(now) {
            match self.estimate.wants_trial(now) {
                true => ServingState::Ejected,
                false => ServingState::Demoted,
            }
        } else if self.estimate.is_unproven(now) {
            ServingState::Unproven
        } else {
            ServingState::Ready
        };
        ReportedLoad {
            in_flight: self.running.len() as u16,
            slots: SLOTS,
            queued: 0,
            state,
            state_valid_ms: 0,
        }
    }
}

/// Plays 10 s of 40 requests per second, of which a twentieth is idempotent, and returns how many
/// each server has run.
fn requests_run(seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let infos: Vec<EndpointInfo> = (0..SERVERS).map(info).collect();
    let keys: Vec<EndpointKey> = infos.iter().map(|i| EndpointKey::of(&i.id)).collect();
    let options = PickOptions::default();
    let tables =
        ServiceTables::default().with_endpoints(&zone(), vec![(service(), infos)], &options);
    let table = tables.service(&service()).unwrap();
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|n| Server::new(Millis(0), !RESTARTED.contains(&n)))
        .collect();
    for now in (0..10_000u64).step_by(25) {
        let at = Millis(now);
        for (server, key) in servers.iter_mut().zip(&keys) {
            server.finish(now);
            let stats = &table.find(*key).unwrap().stats;
            stats.record_load(at, server.load(at));
        }
        let idempotent = rng.random_bool(0.05);
        let (mut avoid, mut refused) = (Vec::new(), 0);
        while let Some(picked) = table.pick(
            at,
            &mut rng,
            &PickRequest {
                idempotent,
                avoid: &avoid,
                cross_region_bytes_per_s: None,
            },
        ) {
            let key = picked.endpoint.key;
            let n = keys.iter().position(|k| *k == key).unwrap();
            avoid.push(key);
            let caution = Caution::for_request(idempotent, false, refused, SERVERS);
            let server = &mut servers[n];
            if !server.estimate.admits(at, caution) {
                refused += 1;
                continue;
            }
            server.started += 1;
            if FAILING.contains(&n) {
                server.estimate.observe(at, Observation::Failed(FAST), WORK);
            } else {
                server.running.push(now + WORK.as_millis() as u64);
            }
            break;
        }
    }
    servers.iter().map(|s| s.started).collect()
}

/// Guards against sound servers that stay unused after a restart, because requests that run once are
/// refused there and idempotent ones go as trials to servers that fail.
#[test]
fn restarted_servers_get_their_share_again() {
    for seed in [1, 2, 3, 4] {
        let run = requests_run(seed);

        // 40 requests a second are 44 for each of the 9 sound servers in 10 s.
        for n in RESTARTED {
            assert!(run[n] >= 15, "seed {seed}, server {n}: {run:?}");
        }
    }
}
