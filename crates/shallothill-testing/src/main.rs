//! Development only: a stand-in backend server, a fault relay and fixtures.

fn main() {}
