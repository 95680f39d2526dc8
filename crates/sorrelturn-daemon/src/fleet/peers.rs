//! Connections to other daemons for forwarding calls. See `docs/design/between-daemons.md`.

use crate::{
    clock::Clock,
    net::pool::{Lease, MAX_BUF_BYTES, Opened, Pool, PoolTotals, SendError},
    net::refused::KeyedRequest,
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

/// Shorter than the kernel's first SYN retransmission, so that a call moves on to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest message that the receiving daemon buffers completely.
///
/// A longer message can stall the connection while its receiver reads slowly, which the timeouts set by
/// [`enable_timeouts`] would treat as a failure.
const MAX_BUFFERED_MESSAGE_BYTES: u64 = MAX_BUF_BYTES as u64;
/// Time without an acknowledgement after which a peer counts as unresponsive. Two consecutive losses of a packet are
/// tolerated. These take 200 and 400 ms.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(700);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Initial delay before the status is queried again. The delay doubles with each query.
const STATUS_QUERY_DELAY: Duration = Duration::from_millis(500);
const MAX_STATUS_QUERY_DELAY: Duration = Duration::from_secs(2);
/// Time for a response in transit to arrive after the attempt is reported as finished.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Maximum number of connections in each pool of a peer; higher than the number of slots of a backend server.
const MAX_CONNECTIONS: usize = 1_024;
/// Daemons read the whole body of a call, or close its connection.
const MAX_BODY_BYTES_BEFORE_REUSE: u64 = u64::MAX;

/// Connections to one daemon, opened on demand.
pub(crate) struct PeerLink {
    clock: Clock,
    addr: SocketAddr,
    /// Connections with kernel timeouts that close them when the peer is unresponsive.
    pool_with_timeouts: Arc<Pool>,
    /// Connections without these timeouts, for long requests that the peer may read slowly.
    pool_without_timeouts: Arc<Pool>,
}

/// Parts of the daemon that are needed to send to a peer.
pub(crate) struct Runtime<'a> {
    pub(crate) ex: &'a Executor<'static>,
    pub(crate) timers: &'a Timers,
    pub(crate) keys: &'a FleetKeys,
}

/// An attempt and the incarnation of the daemon that it is sent to.
#[derive(Clone, Copy)]
pub(crate) struct SentAttempt {
    pub(crate) owner: Incarnation,
    pub(crate) id: AttemptId,
}

/// A connection that carries one call to a peer.
pub(crate) struct PeerLease {
    lease: Lease,
    /// Whether to enable the timeouts again after the response, which is long.
    reenable_timeouts: bool,
}

impl PeerLease {
    /// Returns the connection to its pool after a complete exchange.
    pub(crate) fn give_back(self) {
        if self.reenable_timeouts && enable_timeouts(self.lease.socket()).is_err() {
            return;
        }
        self.lease.give_back();
    }
}

impl PeerLink {
    /// Creates a link without connections; they count in `totals`.
    pub(crate) fn new(addr: SocketAddr, clock: Clock, totals: &Arc<PoolTotals>) -> Self {
        let new_pool = || Pool::new(MAX_CONNECTIONS, MAX_BODY_BYTES_BEFORE_REUSE, clock, totals);
        Self {
            clock,
            addr,
            pool_with_timeouts: new_pool(),
            pool_without_timeouts: new_pool(),
        }
    }

    /// Sends a call and waits for the head of its response.
    ///
    /// Up to that point an unresponsive peer is detected, unless the request is long. The body of a long response may
    /// be as slow as its reader.
    ///
    /// The TCP timeouts don't detect an unresponsive peer if a device on the path acknowledges packets and then drops
    /// them. If the response is overdue, the status of the attempt is therefore queried from its owner.
    pub(crate) async fn send(
        &self,
        runtime: &Runtime<'_>,
        req: Request<Body>,
        attempt: SentAttempt,
    ) -> Result<(Response<Incoming>, PeerLease), SendError> {
        let has_timeouts = is_buffered_by_receiver(req.body());
        let connect = || self.connect(runtime.keys, has_timeouts);
        let pool = if has_timeouts {
            &self.pool_with_timeouts
        } else {
            &self.pool_without_timeouts
        };
        let sent = self.clock.now();
        // A daemon sends one response to a call.
        let request = KeyedRequest { req, key: None };
        let response = pool.send(runtime.ex, request, CONNECT_TIMEOUT, connect, |_| Ok(()));
        let unresponsive = async {
            if !has_timeouts {
                // The response to a long request may legitimately take long.
                return smol::future::pending().await;
            }
            pool.wait_until_suspect(runtime.timers, sent).await;
            // Boxed because it is rare and would enlarge the future of each request.
            let error = Box::pin(self.wait_for_lost_response(runtime, attempt, sent)).await;
            pool.drop_idle_unanswered_since(sent);
            Err(error)
        };
        let (res, lease) = response.or(unresponsive).await?;
        let reenable_timeouts = has_timeouts && !is_buffered_by_receiver(res.body());
        if reenable_timeouts && disable_timeouts(lease.socket()).is_err() {
            return Err(SendError::Interrupted);
        }
        Ok((
            res,
            PeerLease {
                lease,
                reenable_timeouts,
            },
        ))
    }

