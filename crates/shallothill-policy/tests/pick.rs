//! Tests of endpoint selection.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{
    DataCentre, EndpointId, EndpointName, NodeName, Region, ServiceName, Zone,
};
use shallothill_core::time::Millis;
use shallothill_policy::pick::{
    ByteBudget, EndpointInfo, EndpointKey, PathStats, PickOptions, PickRequest, ReportedLoad,
    ServiceTable, ServiceTables, Tier,
};

const NOW: Millis = Millis(1000);

fn zone(region: &str, dc: &str) -> Zone {
    Zone {
        region: Region::try_new(region).unwrap(),
        data_centre: DataCentre::try_new(dc).unwrap(),
    }
}

fn service() -> ServiceName {
    ServiceName::try_new("courier").unwrap()
}

fn info(n: usize, zone: Zone, state: ServingState) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId {
            service: service(),
            node: NodeName::try_new(&format!("n{n}")).unwrap(),
            name: EndpointName::try_new("a").unwrap(),
        },
        zone,
        peer_address: "127.0.0.1:1".parse().unwrap(),
        slots: 5,
        state,
        reporting: true,
    }
}

/// Two endpoints in each of the six data centres of three regions; the entry node is in the first
/// one.
fn infos() -> Vec<EndpointInfo> {
    let dc = |n: usize| zone(["r1", "r2", "r3"][n / 4], &format!("d{}", n / 2));
    (0..12)
        .map(|n| info(n, dc(n), ServingState::Ready))
        .collect()
}

fn tables(infos: Vec<EndpointInfo>) -> ServiceTables {
    let me = zone("r1", "d0");
    ServiceTables::default().with_endpoints(&me, vec![(service(), infos)], &PickOptions::default())
}

fn request(avoid: &[EndpointKey]) -> PickRequest<'_> {
    PickRequest {
        idempotent: true,
        avoid,
        cross_region_bytes_per_s: None,
    }
}

/// Counts 1000 picks by node and by (tier, trial).
fn count_picks(
    table: &ServiceTable,
    req: &PickRequest<'_>,
) -> (BTreeMap<String, u32>, BTreeMap<(Tier, bool), u32>) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut nodes = BTreeMap::new();
    let mut tiers = BTreeMap::new();
    for _ in 0..1000 {
        if let Some(p) = table.pick(NOW, &mut rng, req) {
            let node = p.endpoint.info.id.node.to_string();
            *nodes.entry(node).or_default() += 1;
            *tiers.entry((p.tier, p.trial)).or_default() += 1;
        }
    }
    (nodes, tiers)
}

fn load(in_flight: u16, state: ServingState) -> ReportedLoad {
    ReportedLoad {
        in_flight,
        slots: 20,
        queued: 0,
        state,
        state_valid_ms: 0,
    }
}

fn report(table: &ServiceTable, nodes: std::ops::Range<usize>, load: ReportedLoad) {
    for e in &table.endpoints()[nodes] {
        e.stats.record_load(NOW, load);
    }
}

/// Guards against traffic that leaves the entry node's data centre unnecessarily.
#[test]
fn near_endpoints_come_first() {
    let t = tables(infos());
    let (_, tiers) = count_picks(t.service(&service()).unwrap(), &request(&[]));
    assert_eq!(tiers, BTreeMap::from([((Tier::DataCentre, false), 1000)]));
}

/// Guards against requests to servers that shut down, normal requests to ejected ones, and trials
/// with requests that must not run twice.
#[test]
fn states_decide_who_is_picked() {
    let mut all = infos();
    all.truncate(4);
    all[0].state = ServingState::Draining;
    all[1].state = ServingState::Ejected;
    all[2].state = ServingState::Demoted;
    let t = tables(all);
    let table = t.service(&service()).unwrap();

    let (nodes, tiers) = count_picks(table, &request(&[]));
    let mut req = request(&[]);
    req.idempotent = false;
    let (binding, _) = count_picks(table, &req);

    assert!(!nodes.contains_key("n0"));
    assert!(!nodes.contains_key("n2"), "demoted before ready");
    assert_eq!(tiers.get(&(Tier::DataCentre, true)), Some(&1));
    assert_eq!(binding, BTreeMap::from([("n3".to_owned(), 1000)]));
}

/// Guards against a service that is unavailable although endpoints are left that are demoted or
/// whose node no longer reports.
#[test]
fn demoted_and_silent_endpoints_are_a_last_resort() {
    let mut all = infos();
    all.truncate(2);
    all[0].state = ServingState::Demoted;
    all[1].reporting = false;
    let (nodes, _) = count_picks(tables(all).service(&service()).unwrap(), &request(&[]));
    assert_eq!(nodes.values().sum::<u32>(), 1000);
    assert_eq!(nodes.len(), 2);
}

