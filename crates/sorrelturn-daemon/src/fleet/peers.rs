//! Connections to other daemons, for calls. See `docs/design/between-daemons.md`.

use crate::{
    clock::Clock,
    net::pool::{BUF_LIMIT_BYTES, Lease, Opened, Pool, SendError},
    net::stream::FleetKeys,
    net::timers::Timers,
    request::body::{self, Body},
    request::headers,
};
use hyper::{Request, Response, body::Incoming};
use smol::{Executor, future::FutureExt, net::TcpStream};
use socket2::{SockRef, TcpKeepalive};
use sorrelturn_policy::Now;
use sorrelturn_protocol::{
    AttemptId, AttemptStatus, AttemptStatusQuery, Incarnation, headers::ATTEMPT_STATUS,
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// The longest time for a new connection. Peers are about 1 ms apart; an opening packet that was
/// lost is sent again after a second, and by then another instance has long answered.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// A message of at most so many bytes is taken by its reader's daemon whatever the reader does. Behind a
/// longer one a slow reader can hold a connection still for long, which the options below don't bear.
const READ_AT_ONCE_BYTES: u64 = BUF_LIMIT_BYTES as u64;
/// A peer that doesn't acknowledge what was sent for so long is silent. Two losses of one packet in a
/// row, 200 and 400 ms, still pass.
const SILENT_TIME: Duration = Duration::from_millis(700);
/// While an answer is waited for, the peer's kernel is asked this often whether it is there.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);
/// And so many times without an answer before the connection is given up.
const KEEPALIVE_TRIES: u32 = 2;
/// The longest time for a peer's word what became of an attempt; one that is there and not busy beyond
/// measure takes a hundredth of it.
const ASK_TIME: Duration = Duration::from_millis(500);
/// When it is asked again: the attempt is at work, or the peer stands still. The pause doubles, up to what the
/// peer's memory of attempts is made for.
const ASK_AGAIN: Duration = Duration::from_millis(500);
const ASK_AGAIN_MOST: Duration = Duration::from_secs(2);
/// An answer that is on its way comes within this time.
const ANSWER_TRAVELS: Duration = Duration::from_millis(50);
/// The most connections to one daemon; its backend server has fewer slots.
const MAX_CONNECTIONS: usize = 1_024;

/// The connections to one daemon, opened when they are needed.
pub(crate) struct PeerLink {
    clock: Clock,
    addr: SocketAddr,
    /// Their kernels end them when the peer is silent.
    watched: Arc<Pool>,
    /// For long requests, which the peer may read slowly.
    unwatched: Arc<Pool>,
}

/// What sending to a peer needs of the daemon.
pub(crate) struct Runtime<'a> {
    pub(crate) ex: &'a Executor<'static>,
    pub(crate) timers: &'a Timers,
    pub(crate) keys: &'a FleetKeys,
}

/// An attempt, and the run of the daemon that it is sent to.
#[derive(Clone, Copy)]
pub(crate) struct SentAttempt {
    pub(crate) owner: Incarnation,
    pub(crate) id: AttemptId,
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
    pub(crate) fn new(addr: SocketAddr, clock: Clock) -> Self {
        Self {
            clock,
            addr,
            watched: Pool::new(MAX_CONNECTIONS, clock),
            unwatched: Pool::new(MAX_CONNECTIONS, clock),
        }
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// The peer's silence is noticed until then; a long answer is as slow as its reader.
    ///
    /// Where the kernels don't notice it, since something between them takes what it loses, the owner is asked
    /// what became of the attempt.
    pub(crate) async fn send(
        &self,
        runtime: &Runtime<'_>,
        req: Request<Body>,
        attempt: SentAttempt,
    ) -> Result<(Response<Incoming>, PeerLease), SendError> {
        let is_watched = is_read_at_once(req.body());
        let connect = || self.connect(runtime.keys, is_watched);
        let pool = if is_watched {
            &self.watched
        } else {
            &self.unwatched
        };
        let sent = self.clock.now();
        let answered = pool.send(runtime.ex, req, CONNECT_TIME, connect);
        let silent = async {
            if !is_watched {
                // Behind a long request, its answer may take as long as it is.
                return smol::future::pending().await;
            }
            pool.in_doubt(runtime.timers, sent).await;
            // Boxed, since it is rare: each request would take the memory for it.
            let error = Box::pin(self.fate_of(runtime, attempt, sent)).await;
            pool.forget_unheard_since(sent);
            Err(error)
        };
        let (res, lease) = answered.or(silent).await?;
        let watch_again = is_watched && !is_read_at_once(res.body());
        if watch_again && bear_silence(lease.socket()).is_err() {
            return Err(SendError::Broke);
        }
        Ok((res, PeerLease { lease, watch_again }))
    }

    async fn connect(&self, keys: &FleetKeys, is_watched: bool) -> io::Result<Opened> {
        let tcp = TcpStream::connect(self.addr).await?;
        if is_watched {
            notice_silence(&tcp)?;
        }
        let stream = keys.connect(tcp.clone()).await?;
        Ok(Opened {
            stream,
            socket: tcp,
        })
    }

    /// Asks what became of an attempt until it is known that its answer won't come.
    async fn fate_of(&self, runtime: &Runtime<'_>, attempt: SentAttempt, sent: Now) -> SendError {
        let mut pause = ASK_AGAIN;
        loop {
            let too_late = async {
                runtime.timers.after(ASK_TIME).await;
                None
            };
            match self.ask(runtime, attempt, sent).or(too_late).await {
                Some(AttemptStatus::NeverCame) => return SendError::NeverCame,
                Some(AttemptStatus::Over) => {
                    runtime.timers.after(ANSWER_TRAVELS).await;
                    return SendError::AnswerLost;
                }
                // Of a peer that answers nowhere nothing is known.
                Some(AttemptStatus::AtWork) | None => {}
            }
            runtime.timers.after(pause).await;
            pause = (pause * 2).min(ASK_AGAIN_MOST);
        }
    }

    /// Asks over a new connection, which is kept.
    async fn ask(
        &self,
        runtime: &Runtime<'_>,
        attempt: SentAttempt,
        sent: Now,
    ) -> Option<AttemptStatus> {
        let question = AttemptStatusQuery {
            owner: attempt.owner,
            attempt: attempt.id,
            sent_ms_ago: self.clock.elapsed_since(sent).as_millis() as u32,
        };
        let mut req = Request::new(body::full(""));
        headers::set(req.headers_mut(), ATTEMPT_STATUS, &question.encode());
        let connect = self.connect(runtime.keys, true);
        let answered = self
            .watched
            .send_new(runtime.ex, req, CONNECT_TIME, connect);
        let (res, lease) = answered.await.ok()?;
        lease.give_back();
        let fate = res.headers().get(ATTEMPT_STATUS)?;
        AttemptStatus::decode(fate.as_bytes()).ok()
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
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_EVERY)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(KEEPALIVE_TRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENT_TIME))
}

/// Undoes [`notice_silence`] while a long answer is read.
fn bear_silence(tcp: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(tcp);
    socket.set_keepalive(false)?;
    socket.set_tcp_user_timeout(None)
}