    async fn connect(&self, keys: &FleetKeys, has_timeouts: bool) -> io::Result<Opened> {
        let tcp = TcpStream::connect(self.addr).await?;
        if has_timeouts {
            enable_timeouts(&tcp)?;
        }
        let stream = keys.connect(tcp.clone()).await?;
        Ok(Opened {
            stream,
            socket: tcp,
        })
    }

    /// Queries the status of an attempt until it is certain that its response won't arrive.
    async fn wait_for_lost_response(
        &self,
        runtime: &Runtime<'_>,
        attempt: SentAttempt,
        sent: Now,
    ) -> SendError {
        let mut delay = STATUS_QUERY_DELAY;
        loop {
            let timeout = async {
                runtime.timers.after(STATUS_QUERY_TIMEOUT).await;
                None
            };
            match self.query_status(runtime, attempt, sent).or(timeout).await {
                Some(AttemptStatus::NeverCame) => return SendError::NeverArrived,
                Some(AttemptStatus::Over) => {
                    runtime.timers.after(RESPONSE_TRANSIT_TIME).await;
                    return SendError::AnswerLost;
                }
                // The status is unknown if the peer doesn't answer.
                Some(AttemptStatus::AtWork) | None => {}
            }
            runtime.timers.after(delay).await;
            delay = (delay * 2).min(MAX_STATUS_QUERY_DELAY);
        }
    }

    /// Queries the status of an attempt once, over a new connection that then stays in the pool.
    async fn query_status(
        &self,
        runtime: &Runtime<'_>,
        attempt: SentAttempt,
        sent: Now,
    ) -> Option<AttemptStatus> {
        let query = AttemptStatusQuery {
            owner: attempt.owner,
            attempt: attempt.id,
            sent_ms_ago: self.clock.elapsed_since(sent).as_millis() as u32,
        };
        let mut req = Request::new(body::full(""));
        headers::set(req.headers_mut(), ATTEMPT_STATUS, &query.encode());
        let connect = self.connect(runtime.keys, true);
        let response = self
            .pool_with_timeouts
            .send_new(runtime.ex, req, CONNECT_TIMEOUT, connect);
        let (res, lease) = response.await.ok()?;
        lease.give_back();
        let status = res.headers().get(ATTEMPT_STATUS)?;
        AttemptStatus::decode(status.as_bytes()).ok()
    }

    /// Drops the idle connections that are closed or that have been idle too long.
    pub(crate) fn drop_expired(&self) {
        self.pool_with_timeouts.drop_expired();
        self.pool_without_timeouts.drop_expired();
    }

    /// Drops the idle connections; calls in progress on others continue.
    pub(crate) fn drop_idle(&self) {
        self.pool_with_timeouts.drop_idle();
        self.pool_without_timeouts.drop_idle();
    }
}

/// Returns whether the daemon that receives the message buffers it completely.
fn is_buffered_by_receiver(body: &impl hyper::body::Body) -> bool {
    let max_bytes = body.size_hint().upper();
    max_bytes.is_some_and(|bytes| bytes <= MAX_BUFFERED_MESSAGE_BYTES)
}

/// Makes the kernel close a connection whose peer is unresponsive, such as a VM that lost power or network.
fn enable_timeouts(tcp: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNRESPONSIVE_TIMEOUT))
}

/// Reverts [`enable_timeouts`] while a long response is read.
fn disable_timeouts(tcp: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(tcp);
    socket.set_keepalive(false)?;
    socket.set_tcp_user_timeout(None)
}
