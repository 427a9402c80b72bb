//! Tests of ejection leases.

mod messages;
mod schedules;
mod support;
