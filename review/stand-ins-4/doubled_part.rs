//! Case 13: the operator changes a route to a split that names one service in two of its parts.

mod deployment;

use std::io;
use std::path::Path;
use std::process;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use deployment::{Call, Deployment, Endpoint, KEEPERS, Record, Run};

const CONFIG_APPLY: Duration = Duration::from_millis(2500);
/// How far the share of a part may lie off its weight's (RULES.md).
const SHARE_OFF: f64 = 0.2;
const CONSUMERS: usize = 12;
const REQUESTS_EACH: usize = 60;
/// Nodes 0 to 2 and 3 to 5 have the endpoints, nodes 6 to 8 take the consumers.
const SERVICES: [&str; 9] = [
    "stok", "stok", "stok", "kurye", "kurye", "kurye", "kayit", "kayit", "kayit",
];
const ONE_SERVICE: &str = r#"null,2,"stok""#;
/// 70 of 100 requests go to `stok`, in both.
const DOUBLED: &str = r#"[{"service":"stok","weight":60},{"service":"kurye","weight":30},{"service":"stok","weight":10}],2,null"#;
const MERGED: &str = r#"[{"service":"stok","weight":70},{"service":"kurye","weight":30}],2,null"#;

fn main() {
    let (root, case, trouble) = deployment::arguments();
    match play(&root, &case, trouble) {
        Ok(true) => process::exit(1),
        Ok(false) => {}
        Err(e) => {
            eprintln!("the case could not run: {e}");
            process::exit(2);
        }
    }
}

// A configuration whose one route ends with `target`: its split, attempts and service.
fn configuration(version: u64, target: &str) -> String {
    let plain = deployment::configuration(version, &[("stock", "/stok/", "idempotent", "stok")], &["stok", "kurye", "kayit"]);
    plain.replace(ONE_SERVICE, target)
}

fn play(root: &Path, case: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&case.join("record.txt"))?;
    let d = Arc::new(Deployment::new(root, record.clone(), SERVICES.len())?);
    d.start_all(&SERVICES)?;
    d.put_config(0, &configuration(1, ONE_SERVICE))?;
    d.wait_ready(SERVICES.len())?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut endpoints = Vec::new();
    for (i, service) in SERVICES.iter().enumerate() {
        endpoints.push(Endpoint::start(&d, i, service, Duration::from_millis(20), &runs)?);
    }
    thread::sleep(Duration::from_secs(5));

    let split = if trouble { DOUBLED } else { MERGED };
    record.line(&format!("config.put 00000002 on 00000001: {}", configuration(2, split)));
    d.put_config(1, &configuration(2, split))?;
    record.say(&format!("confirmed: the route is split as {split}"));
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let started = Instant::now();
    let consumers: Vec<_> = (0..CONSUMERS).map(|k| consumer(&d, 6 + k % 3)).collect();
    let answered: usize = consumers.into_iter().filter_map(|c| c.join().ok()).sum();

    let read = read_back(&d)?;
    record.line(&format!("config.get: {read}"));
    if let Some(name) = d.any_ended() {
        return Err(io::Error::other(format!("{name} has ended")));
    }
    let runs = runs.lock().unwrap();
    let ran = |service: &str| {
        let at = |r: &&Run| r.at > started && endpoints.iter().any(|e| e.id == r.endpoint && e.service == service);
        runs.iter().filter(at).count()
    };
    let (stok, kurye) = (ran("stok"), ran("kurye"));
    if answered < 200 || stok + kurye < 200 {
        return Err(io::Error::other("too few requests were served"));
    }
    let share = kurye as f64 / (stok + kurye) as f64;
    record.say(&format!("{answered} requests were answered 200; {stok} ran at stok and {kurye} at kurye: kurye has {share:.2}, its weight is 0.30"));
    let part = read.split(r#""traffic_split""#).nth(1).unwrap_or_default();
    let rows = part.split("[{").nth(1).and_then(|r| r.split(']').next()).unwrap_or_default();
    record.say(&format!("read back: [{{{rows}]"));
    let (weight_stok, weight_kurye) = (weight(rows, "stok"), weight(rows, "kurye"));
    let is_as_sent = (weight_stok, weight_kurye) == (70, 30);
    if !is_as_sent {
        record.say(&format!("CONFIG broken: read back with {weight_stok} for stok and {weight_kurye} for kurye, sent were 70 and 30"));
    }
    let is_off = (share - 0.3).abs() > SHARE_OFF;
    if is_off {
        record.say("CONFIG broken: the share of a part lies more than 0.2 off its weight's");
    }
    Ok(!is_as_sent || is_off)
}

// The sum of the weights of all parts that name `service`.
fn weight(rows: &str, service: &str) -> u64 {
    let parts = rows.split('}').filter(|p| p.contains(&format!(r#""{service}""#)));
    let weights = parts.filter_map(|p| {
        let text = p.split(r#""weight":"#).nth(1)?;
        let digits: String = text.trim().chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<u64>().ok()
    });
    weights.sum()
}

fn read_back(d: &Deployment) -> io::Result<String> {
    let until = Instant::now() + Duration::from_secs(10);
    for i in 0.. {
        let call = Call::post("/rpc?call=config.get", &[("Content-Type", "application/json")], b"");
        let answer = call.send(&d.control(&d.keeper_ip(i % KEEPERS)), Duration::from_secs(2));
        if let Ok(a) = answer
            && a.status == 200
        {
            return Ok(String::from_utf8_lossy(&a.message.body).into_owned());
        }
        if Instant::now() > until {
            break;
        }
    }
    Err(io::Error::other("the configuration is not read back"))
}

// Sends one request after the other to node `i` and returns how many were answered with 200.
fn consumer(d: &Arc<Deployment>, i: usize) -> thread::JoinHandle<usize> {
    let d = Arc::clone(d);
    thread::spawn(move || {
        let address = d.outbound(&d.node_ip(i));
        let mut answered = 0;
        for _ in 0..REQUESTS_EACH {
            let id = deployment::new_id();
            let headers = [("Host", "shop.example"), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "6000")];
            d.record.line(&format!("sent {id} to sidecar-{i}"));
            match Call::get(&format!("/stok/{id}"), &headers).send(&address, Duration::from_secs(7)) {
                Ok(a) => {
                    d.record.line(&format!("answered {id}: {}", a.status));
                    answered += usize::from(a.status == 200);
                }
                Err(e) => d.record.line(&format!("no answer for {id}: {e}")),
            }
            thread::sleep(Duration::from_millis(60));
        }
        answered
    })
}
