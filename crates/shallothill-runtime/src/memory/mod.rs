//! Bounds the memory that a process holds for its clients.
//!
//! Whatever holds bytes for a client reserves them from a [`MemoryAccount`] first. When the account
//! runs short, the newest holders whose client makes no progress are ended.

mod account;
mod held_bytes;
mod holder;
mod input;
mod reservation;

pub use account::{MemoryAccount, MemoryCounts, MemoryOptions};
pub use held_bytes::HeldBytes;
pub use holder::Holder;
pub use input::InputMeter;
pub use reservation::Reservation;
