//! The play of the cases 14 and 15 without their disruption: some endpoints are replaced and leave by
//! deregistration, later an earlier check-in of each arrives late, and the DRAIN rule is judged.

use std::io;
use std::path::Path;
use std::process;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Call, Deployment, Endpoint, Record, Run};

const DRAIN: Duration = Duration::from_millis(2500);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// When the test ends, after the last confirmation; the endpoints serve up to then.
const ENDS: Duration = Duration::from_millis(13_500);
const AT_A_TIME: usize = 3;
const RELEASE_GAP: Duration = Duration::from_secs(1);
/// Nodes that take the consumers.
const CONSUMER_NODES: usize = 5;
/// Time for which a killed process is away.
const RESTART: Duration = Duration::from_millis(300);

/// Nodes 0 to `old` - 1 have an endpoint of the called service, of which the first `leaving` are
/// replaced, three at a time. The next `leaving` nodes have the new ones, and five more take the
/// consumers.
#[derive(Clone, Copy)]
pub struct Plan {
    pub old: usize,
    pub leaving: usize,
    /// When the late check-ins arrive, after the last confirmation.
    pub late: Duration,
    /// Time between the starts of two nodes that were killed.
    pub node_gap: Duration,
}

impl Plan {
    fn nodes(&self) -> usize {
        self.first_consumer() + CONSUMER_NODES
    }

    fn first_consumer(&self) -> usize {
        self.old + self.leaving
    }

    fn service_of(&self, node: usize) -> &'static str {
        if node < self.first_consumer() { "stok" } else { "kurye" }
    }
}

/// The deployment with its consumers and endpoints; `leaving` have sent their last check-in.
pub struct Release {
    pub d: Deployment,
    pub record: Record,
    plan: Plan,
    leaving: Vec<Arc<Endpoint>>,
    earlier: Vec<String>,
    runs: Arc<Mutex<Vec<Run>>>,
    stop: Arc<AtomicBool>,
    consumers: Vec<thread::JoinHandle<usize>>,
    confirmed: Instant,
}

