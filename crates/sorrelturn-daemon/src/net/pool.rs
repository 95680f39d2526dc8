//! Pooled HTTP/1.1 connections to one address, each with one exchange at a time. See
//! `docs/design/between-daemons.md`.

use crate::{
    clock::Clock,
    net::{
        refused::{KeyedRequest, RefusedRequests, RequestKey},
        stream::BoxStream,
        timers::Timers,
        upload::Upload,
    },
    node::lock,
    request::body::Body,
};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use smol::{Executor, Timer, future::FutureExt, net::TcpStream};
use sorrelturn_platform::{
    LimitedReads, MalformedResponse, ReadLimit, check_framing, hyper_io, malformed_by,
    normalize_version,
};
use sorrelturn_policy::{ConnectionLimits, IDLE_TIMEOUT, Now, SPARE_IDLE_TIMEOUT};
use sorrelturn_protocol::Refusal;
use std::{
    collections::VecDeque,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// The maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// The number of connections that are retained for infrequent calls when those opened for a burst are dropped after
/// [`SPARE_IDLE_TIMEOUT`]. A connection takes about 20 KB of memory at each end.
const MIN_RETAINED_IDLE: usize = 4;
/// The percentage of the peer's idle timeout for which a connection is reused.
const PEER_IDLE_TIMEOUT_PERCENT: u128 = 60;
/// The buffer limit of a connection, in bytes; it bounds the memory for a slow reader.
pub(crate) const MAX_BUF_BYTES: usize = 128 << 10;
/// The limit of what a peer may send before its response, the head and all interim responses included, in bytes. More than
/// [`MAX_BUF_BYTES`], since the connection may read some of the body before the limit is lifted.
const MAX_BYTES_BEFORE_RESPONSE: u64 = 256 << 10;

/// A response is overdue after this multiple of the average response time. See
/// `docs/design/silent-connections.md`. A response that is only slow must rarely count as overdue.
const OVERDUE_FACTOR: u32 = 8;
/// The minimum time until a response is overdue, longer than one packet retransmission (200 ms)
/// or a short pause of the process.
const MIN_OVERDUE_TIMEOUT: Duration = Duration::from_millis(400);
/// The divisor of the moving average of response times.
const SMOOTHING_DIVISOR: u64 = 16;

/// Why a request has no response. [`Pool`] itself doesn't return the last two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Nothing was sent: the limit of open connections is reached.
    Full,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: the request was refused after the wait for a connection.
    Refused(Refusal),
    /// All or part of the request was sent.
    Interrupted,
    /// The request was sent, and its response can't be passed on.
    Malformed(MalformedResponse),
    /// The request was sent over a broken path; the peer never received it and will refuse it
    /// from now on.
    NeverArrived,
    /// The response was lost on a broken path; the request may have run.
    AnswerLost,
}

/// The number of connections of several pools, and its limits.
pub(crate) struct PoolTotals {
    limits: ConnectionLimits,
    open: AtomicUsize,
    idle: AtomicUsize,
}

impl PoolTotals {
    pub(crate) fn new(limits: ConnectionLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            open: AtomicUsize::new(0),
            idle: AtomicUsize::new(0),
        })
    }

    /// Returns the number of open connections, idle ones included.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of idle connections.
    pub(crate) fn idle(&self) -> usize {
        self.idle.load(Ordering::Relaxed)
    }
}

/// The connections to one address.
pub(crate) struct Pool {
    clock: Clock,
    totals: Arc<PoolTotals>,
    max_open: AtomicUsize,
    idle_timeout_ms: AtomicU64,
    max_body_bytes_before_reuse: u64,
    open_count: Arc<AtomicUsize>,
    /// The most recently used connection is at the back.
    idle: Mutex<VecDeque<Idle>>,
    response_times: ResponseTimes,
}

/// Response time statistics, for detecting a broken path to the peer.
struct ResponseTimes {
    clock: Clock,
    /// The moving average of the time until the head of a response, in microseconds.
    average_us: AtomicU64,
    /// When a response last arrived over a connection older than the overdue timeout.
    last_old_connection_response_ms: AtomicU64,
}

impl ResponseTimes {
    fn new(clock: Clock) -> Self {
        Self {
            clock,
            average_us: AtomicU64::new(0),
            last_old_connection_response_ms: AtomicU64::new(0),
        }
    }

