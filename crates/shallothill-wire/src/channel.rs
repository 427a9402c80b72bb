//! An RPC channel to one process that reconnects after a failure.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use snafu::ResultExt;
use tarpc::client::RpcError;
use tarpc::context;

use crate::errors;

/// `Connect` is implemented by the generated RPC clients, so that [`RpcChannel`] can open them.
pub trait Connect: Clone + Send + Sync + Sized + 'static {
    /// `connect` opens a connection to `address` and spawns the task that runs the client's I/O.
    fn connect(address: SocketAddr) -> impl Future<Output = io::Result<Self>> + Send;
}

/// `RpcChannel` sends RPC calls to one process. It connects at the first call, and again at the
/// next call after a failure.
#[derive(Debug)]
pub struct RpcChannel<C> {
    address: SocketAddr,
    client: ArcSwapOption<C>,
}

impl<C: Connect> RpcChannel<C> {
    /// `new` returns a channel without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: ArcSwapOption::empty(),
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
        let client = match self.client.load_full() {
            Some(client) => client,
            None => {
                let connected = C::connect(self.address).await;
                let client = Arc::new(connected.context(errors::ConnectSnafu {
                    address: self.address,
                })?);
                self.client.store(Some(Arc::clone(&client)));
                client
            }
        };
        let mut cx = context::current();
        cx.deadline = Instant::now() + deadline;
        let result = f(client.as_ref().clone(), cx).await;
        if matches!(&result, Err(e) if !matches!(e, RpcError::Server(_))) {
            // A call without a reply may mean that the link fails in one direction, so the next
            // call uses a new connection.
            self.client.store(None);
        }
        result.context(errors::CallSnafu {
            address: self.address,
        })
    }
}
