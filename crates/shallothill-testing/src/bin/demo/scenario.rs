//! The course of the demo for one deployment.

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
use crate::deployment::{Deployment, Kind};
use crate::faults;
use crate::fleet::{Fleet, Host};
use crate::load::{Entry, Load};
use crate::operator::Operator;
use crate::summary;

/// `QUIET` is the time of load before the faults.
const QUIET: Duration = Duration::from_secs(4);
/// `MEASURED` is the time of load when no faults follow.
const MEASURED: Duration = Duration::from_secs(20);
/// `AFTER_FAULTS` is the time of load after the last step.
const AFTER_FAULTS: Duration = Duration::from_secs(2);
/// `CALLERS_PER_KIND` callers send each kind of request.
const CALLERS_PER_KIND: usize = 6;
/// `DIRECT_CALLERS` call stand-ins without a proxy, to compare with.
const DIRECT_CALLERS: usize = 4;
/// `FIRST_ANSWER` bounds the wait for the first answer of each kind at each node.
const FIRST_ANSWER: Duration = Duration::from_secs(10);

/// `Paths` are the folders that a run uses.
#[derive(Clone, Debug)]
pub(crate) struct Paths {
    pub(crate) binaries: PathBuf,
    pub(crate) examples: PathBuf,
    pub(crate) work: PathBuf,
}

/// `run` runs one deployment, with faults or to measure without them, and tells whether nothing was
/// doubled or lost.
pub(crate) async fn run(
    deployment: &Deployment,
    paths: &Paths,
    with_faults: bool,
) -> Result<bool, Failure> {
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
    let before = cost::processor_time(&fleet);
    let load = Load::start(&deployment.kinds, &entries(&fleet), CALLERS_PER_KIND);
    let quiet = if with_faults { QUIET } else { MEASURED };
    let direct = direct_calls(deployment, &fleet, quiet).await?;
    let spent = cost::processor_time(&fleet).saturating_sub(before);
    load.faults_begin();
    let steps = if with_faults {
        let steps = faults::run(deployment, &mut fleet, &operator, &text, version).await;
        // A step that failed must not hide what happened to the requests.
        time::sleep(AFTER_FAULTS).await;
        steps
    } else {
        Ok(())
    };
    let requests = load.finish().await;
    let records = fleet.records()?;
    let tallies = tally::count(deployment.kinds.len(), &requests, &records);
    summary::print(&deployment.kinds, &tallies, &direct);
    if !with_faults {
        let answered = tallies.iter().map(|t| t.quiet.len()).sum();
        cost::print(answered, quiet, spent);
    }
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
    let kinds = || deployment.kinds.iter().filter(|k| k.idempotent);
    let pairs = fleet
        .hosts
        .iter()
        .flat_map(|h| kinds().map(move |k| (h, k)));
    let waits = pairs.map(|(host, kind)| wait_for_answer(&client, host, kind));
    future::try_join_all(waits).await?;
    Ok(())
}

async fn wait_for_answer(client: &Client, host: &Host, kind: &Kind) -> Result<(), Failure> {
    let what = format!("an answer of {} to `{}`", host.place.node, kind.label);
    let address = host.place.caller_address;
    let given = [(headers::CALLER, kind.caller)];
    let answered = || async {
        let method = kind.method.clone();
        let deadline = Duration::from_secs(3);
        let sent = client.send(method, address, kind.path, &given, Bytes::new(), deadline);
        sent.await.is_ok_and(|r| r.status.is_success())
    };
    Ok(wait_until(&what, FIRST_ANSWER, answered).await?)
}

/// `direct_calls` calls stand-ins without a proxy for the time `quiet` and returns the sorted times.
///
/// It runs at the same time as the load, so that both meet the same noise of the machine.
async fn direct_calls(
    deployment: &Deployment,
    fleet: &Fleet,
    quiet: Duration,
) -> Result<Vec<Duration>, Failure> {
    let end = Instant::now() + quiet;
    let path = deployment.kinds[0].path;
    let callers = fleet
        .hosts
        .iter()
        .step_by(fleet.hosts.len().div_ceil(DIRECT_CALLERS));
    let callers = callers.map(|host| async move {
        let client = Client::default();
        // The first call opens the connection, which the load has long done.
        client.get(host.standin_address, path).await?;
        let mut times = Vec::new();
        while Instant::now() < end {
            let start = Instant::now();
            client.get(host.standin_address, path).await?;
            times.push(start.elapsed());
        }
        Ok::<_, Failure>(times)
    });
    let mut times = future::try_join_all(callers).await?.concat();
    times.sort();
    Ok(times)
}
