//! Finds the binaries of the project, which `cargo test -p shallothill-testing` does not build.
//!
//! `cargo build --workspace` or `cargo test --workspace` builds them into the parent of the
//! directory that holds the test executable.

use std::path::PathBuf;
use std::process::Command;

/// `command` returns a command that runs `program` of this project.
///
/// Panics when it is not built. After a change of another crate it may be out of date.
pub fn command(program: &str) -> Command {
    let exe = std::env::current_exe().unwrap();
    let folder = exe.parent().and_then(|deps| deps.parent()).unwrap();
    let path: PathBuf = folder.join(format!("{program}{}", std::env::consts::EXE_SUFFIX));
    assert!(
        path.is_file(),
        "`{}` is missing; run `cargo build --workspace` with the same profile first",
        path.display()
    );
    let mut command = Command::new(path);
    // Two threads for each process: with the default, every process of every concurrent fleet
    // would start a thread for each core.
    command.env("TOKIO_WORKER_THREADS", "2");
    command
}
