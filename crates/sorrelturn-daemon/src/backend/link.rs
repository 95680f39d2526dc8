//! The connections to the own backend server, no more than the bundle says it takes.

use crate::{
    clock::Clock,
    net::pool::{Lease, Opened, Pool, SendError},
    net::timers::Timers,
    request::body::Body,
};
use hyper::{Request, Response, body::Incoming};
use smol::{Executor, future::FutureExt, net::TcpStream};
use sorrelturn_platform::ReadySocket;
use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Before a bundle says how many connections the backend server takes, none is needed.
const CONNECTIONS_BEFORE_BUNDLE: usize = 0;

/// The connections to the backend server.
pub(crate) struct Backend {
    clock: Clock,
    addr: SocketAddr,
    connect_time: Duration,
    pool: Arc<Pool>,
    opened: AtomicU64,
}

/// The head of an answer.
pub(crate) struct Answered {
    pub(crate) res: Response<Incoming>,
    pub(crate) lease: Lease,
    /// The request was sent over two connections, so what one of them says isn't said of both.
    pub(crate) sent_twice: bool,
}

impl Backend {
    pub(crate) fn new(addr: SocketAddr, connect_time: Duration, clock: Clock) -> Self {
        Self {
            clock,
            addr,
            connect_time,
            pool: Pool::new(CONNECTIONS_BEFORE_BUNDLE, clock),
            opened: AtomicU64::new(0),
        }
    }

    /// Takes over what a new bundle says.
    pub(crate) fn reconfigure(&self, connections: u32) {
        self.pool.set_most(connections as usize);
    }

    /// Takes over how long the backend server says that it lets connections rest, as in
    /// `timeout=10, max=100`.
    pub(crate) fn heard_keep_alive(&self, keep_alive: &str) {
        let timeout = keep_alive
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        if let Some(seconds) = timeout.and_then(|text| text.trim().parse().ok()) {
            self.pool.closes_after(Duration::from_secs(seconds));
        }
    }

    /// Whether a connection that rests is open, as far as this end knows.
    pub(crate) fn has_open_connection(&self) -> bool {
        self.pool.has_open()
    }

    /// How many connections could be opened so far.
    pub(crate) fn connections_opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Drops the idle connections: they lead to a backend server that has ended.
    pub(crate) fn forget_idle(&self) {
        self.pool.forget_idle();
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// If that is overdue on a connection that had rested, and none as old brings an answer, the path may be
    /// silent: the request is sent once more, if `again` gave a copy and `pays` allows it, and the first answer counts.
    /// The first sending goes on, since it may be slow only. See `docs/design/silent-connections.md`.
    pub(crate) async fn send(
        &self,
        ex: &Executor<'static>,
        timers: &Timers,
        req: Request<Body>,
        again: impl FnOnce(&Request<Body>) -> Option<Request<Body>>,
        pays: impl FnOnce() -> bool,
    ) -> Result<Answered, SendError> {
        if !self.pool.rests() {
            // It goes over a new connection.
            return self.send_once(ex, req).await;
        }
        let copy = again(&req);
        let sent = self.clock.now();
        let mut first = pin!(self.send_once(ex, req));
        let in_doubt = async {
            self.pool.in_doubt(timers, sent).await;
            None
        };
        let in_time = async { Some(first.as_mut().await) };
        if let Some(result) = in_time.or(in_doubt).await {
            return result;
        }
        self.pool.forget_unheard_since(sent);
        let Some(copy) = copy.filter(|_| pays()) else {
            return first.await;
        };
        // Boxed, since it is rare: each request would take the memory for it.
        let mut second = Box::pin(self.send_once(ex, copy));
        let by_first = async { (first.as_mut().await, true) };
        let by_second = async { (second.as_mut().await, false) };
        let answered = match by_first.or(by_second).await {
            (Ok(answered), _) => Ok(answered),
            (Err(_), true) => second.await,
            (Err(_), false) => first.await,
        };
        // Whatever became of the one, the other may have run.
        let mut answered = answered.map_err(|_| SendError::Broke)?;
        answered.sent_twice = true;
        Ok(answered)
    }

    async fn send_once(
        &self,
        ex: &Executor<'static>,
        req: Request<Body>,
    ) -> Result<Answered, SendError> {
        let connect = || async {
            let tcp = TcpStream::connect(self.addr).await?;
            tcp.set_nodelay(true)?;
            self.opened.fetch_add(1, Ordering::Relaxed);
            Ok(Opened {
                stream: Box::new(ReadySocket::new(tcp.clone())),
                socket: tcp,
            })
        };
        let (res, lease) = self.pool.send(ex, req, self.connect_time, connect).await?;
        Ok(Answered {
            res,
            lease,
            sent_twice: false,
        })
    }
}
