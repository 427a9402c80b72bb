//! Runs the demo for one deployment, step by step.

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future;
use shallothill_core::headers;
use shallothill_testing::http::Client;
use shallothill_testing::process::wait_until;
use shallothill_testing::tally;
use shallothill_testing::tally::Tally;
use tokio::{task, time};

use crate::Failure;
use crate::cost;
use crate::deployment::{Deployment, RequestKind};
use crate::faults;
use crate::fleet::{Fleet, Host};
use crate::load::{EntryNode, LoadGenerator};
use crate::operator::Operator;
use crate::summary;

/// `BASELINE` is the duration of the load ahead of the faults.
const BASELINE: Duration = Duration::from_secs(4);
/// `MEASUREMENT` is the duration of the load when no faults are injected.
const MEASUREMENT: Duration = Duration::from_secs(20);
/// `POST_FAULT_DURATION` is the duration of the load after the last fault step.
const POST_FAULT_DURATION: Duration = Duration::from_secs(2);
/// `CALLERS_PER_KIND` is the number of concurrent callers of each request kind.
const CALLERS_PER_KIND: usize = 6;
/// `DIRECT_CALLERS` is the number of callers that bypass the proxy, as the latency baseline.
const DIRECT_CALLERS: usize = 4;
/// `FIRST_ANSWER_TIMEOUT` bounds the wait for the first answer of each kind at each node.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// `Paths` holds the directories of the binaries, the example configurations and the working files.
#[derive(Clone, Debug)]
pub(crate) struct Paths {
    pub(crate) binaries: PathBuf,
    pub(crate) examples: PathBuf,
    pub(crate) work: PathBuf,
}

/// `run` runs one deployment, with faults or as a measurement without them, and returns whether the
/// tallies have no violations.
pub(crate) async fn run(
    deployment: &Deployment,
    paths: &Paths,
    with_faults: bool,
) -> Result<bool, Failure> {
    let start = Instant::now();
    let text = fs::read_to_string(paths.examples.join(deployment.config_file))?;
    let mut fleet = task::block_in_place(|| Fleet::start(deployment, paths))?;
    println!(
        "\n{}: {} keepers, {} nodes and backend servers serve after {:.1} s",
        deployment.name,
        fleet.keepers.len(),
        fleet.hosts.len(),
        start.elapsed().as_secs_f64()
    );
    let operator = Operator {
        program: paths.binaries.join("shallothill"),
        work: paths.work.clone(),
        keepers: fleet.admin_addresses(),
    };
    let version = operator.submit(&text, 0).await?;
    let took = operator.wait_in_force(version, fleet.hosts.len()).await?;
    println!(
        "version {version} is in force on all nodes {:.1} s after it was accepted",
        took.as_secs_f64()
    );
    wait_for_answers(deployment, &fleet).await?;
    let cpu_time_before = cost::cpu_time(&fleet);
    let load = LoadGenerator::start(&deployment.kinds, &entries(&fleet), CALLERS_PER_KIND);
    let baseline_duration = if with_faults { BASELINE } else { MEASUREMENT };
    let direct_latencies = measure_direct_latencies(deployment, &fleet, baseline_duration).await?;
    let cpu_time_spent = cost::cpu_time(&fleet).saturating_sub(cpu_time_before);
    load.mark_faults_started();
    let fault_result = if with_faults {
        let fault_result = faults::run(deployment, &mut fleet, &operator, &text, version).await;
        // A failed step is reported only after the summary, so that it does not hide the results
        // of the requests.
        time::sleep(POST_FAULT_DURATION).await;
        fault_result
    } else {
        Ok(())
    };
    let requests = load.finish().await;
    let records = fleet.records()?;
    let tallies = tally::count(deployment.kinds.len(), &requests, &records);
    summary::print(&deployment.kinds, &tallies, &direct_latencies);
    if !with_faults {
        let answered = tallies.iter().map(|t| t.baseline_latencies.len()).sum();
        cost::print_throughput(answered, baseline_duration, cpu_time_spent);
    }
    let (clean_exits, total) = task::block_in_place(|| fleet.shut_down())?;
    println!(
        "{clean_exits} of {total} processes ended with code 0; {} took {:.1} s",
        deployment.name,
        start.elapsed().as_secs_f64()
    );
    fault_result?;
    Ok(tallies.iter().all(Tally::has_no_violations))
}

fn entries(fleet: &Fleet) -> Vec<EntryNode> {
    let entry = |place: &shallothill_testing::builders::NodePlace| EntryNode {
        region: place.region.clone(),
        address: place.caller_address,
    };
    fleet.hosts.iter().map(|h| entry(&h.place)).collect()
}

/// Waits until every node answers every idempotent request kind, which shows that the node has
/// received the directory.
async fn wait_for_answers(deployment: &Deployment, fleet: &Fleet) -> Result<(), Failure> {
    let client = Client::default();
    let kinds = || deployment.kinds.iter().filter(|k| k.idempotent);
    let pairs = fleet
        .hosts
        .iter()
        .flat_map(|h| kinds().map(move |k| (h, k)));
    let waits = pairs.map(|(host, kind)| wait_for_answer(&client, host, kind));
    future::try_join_all(waits).await?;
    Ok(())
}

async fn wait_for_answer(client: &Client, host: &Host, kind: &RequestKind) -> Result<(), Failure> {
    let what = format!("an answer of {} to `{}`", host.place.node, kind.label);
    let address = host.place.caller_address;
    let req_headers = [(headers::CALLER, kind.caller)];
    let answered = || async {
        let method = kind.method.clone();
        let deadline = Duration::from_secs(3);
        let sent = client.send(
            method,
            address,
            kind.path,
            &req_headers,
            Bytes::new(),
            deadline,
        );
        sent.await.is_ok_and(|r| r.status.is_success())
    };
    Ok(wait_until(&what, FIRST_ANSWER_TIMEOUT, answered).await?)
}

/// Sends requests straight to stand-ins for `baseline_duration` and returns the latencies in
/// ascending order.
///
/// It runs concurrently with the load, so that both see the same background noise of the machine.
async fn measure_direct_latencies(
    deployment: &Deployment,
    fleet: &Fleet,
    baseline_duration: Duration,
) -> Result<Vec<Duration>, Failure> {
    let end = Instant::now() + baseline_duration;
    let path = deployment.kinds[0].path;
    let callers = fleet
        .hosts
        .iter()
        .step_by(fleet.hosts.len().div_ceil(DIRECT_CALLERS));
    let callers = callers.map(|host| async move {
        let client = Client::default();
        // The first call opens the connection and is not measured, since the connections of the
        // load are already open.
        client.get(host.standin_address, path).await?;
        let mut latencies = Vec::new();
        while Instant::now() < end {
            let start = Instant::now();
            client.get(host.standin_address, path).await?;
            latencies.push(start.elapsed());
        }
        Ok::<_, Failure>(latencies)
    });
    let mut latencies = future::try_join_all(callers).await?.concat();
    latencies.sort();
    Ok(latencies)
}
