//! Pure decisions on requests: where they go, whether they run, and which backend servers are sick.

pub mod admit;
pub mod detect;
pub mod eject;
pub mod gray;
pub mod limits;
pub mod pick;
pub mod quarantine;
pub mod retry;
