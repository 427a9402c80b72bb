//! tarpc over length-delimited TCP with MessagePack, with bounded frames and connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport;
use tarpc::server;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

/// `FRAME_MAX_BYTES` bounds one message in either direction.
pub const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;

/// `CONNECTIONS_MAX` bounds the connections that a server keeps open.
pub const CONNECTIONS_MAX: usize = 4096;

/// `ACCEPT_PAUSE` is the pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// `CONNECT_TIMEOUT` bounds the time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// `ClientTransport` carries the calls of a client.
pub type ClientTransport<Req, Resp> = serde_transport::Transport<
    TcpStream,
    tarpc::Response<Resp>,
    tarpc::ClientMessage<Req>,
    MessagePack<tarpc::Response<Resp>, tarpc::ClientMessage<Req>>,
>;

/// `connect` opens a connection for a client's calls.
///
/// Fails with `TimedOut` after [`CONNECT_TIMEOUT`].
pub async fn connect<Req, Resp>(address: SocketAddr) -> io::Result<ClientTransport<Req, Resp>>
where
    Req: Serialize,
    Resp: DeserializeOwned,
{
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let framed = codec().new_framed(stream);
    Ok(serde_transport::new(framed, MessagePack::default()))
}

/// `ServerChannel` is one connection of a server.
pub type ServerChannel<Req, Resp> = server::BaseChannel<
    Req,
    Resp,
    serde_transport::Transport<
        TcpStream,
        tarpc::ClientMessage<Req>,
        tarpc::Response<Resp>,
        MessagePack<tarpc::ClientMessage<Req>, tarpc::Response<Resp>>,
    >,
>;

/// `serve` accepts connections on `listener` and runs `answer` for each until `stop` is cancelled.
///
/// `answer` is usually `|channel| answer_calls!(channel, server.serve())`. It is a closure because
/// only there the compiler sees that the concrete service's futures can move between threads.
pub async fn serve<Req, Resp, F, Fut>(listener: TcpListener, stop: CancellationToken, answer: F)
where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    F: Fn(ServerChannel<Req, Resp>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // The limit of open files may be reached for a moment.
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        // Calls are small and wait for their answers; coalescing would delay them.
        let _ = stream.set_nodelay(true);
        let transport = serde_transport::new(codec().new_framed(stream), MessagePack::default());
        let calls = answer(server::BaseChannel::with_defaults(transport));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = calls => {}
                () = stop.cancelled() => {}
            }
            drop(permit);
        });
    }
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_MAX_BYTES);
    builder
}

/// `answer_calls!` answers the calls of one connection, each in a task of its own.
#[macro_export]
macro_rules! answer_calls {
    ($channel:expr, $server:expr) => {
        futures::StreamExt::for_each(tarpc::server::Channel::execute($channel, $server), |call| {
            tokio::spawn(call);
            futures::future::ready(())
        })
    };
}
