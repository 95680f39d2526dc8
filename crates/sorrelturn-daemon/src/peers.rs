//! Connections to other daemons: one HTTP/2 connection each, shared by all calls.
//! See `docs/design/between-daemons.md`.

use crate::{body::Body, node::lock, stream::FleetKeys};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http2::{Builder, SendRequest},
};
use smol::{Executor, Timer, future::FutureExt, lock::Mutex as AsyncMutex, net::TcpStream};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// The longest time for a new connection; peers are about 1 ms apart.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// What one call may have on its way unread, in bytes; bounds the memory of a slow reader.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 128 << 10;
/// What all calls of a connection may have on their way unread, in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Why a call has no answer from a peer.
pub(crate) enum PeerError {
    /// Not a byte of it was sent.
    NotSent,
    /// It was sent, or may have been.
    Broke,
}

/// The connection to one daemon, opened when it is needed.
pub(crate) struct PeerLink {
    addr: SocketAddr,
    sender: Mutex<Option<SendRequest<Body>>>,
    connecting: AsyncMutex<()>,
}

impl PeerLink {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            sender: Mutex::new(None),
            connecting: AsyncMutex::new(()),
        }
    }

    /// Sends a call and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        ex: &Arc<Executor<'static>>,
        keys: &FleetKeys,
        req: Request<Body>,
    ) -> Result<Response<Incoming>, PeerError> {
        let mut sender = self
            .sender(ex, keys)
            .await
            .map_err(|_| PeerError::NotSent)?;
        sender.try_send_request(req).await.map_err(|mut error| {
            self.forget();
            match error.take_message() {
                Some(_) => PeerError::NotSent,
                None => PeerError::Broke,
            }
        })
    }

    /// Drops the connection for new calls; those on it go on.
    pub(crate) fn forget(&self) {
        *lock(&self.sender) = None;
    }

    async fn sender(
        &self,
        ex: &Arc<Executor<'static>>,
        keys: &FleetKeys,
    ) -> io::Result<SendRequest<Body>> {
        if let Some(sender) = self.current() {
            return Ok(sender);
        }
        let _only_one = self.connecting.lock().await;
        if let Some(sender) = self.current() {
            return Ok(sender);
        }
        let too_long = async {
            Timer::after(CONNECT_TIME).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let sender = self.connect(ex, keys).or(too_long).await?;
        *lock(&self.sender) = Some(sender.clone());
        Ok(sender)
    }

    async fn connect(
        &self,
        ex: &Arc<Executor<'static>>,
        keys: &FleetKeys,
    ) -> io::Result<SendRequest<Body>> {
        let tcp = TcpStream::connect(self.addr).await?;
        let stream = keys.connect(tcp).await?;
        let (sender, conn) = Builder::new(SmolExecutor::new(Arc::clone(ex)))
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let drive = async move {
            let _ = conn.await;
        };
        ex.spawn(drive).detach();
        Ok(sender)
    }

    fn current(&self) -> Option<SendRequest<Body>> {
        let sender = lock(&self.sender).clone()?;
        (!sender.is_closed()).then_some(sender)
    }
}
