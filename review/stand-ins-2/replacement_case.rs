//! A machine of the core is removed for good and another one is added in another zone; later two
//! machines are lost, as many as the installation tolerates.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Machine};
use crate::record::Record;
use crate::{CaseResult, Verdict, trouble};

/// `BEFORE` is the calm time before the removal.
const BEFORE: Duration = Duration::from_secs(10);

/// `JOIN_TIME` is five times `catch_up_s`, after which the removed machine counts no longer.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// `SETTLE_TIME` is twice `stable_window_ms`, after which machines are in touch again even if a final
/// fault took most of the core.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// `READ_TIME` is the time of the read-back, many times `stable_window_ms` (3 s) and `ack_ms` (4 s).
const READ_TIME: Duration = Duration::from_secs(30);

pub fn play(record: &Record) -> CaseResult {
    let mut fleet = Fleet::new(record, 2)?;
    let mut core: Vec<Machine> = (0..5).map(|i| fleet.keeper(i as u8 + 1, i)).collect();
    for m in &core {
        fleet.start(m, true)?;
    }
    fleet.put_first_config(&core)?;
    thread::sleep(BEFORE);
    if trouble() {
        let removed = core.remove(4);
        fleet.kill(&removed);
        record.note(&format!("{} is removed for good", removed.name));
        thread::sleep(Duration::from_secs(1));
        // With `SAME_ZONE=1` the new machine stands in the zone of the removed one.
        let same = std::env::var("SAME_ZONE").is_ok_and(|v| v == "1");
        let added = fleet.keeper(6, if same { removed.zone } else { 5 });
        fleet.start(&added, false)?;
        record.note(&format!("{} is added with an empty disk", added.name));
        core.push(added);
    }
    thread::sleep(JOIN_TIME);
    for m in &core {
        let found = fleet.get_config(m);
        record.note(&format!(
            "before the loss, config.get at {}: {found:?}",
            m.name
        ));
        if found.is_none_or(|(status, _)| status != 200) {
            return Err(format!("{} does not serve before the loss", m.name));
        }
    }
    for m in core.iter().take(2) {
        fleet.kill(m);
    }
    record.note("two machines are lost, three of five run on");
    thread::sleep(SETTLE_TIME);
    Ok(read_back(&fleet, &core[2..]))
}

// Reads the configuration back and sends one more change, at each machine that is left.
fn read_back(fleet: &Fleet, left: &[Machine]) -> Verdict {
    let until = Instant::now() + READ_TIME;
    let (mut reads, mut answered, mut acknowledged) = (0, 0, false);
    while Instant::now() < until {
        for m in left {
            reads += 1;
            let read = fleet.get_config(m);
            answered += u32::from(read.is_some_and(|(status, _)| status == 200));
            acknowledged |= fleet.put_config(m, 1, 2) == Some(200);
        }
        if answered > 3 && acknowledged {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    let line = format!(
        "read back: {answered} of {reads} reads answered, one more change acknowledged: {acknowledged}"
    );
    fleet.record.note(&line);
    // The rule is broken if the configuration never comes.
    match answered {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    }
}
