//! A connection to one process that is made again when it breaks.

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

/// `Connect` opens a typed client.
pub trait Connect: Clone + Send + Sync + Sized + 'static {
    /// `connect` opens a connection to `address` and spawns the task that drives it.
    fn connect(address: SocketAddr) -> impl Future<Output = io::Result<Self>> + Send;
}

/// `RpcChannel` calls one process, and connects again after a failure.
#[derive(Debug)]
pub struct RpcChannel<C> {
    address: SocketAddr,
    client: ArcSwapOption<C>,
}

impl<C: Connect> RpcChannel<C> {
    /// `new` builds a channel that connects at its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: ArcSwapOption::empty(),
        }
    }

    /// `address` returns the address of the other process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `call` runs one call with a deadline.
    ///
    /// Fails with `Connect` when the call was not sent, and with `Call` when it may have been.
    pub async fn call<T, F, Fut>(&self, deadline: Duration, f: F) -> errors::Result<T>
    where
        F: FnOnce(C, context::Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let client = match self.client.load_full() {
            Some(client) => client,
            None => {
                let made = C::connect(self.address).await;
                let client = Arc::new(made.context(errors::ConnectSnafu {
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
            // A call without an answer may be the sign of a link that is cut in one direction, so
            // the next call starts on a new connection.
            self.client.store(None);
        }
        result.context(errors::CallSnafu {
            address: self.address,
        })
    }
}
