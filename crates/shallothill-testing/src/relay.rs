//! A TCP relay that can be cut in one direction at run time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::errors;

/// `Direction` is one way through a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the side that connects to the target.
    ToTarget,
    /// From the target to the side that connected.
    FromTarget,
}

/// `Relay` forwards connections to a target; dropping it closes them.
///
/// Bytes of a cut direction are held back without an error and pass after [`Relay::heal`], as
/// TCP does when it sends again.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    to_target: watch::Sender<bool>,
    from_target: watch::Sender<bool>,
    carried: Arc<AtomicU64>,
    _stop: DropGuard,
}

impl Relay {
    /// `start` listens on `listen` and forwards to `target`.
    ///
    /// Fails with `Listen` when the address cannot be used.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> errors::Result<Self> {
        let address = listen;
        let listener = TcpListener::bind(listen).await;
        let listener = listener.context(errors::ListenSnafu { address })?;
        let address = listener
            .local_addr()
            .context(errors::ListenSnafu { address })?;
        let (to_target, to_cut) = watch::channel(false);
        let (from_target, from_cut) = watch::channel(false);
        let carried = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&carried);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stopped.cancelled() => return,
                };
                let Ok((near, _)) = accepted else { return };
                let (to_cut, from_cut) = (to_cut.clone(), from_cut.clone());
                let count = Arc::clone(&count);
                let stopped = stopped.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = forward(near, target, to_cut, from_cut, count) => {}
                        () = stopped.cancelled() => {}
                    }
                });
            }
        });
        Ok(Self {
            address,
            to_target,
            from_target,
            carried,
            _stop: stop.drop_guard(),
        })
    }

    /// `address` returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `carried_bytes` returns the bytes that passed so far, in both directions together.
    pub fn carried_bytes(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// `cut` holds back everything that goes in `direction`.
    pub fn cut(&self, direction: Direction) {
        self.side(direction).send_replace(true);
    }

    /// `heal` lets everything pass again that goes in `direction`.
    pub fn heal(&self, direction: Direction) {
        self.side(direction).send_replace(false);
    }

    fn side(&self, direction: Direction) -> &watch::Sender<bool> {
        match direction {
            Direction::ToTarget => &self.to_target,
            Direction::FromTarget => &self.from_target,
        }
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    to_cut: watch::Receiver<bool>,
    from_cut: watch::Receiver<bool>,
    count: Arc<AtomicU64>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, to_cut, &count),
        copy(far_read, near_write, from_cut, &count)
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<bool>,
    count: &AtomicU64,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let n = from.read(&mut buf).await.unwrap_or(0);
        // The end of a stream is held back as well, since the other side must not learn of it.
        if cut.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        count.fetch_add(n as u64, Ordering::Relaxed);
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
