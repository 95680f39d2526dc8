//! Pooled HTTP/1.1 connections to one address, each carrying one exchange at a time.
//! See `docs/design/between-daemons.md`.

use crate::{
    clock::Clock, net::stream::BoxStream, net::timers::Timers, node::lock, request::body::Body,
};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use smol::{Executor, Timer, future::FutureExt, net::TcpStream};
use sorrelturn_platform::hyper_io;
use sorrelturn_policy::Now;
use std::{
    collections::VecDeque,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// The most idle connections that are kept.
const MAX_IDLE: usize = 256;
/// An idle connection is not used again after this time: its other end may be about to close it,
/// and a request that crosses the close may have run.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// What was opened for a burst is dropped when it has been idle for this time, for its memory at both
/// ends (some 20 KB each); so many are kept beyond it, so that few and far calls find one open.
const SPARE_TIME: Duration = Duration::from_secs(2);
const KEPT_IDLE: usize = 4;
/// The part of the other end's own idle time for which a connection is used again, in percent.
const IDLE_PART_PERCENT: u64 = 60;
/// What one exchange may have on its way unread, in bytes; bounds the memory of a slow reader.
pub(crate) const BUF_LIMIT_BYTES: usize = 128 << 10;

/// An answer is overdue after so many times of what answers take: one that is only slow must seldom raise
/// doubts. See `docs/design/silent-connections.md`.
const OVERDUE_TIMES: u32 = 8;
/// And not before this time: it lets a packet be lost once (200 ms) and a process stand still for a tenth of
/// a second, and few answers take longer by themselves.
const LEAST_OVERDUE: Duration = Duration::from_millis(400);
/// Each answer counts for one part in so many of what answers take.
const SMOOTHED_OVER: u64 = 16;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Not a byte of it was sent: as many connections are open as may be.
    Full,
    /// Not a byte of it was sent.
    NotSent,
    /// It was sent, or a part of it was.
    Broke,
    /// It was sent over a connection that is silent, and its other end never had it nor ever will.
    NeverCame,
    /// It came, and its answer was lost on a connection that is silent.
    AnswerLost,
}

/// The connections to one address.
pub(crate) struct Pool {
    clock: Clock,
    most: AtomicUsize,
    idle_ms: AtomicU64,
    open: Arc<AtomicUsize>,
    /// The one that was used last is at the back.
    idle: Mutex<VecDeque<Idle>>,
    heard: Heard,
}

/// What answers tell of the path to the other end.
struct Heard {
    clock: Clock,
    /// What answers take to their heads.
    typical_us: AtomicU64,
    /// When an answer came last over a connection that had been open for as long as makes one overdue.
    over_old_ms: AtomicU64,
}

impl Heard {
    fn new(clock: Clock) -> Self {
        Self {
            clock,
            typical_us: AtomicU64::new(0),
            over_old_ms: AtomicU64::new(0),
        }
    }

    /// Two answers at once may lose one of them, which the next ones make good.
    fn answer(&self, sent: Now, opened: Now) {
        let now = self.clock.now();
        let took_us = (now - sent).as_micros() as u64;
        let before = self.typical_us.load(Ordering::Relaxed);
        let after = (before * (SMOOTHED_OVER - 1) + took_us) / SMOOTHED_OVER;
        self.typical_us.store(after, Ordering::Relaxed);
        if now - opened >= self.overdue_after() {
            self.over_old_ms
                .store(now.as_millis() as u64, Ordering::Relaxed);
        }
    }

    fn overdue_after(&self) -> Duration {
        let typical = Duration::from_micros(self.typical_us.load(Ordering::Relaxed));
        (typical * OVERDUE_TIMES).max(LEAST_OVERDUE)
    }

    /// Whether an old connection brought an answer since then.
    fn over_old_since(&self, since: Now) -> bool {
        Duration::from_millis(self.over_old_ms.load(Ordering::Relaxed)) > since
    }
}

struct Idle {
    conn: Conn,
    since: Now,
}

/// An open connection. It counts as open as long as somebody could send over it, and not until its
/// task has ended: else connections that were dropped would take the place of new ones.
struct Conn {
    sender: SendRequest<Body>,
    socket: TcpStream,
    opened: Now,
    _open: Open,
}

/// A connection that was just opened.
pub(crate) struct Opened {
    /// What requests go over.
    pub(crate) stream: BoxStream,
    /// The socket below it, for its options.
    pub(crate) socket: TcpStream,
}

/// A connection that carries one exchange.
///
/// It goes back to the pool only after a whole exchange. Otherwise it is dropped, which closes it:
/// that is how the other end learns that its work is of no more use.
pub(crate) struct Lease {
    pool: Arc<Pool>,
    conn: Conn,
}

impl Lease {
    /// The socket, for its options.
    pub(crate) fn socket(&self) -> &TcpStream {
        &self.conn.socket
    }

    /// The exchange was whole: the connection can carry another one.
    pub(crate) fn give_back(self) {
        let mut idle = lock(&self.pool.idle);
        // Read by the holder of the lock, so that the queue is in the order of its times.
        let now = self.pool.clock.now();
        // One at a time: each exchange gives back one, so old ones can't pile up.
        if is_spare(&idle, now) {
            idle.pop_front();
        }
        if idle.len() < MAX_IDLE {
            idle.push_back(Idle {
                conn: self.conn,
                since: now,
            });
        }
    }
}

/// Whether the connection that has been idle for longest was opened for a burst that is over.
fn is_spare(idle: &VecDeque<Idle>, now: Now) -> bool {
    let oldest = idle.front().map(|oldest| now.saturating_sub(oldest.since));
    idle.len() >= KEPT_IDLE && oldest.is_some_and(|rested| rested >= SPARE_TIME)
}

