//! The faults of the demo, and the change that is submitted in the middle of them.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use shallothill_core::headers;
use shallothill_testing::http::Client;
use tokio::{task, time};

use crate::Failure;
use crate::deployment::Deployment;
use crate::fleet::{Fleet, Host};
use crate::operator::Operator;

/// `BETWEEN` is the time between two faults.
const BETWEEN: Duration = Duration::from_secs(1);
/// `DRAINED` bounds the planned stop of a backend server.
const DRAINED: Duration = Duration::from_secs(10);
/// `CALL` bounds one call of the demo itself.
const CALL: Duration = Duration::from_secs(4);
/// `POISON_SENDS` is how often the caller of the poison request sends it, each time elsewhere.
const POISON_SENDS: usize = 6;

// Hosts that a fault hits; they are in different data centres.
const KILLED_SERVER: usize = 2;
const STALLED_SERVER: usize = 30;
const KILLED_HOST: usize = 10;
const DRAINED_SERVER: usize = 13;

/// `run` lets one fault follow the other, the last of which takes the primary keeper away, then
/// submits a change and waits until it is in force.
pub(crate) async fn run(
    deployment: &Deployment,
    fleet: &mut Fleet,
    operator: &Operator,
    text: &str,
    version: u64,
) -> Result<(), Failure> {
    let host = &mut fleet.hosts[KILLED_SERVER];
    println!("killing the backend server of {}", name(host));
    drop(host.standin.take());
    time::sleep(BETWEEN).await;

    let host = &fleet.hosts[STALLED_SERVER];
    println!(
        "the backend server of {} answers probes and stalls work",
        name(host)
    );
    stall(deployment, host).await?;
    time::sleep(BETWEEN).await;

    let host = &mut fleet.hosts[KILLED_HOST];
    println!("killing {} with its backend server", name(host));
    drop((host.node.take(), host.standin.take()));
    time::sleep(BETWEEN).await;

    let host = &mut fleet.hosts[DRAINED_SERVER];
    println!("stopping the backend server of {} as planned", name(host));
    if let Some(standin) = host.standin.take() {
        let ended = task::block_in_place(|| standin.terminate(DRAINED))?;
        println!("it ended with {ended}");
    }
    poison(deployment, fleet).await;
    time::sleep(BETWEEN).await;
    kill_primary(fleet, operator).await?;
    change(deployment, fleet, operator, text, version).await
}

fn name(host: &Host) -> String {
    let place = &host.place;
    format!("{} ({}, {})", place.node, host.service, place.data_centre)
}

async fn stall(deployment: &Deployment, host: &Host) -> Result<(), Failure> {
    let behaviour = json!({"latency_ms": deployment.latency_ms, "stall": true});
    let body = Bytes::from(behaviour.to_string());
    let (client, address) = (Client::default(), host.standin_address);
    let sent = client.send(Method::POST, address, "/standin/behaviour", &[], body, CALL);
    match sent.await?.status.is_success() {
        true => Ok(()),
        false => Err("the stand-in refused the behaviour".into()),
    }
}

/// `poison` sends a request that crashes each server which runs it, again and again.
async fn poison(deployment: &Deployment, fleet: &mut Fleet) {
    let kind = &deployment.poison;
    let client = Client::default();
    let given = [(headers::CALLER, kind.caller)];
    let mut outcomes = Vec::new();
    for host in fleet
        .hosts
        .iter()
        .skip(KILLED_HOST + 1)
        .step_by(3)
        .take(POISON_SENDS)
    {
        let (method, address) = (kind.method.clone(), host.place.caller_address);
        let sent = client
            .send(method, address, kind.path, &given, Bytes::new(), CALL)
            .await;
        let outcome = sent
            .ok()
            .and_then(|r| r.header(headers::OUTCOME).map(String::from));
        outcomes.push(outcome.unwrap_or_else(|| String::from("no answer")));
    }
    println!(
        "a request that crashes its server was sent {POISON_SENDS} times and crashed {} servers: {}",
        fleet.crashed(),
        outcomes.join(", ")
    );
}

async fn kill_primary(fleet: &mut Fleet, operator: &Operator) -> Result<(), Failure> {
    let status = operator.status().await?;
    let primary = status
        .keepers
        .iter()
        .find(|k| k.primary)
        .map_or(1, |k| k.keeper.0);
    let keeper = fleet.keepers.iter_mut().find(|k| k.place.id == primary);
    let keeper = keeper.ok_or("the status names an unknown primary")?;
    println!(
        "killing the primary keeper k{primary} ({})",
        keeper.place.data_centre
    );
    drop(keeper.process.take());
    Ok(())
}

async fn change(
    deployment: &Deployment,
    fleet: &Fleet,
    operator: &Operator,
    text: &str,
    version: u64,
) -> Result<(), Failure> {
    let (old, new) = deployment.change;
    let changed = text.replacen(old, new, 1);
    let start = Instant::now();
    let next = operator.submit(&changed, version).await?;
    println!(
        "version {next} was accepted {:.1} s later",
        start.elapsed().as_secs_f64()
    );
    let living = fleet.hosts.iter().filter(|h| h.node.is_some()).count();
    let took = operator.wait_in_force(next, living).await?;
    println!(
        "version {next} is in force on all {living} living nodes {:.1} s after it was accepted",
        took.as_secs_f64()
    );
    Ok(())
}
