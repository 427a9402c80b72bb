//! An operator sends one change of a configuration with many routes after the other.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Machine, anonymous_kb};
use crate::record::Record;
use crate::{CaseResult, Verdict, trouble};

/// `MEMORY_MB` is `memory_mb` of a core machine.
const MEMORY_MB: u64 = 256;

/// `ROUTES` is the number of routes that each change adds; without the disruption it is `FEW_ROUTES`.
const ROUTES: usize = 1400;
const FEW_ROUTES: usize = 40;

/// `CHANGES_TIME` bounds the time with changes, `MAX_CHANGES` their number.
const CHANGES_TIME: Duration = Duration::from_secs(88);
const MAX_CHANGES: u32 = 900;

/// `READ_TIME` is the time of the read-back, many times `stable_window_ms`.
const READ_TIME: Duration = Duration::from_secs(9);

/// `SETTLE_TIME` is twice `stable_window_ms`.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// `RESTART_DELAY` is the time after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// `Platform` ends the processes that use more than their machines have, and starts them again.
struct Platform {
    fleet: Fleet,
    core: Vec<Machine>,
    ends: Vec<u32>,
    start_at: Vec<Option<Instant>>,
    /// The machine that acknowledged last, which the operator calls first.
    first: usize,
}

impl Platform {
    fn look(&mut self) -> Result<(), String> {
        for (i, m) in self.core.iter().enumerate() {
            if let Some(at) = self.start_at[i] {
                if Instant::now() >= at {
                    self.fleet.start(m, false)?;
                    self.start_at[i] = None;
                }
                continue;
            }
            let used = self.fleet.pid(m).map(anonymous_kb);
            if used.is_some_and(|kb| kb <= MEMORY_MB * 1024) {
                continue;
            }
            self.ends[i] += 1;
            let mib = used.map(|kb| kb / 1024);
            let line = format!("{} uses {mib:?} MiB: end {}", m.name, self.ends[i]);
            self.fleet.record.note(&line);
            self.fleet.kill(m);
            self.start_at[i] = Some(Instant::now() + RESTART_DELAY);
        }
        Ok(())
    }

    // Sends a change, to one machine after the other, until it is acknowledged.
    fn change(&mut self, version: u32, routes: usize, until: Instant) -> Result<bool, String> {
        let body = routes_document(version, routes);
        let count = self.core.len();
        for i in (self.first..).map(|i| i % count) {
            let m = self.core[i].clone();
            self.look()?;
            if Instant::now() >= until {
                return Ok(false);
            }
            let status = self.fleet.put_document(&m, version - 1, &body);
            self.fleet
                .record
                .line(&format!("config.put {version} at {} -> {status:?}", m.name));
            match status {
                Some(200) => {
                    self.first = i;
                    return Ok(true);
                }
                Some(400 | 409 | 412 | 413 | 422) => {
                    return Err(format!("change {version} is refused with {status:?}"));
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Ok(false)
    }
}

pub fn play(record: &Record) -> CaseResult {
    let routes = if trouble() { ROUTES } else { FEW_ROUTES };
    let mut fleet = Fleet::new(record, 1)?;
    let core: Vec<Machine> = (0..3).map(|i| fleet.keeper(i as u8 + 1, i)).collect();
    for m in &core {
        fleet.start(m, true)?;
    }
    fleet.put_first_config(&core)?;
    let mut platform = Platform {
        fleet,
        core,
        ends: vec![0; 3],
        start_at: vec![None; 3],
        first: 0,
    };
    let until = Instant::now() + CHANGES_TIME;
    let mut version = 1;
    while version <= MAX_CHANGES && platform.change(version + 1, routes, until)? {
        version += 1;
        if version % 50 == 0 {
            platform.note_memory(version);
        }
        // Once two of the three processes have ended twice, the changes stop.
        if platform.ends.iter().filter(|n| **n >= 2).count() >= 2 {
            break;
        }
    }
    record.note(&format!(
        "version {version} is the last one that was acknowledged"
    ));
    let settled = Instant::now() + SETTLE_TIME;
    while Instant::now() < settled {
        platform.look()?;
        thread::sleep(Duration::from_millis(30));
    }
    platform.read_back(version)
}

impl Platform {
    fn note_memory(&mut self, version: u32) {
        let core = self.core.clone();
        let used = core.iter().filter_map(|m| self.fleet.pid(m));
        let used: Vec<u64> = used.map(|pid| anonymous_kb(pid) / 1024).collect();
        let line = format!("version {version} is acknowledged; the keepers use {used:?} MiB");
        self.fleet.record.note(&line);
    }

    fn read_back(&mut self, version: u32) -> CaseResult {
        let until = Instant::now() + READ_TIME;
        let (mut reads, mut newest) = (0, 0);
        while Instant::now() < until {
            for m in self.core.clone() {
                self.look()?;
                reads += 1;
                let read = self.fleet.get_config(&m);
                newest += u32::from(read == Some((200, format!("{version:08x}"))));
            }
            if newest > 3 {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        let line = format!(
            "read back: {newest} of {reads} reads gave version {version}; the processes ended {:?} times",
            self.ends
        );
        self.fleet.record.note(&line);
        Ok(match newest {
            0 => Verdict::Broken,
            _ => Verdict::Held,
        })
    }
}

// Each version has routes of its own: it adds them and removes those of the version before.
fn routes_document(version: u32, routes: usize) -> String {
    let set = version % 2;
    let row = |n: usize| {
        let (host, timeout) = (n % 50, 6000 + version);
        format!(
            r#"["r-{set}{n:05}","jepu{host}.example","/franchise-{set}/marmara/workshops/{n:05}/spare-parts/stock/items/","idempotent",{timeout},2000,2,null,2,"desk1a"]"#
        )
    };
    let rows: Vec<String> = (0..routes).map(row).collect();
    let columns = r#"["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","attempts","service"]"#;
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":{columns},"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["desk1a","/health",360,"h1",false]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        rows.join(",")
    )
}
