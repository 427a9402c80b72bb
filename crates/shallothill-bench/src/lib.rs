//! Comparison of the decisions with a naive version, under virtual time and fixed seeds.

pub mod args;
pub mod deployment;
pub mod report;
pub mod scenarios;
pub mod sim;
