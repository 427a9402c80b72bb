//! How often a simulated group is disturbed.

/// The rates of random faults, per thousand messages or events.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    pub message_drop: u32,
    pub message_duplicate: u32,
    pub crash: u32,
    pub message_delay: u32,
}
