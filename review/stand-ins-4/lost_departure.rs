//! Case 14: 12 of 27 endpoints are replaced and leave by deregistration while two machines of the
//! core are off; when these are back, another one loses its disk and the processes beside the 12
//! are killed; then an earlier check-in of each arrives late.

mod deployment;
mod release;

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use release::{Plan, Release, sleep_until};

const PLAN: Plan = Plan {
    old: 27,
    leaving: 12,
    late: Duration::from_millis(6500),
    node_gap: Duration::from_millis(25),
};
/// `for_s` of `node_kill` (`on` core, `power`).
const CORE_OFF: Duration = Duration::from_secs(4);
/// The machines of the core that are off while the endpoints leave.
const OFF: [usize; 2] = [0, 1];
/// The machine of the core that loses its disk later.
const WIPED: usize = 2;
/// Between the return of the two and the loss of the disk: more than `catch_up_s` (4), up to
/// which a machine that is back still counts as lost.
const BETWEEN: Duration = Duration::from_millis(4500);

fn main() {
    release::run(play);
}

fn play(root: &Path, case: &Path, trouble: bool) -> io::Result<bool> {
    let mut release = Release::start(root, case, PLAN)?;
    let off_since = Instant::now();
    if trouble {
        OFF.iter().for_each(|i| release.d.kill(&format!("core-{i}")));
        release.record.say("two machines of the core lose power");
    }
    thread::sleep(Duration::from_millis(500));
    release.leave()?;
    if !trouble {
        return release.judge(None);
    }
    sleep_until(off_since + CORE_OFF);
    for i in OFF {
        release.d.start_keeper(i, false)?;
    }
    release.record.say("the two machines have power again");
    thread::sleep(BETWEEN);
    release.d.kill(&format!("core-{WIPED}"));
    sleep_until(release.kill_nodes());
    release.d.lose_disk(WIPED)?;
    release.d.start_keeper(WIPED, false)?;
    release.record.say("another machine of the core is back with an empty disk");
    release.start_nodes()?;
    release.judge(Some(Instant::now()))
}
