//! The connections to the own backend server, no more than the bundle says it takes.

use crate::{
    net::pool::{Lease, OnItsWay, Opened, Pool, SendError},
    net::timers::Timers,
    request::body::Body,
};
use hyper::{Request, Response, body::Incoming};
use smol::{Executor, future::FutureExt, net::TcpStream};
use sorrelturn_platform::keep_alive;
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
/// An answer is overdue on a connection that was used before after so many times of what answers take:
/// the connection may be silent. A backend server gives no signs of life, and one that is only slow must
/// seldom be asked twice. See `docs/design/silent-connections.md`.
const OVERDUE_TIMES: u32 = 8;
/// And not before this time: few answers take longer by themselves.
const LEAST_OVERDUE: Duration = Duration::from_millis(400);
/// Each answer counts for one part in so many of what answers take.
const SMOOTHED_OVER: u64 = 16;

/// The connections to the backend server.
pub(crate) struct Backend {
    addr: SocketAddr,
    connect_time: Duration,
    pool: Arc<Pool>,
    /// What answers take to their heads.
    typical_us: AtomicU64,
}

/// The head of an answer.
pub(crate) struct Answered {
    pub(crate) res: Response<Incoming>,
    pub(crate) lease: Lease,
    /// The request was sent over two connections, so what one of them says isn't said of both.
    pub(crate) sent_twice: bool,
}

impl Backend {
    pub(crate) fn new(addr: SocketAddr, connect_time: Duration) -> Self {
        Self {
            addr,
            connect_time,
            pool: Pool::new(CONNECTIONS_BEFORE_BUNDLE),
            typical_us: AtomicU64::new(0),
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

    /// Drops the idle connections: they lead to a backend server that has ended.
    pub(crate) fn forget_idle(&self) {
        self.pool.forget_idle();
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// If that is overdue, the connection may be silent: the request is sent once more, if `again` gives
    /// a copy, and the first answer counts. The first sending goes on, since it may be slow only.
    pub(crate) async fn send(
        &self,
        ex: &Executor<'static>,
        timers: &Timers,
        req: Request<Body>,
        again: impl FnOnce() -> Option<Request<Body>>,
    ) -> Result<Answered, SendError> {
        let on_its_way = OnItsWay::default();
        let mut first = pin!(self.send_once(ex, req, &on_its_way));
        let overdue = async {
            self.overdue(timers, &on_its_way).await;
            None
        };
        let in_time = async { Some(first.as_mut().await) };
        if let Some(result) = in_time.or(overdue).await {
            return result;
        }
        let Some(copy) = again() else {
            return first.await;
        };
        let on_its_way = OnItsWay::default();
        // Boxed, since it is rare: each request would take the memory for it.
        let mut second = Box::pin(self.send_once(ex, copy, &on_its_way));
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
        on_its_way: &OnItsWay,
    ) -> Result<Answered, SendError> {
        let connect = || async {
            let tcp = TcpStream::connect(self.addr).await?;
            tcp.set_nodelay(true)?;
            keep_alive(&tcp)?;
            Ok(Opened {
                stream: Box::new(tcp.clone()),
                socket: tcp,
            })
        };
        let sent = self
            .pool
            .send(ex, req, on_its_way, self.connect_time, connect);
        let (res, lease) = sent.await?;
        if let Some(sent) = on_its_way.sent() {
            self.took(sent.at.elapsed());
        }
        Ok(Answered {
            res,
            lease,
            sent_twice: false,
        })
    }

    /// Ends when an answer is overdue on a connection that was used before; others that have rested as
    /// long aren't used any more.
    async fn overdue(&self, timers: &Timers, on_its_way: &OnItsWay) {
        let mut wait = LEAST_OVERDUE;
        loop {
            timers.after(wait).await;
            let Some(sent) = on_its_way.sent() else {
                continue;
            };
            if !sent.reused {
                return smol::future::pending().await;
            }
            wait = self.borne().saturating_sub(sent.at.elapsed());
            if wait.is_zero() {
                self.pool.forget_unheard_since(sent.at);
                return;
            }
        }
    }

    fn borne(&self) -> Duration {
        let typical = Duration::from_micros(self.typical_us.load(Ordering::Relaxed));
        (typical * OVERDUE_TIMES).max(LEAST_OVERDUE)
    }

    /// Two answers at once may lose one of them, which the next ones make good.
    fn took(&self, time: Duration) {
        let before = self.typical_us.load(Ordering::Relaxed);
        let smoothed = before * (SMOOTHED_OVER - 1) + time.as_micros() as u64;
        let after = smoothed / SMOOTHED_OVER;
        self.typical_us.store(after, Ordering::Relaxed);
    }
}
