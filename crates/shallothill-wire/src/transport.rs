//! tarpc over length-delimited TCP with MessagePack, with bounded frames and connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shallothill_runtime::memory::{MemoryAccount, MemoryOptions};
use tarpc::serde_transport;
use tarpc::server;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::io::InspectReader;
use tokio_util::sync::CancellationToken;

use crate::frame_codec::FrameCodec;
use crate::frame_meter::FrameMeteredStream;
use crate::received_bytes::ReceivedBytes;

/// `FRAME_MAX_BYTES` bounds one message in either direction.
pub const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;

/// `CONNECTIONS_MAX` bounds the open connections of a server; further ones are closed at once.
pub const CONNECTIONS_MAX: usize = 4096;

/// `INCOMPLETE_BYTES` bounds the messages of all connections of a server that have begun to arrive.
/// Four of the largest fit; the others wait until they are complete.
pub const INCOMPLETE_BYTES: usize = 32 * 1024 * 1024;

/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// `CONNECT_TIMEOUT` bounds the time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// `ClientTransport` carries the calls and replies of one client connection; `F` sees the bytes that
/// it receives.
pub type ClientTransport<F, Req, Resp> = serde_transport::Transport<
    InspectReader<TcpStream, F>,
    tarpc::Response<Resp>,
    tarpc::ClientMessage<Req>,
    MessagePack<tarpc::Response<Resp>, tarpc::ClientMessage<Req>>,
>;

/// `connect` opens a client connection to `address`, and returns it with the number of bytes that
/// it receives.
///
/// Fails with `TimedOut` after [`CONNECT_TIMEOUT`].
pub async fn connect<Req, Resp>(
    address: SocketAddr,
) -> io::Result<(
    ClientTransport<impl FnMut(&[u8]) + Send + Unpin + 'static, Req, Resp>,
    ReceivedBytes,
)>
where
    Req: Serialize,
    Resp: DeserializeOwned,
{
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let received = ReceivedBytes::default();
    let count = received.clone();
    let stream = InspectReader::new(stream, move |bytes: &[u8]| count.add(bytes.len()));
    let framed = codec().new_framed(stream);
    let transport = serde_transport::new(framed, MessagePack::default());
    Ok((transport, received))
}

/// `ServerChannel` receives the calls of one connection to a server.
pub type ServerChannel<Req, Resp> = server::BaseChannel<
    Req,
    Resp,
    tokio_serde::Framed<
        Framed<FrameMeteredStream<TcpStream>, FrameCodec>,
        tarpc::ClientMessage<Req>,
        tarpc::Response<Resp>,
        MessagePack<tarpc::ClientMessage<Req>, tarpc::Response<Resp>>,
    >,
>;

/// `serve` accepts connections on `listener` and runs `answer` for each until `stop` is cancelled.
///
/// `answer` is usually `|channel| answer_calls!(channel, server.serve())`. The caller passes a
/// closure because the compiler can prove that the futures are `Send` only for a concrete service.
pub async fn serve<Req, Resp, F, Fut>(listener: TcpListener, stop: CancellationToken, answer: F)
where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    F: Fn(ServerChannel<Req, Resp>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let memory = MemoryAccount::new(MemoryOptions::new(INCOMPLETE_BYTES));
    tokio::spawn(memory.clone().run(stop.clone()));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // The process may have reached its limit of open files; retry when some are closed.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        // Calls are small and the client waits for each reply, so Nagle's algorithm would only
        // delay them. Without the option the connection still works.
        let _ = stream.set_nodelay(true);
        let holder = memory.holder();
        let ended = holder.end_token();
        let stream = FrameMeteredStream::new(stream, holder, FRAME_MAX_BYTES);
        let codec = FrameCodec {
            max_bytes: FRAME_MAX_BYTES,
        };
        let framed = Framed::new(stream, codec);
        let transport = tokio_serde::Framed::new(framed, MessagePack::default());
        let calls = answer(server::BaseChannel::with_defaults(transport));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = calls => {}
                () = stop.cancelled() => {}
                () = ended.cancelled() => {}
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

/// `answer_calls!` runs the calls of one connection, each in its own task.
#[macro_export]
macro_rules! answer_calls {
    ($channel:expr, $server:expr) => {
        futures::StreamExt::for_each(tarpc::server::Channel::execute($channel, $server), |call| {
            tokio::spawn(call);
            futures::future::ready(())
        })
    };
}