/// Guards against a retry that goes back to the failed endpoint, or to another region although a
/// nearer endpoint can serve it.
#[test]
fn retries_avoid_the_failed_endpoint_and_stay_near() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    let failed: Vec<EndpointKey> = table.endpoints()[..2].iter().map(|e| e.key).collect();
    let (nodes, tiers) = count_picks(table, &request(&failed));
    assert!(!nodes.contains_key("n0") && !nodes.contains_key("n1"));
    assert_eq!(tiers, BTreeMap::from([((Tier::Region, false), 1000)]));
}

/// Guards against a faulty link that stays in use, or that makes the endpoint unreachable for good.
#[test]
fn a_failed_path_is_avoided_and_probed() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    table.endpoints()[0].path.record_failure(NOW, NOW);
    let (nodes, _) = count_picks(table, &request(&[]));
    assert!(!nodes.contains_key("n0"));

    let mut rng = SmallRng::seed_from_u64(1);
    let later = NOW + Duration::from_millis(250);
    let probes = (0..1000)
        .filter_map(|_| table.pick(later, &mut rng, &request(&[])))
        .filter(|p| p.endpoint.info.id.node.as_str() == "n0")
        .count();
    assert_eq!(probes, 1);
}

/// Guards against nearly full endpoints that keep all traffic, against spill-over that oscillates
/// with every report, and against traffic that never returns.
#[test]
fn load_spills_over_with_hysteresis() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    let refresh = |times: usize| (0..times).for_each(|_| table.update_spill(NOW));
    report(table, 0..2, load(19, ServingState::Ready));
    refresh(4);
    assert_eq!(
        table.spill_permille(),
        (0, 0),
        "a moment of load spilled over"
    );
    refresh(17);
    assert_eq!(table.spill_permille(), (11 * 40, 0));
    let (_, tiers) = count_picks(table, &request(&[]));
    let near = tiers[&(Tier::DataCentre, false)];
    assert!((400..600).contains(&near), "{near} of 1000 stay");

    report(table, 0..2, load(16, ServingState::Ready));
    refresh(10);
    let settled = table.spill_permille();
    refresh(20);
    assert_eq!(table.spill_permille(), settled, "changed inside the gap");
    report(table, 0..2, load(4, ServingState::Ready));
    refresh(60);
    assert_eq!(table.spill_permille(), (0, 0));
}

/// Guards against a busy endpoint that gets as many requests as an idle one.
#[test]
fn the_less_loaded_of_two_is_picked() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    let _held: Vec<_> = (0..3)
        .map(|_| table.endpoints()[0].stats.start_request())
        .collect();
    let (nodes, _) = count_picks(table, &request(&[]));
    assert_eq!(nodes, BTreeMap::from([("n1".to_owned(), 1000)]));
}

/// Guards against a path that is avoided for long after one short failure, because many requests were
/// under way on it.
#[test]
fn requests_that_fail_together_count_once() {
    let path = PathStats::default();
    let sent_at = NOW;
    let failed_at = NOW + Duration::from_millis(900);

    for _ in 0..10 {
        path.record_failure(failed_at, sent_at);
    }
    let first_penalty = failed_at + Duration::from_millis(250);
    assert!(path.is_penalised(failed_at));
    assert!(!path.is_penalised(first_penalty));

    path.record_failure(first_penalty, first_penalty);
    assert!(path.is_penalised(first_penalty + Duration::from_millis(499)));
}

/// Guards against requests that are sent to a silent peer only to find out whether it answers again,
/// and against a path that stays unused once it does.
#[test]
fn a_path_that_is_probed_gets_no_requests_until_it_answers() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    let path = &table.endpoints()[0].path;
    let mut rng = SmallRng::seed_from_u64(1);
    path.record_failure(NOW, NOW);
    assert!(path.start_probing());
    assert!(!path.start_probing(), "one probe at a time");

    let later = NOW + Duration::from_secs(20);
    for _ in 0..1000 {
        let picked = table.pick(later, &mut rng, &request(&[])).unwrap();
        assert_ne!(picked.endpoint.info.id.node.as_str(), "n0");
    }

    path.record_success();
    let (nodes, _) = count_picks(table, &request(&[]));
    assert!(nodes.contains_key("n0"));
}

