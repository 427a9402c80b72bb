//! Injects the faults of the demo and submits a configuration change while they last.

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

/// `FAULT_INTERVAL` is the pause between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);
/// `DRAIN_TIMEOUT` bounds the graceful shutdown of a backend server.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// `CALL_TIMEOUT` bounds one request that the demo sends outside the load.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// `POISON_SENDS` is the number of times that the poison request is sent, each time to another
/// node.
const POISON_SENDS: usize = 6;

// Indexes of the hosts that the faults affect; they are in different data centres.
const KILLED_SERVER: usize = 2;
const STALLED_SERVER: usize = 30;
const KILLED_HOST: usize = 10;
const DRAINED_SERVER: usize = 13;

/// `run` injects the faults one after the other, the last of which kills the primary keeper, then
/// submits a configuration change and waits until it is in force.
pub(crate) async fn run(
    deployment: &Deployment,
    fleet: &mut Fleet,
    operator: &Operator,
    text: &str,
    version: u64,
) -> Result<(), Failure> {
    let host = &mut fleet.hosts[KILLED_SERVER];
    println!("killing the backend server of {}", describe(host));
    drop(host.standin.take());
    time::sleep(FAULT_INTERVAL).await;

    let host = &fleet.hosts[STALLED_SERVER];
    println!(
        "the backend server of {} answers probes and stalls work",
        describe(host)
    );
    inject_stall(deployment, host).await?;
    time::sleep(FAULT_INTERVAL).await;

    let host = &mut fleet.hosts[KILLED_HOST];
    println!("killing {} with its backend server", describe(host));
    drop((host.node.take(), host.standin.take()));
    time::sleep(FAULT_INTERVAL).await;

    let host = &mut fleet.hosts[DRAINED_SERVER];
    println!(
        "stopping the backend server of {} as planned",
        describe(host)
    );
    if let Some(standin) = host.standin.take() {
        let ended = task::block_in_place(|| standin.terminate(DRAIN_TIMEOUT))?;
        println!("it ended with {ended}");
    }
    send_poison_requests(deployment, fleet).await;
    time::sleep(FAULT_INTERVAL).await;
    kill_primary(fleet, operator).await?;
    submit_change(deployment, fleet, operator, text, version).await
}

fn describe(host: &Host) -> String {
    let place = &host.place;
    format!("{} ({}, {})", place.node, host.service, place.data_centre)
}

async fn inject_stall(deployment: &Deployment, host: &Host) -> Result<(), Failure> {
    let behaviour = json!({"latency_ms": deployment.latency_ms, "stall": true});
    let body = Bytes::from(behaviour.to_string());
    let (client, address) = (Client::default(), host.standin_address);
    let sent = client.send(
        Method::POST,
        address,
        "/standin/behaviour",
        &[],
        body,
        CALL_TIMEOUT,
    );
    match sent.await?.status.is_success() {
        true => Ok(()),
        false => Err("the stand-in rejected the behaviour".into()),
    }
}

/// Sends the poison request, which crashes every server that processes it, to several nodes in
/// turn.
async fn send_poison_requests(deployment: &Deployment, fleet: &mut Fleet) {
    let kind = &deployment.poison;
    let client = Client::default();
    let req_headers = [(headers::CALLER, kind.caller)];
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
            .send(
                method,
                address,
                kind.path,
                &req_headers,
                Bytes::new(),
                CALL_TIMEOUT,
            )
            .await;
        let outcome = sent
            .ok()
            .and_then(|r| r.header(headers::OUTCOME).map(String::from));
        outcomes.push(outcome.unwrap_or_else(|| String::from("no answer")));
    }
    println!(
        "a request that crashes its server was sent {POISON_SENDS} times and crashed {} servers: {}",
        fleet.count_exited_standins(),
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

async fn submit_change(
    deployment: &Deployment,
    fleet: &Fleet,
    operator: &Operator,
    text: &str,
    version: u64,
) -> Result<(), Failure> {
    let (old, new) = deployment.config_edit;
    let changed = text.replacen(old, new, 1);
    let start = Instant::now();
    let next = operator.submit(&changed, version).await?;
    println!(
        "version {next} was accepted {:.1} s later",
        start.elapsed().as_secs_f64()
    );
    let live = fleet.hosts.iter().filter(|h| h.node.is_some()).count();
    let took = operator.wait_in_force(next, live).await?;
    println!(
        "version {next} is in force on all {live} live nodes {:.1} s after it was accepted",
        took.as_secs_f64()
    );
    Ok(())
}
