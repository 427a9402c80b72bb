//! The course of the demo for one deployment.

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use shallothill_core::headers;
use shallothill_testing::http::Client;
use shallothill_testing::process::wait_until;
use shallothill_testing::tally;
use shallothill_testing::tally::Tally;
use tokio::{task, time};

use crate::Failure;
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::load::{Entry, Load};
use crate::operator::Operator;
use crate::summary;

/// `QUIET` is the time of load without faults.
const QUIET: Duration = Duration::from_secs(4);
/// `BETWEEN_FAULTS` is the time between two faults.
const BETWEEN_FAULTS: Duration = Duration::from_millis(1500);
/// `AFTER_FAULTS` is the time of load after the last step.
const AFTER_FAULTS: Duration = Duration::from_secs(2);
/// `CALLERS_PER_KIND` callers send each kind of request.
const CALLERS_PER_KIND: usize = 6;
/// `DIRECT_CALLS` are sent to stand-ins without a proxy, to compare with.
const DIRECT_CALLS: usize = 150;
/// `FIRST_ANSWER` bounds the wait for the first answer of each kind at each node.
const FIRST_ANSWER: Duration = Duration::from_secs(10);

/// `Paths` are the folders that a run uses.
#[derive(Clone, Debug)]
pub(crate) struct Paths {
    pub(crate) binaries: PathBuf,
    pub(crate) examples: PathBuf,
    pub(crate) work: PathBuf,
}

/// `run` runs one deployment and tells whether nothing was doubled or lost.
pub(crate) async fn run(deployment: &Deployment, paths: &Paths) -> Result<bool, Failure> {
    let start = Instant::now();
    let text = fs::read_to_string(paths.examples.join(deployment.file))?;
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
        keepers: fleet.admins(),
    };
    let version = operator.submit(&text, 0).await?;
    let took = operator.wait_in_force(version, fleet.hosts.len()).await?;
    println!(
        "version {version} is in force on all nodes {:.1} s after it was accepted",
        took.as_secs_f64()
    );
    wait_for_answers(deployment, &fleet).await?;
    let direct = direct_calls(deployment, &fleet).await?;
    let load = Load::start(&deployment.kinds, &entries(&fleet), CALLERS_PER_KIND);
    time::sleep(QUIET).await;
    load.faults_begin();
    let steps = faults_and_change(deployment, &mut fleet, &operator, &text, version).await;
    // A step that failed must not hide what happened to the requests.
    time::sleep(AFTER_FAULTS).await;
    let requests = load.finish().await;
    let records = fleet.records()?;
    let tallies = tally::count(deployment.kinds.len(), &requests, &records);
    summary::print(&deployment.kinds, &tallies, &direct);
    let (good, all) = task::block_in_place(|| fleet.end())?;
    println!(
        "{good} of {all} processes ended with code 0; {} took {:.1} s",
        deployment.name,
        start.elapsed().as_secs_f64()
    );
    steps?;
    Ok(tallies.iter().all(Tally::is_good))
}

fn entries(fleet: &Fleet) -> Vec<Entry> {
    let entry = |place: &shallothill_testing::builders::NodePlace| Entry {
        region: place.region.clone(),
        address: place.caller_address,
    };
    fleet.hosts.iter().map(|h| entry(&h.place)).collect()
}

/// `wait_for_answers` waits until every node answers every idempotent kind, which shows that the
/// directory has reached it.
async fn wait_for_answers(deployment: &Deployment, fleet: &Fleet) -> Result<(), Failure> {
    let client = Client::default();
    for host in &fleet.hosts {
        for kind in deployment.kinds.iter().filter(|k| k.idempotent) {
            let what = format!("an answer of {} to `{}`", host.place.node, kind.label);
            let address = host.place.caller_address;
            let given = [(headers::CALLER, kind.caller)];
            let answered = || async {
                let method = kind.method.clone();
                let deadline = Duration::from_secs(3);
                let sent = client.send(method, address, kind.path, &given, Bytes::new(), deadline);
                sent.await.is_ok_and(|r| r.status.is_success())
            };
            wait_until(&what, FIRST_ANSWER, answered).await?;
        }
    }
    Ok(())
}

/// `direct_calls` returns the sorted times of calls without a proxy.
async fn direct_calls(deployment: &Deployment, fleet: &Fleet) -> Result<Vec<Duration>, Failure> {
    let client = Client::default();
    let mut times = Vec::new();
    let servers = fleet.hosts.iter().take(6).cycle();
    for host in servers.take(DIRECT_CALLS) {
        let start = Instant::now();
        client
            .get(host.standin_address, deployment.kinds[0].path)
            .await?;
        times.push(start.elapsed());
    }
    times.sort();
    Ok(times)
}

/// `faults_and_change` kills a backend server, a node with its host and the primary keeper, then
/// submits a change and waits until it is in force.
async fn faults_and_change(
    deployment: &Deployment,
    fleet: &mut Fleet,
    operator: &Operator,
    text: &str,
    version: u64,
) -> Result<(), Failure> {
    let host = &mut fleet.hosts[2];
    println!(
        "killing the backend server of {} ({})",
        host.place.node, host.service
    );
    drop(host.standin.take());
    time::sleep(BETWEEN_FAULTS).await;
    let host = &mut fleet.hosts[10];
    println!(
        "killing {} and its backend server ({})",
        host.place.node, host.service
    );
    drop((host.node.take(), host.standin.take()));
    time::sleep(BETWEEN_FAULTS).await;
    let status = operator.status().await?;
    let primary = status
        .keepers
        .iter()
        .find(|k| k.primary)
        .map_or(1, |k| k.keeper.0);
    let keeper = fleet.keepers.iter_mut().find(|k| k.place.id == primary);
    let keeper = keeper.ok_or("the status names an unknown primary")?;
    println!("killing keeper k{primary} ({})", keeper.place.data_centre);
    drop(keeper.process.take());
    let (old, new) = deployment.change;
    let changed = text.replacen(old, new, 1);
    let start = Instant::now();
    let next = operator.submit(&changed, version).await?;
    println!(
        "version {next} was accepted {:.1} s later",
        start.elapsed().as_secs_f64()
    );
    let took = operator.wait_in_force(next, fleet.hosts.len() - 1).await?;
    println!(
        "version {next} is in force on all living nodes {:.1} s after it was accepted",
        took.as_secs_f64()
    );
    Ok(())
}