/// Plays a case, and ends this process with what `run.sh` returns.
pub fn run(play: impl Fn(&Path, &Path, bool) -> io::Result<bool>) {
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

impl Release {
    /// Starts everything, and sends traffic for some seconds.
    pub fn start(root: &Path, case: &Path, plan: Plan) -> io::Result<Self> {
        let record = Record::create(&case.join("record.txt"))?;
        let d = Deployment::new(root, record.clone(), plan.nodes())?;
        let services: Vec<&str> = (0..plan.nodes()).map(|i| plan.service_of(i)).collect();
        d.start_all(&services)?;
        let routes = [("stock", "/stok/", "idempotent", "stok"), ("book", "/stok-al/", "non_idempotent", "stok")];
        d.put_config(0, &deployment::configuration(1, &routes, &["stok", "kurye"]))?;
        d.wait_ready(plan.nodes())?;
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let start = |i: usize| Endpoint::start(&d, i, plan.service_of(i), Duration::from_millis(40), &runs);
        let mut leaving: Vec<_> = (0..plan.old).map(start).collect::<io::Result<_>>()?;
        for i in plan.first_consumer()..plan.nodes() {
            start(i)?;
        }
        thread::sleep(Duration::from_secs(4));
        let stop = Arc::new(AtomicBool::new(false));
        let consumers = (0..15)
            .map(|k| consumer(&d, plan.first_consumer() + k % CONSUMER_NODES, k % 2 == 0, &stop))
            .collect();
        thread::sleep(Duration::from_secs(2));
        for i in plan.old..plan.first_consumer() {
            start(i)?;
        }
        record.say("the new endpoints are started");
        thread::sleep(Duration::from_secs(3));
        leaving.truncate(plan.leaving);
        leaving.iter().for_each(|e| e.stop_check_ins());
        thread::sleep(deployment::HEARTBEAT);
        let earlier = leaving.iter().map(|e| e.check_in_body()).collect();
        let confirmed = Instant::now();
        Ok(Self { d, record, plan, leaving, earlier, runs, stop, consumers, confirmed })
    }

    /// Deregisters the leaving endpoints; each has to get a 200.
    pub fn leave(&mut self) -> io::Result<()> {
        for (i, some) in self.leaving.chunks(AT_A_TIME).enumerate() {
            if i > 0 {
                sleep_until(self.confirmed + RELEASE_GAP);
            }
            for e in some {
                let status = e.deregister()?;
                self.record.say(&format!("{} deregisters: {status}", e.id));
                if status != 200 {
                    return Err(io::Error::other("a deregistration is not confirmed"));
                }
            }
            self.confirmed = Instant::now();
        }
        Ok(())
    }

    /// Kills the processes beside the endpoints that leave, and returns when they are to start again.
    pub fn kill_nodes(&self) -> Instant {
        let n = self.plan.leaving;
        (0..n).for_each(|i| self.d.kill(&format!("sidecar-{i}")));
        self.record.say(&format!("the {n} sidecars of the endpoints that leave are killed"));
        Instant::now() + RESTART
    }

    pub fn start_nodes(&self) -> io::Result<()> {
        for i in 0..self.plan.leaving {
            self.d.start_node(i, self.plan.service_of(i))?;
            thread::sleep(self.plan.node_gap);
        }
        Ok(())
    }

    /// Lets the late check-ins arrive and returns at the end whether the rule is broken. Machines are
    /// in touch again `STABLE_WINDOW` after `last_event`.
    pub fn judge(self, last_event: Option<Instant>) -> io::Result<bool> {
        let Self { d, record, plan, leaving, earlier, runs, stop, consumers, confirmed } = self;
        sleep_until(confirmed + plan.late);
        for (e, earlier) in leaving.iter().zip(&earlier) {
            record.line(&format!("late check-in: {earlier}"));
            let status = e.check_in(earlier).map_or("no answer".to_owned(), |s| s.to_string());
            record.say(&format!("an earlier check-in of {} arrives late: {status}", e.id));
        }
        sleep_until(confirmed + ENDS);
        stop.store(true, Ordering::Relaxed);
        let answered: usize = consumers.into_iter().filter_map(|c| c.join().ok()).sum();
        if let Some(name) = d.any_ended() {
            return Err(io::Error::other(format!("{name} has ended")));
        }
        let runs = runs.lock().unwrap();
        let may_run_until = confirmed + DRAIN;
        let in_touch = last_event.map_or(may_run_until, |at| may_run_until.max(at + STABLE_WINDOW));
        let has_left = |r: &Run| leaving.iter().any(|e| e.id == r.endpoint);
        let late: Vec<&Run> = runs.iter().filter(|r| has_left(r) && r.at > in_touch).collect();
        let before = runs.iter().filter(|r| has_left(r) && r.at < confirmed).count();
        let others = runs.iter().filter(|r| !has_left(r) && r.at > in_touch).count();
        record.say(&format!(
            "{answered} requests were answered 200; those that leave ran {before} before; in touch and later than drain_ms, they ran {} and the others {others}",
            late.len()
        ));
        if let Some(first) = late.first() {
            let ms = (first.at - confirmed).as_millis();
            record.say(&format!("DRAIN broken: {} reaches {} {ms} ms after the last confirmation", first.id, first.endpoint));
        }
        if others == 0 || before == 0 || answered < 100 {
            return Err(io::Error::other("too few requests were served"));
        }
        Ok(!late.is_empty())
    }
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

// Sends one request after the other to node `i` and returns how many were answered with 200. It holds
// nothing of the deployment, which ends its processes when it is dropped.
fn consumer(d: &Deployment, i: usize, idempotent: bool, stop: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let (address, record, stop) = (d.outbound(&d.node_ip(i)), d.record.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let mut answered = 0;
        while !stop.load(Ordering::Relaxed) {
            let id = deployment::new_id();
            let headers = [("Host", "shop.example"), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "6000")];
            let call = match idempotent {
                true => Call::get(&format!("/stok/{id}"), &headers),
                false => Call::post(&format!("/stok-al/{id}"), &headers, b"one"),
            };
            record.line(&format!("sent {id} to sidecar-{i}"));
            match call.send(&address, Duration::from_secs(7)) {
                Ok(a) => {
                    record.line(&format!("answered {id}: {}", a.status));
                    answered += usize::from(a.status == 200);
                }
                Err(e) => record.line(&format!("no answer for {id}: {e}")),
            }
            thread::sleep(Duration::from_millis(100));
        }
        answered
    })
}
