//! The connections to the own backend server: HTTP/1.1, pooled. The bundle's `connections` is not
//! enforced here yet; slots bound the work, and large answers hold connections beyond them.

use crate::{body::Body, node::lock};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use smol::{Executor, Timer, future::FutureExt, net::TcpStream};
use smol_hyper::rt::FuturesIo;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// The most idle connections that are kept.
const MAX_IDLE: usize = 256;

/// Why a request has no answer from the backend server.
pub(crate) enum BackendError {
    /// Not a byte of it was sent.
    NotSent,
    /// It was sent, or a part of it was.
    Broke,
}

/// The connections to the backend server.
pub(crate) struct Backend {
    addr: SocketAddr,
    connect_time: Duration,
    idle: Mutex<Vec<SendRequest<Body>>>,
}

/// A connection that carries one exchange.
///
/// It goes back to the pool only after a whole exchange. Otherwise it is dropped, which closes it:
/// that is how the backend server learns that its work is of no more use.
pub(crate) struct Lease {
    backend: Arc<Backend>,
    sender: SendRequest<Body>,
}

impl Lease {
    /// The exchange was whole: the connection can carry another one.
    pub(crate) fn give_back(self) {
        let mut idle = lock(&self.backend.idle);
        if idle.len() < MAX_IDLE {
            idle.push(self.sender);
        }
    }
}

impl Backend {
    pub(crate) fn new(addr: SocketAddr, connect_time: Duration) -> Self {
        Self {
            addr,
            connect_time,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// An idle connection that turns out to be closed has sent nothing; the request comes back
    /// and goes over the next one.
    pub(crate) async fn send(
        self: &Arc<Self>,
        ex: &Executor<'static>,
        mut req: Request<Body>,
    ) -> Result<(Response<Incoming>, Lease), BackendError> {
        loop {
            let idle = self.take_idle();
            let was_idle = idle.is_some();
            let mut sender = match idle {
                Some(sender) => sender,
                None => self.connect(ex).await.map_err(|_| BackendError::NotSent)?,
            };
            if sender.ready().await.is_err() {
                if was_idle {
                    continue;
                }
                return Err(BackendError::NotSent);
            }
            match sender.try_send_request(req).await {
                Ok(res) => {
                    let backend = Arc::clone(self);
                    return Ok((res, Lease { backend, sender }));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if was_idle => req = unsent,
                    Some(_) => return Err(BackendError::NotSent),
                    None => return Err(BackendError::Broke),
                },
            }
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Body>> {
        let mut idle = lock(&self.idle);
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self, ex: &Executor<'static>) -> io::Result<SendRequest<Body>> {
        let too_long = async {
            Timer::after(self.connect_time).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let tcp = TcpStream::connect(self.addr).or(too_long).await?;
        tcp.set_nodelay(true)?;
        let (sender, conn) = handshake(FuturesIo::new(tcp))
            .await
            .map_err(io::Error::other)?;
        let drive = async move {
            let _ = conn.await;
        };
        ex.spawn(drive).detach();
        Ok(sender)
    }
}
