//! The connections to the own backend server, limited to the number in the bundle.

use crate::{
    clock::Clock,
    net::pool::{Lease, Opened, Pool, PoolTotals, SendError},
    net::refused::KeyedRequest,
    net::timers::Timers,
    request::body::Body,
};
use hyper::{Request, Response, body::Incoming};
use smol::{Executor, future::FutureExt, net::TcpStream};
use sorrelturn_platform::ReadySocket;
use sorrelturn_policy::ConnectionLimits;
use sorrelturn_protocol::Refusal;
use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// No connections are opened before a bundle states their limit.
const CONNECTIONS_BEFORE_BUNDLE: usize = 0;

/// After a longer body, a connection to a backend server isn't reused: it may have answered before reading the body.
const MAX_BODY_BYTES_BEFORE_REUSE: u64 = 16 << 10;

/// The connections to the backend server.
pub(crate) struct Backend {
    clock: Clock,
    addr: SocketAddr,
    connect_timeout: Duration,
    pool: Arc<Pool>,
    connections_opened: AtomicU64,
}

/// The head of a response.
pub(crate) struct BackendResponse {
    pub(crate) res: Response<Incoming>,
    pub(crate) lease: Lease,
    /// Whether the request was sent over two connections. A refusal over one of them then says
    /// nothing about the other.
    pub(crate) sent_twice: bool,
}

impl Backend {
    pub(crate) fn new(addr: SocketAddr, connect_timeout: Duration, clock: Clock) -> Self {
        Self {
            clock,
            addr,
            connect_timeout,
            pool: Pool::new(
                CONNECTIONS_BEFORE_BUNDLE,
                MAX_BODY_BYTES_BEFORE_REUSE,
                clock,
                &PoolTotals::new(ConnectionLimits::NONE),
            ),
            connections_opened: AtomicU64::new(0),
        }
    }

    /// Applies the connection limit of a new bundle.
    pub(crate) fn reconfigure(&self, connections: u32) {
        self.pool.set_max_open(connections as usize);
    }

    /// Applies the idle timeout in a `keep-alive` header, as in `timeout=10, max=100`.
    pub(crate) fn set_keep_alive(&self, keep_alive: &str) {
        let timeout = keep_alive
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        if let Some(seconds) = timeout.and_then(|text| text.trim().parse().ok()) {
            self.pool
                .set_peer_idle_timeout(Duration::from_secs(seconds));
        }
    }

    /// Returns whether an idle connection is open, as far as this end knows.
    pub(crate) fn has_open_connection(&self) -> bool {
        self.pool.has_open_idle()
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn connections_opened(&self) -> u64 {
        self.connections_opened.load(Ordering::Relaxed)
    }

    /// Drops the idle connections, which may lead to an earlier incarnation of the backend server.
    pub(crate) fn drop_idle(&self) {
        self.pool.drop_idle();
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// If the response is overdue on a reused connection, and no connection older than the overdue
    /// timeout has got a response since, the path may be broken without a reset. The request is
    /// then sent once more if `make_copy` gave a copy and `may_send_again` allows it, and the first
    /// response counts. The first attempt continues, since it may only be slow. See
    /// `docs/design/silent-connections.md`.
    ///
    /// `prepare` decides each time that the request is about to be written, after all waits, as in [`Pool::send`].
    pub(crate) async fn send(
        &self,
        ex: &Executor<'static>,
        timers: &Timers,
        request: KeyedRequest,
        make_copy: impl FnOnce(&Request<Body>) -> Option<Request<Body>>,
        may_send_again: impl FnOnce() -> bool,
        prepare: impl Fn(&mut Request<Body>) -> Result<(), Refusal>,
    ) -> Result<BackendResponse, SendError> {
        if !self.pool.has_idle() {
            // It uses a new connection.
            return self.send_once(ex, request, &prepare).await;
        }
        let key = request.key;
        let copy = make_copy(&request.req);
        let sent = self.clock.now();
        let mut first = pin!(self.send_once(ex, request, &prepare));
        let suspect = async {
            self.pool.wait_until_suspect(timers, sent).await;
            None
        };
        let in_time = async { Some(first.as_mut().await) };
        if let Some(result) = in_time.or(suspect).await {
            return result;
        }
        self.pool.drop_idle_unanswered_since(sent);
        let Some(copy) = copy.filter(|_| may_send_again()) else {
            return first.await;
        };
        // Boxed to keep the future of the common case small.
        let mut second = Box::pin(self.send_once(ex, KeyedRequest { req: copy, key }, &prepare));
        let first_response = async { (first.as_mut().await, true) };
        let second_response = async { (second.as_mut().await, false) };
        let response = match first_response.or(second_response).await {
            (Ok(response), _) => Ok(response),
            (Err(_), true) => second.await,
            (Err(_), false) => first.await,
        };
        // Both attempts failed. The error of one doesn't rule out that the other ran.
        let mut response = response.map_err(|_| SendError::Interrupted)?;
        response.sent_twice = true;
        Ok(response)
    }

    async fn send_once(
        &self,
        ex: &Executor<'static>,
        request: KeyedRequest,
        prepare: impl Fn(&mut Request<Body>) -> Result<(), Refusal>,
    ) -> Result<BackendResponse, SendError> {
        let connect = || async {
            let tcp = TcpStream::connect(self.addr).await?;
            tcp.set_nodelay(true)?;
            self.connections_opened.fetch_add(1, Ordering::Relaxed);
            Ok(Opened {
                stream: Box::new(ReadySocket::new(tcp.clone())),
                socket: tcp,
            })
        };
        let (res, lease) = self
            .pool
            .send(ex, request, self.connect_timeout, connect, prepare)
            .await?;
        Ok(BackendResponse {
            res,
            lease,
            sent_twice: false,
        })
    }
}
