//! Child processes that are killed when their handle is dropped, and a wait for conditions.

use std::collections::BTreeMap;
use std::fs::File;
use std::future::Future;
use std::io;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use snafu::ResultExt;

use crate::errors;

/// `POLL_INTERVAL` is the time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `SPAWN_LOCK` is held while a child is started, and while a test has a listener open that no
/// child may inherit.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// `without_spawns` runs `f` while no child is started by [`spawn`].
///
/// Between fork and exec, a child holds copies of all open sockets, so a port that the test has
/// already closed can stay in use for a moment.
pub fn without_spawns<T>(f: impl FnOnce() -> T) -> T {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    f()
}

/// `spawn` starts a child while no [`without_spawns`] section runs.
///
/// Fails when the program cannot be run.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    without_spawns(|| command.spawn())
}

/// `Process` is a child process; dropping it kills the child and waits until it has exited.
#[derive(Debug)]
pub struct Process {
    program: String,
    child: Child,
    ready: mpsc::Receiver<String>,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// `spawn` starts `command` and appends its standard output and error to the file `log`.
    ///
    /// Fails with `Spawn` or `File`.
    pub fn spawn(mut command: Command, log: &Path) -> errors::Result<Self> {
        let program = command.get_program().to_string_lossy().into_owned();
        let path = log.to_string_lossy();
        let log = File::options().create(true).append(true).open(log);
        let log = log.context(errors::FileSnafu { path: &*path })?;
        let mut log_copy = log
            .try_clone()
            .context(errors::FileSnafu { path: &*path })?;
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log);
        let spawned = spawn(&mut command);
        let mut child = spawned.context(errors::SpawnSnafu { program: &program })?;
        let (tx, ready) = mpsc::channel();
        if let Some(stdout) = child.stdout.take() {
            // The thread reads until the end of the stream, so that the child never blocks on a
            // full pipe.
            thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    // The log only serves diagnosis, so a write error is ignored.
                    let _ = writeln!(log_copy, "{line}");
                    if line.starts_with("ready") {
                        let _ = tx.send(line);
                    }
                }
            });
        }
        Ok(Self {
            program,
            child,
            ready,
            addresses: BTreeMap::new(),
        })
    }

    /// `start` spawns `command` and waits for its `ready` line, at most for `deadline`.
    ///
    /// Fails with `Spawn`, `File` or `NotReady`.
    pub fn start(command: Command, log: &Path, deadline: Duration) -> errors::Result<Self> {
        let mut process = Self::spawn(command, log)?;
        process.wait_ready(deadline)?;
        Ok(process)
    }

    /// `wait_ready` waits for the `ready` line and stores the `name=address` pairs in it.
    ///
    /// Fails with `NotReady` after `deadline` or when the process ends.
    pub fn wait_ready(&mut self, deadline: Duration) -> errors::Result<()> {
        let line = self.ready.recv_timeout(deadline).map_err(|_| {
            let program = self.program.clone();
            errors::Error::NotReady {
                program,
                waited: deadline,
            }
        })?;
        let pairs = line.split_whitespace().filter_map(|p| p.split_once('='));
        let addresses = pairs.filter_map(|(name, a)| Some((name.to_owned(), a.parse().ok()?)));
        self.addresses = addresses.collect();
        Ok(())
    }

    /// `address` returns the address called `name` in the `ready` line, if there is one.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }

    /// `id` returns the process id, which the system may reuse after the child has exited.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// `has_ended` returns whether the process has exited, without waiting for it.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// `kill` sends SIGKILL, which simulates a host crash, and waits until the process has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// `signal` sends a signal such as `TERM` or `STOP`.
    ///
    /// Fails with `Spawn` when the `kill` tool cannot be run.
    pub fn signal(&self, name: &str) -> errors::Result<()> {
        let mut kill = Command::new("kill");
        kill.arg(format!("-{name}")).arg(self.id().to_string());
        let status = spawn(kill.stderr(Stdio::null())).and_then(|mut child| child.wait());
        status.context(errors::SpawnSnafu { program: "kill" })?;
        Ok(())
    }

    /// `terminate` sends SIGTERM and waits for the exit; the process is killed after `deadline`.
    ///
    /// Fails with `NotEnded` after `deadline`.
    pub fn terminate(mut self, deadline: Duration) -> errors::Result<ExitStatus> {
        self.signal("TERM")?;
        let end = Instant::now() + deadline;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        let program = self.program.clone();
        Err(errors::Error::NotEnded {
            program,
            waited: deadline,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// `wait_until` polls `condition` until it returns true.
///
/// Fails with `Condition` after `deadline`; `what` names the awaited event in the error.
pub async fn wait_until<F, Fut>(
    what: &str,
    deadline: Duration,
    mut condition: F,
) -> errors::Result<()>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let end = tokio::time::Instant::now() + deadline;
    loop {
        if condition().await {
            return Ok(());
        }
        if tokio::time::Instant::now() >= end {
            let what = what.to_owned();
            return Err(errors::Error::Condition {
                what,
                waited: deadline,
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
