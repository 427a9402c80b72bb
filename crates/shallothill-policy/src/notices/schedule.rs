//! When notices about one backend server are due.

use shallothill_core::time::Millis;

use crate::notices::condition::Condition;
use crate::notices::options::NoticeOptions;
use crate::pick::ReportedLoad;

/// `Receivers` tells which nodes a notice goes to, and why it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Receivers {
    /// The condition that is reported.
    pub condition: Condition,
    /// Whether the condition has changed since the last notice to the region.
    pub changed: bool,
    /// Whether the nodes of the region get the notice.
    pub region: bool,
    /// Whether senders of other regions get the notice.
    pub other_regions: bool,
}

/// `NoticeSchedule` decides when the condition of one backend server is reported.
///
/// Changes go to the region at once and are repeated while the condition is unusual. Other regions
/// get changes only, at a limited rate; they learn from the load how long it is valid.
#[derive(Clone, Debug)]
pub struct NoticeSchedule {
    condition: Condition,
    sent_at: Millis,
    /// The condition that other regions know.
    far_condition: Condition,
    far_sent_at: Option<Millis>,
    /// Since when a backend server that is reported as full has had a free slot.
    free_since: Option<Millis>,
}

impl Default for NoticeSchedule {
    fn default() -> Self {
        Self {
            condition: Condition::Usual,
            sent_at: Millis(0),
            far_condition: Condition::Usual,
            far_sent_at: None,
            free_since: None,
        }
    }
}

impl NoticeSchedule {
    /// `poll` returns who is to be informed of `load` now, if anyone; call it about every 50 ms.
    pub fn poll(
        &mut self,
        now: Millis,
        load: &ReportedLoad,
        options: &NoticeOptions,
    ) -> Option<Receivers> {
        let condition = self.damped(now, load, options);
        let changed = condition != self.condition;
        let unusual = condition != Condition::Usual;
        let due = now.saturating_since(self.sent_at) >= options.repeat_interval;
        let region = changed || (unusual && due);
        if region {
            self.condition = condition;
            self.sent_at = now;
        }
        let far_due = self
            .far_sent_at
            .is_none_or(|at| now.saturating_since(at) >= options.far_interval);
        let other_regions = far_due && self.differs_far(condition);
        if other_regions {
            self.far_condition = condition;
            self.far_sent_at = Some(now);
        }
        (region || other_regions).then_some(Receivers {
            condition,
            changed,
            region,
            other_regions,
        })
    }

    // A full backend server is reported as such until it has clear room, since at high load a slot
    // becomes free and is taken again within milliseconds.
    fn damped(&mut self, now: Millis, load: &ReportedLoad, options: &NoticeOptions) -> Condition {
        let condition = Condition::of(load);
        let freed = matches!(condition, Condition::Usual | Condition::Unproven);
        if self.condition != Condition::Full || !freed {
            self.free_since = None;
            return condition;
        }
        let since = *self.free_since.get_or_insert(now);
        let clear_room = load.slots - load.in_flight >= (load.slots / 4).max(1);
        if clear_room || now.saturating_since(since) >= options.full_hold {
            self.free_since = None;
            return condition;
        }
        Condition::Full
    }

    // Other regions are told of conditions that last. They see from replies whether a backend
    // server is full, which changes too often to be worth a message between regions.
    fn differs_far(&self, condition: Condition) -> bool {
        let lasting = |c: Condition| match c {
            Condition::Full | Condition::Usual => Condition::Usual,
            other => other,
        };
        lasting(condition) != lasting(self.far_condition)
    }
}