/// Counts a connection while it is open.
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    /// A pool of at most this many connections.
    pub(crate) fn new(most: usize, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            most: AtomicUsize::new(most),
            idle_ms: AtomicU64::new(IDLE_TIME.as_millis() as u64),
            open: Arc::default(),
            idle: Mutex::default(),
            heard: Heard::new(clock),
        })
    }

    /// Changes how many connections may be open; those that are open already stay.
    pub(crate) fn set_most(&self, most: usize) {
        self.most.store(most, Ordering::Relaxed);
    }

    /// The other end says that it closes connections that rest for so long. They are used again
    /// for a part of it only, since a request that crosses the close may have run.
    pub(crate) fn closes_after(&self, rest: Duration) {
        let used_ms = rest.as_millis() as u64 * IDLE_PART_PERCENT / 100;
        let most_ms = IDLE_TIME.as_millis() as u64;
        self.idle_ms.store(used_ms.min(most_ms), Ordering::Relaxed);
    }

    fn idle_time(&self) -> Duration {
        Duration::from_millis(self.idle_ms.load(Ordering::Relaxed))
    }

    /// Drops the idle connections; those that carry something go on.
    pub(crate) fn forget_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Whether a connection that rests hasn't been closed by the other end.
    pub(crate) fn has_open(&self) -> bool {
        let idle = lock(&self.idle);
        idle.iter().any(|idle| !idle.conn.sender.is_closed())
    }

    /// Whether a connection rests.
    pub(crate) fn rests(&self) -> bool {
        !lock(&self.idle).is_empty()
    }

    /// One that rested when this was sent is silent: those that have rested as long may be so too, and
    /// are dropped. Those that carried an answer since then are heard.
    pub(crate) fn forget_unheard_since(&self, sent: Now) {
        let mut idle = lock(&self.idle);
        let heard = idle.iter().position(|idle| idle.since > sent);
        let unheard = heard.unwrap_or(idle.len());
        drop(idle.drain(..unheard));
    }

    /// Ends when the answer to what was sent is overdue, and connections that are as old bring none either. A
    /// slow other end answers over the others meanwhile, and raises no doubts.
    pub(crate) async fn in_doubt(&self, timers: &Timers, sent: Now) {
        let mut since = sent;
        loop {
            let left = self
                .heard
                .overdue_after()
                .saturating_sub(self.clock.elapsed_since(since));
            if !left.is_zero() {
                timers.after(left).await;
                continue;
            }
            if !self.heard.over_old_since(since) {
                return;
            }
            since = self.clock.now();
        }
    }

    /// Sends a request and waits for the head of its answer; `connect` opens a new connection, and
    /// has `connect_time` for it.
    ///
    /// An idle connection that turns out to be closed has sent nothing; the request comes back
    /// and goes over the next one.
    pub(crate) async fn send<F>(
        self: &Arc<Self>,
        ex: &Executor<'static>,
        mut req: Request<Body>,
        connect_time: Duration,
        connect: impl Fn() -> F,
    ) -> Result<(Response<Incoming>, Lease), SendError>
    where
        F: Future<Output = io::Result<Opened>>,
    {
        loop {
            let idle = self.take_idle();
            let was_idle = idle.is_some();
            let mut conn = match idle {
                Some(conn) => conn,
                // Boxed, since it is rare: each request would take the memory for it.
                None => Box::pin(self.open(ex, connect_time, connect())).await?,
            };
            if conn.sender.ready().await.is_err() {
                if was_idle {
                    continue;
                }
                return Err(SendError::NotSent);
            }
            let sent = self.clock.now();
            match conn.sender.try_send_request(req).await {
                Ok(res) => {
                    self.heard.answer(sent, conn.opened);
                    let pool = Arc::clone(self);
                    return Ok((res, Lease { pool, conn }));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if was_idle => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Broke),
                },
            }
        }
    }

    /// Sends a request over a new connection and waits for the head of its answer.
    pub(crate) async fn send_new(
        self: &Arc<Self>,
        ex: &Executor<'static>,
        req: Request<Body>,
        connect_time: Duration,
        connect: impl Future<Output = io::Result<Opened>>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let mut conn = self.open(ex, connect_time, connect).await?;
        let ready = conn.sender.ready().await;
        ready.map_err(|_| SendError::NotSent)?;
        let res = conn.sender.send_request(req).await;
        let res = res.map_err(|_| SendError::Broke)?;
        let pool = Arc::clone(self);
        Ok((res, Lease { pool, conn }))
    }

    /// The connection that was used last: those below it grow old and are dropped.
    fn take_idle(&self) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        while let Some(last) = idle.pop_back() {
            if self.clock.elapsed_since(last.since) >= self.idle_time() {
                idle.clear();
            } else if !last.conn.sender.is_closed() {
                return Some(last.conn);
            }
        }
        None
    }

    async fn open(
        &self,
        ex: &Executor<'static>,
        connect_time: Duration,
        connect: impl Future<Output = io::Result<Opened>>,
    ) -> Result<Conn, SendError> {
        let open = Open(Arc::clone(&self.open));
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.most.load(Ordering::Relaxed) {
            return Err(SendError::Full);
        }
        let too_long = async {
            Timer::after(connect_time).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let opened = connect.or(too_long).await.map_err(|_| SendError::NotSent)?;
        let (sender, conn) = Builder::new()
            .max_buf_size(BUF_LIMIT_BYTES)
            .handshake(hyper_io(opened.stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        let drive = async move {
            // How it ended is told to whoever waits for an answer over it.
            let _ = conn.await;
        };
        ex.spawn(drive).detach();
        Ok(Conn {
            sender,
            socket: opened.socket,
            opened: self.clock.now(),
            _open: open,
        })
    }
}
