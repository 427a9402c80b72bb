//! The node: takes callers' requests and guards the backend servers on its host.

fn main() {}