/// Guards against path failures that are recorded nowhere, or lost when the directory changes.
#[test]
fn paths_are_found_by_node_and_survive_a_new_snapshot() {
    let me = zone("r1", "d0");
    let first = tables(infos());
    let node = NodeName::try_new("n0").unwrap();
    first.path(&node).unwrap().record_failure(NOW, NOW);

    let next = first.with_endpoints(&me, vec![(service(), infos())], &PickOptions::default());
    let table = next.service(&service()).unwrap();
    assert!(table.endpoints()[0].path.is_penalised(NOW));

    let fewer = next.with_endpoints(
        &me,
        vec![(service(), infos().split_off(1))],
        &PickOptions::default(),
    );
    drop((first, next));
    let last = fewer.with_endpoints(&me, vec![], &PickOptions::default());
    assert!(last.path(&node).is_none(), "unused paths are kept");
}

/// Guards against counters that are lost when the directory changes.
#[test]
fn counters_survive_a_new_snapshot() {
    let t = tables(infos());
    let held = t.service(&service()).unwrap().endpoints()[0]
        .stats
        .start_request();
    let me = zone("r1", "d0");
    let next = t.with_endpoints(&me, vec![(service(), infos())], &PickOptions::default());
    let table = next.service(&service()).unwrap();
    assert_eq!(table.endpoints()[0].stats.own_in_flight(), 1);
    drop(held);
    assert_eq!(table.endpoints()[0].stats.own_in_flight(), 0);
}

/// Guards against a billed link that carries more than its limit allows.
#[test]
fn bytes_across_regions_are_limited() {
    let budget = ByteBudget::default();
    let limit = Some(1000);
    let mut sent = 0;
    for ms in 0..10_000 {
        if budget.allows(Millis(ms), limit) {
            budget.charge(Millis(ms), 100, limit);
            sent += 100;
        }
    }
    // Ten seconds of the limit, one second of burst and the request that exceeded it.
    assert!(sent <= 11_100, "{sent} bytes");
    assert_eq!(budget.total(), sent);
}

/// Guards against a full endpoint that gets requests while others have room, and against requests
/// that leave the region while a short wait suffices.
#[test]
fn full_endpoints_get_nothing_while_others_have_room() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    report(table, 0..3, load(20, ServingState::Ready));
    let (nodes, _) = count_picks(table, &request(&[]));
    assert_eq!(nodes, BTreeMap::from([("n3".to_owned(), 1000)]));

    report(table, 3..4, load(20, ServingState::Ready));
    let (_, tiers) = count_picks(table, &request(&[]));
    assert_eq!(tiers, BTreeMap::from([((Tier::DataCentre, false), 1000)]));

    let waiting = |queued| ReportedLoad {
        queued,
        ..load(20, ServingState::Ready)
    };
    report(table, 0..4, waiting(14));
    let (_, tiers) = count_picks(table, &request(&[]));
    assert_eq!(tiers, BTreeMap::from([((Tier::DataCentre, false), 1000)]));
    report(table, 0..4, waiting(15));
    let (_, tiers) = count_picks(table, &request(&[]));
    assert_eq!(tiers, BTreeMap::from([((Tier::OtherRegion, false), 1000)]));
}

/// Guards against requests that must run at most once and are sent where they will be refused, and
/// against unproven endpoints that serve nothing when no proven one has room.
#[test]
fn requests_that_run_once_prefer_proven_endpoints() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    let once = PickRequest {
        idempotent: false,
        ..request(&[])
    };
    // Something runs there, so no trial is wanted.
    report(table, 0..3, load(1, ServingState::Unproven));
    let (nodes, _) = count_picks(table, &once);
    assert_eq!(nodes, BTreeMap::from([("n3".to_owned(), 1000)]));
    let (nodes, _) = count_picks(table, &request(&[]));
    assert_eq!(nodes.len(), 2, "repeatable requests prove the near ones");

    report(table, 0..12, load(1, ServingState::Unproven));
    let (nodes, _) = count_picks(table, &once);
    assert_eq!(nodes.values().sum::<u32>(), 1000);
}

/// Guards against a suspicion that a node forgets before its gate does, or keeps for longer.
#[test]
fn a_suspicion_holds_as_long_as_the_gate_says() {
    let t = tables(infos());
    let table = t.service(&service()).unwrap();
    let suspected = ReportedLoad {
        state_valid_ms: 9000,
        ..load(0, ServingState::Demoted)
    };
    report(table, 0..1, suspected);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut picks_first = |after: u64| {
        let now = NOW + Duration::from_millis(after);
        (0..100).any(|_| {
            let picked = table.pick(now, &mut rng, &request(&[])).unwrap();
            picked.endpoint.info.id.node.as_str() == "n0"
        })
    };

    assert!(!picks_first(8999));
    assert!(picks_first(9001));
}