    /// Concurrent calls may lose one sample, which later ones make up for.
    fn record(&self, sent: Now, opened_at: Now) {
        let now = self.clock.now();
        let took_us = (now - sent).as_micros() as u64;
        let before = self.average_us.load(Ordering::Relaxed);
        let after = (before * (SMOOTHING_DIVISOR - 1) + took_us) / SMOOTHING_DIVISOR;
        self.average_us.store(after, Ordering::Relaxed);
        if now - opened_at >= self.overdue_timeout() {
            self.last_old_connection_response_ms
                .store(now.as_millis() as u64, Ordering::Relaxed);
        }
    }

    fn overdue_timeout(&self) -> Duration {
        let average = Duration::from_micros(self.average_us.load(Ordering::Relaxed));
        (average * OVERDUE_FACTOR).max(MIN_OVERDUE_TIMEOUT)
    }

    /// Returns whether a response has arrived over an old connection since then.
    fn old_connection_answered_since(&self, since: Now) -> bool {
        Duration::from_millis(self.last_old_connection_response_ms.load(Ordering::Relaxed)) > since
    }
}

struct Idle {
    conn: Conn,
    since: Now,
    _count: IdleCountGuard,
}

/// Counts a connection in the totals while it is idle.
struct IdleCountGuard(Arc<PoolTotals>);

impl IdleCountGuard {
    fn new(totals: &Arc<PoolTotals>) -> Self {
        totals.idle.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(totals))
    }
}

