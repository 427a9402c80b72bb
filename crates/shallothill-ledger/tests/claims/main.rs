//! Tests of claims on idempotency keys.

mod lost_disk;
mod member;
mod schedules;
mod support;
