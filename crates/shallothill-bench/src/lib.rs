//! Benchmarks that compare the policies of shallothill with a naive proxy, under virtual time and
//! with fixed seeds.

pub mod args;
pub mod deployment;
pub mod report;
pub mod scenarios;
pub mod sim;
