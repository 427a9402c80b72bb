//! Case 15: nine of 20 endpoints are replaced and leave by deregistration; then the core loses power
//! for 5 s and the processes beside the nine are killed; then an earlier check-in of each arrives late.

mod deployment;
mod release;

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use deployment::KEEPERS;
use release::{Plan, Release, sleep_until};

const PLAN: Plan = Plan {
    old: 20,
    leaving: 9,
    late: Duration::from_millis(7000),
    node_gap: Duration::from_millis(35),
};
/// `for_s` of `herd_kill` (`on` core, `off`).
const CORE_OFF: Duration = Duration::from_secs(5);
/// Machines start within 0.3 s of each other: here two of the core, and the other three after this
/// time.
const START_GAP: Duration = Duration::from_millis(290);
const FIRST_KEEPERS: usize = 2;

fn main() {
    release::run(play);
}

fn play(root: &Path, case: &Path, trouble: bool) -> io::Result<bool> {
    let mut release = Release::start(root, case, PLAN)?;
    release.leave()?;
    if !trouble {
        return release.judge(None);
    }
    thread::sleep(Duration::from_millis(500));
    let off_since = Instant::now();
    (0..KEEPERS).for_each(|i| release.d.kill(&format!("core-{i}")));
    release.record.say("all machines of the core lose power");
    sleep_until(release.kill_nodes());
    release.start_nodes()?;
    sleep_until(off_since + CORE_OFF);
    for i in 0..KEEPERS {
        if i == FIRST_KEEPERS {
            thread::sleep(START_GAP);
        }
        release.d.start_keeper(i, false)?;
    }
    release.record.say("the core has power again");
    release.judge(Some(Instant::now()))
}
