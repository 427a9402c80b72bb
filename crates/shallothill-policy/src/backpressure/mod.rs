//! Limits on new requests whose calls find no capacity.

mod admission_controller;

pub use admission_controller::{AdmissionController, LONG_WAIT};
