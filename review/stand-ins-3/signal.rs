//! Signals to processes that the case has started.

/// `Signal` is a signal with its number on Linux.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill = 9,
    Continue = 18,
    Stop = 19,
}

/// `SET_PARENT_DEATH_SIGNAL` is the option of `prctl` on Linux.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// `end_with_parent` makes this process end when the one that started it ends.
pub fn end_with_parent() -> std::io::Result<()> {
    // SAFETY: `prctl` takes two integers and touches no memory of this process.
    unsafe { prctl(SET_PARENT_DEATH_SIGNAL, Signal::Kill as u64) };
    Ok(())
}

/// `send` sends a signal to the process `pid`.
pub fn send(pid: u32, signal: Signal) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe { kill(pid as i32, signal as i32) };
}
