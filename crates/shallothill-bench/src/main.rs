//! Benchmarks of the decisions and the log, with regression bounds.

fn main() {}
