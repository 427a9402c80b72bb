//! A TCP relay that can block either direction at run time, to simulate a one-way network
//! partition.

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

/// `Direction` is one of the two directions of the traffic through a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the connecting client to the target.
    ToTarget,
    /// From the target to the connecting client.
    FromTarget,
}

/// `Relay` forwards TCP connections to a target; dropping it closes them.
///
/// Bytes of a cut direction are held back without an error and delivered after [`Relay::heal`], as
/// TCP does by retransmission.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    to_target: watch::Sender<bool>,
    from_target: watch::Sender<bool>,
    /// The number of times that the open connections were severed.
    severed: watch::Sender<u64>,
    forwarded_bytes: Arc<AtomicU64>,
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
        let (severed, severed_rx) = watch::channel(0);
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&forwarded_bytes);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stopped.cancelled() => return,
                };
                let Ok((inbound, _)) = accepted else { return };
                let blocks = [&to_cut, &from_cut].map(|cut| Block {
                    cut: cut.clone(),
                    severed: severed_rx.clone(),
                    severed_before: *severed_rx.borrow(),
                });
                let count = Arc::clone(&count);
                let stopped = stopped.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = forward(inbound, target, blocks, count) => {}
                        () = stopped.cancelled() => {}
                    }
                });
            }
        });
        Ok(Self {
            address,
            to_target,
            from_target,
            severed,
            forwarded_bytes,
            _stop: stop.drop_guard(),
        })
    }

    /// `address` returns the bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `carried_bytes` returns the number of bytes forwarded so far, both directions added up.
    pub fn carried_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// `cut` holds back all traffic in `direction`.
    pub fn cut(&self, direction: Direction) {
        self.cut_switch(direction).send_replace(true);
    }

    /// `heal` delivers the held-back traffic in `direction` and forwards it again from now on.
    pub fn heal(&self, direction: Direction) {
        self.cut_switch(direction).send_replace(false);
    }

    /// `sever` silences the open connections for good, without an error; new ones work.
    pub fn sever(&self) {
        self.severed.send_modify(|times| *times += 1);
    }

    fn cut_switch(&self, direction: Direction) -> &watch::Sender<bool> {
        match direction {
            Direction::ToTarget => &self.to_target,
            Direction::FromTarget => &self.from_target,
        }
    }
}

async fn forward(
    inbound: TcpStream,
    target: SocketAddr,
    blocks: [Block; 2],
    count: Arc<AtomicU64>,
) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let [to_target, from_target] = blocks;
    tokio::join!(
        copy_unless_blocked(inbound_read, outbound_write, to_target, &count),
        copy_unless_blocked(outbound_read, inbound_write, from_target, &count)
    );
}

/// `Block` tells whether one direction of a connection is blocked.
struct Block {
    cut: watch::Receiver<bool>,
    severed: watch::Receiver<u64>,
    severed_before: u64,
}

impl Block {
    /// `wait` waits until bytes may pass; `None` when the relay ends.
    async fn wait(&mut self) -> Option<()> {
        self.cut.wait_for(|cut| !cut).await.ok()?;
        let before = self.severed_before;
        self.severed.wait_for(|times| *times == before).await.ok()?;
        Some(())
    }
}

async fn copy_unless_blocked(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut block: Block,
    count: &AtomicU64,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let n = from.read(&mut buf).await.unwrap_or(0);
        // The end of the stream is held back as well, since the peer must not observe it during a
        // cut.
        if block.wait().await.is_none() {
            return;
        }
        count.fetch_add(n as u64, Ordering::Relaxed);
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
