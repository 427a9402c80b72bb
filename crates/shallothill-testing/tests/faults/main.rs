//! Failure tests with real processes; see [`binaries`] for what has to be built first.

mod binaries;
mod cuts;
mod fleet;
mod freeze;
mod links;
mod operator;
mod operators;
mod repair;
mod restart;
mod text;
