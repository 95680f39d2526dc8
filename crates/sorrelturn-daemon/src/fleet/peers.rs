//! Connections to other daemons, for calls. See `docs/design/between-daemons.md`.

use crate::{
    net::pool::{BUF_LIMIT_BYTES, Lease, OnItsWay, Opened, Pool, SendError},
    net::signs,
    net::stream::FleetKeys,
    net::timers::Timers,
    request::body::Body,
};
use hyper::{Request, Response, body::Incoming};
use smol::{Executor, future::FutureExt, net::TcpStream};
use socket2::SockRef;
use sorrelturn_platform::keep_alive;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// The longest time for a new connection. Peers are about 1 ms apart; an opening packet that was
/// lost is sent again after a second, and by then another instance has long answered.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// A message of at most so many bytes is taken by its reader's daemon whatever the reader does. Behind a
/// longer one a slow reader can hold a connection still for long, which the options below don't bear.
const READ_AT_ONCE_BYTES: u64 = BUF_LIMIT_BYTES as u64;
/// A peer that doesn't acknowledge what was sent for so long is silent. Two losses of one packet in a
/// row, 200 and 400 ms, still pass.
const SILENT_TIME: Duration = Duration::from_millis(700);
/// The most connections to one daemon; its backend server has fewer slots.
const MAX_CONNECTIONS: usize = 1_024;

/// The connections to one daemon, opened when they are needed.
pub(crate) struct PeerLink {
    addr: SocketAddr,
    /// Their kernels end them when the peer is silent.
    watched: Arc<Pool>,
    /// For long requests, which the peer may read slowly.
    unwatched: Arc<Pool>,
    /// Whether the daemon was heard to give signs of life: an older one gives none.
    gives_signs: Arc<AtomicBool>,
}

/// When a sign of life came last.
struct Heard {
    start: Instant,
    after_us: AtomicU64,
}

impl Heard {
    fn now(&self) {
        let after_us = self.start.elapsed().as_micros() as u64;
        self.after_us.store(after_us, Ordering::Relaxed);
    }

    /// How long after something was sent; zero if nothing came since then.
    fn after(&self, sent: Instant) -> Duration {
        let at = self.start + Duration::from_micros(self.after_us.load(Ordering::Relaxed));
        at.saturating_duration_since(sent)
    }
}

/// A connection that carries one call to a peer.
pub(crate) struct PeerLease {
    lease: Lease,
    /// The answer is long: the connection is watched again when it is through.
    watch_again: bool,
}

impl PeerLease {
    /// The exchange was whole: the connection can carry another one.
    pub(crate) fn give_back(self) {
        if self.watch_again && notice_silence(self.lease.socket()).is_err() {
            return;
        }
        self.lease.give_back();
    }
}

impl PeerLink {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            watched: Pool::new(MAX_CONNECTIONS),
            unwatched: Pool::new(MAX_CONNECTIONS),
            gives_signs: Arc::default(),
        }
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// The peer's silence is noticed until then; a long answer is as slow as its reader.
    pub(crate) async fn send(
        &self,
        ex: &Executor<'static>,
        timers: &Timers,
        keys: &FleetKeys,
        mut req: Request<Body>,
    ) -> Result<(Response<Incoming>, PeerLease), SendError> {
        let is_watched = is_read_at_once(req.body());
        let connect = || async {
            let tcp = TcpStream::connect(self.addr).await?;
            if is_watched {
                notice_silence(&tcp)?;
            }
            let stream = keys.connect(tcp.clone()).await?;
            Ok(Opened {
                stream,
                socket: tcp,
            })
        };
        let pool = if is_watched {
            &self.watched
        } else {
            &self.unwatched
        };
        let heard = self.hear_signs(&mut req);
        let on_its_way = OnItsWay::default();
        let answered = pool.send(ex, req, &on_its_way, CONNECT_TIME, connect);
        let silent = async {
            let reused = self.silent(timers, &on_its_way, &heard, is_watched).await;
            Err(SendError::Silent { reused })
        };
        let (res, lease) = answered.or(silent).await?;
        let watch_again = is_watched && !is_read_at_once(res.body());
        if watch_again && bear_silence(lease.socket()).is_err() {
            return Err(SendError::Broke);
        }
        Ok((res, PeerLease { lease, watch_again }))
    }

    fn hear_signs(&self, req: &mut Request<Body>) -> Arc<Heard> {
        let heard = Arc::new(Heard {
            start: Instant::now(),
            after_us: AtomicU64::new(0),
        });
        let gives_signs = Arc::clone(&self.gives_signs);
        let hears = Arc::clone(&heard);
        signs::on_sign(req, move || {
            gives_signs.store(true, Ordering::Relaxed);
            hears.now();
        });
        heard
    }

    /// Ends when the connection that carries an exchange has been silent for too long; returns whether
    /// it was used before. Behind a long request, signs may stand still as well.
    async fn silent(
        &self,
        timers: &Timers,
        on_its_way: &OnItsWay,
        heard: &Heard,
        is_watched: bool,
    ) -> bool {
        if !is_watched {
            return smol::future::pending().await;
        }
        let mut wait = signs::borne_until(Duration::ZERO);
        loop {
            timers.after(wait).await;
            let Some(sent) = on_its_way.sent() else {
                continue;
            };
            let borne = signs::borne_until(heard.after(sent.at));
            wait = borne.saturating_sub(sent.at.elapsed());
            if !wait.is_zero() {
                continue;
            }
            if self.gives_signs.load(Ordering::Relaxed) {
                self.watched.forget_unheard_since(sent.at);
                return sent.reused;
            }
            wait = signs::borne_until(Duration::ZERO);
        }
    }

    /// Drops the idle connections; the calls on others go on.
    pub(crate) fn forget(&self) {
        self.watched.forget_idle();
        self.unwatched.forget_idle();
    }
}

fn is_read_at_once(body: &impl hyper::body::Body) -> bool {
    let most = body.size_hint().upper();
    most.is_some_and(|bytes| bytes <= READ_AT_ONCE_BYTES)
}

/// Has the kernel end a connection whose other end says nothing: a VM without power or behind a cut
/// doesn't even refuse.
fn notice_silence(tcp: &TcpStream) -> io::Result<()> {
    keep_alive(tcp)?;
    SockRef::from(tcp).set_tcp_user_timeout(Some(SILENT_TIME))
}

/// Undoes [`notice_silence`] while a long answer is read.
fn bear_silence(tcp: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(tcp);
    socket.set_keepalive(false)?;
    socket.set_tcp_user_timeout(None)
}