impl Drop for IdleCountGuard {
    fn drop(&mut self) {
        self.0.idle.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open connection. It counts as open until nothing can be sent over it, even if its task
/// hasn't ended yet; otherwise dropped connections would block new ones.
struct Conn {
    sender: SendRequest<Body>,
    socket: TcpStream,
    read_limit: ReadLimit,
    refused: RefusedRequests,
    opened_at: Now,
    _open: OpenCountGuard,
}

/// A connection that was just opened.
pub(crate) struct Opened {
    /// The stream for requests.
    pub(crate) stream: BoxStream,
    /// The underlying socket, for its options.
    pub(crate) socket: TcpStream,
}

/// A connection that carries one exchange.
///
/// It returns to the pool only after a complete exchange. Otherwise it is dropped and closes,
/// which tells the peer that the response is no longer needed.
pub(crate) struct Lease {
    pool: Arc<Pool>,
    conn: Conn,
    is_reusable: bool,
}

impl Lease {
    /// Returns the socket, for its options.
    pub(crate) fn socket(&self) -> &TcpStream {
        &self.conn.socket
    }

    /// As [`Lease::give_back`], after the peer refused the request with this key, which isn't sent over this connection
    /// again.
    pub(crate) fn give_back_after_refusal(mut self, key: RequestKey) {
        if self.conn.refused.add(key) {
            self.give_back();
        }
    }

    /// Returns the connection to the pool after a complete exchange, or closes it once its request is sent, if the peer
    /// may still have to read that request.
    pub(crate) fn give_back(self) {
        if !self.is_reusable {
            return;
        }
        let mut idle = lock(&self.pool.idle);
        // Read under the lock, so that the queue is ordered by time.
        let now = self.pool.clock.now();
        // One per exchange is enough, since each exchange returns only one connection.
        if has_surplus_idle(&idle, now) {
            idle.pop_front();
        }
        let totals = &self.pool.totals;
        if !totals.limits.keeps_outbound(totals.idle()) {
            // A connection that was just used is more likely to be used again.
            idle.pop_front();
        }
        if idle.len() < MAX_IDLE_CONNECTIONS && totals.limits.keeps_outbound(totals.idle()) {
            idle.push_back(Idle {
                conn: self.conn,
                since: now,
                _count: IdleCountGuard::new(&self.pool.totals),
            });
        }
    }
}

/// Returns a response whose head tells in one way where its body ends.
fn accept_head(mut res: Response<Incoming>) -> Result<Response<Incoming>, SendError> {
    check_framing(&res).map_err(SendError::Malformed)?;
    normalize_version(&mut res);
    Ok(res)
}

fn interrupted_by(error: &hyper::Error) -> SendError {
    malformed_by(error).map_or(SendError::Interrupted, SendError::Malformed)
}

/// Returns whether the connection that has been idle longest was opened for a burst that is over.
fn has_surplus_idle(idle: &VecDeque<Idle>, now: Now) -> bool {
    let oldest = idle.front().map(|oldest| now.saturating_sub(oldest.since));
    idle.len() >= MIN_RETAINED_IDLE
        && oldest.is_some_and(|idle_time| idle_time >= SPARE_IDLE_TIMEOUT)
}

/// Counts a connection while it is open.
struct OpenCountGuard {
    count: Arc<AtomicUsize>,
    totals: Arc<PoolTotals>,
}

impl Drop for OpenCountGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
        self.totals.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    /// Creates a pool of at most `max_open` connections, which count in `totals`. A connection isn't reused after a
    /// request whose body is longer than `max_body_bytes_before_reuse`.
    pub(crate) fn new(
        max_open: usize,
        max_body_bytes_before_reuse: u64,
        clock: Clock,
        totals: &Arc<PoolTotals>,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            totals: Arc::clone(totals),
            max_open: AtomicUsize::new(max_open),
            idle_timeout_ms: AtomicU64::new(IDLE_TIMEOUT.as_millis() as u64),
            max_body_bytes_before_reuse,
            open_count: Arc::default(),
            idle: Mutex::default(),
            response_times: ResponseTimes::new(clock),
        })
    }

    /// Changes the maximum number of open connections; open ones stay.
    pub(crate) fn set_max_open(&self, max_open: usize) {
        self.max_open.store(max_open, Ordering::Relaxed);
    }

    /// Applies the idle timeout that the peer reported. Connections are reused for a fraction of
    /// it only, since a request that is sent while the peer closes the connection may have run.
    pub(crate) fn set_peer_idle_timeout(&self, peer_timeout: Duration) {
        let usable_ms = peer_timeout.as_millis() * PEER_IDLE_TIMEOUT_PERCENT / 100;
        let usable_ms = usable_ms.min(IDLE_TIMEOUT.as_millis()) as u64;
        self.idle_timeout_ms.store(usable_ms, Ordering::Relaxed);
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed))
    }

    /// Drops the idle connections; exchanges in progress continue.
    pub(crate) fn drop_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Drops connections that the peer closed, and those that have been idle too long for the number of all idle ones.
    pub(crate) fn drop_expired(&self) {
        let idle_timeout = self.totals.limits.idle_timeout(self.totals.idle());
        let now = self.clock.now();
        lock(&self.idle).retain(|idle| {
            !idle.conn.sender.is_closed() && now.saturating_sub(idle.since) < idle_timeout
        });
    }

    /// Returns whether the peer has left an idle connection open.
    pub(crate) fn has_open_idle(&self) -> bool {
        let idle = lock(&self.idle);
        idle.iter().any(|idle| !idle.conn.sender.is_closed())
    }

    /// Returns whether a connection is idle.
    pub(crate) fn has_idle(&self) -> bool {
        !lock(&self.idle).is_empty()
    }

    /// Drops the connections that have been idle since `sent` or longer, after one of them got no
    /// response. Those that got a response since then are retained.
    pub(crate) fn drop_idle_unanswered_since(&self, sent: Now) {
        let mut idle = lock(&self.idle);
        let first_answered = idle.iter().position(|idle| idle.since > sent);
        let unanswered = first_answered.unwrap_or(idle.len());
        drop(idle.drain(..unanswered));
    }

    /// Waits until the response to a request sent at `sent` is overdue and no connection older than
    /// the overdue timeout has got a response since. A peer that is only slow responds over the
    /// others meanwhile.
    pub(crate) async fn wait_until_suspect(&self, timers: &Timers, sent: Now) {
        let mut since = sent;
        loop {
            let left = self
                .response_times
                .overdue_timeout()
                .saturating_sub(self.clock.elapsed_since(since));
            if !left.is_zero() {
                timers.after(left).await;
                continue;
            }
            if !self.response_times.old_connection_answered_since(since) {
                return;
            }
            since = self.clock.now();
        }
    }

    /// Sends a request and waits for the head of the response; `connect` opens a new connection
    /// within `connect_timeout`. `prepare` is called when nothing is left to wait for before the
    /// first byte: it completes the request, or refuses it, and then nothing is sent.
    ///
    /// If an idle connection turns out to be closed, nothing was sent, and the request is sent
    /// over the next one. None is used over which a request with this key was refused.
    pub(crate) async fn send<F>(
        self: &Arc<Self>,
        ex: &Executor<'static>,
        request: KeyedRequest,
        connect_timeout: Duration,
        connect: impl Fn() -> F,
        prepare: impl Fn(&mut Request<Body>) -> Result<(), Refusal>,
    ) -> Result<(Response<Incoming>, Lease), SendError>
    where
        F: Future<Output = io::Result<Opened>>,
    {
        let key = request.key;
        let (head, body) = request.req.into_parts();
        let (body, upload) = Upload::track(body);
        let mut req = Request::from_parts(head, body);
        loop {
            let idle = self.take_idle(key);
            let was_idle = idle.is_some();
            let mut conn = match idle {
                Some(conn) => conn,
                // Boxed to keep the future of the common case small.
                None => Box::pin(self.open(ex, connect_timeout, connect())).await?,
            };
            if conn.sender.ready().await.is_err() {
                if was_idle {
                    continue;
                }
                return Err(SendError::NotSent);
            }
            if let Err(refusal) = prepare(&mut req) {
                self.take_back_unused(conn);
                return Err(SendError::Refused(refusal));
            }
            let sent = self.clock.now();
            conn.read_limit.expect_response(MAX_BYTES_BEFORE_RESPONSE);
            match conn.sender.try_send_request(req).await {
                Ok(res) => {
                    let res = accept_head(res)?;
                    conn.read_limit.lift();
                    self.response_times.record(sent, conn.opened_at);
                    let lease = Lease {
                        pool: Arc::clone(self),
                        conn,
                        is_reusable: upload.is_none_or(|upload| self.has_read_request(&upload)),
                    };
                    return Ok((res, lease));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if was_idle => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(interrupted_by(error.error())),
                },
            }
        }
    }

    /// Sends a request over a new connection and waits for the head of the response.
    pub(crate) async fn send_new(
        self: &Arc<Self>,
        ex: &Executor<'static>,
        req: Request<Body>,
        connect_timeout: Duration,
        connect: impl Future<Output = io::Result<Opened>>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let mut conn = self.open(ex, connect_timeout, connect).await?;
        let ready = conn.sender.ready().await;
        ready.map_err(|_| SendError::NotSent)?;
        let res = conn.sender.send_request(req).await;
        let res = accept_head(res.map_err(|error| interrupted_by(&error))?)?;
        conn.read_limit.lift();
        let pool = Arc::clone(self);
        Ok((
            res,
            Lease {
                pool,
                conn,
                is_reusable: true,
            },
        ))
    }

    /// Returns a connection to the pool over which nothing was sent.
    fn take_back_unused(self: &Arc<Self>, conn: Conn) {
        let lease = Lease {
            pool: Arc::clone(self),
            conn,
            is_reusable: true,
        };
        lease.give_back();
    }

    /// Returns whether a peer that has begun its response has read the whole request, as far as this end can know: the
    /// buffers of the sockets may hold a long body for as long as the peer likes, and the next request would lie behind.
    fn has_read_request(&self, upload: &Upload) -> bool {
        upload.is_complete() && upload.bytes() <= self.max_body_bytes_before_reuse
    }

    /// Takes the most recently used connection over which the request wasn't refused, so that the others reach the idle
    /// timeout.
    fn take_idle(&self, key: Option<RequestKey>) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        for at in (0..idle.len()).rev() {
            let candidate = &idle[at];
            if self.clock.elapsed_since(candidate.since) >= self.idle_timeout() {
                // The ones before it have been idle longer.
                idle.drain(..=at);
                return None;
            }
            if candidate.conn.sender.is_closed() {
                idle.remove(at);
            } else if !key.is_some_and(|key| candidate.conn.refused.contains(key)) {
                return idle.remove(at).map(|idle| idle.conn);
            }
        }
        None
    }

    async fn open(
        &self,
        ex: &Executor<'static>,
        connect_timeout: Duration,
        connect: impl Future<Output = io::Result<Opened>>,
    ) -> Result<Conn, SendError> {
        self.totals.open.fetch_add(1, Ordering::Relaxed);
        let count_guard = OpenCountGuard {
            count: Arc::clone(&self.open_count),
            totals: Arc::clone(&self.totals),
        };
        if self.open_count.fetch_add(1, Ordering::Relaxed) >= self.max_open.load(Ordering::Relaxed)
        {
            return Err(SendError::Full);
        }
        let timed_out = async {
            Timer::after(connect_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let opened = connect
            .or(timed_out)
            .await
            .map_err(|_| SendError::NotSent)?;
        let read_limit = ReadLimit::new(MAX_BYTES_BEFORE_RESPONSE);
        let stream = LimitedReads::new(opened.stream, read_limit.clone());
        let (sender, conn) = Builder::new()
            .max_buf_size(MAX_BUF_BYTES)
            .handshake(hyper_io(stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        let drive = async move {
            // The exchange that waits for a response gets the error.
            let _ = conn.await;
        };
        ex.spawn(drive).detach();
        Ok(Conn {
            sender,
            socket: opened.socket,
            read_limit,
            refused: RefusedRequests::default(),
            opened_at: self.clock.now(),
            _open: count_guard,
        })
    }
}
