//! An RPC channel to one process that reconnects after a failure.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use snafu::ResultExt;
use tarpc::client::RpcError;
use tarpc::context;
use tokio::time;

use crate::errors;
use crate::received_bytes::ReceivedBytes;

/// `Connect` is implemented by the generated RPC clients, so that [`RpcChannel`] can open them.
pub trait Connect: Clone + Send + Sync + Sized + 'static {
    /// `connect` opens a connection to `address` and spawns the task that runs the client's I/O.
    /// It also returns the count of the bytes that the connection receives.
    fn connect(
        address: SocketAddr,
    ) -> impl Future<Output = io::Result<(Self, ReceivedBytes)>> + Send;
}

/// `MAX_IDLE_TIME` is the time without a reply after which a connection is not used again. A link
/// may drop an idle connection without an error, and the call would find that out only at its
/// deadline.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// `MAX_SILENCE` is the time without a received byte after which a long call is given up. It leaves
/// room for links on which packets wait.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// `SILENCE_CHECK_PERIOD` is the time between two looks at the received bytes.
const SILENCE_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// `RpcChannel` sends RPC calls to one process. It connects at the first call, and again at the
/// next call after a failure or an idle time.
#[derive(Debug)]
pub struct RpcChannel<C> {
    address: SocketAddr,
    started: Instant,
    connection: ArcSwapOption<Connection<C>>,
}

/// `Connection` is one open connection and the time of its last reply.
#[derive(Debug)]
struct Connection<C> {
    client: C,
    received: ReceivedBytes,
    /// Milliseconds since the start of the channel.
    last_reply_ms: AtomicU64,
}

impl<C: Connect> RpcChannel<C> {
    /// `new` returns a channel without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            started: Instant::now(),
            connection: ArcSwapOption::empty(),
        }
    }

    /// `address` returns the address of the process that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `call` connects if needed, then runs `f`, which makes one call with the client. The deadline
    /// starts when the channel is connected.
    ///
    /// Fails with `Connect` when the call was not sent, and with `Call` when it may have been
    /// carried out.
    pub async fn call<T, F, Fut>(&self, deadline: Duration, f: F) -> errors::Result<T>
    where
        F: FnOnce(C, context::Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let connection = self.connection().await?;
        let result = f(connection.client.clone(), context_until(deadline)).await;
        self.finish(&connection, result)
    }

    /// `call_while_receiving` is [`Self::call`] for a call whose reply may be large. It is given up
    /// before the deadline when nothing arrives on the connection for 1.5 s, because the connection
    /// is silent then or the process is gone.
    pub async fn call_while_receiving<T, F, Fut>(
        &self,
        deadline: Duration,
        f: F,
    ) -> errors::Result<T>
    where
        F: FnOnce(C, context::Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let connection = self.connection().await?;
        let call = f(connection.client.clone(), context_until(deadline));
        let result = tokio::select! {
            result = call => result,
            () = silence(&connection.received) => Err(RpcError::DeadlineExceeded),
        };
        self.finish(&connection, result)
    }

    fn finish<T>(
        &self,
        connection: &Arc<Connection<C>>,
        result: std::result::Result<T, RpcError>,
    ) -> errors::Result<T> {
        if matches!(&result, Err(e) if !matches!(e, RpcError::Server(_))) {
            // A call without a reply may mean that the link fails in one direction, so the next
            // call uses a new connection.
            self.discard(connection);
        } else {
            let now = self.now_ms();
            connection.last_reply_ms.store(now, Ordering::Relaxed);
        }
        result.context(errors::CallSnafu {
            address: self.address,
        })
    }

    // Returns the open connection, or a new one if there is none that was used lately.
    async fn connection(&self) -> errors::Result<Arc<Connection<C>>> {
        let max_idle_ms = MAX_IDLE_TIME.as_millis() as u64;
        if let Some(open) = self.connection.load_full() {
            let last_reply_ms = open.last_reply_ms.load(Ordering::Relaxed);
            if self.now_ms().saturating_sub(last_reply_ms) < max_idle_ms {
                return Ok(open);
            }
        }
        let address = self.address;
        let client = C::connect(address).await;
        let (client, received) = client.context(errors::ConnectSnafu { address })?;
        let opened = Arc::new(Connection {
            client,
            received,
            last_reply_ms: AtomicU64::new(self.now_ms()),
        });
        self.connection.store(Some(Arc::clone(&opened)));
        Ok(opened)
    }

    // A connection that another call has opened meanwhile stays open.
    fn discard(&self, failed: &Arc<Connection<C>>) {
        self.connection.rcu(|current| {
            let is_failed = current.as_ref().is_some_and(|c| Arc::ptr_eq(c, failed));
            current.clone().filter(|_| !is_failed)
        });
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn context_until(deadline: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + deadline;
    cx
}

// Returns once nothing has been received for `MAX_SILENCE`.
async fn silence(received: &ReceivedBytes) {
    let mut count = received.count();
    let mut last_change = time::Instant::now();
    while last_change.elapsed() < MAX_SILENCE {
        time::sleep(SILENCE_CHECK_PERIOD).await;
        let now = received.count();
        if now != count {
            count = now;
            last_change = time::Instant::now();
        }
    }
}
