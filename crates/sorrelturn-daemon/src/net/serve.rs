//! Accepts connections and serves requests on them.

use crate::{
    backend::announce,
    net::connections::{Connection, ListenerKind},
    net::timers::Timers,
    node::{ActiveRequest, Node, lock},
    request::answer::Reply,
    request::body::{self, Body},
    request::entry,
    request::exchange::attempt_id,
    request::headers,
    request::nested,
    request::owner,
    request::routed::{self, ConnectionPhase},
};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use smol::{
    Timer,
    channel::Receiver,
    future::{self, FutureExt},
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
};
use sorrelturn_platform::{ReadySocket, hyper_server_io};
use sorrelturn_protocol::{
    AttemptId, AttemptStatus, AttemptStatusQuery, CallContext, Refusal,
    headers::{ATTEMPT_STATUS, CONTEXT},
};
use sorrelturn_telemetry::{Field, events};
use std::{
    convert::Infallible,
    io,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// The timeout for the next request head of callers, the own backend server and operators, idle
/// time included, so that slow senders don't occupy connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout for the next request head, idle time included, of peers, readiness checks and
/// announcements; longer than a peer reuses a connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// The idle timeout of a caller's connection on the routed listener; longer than callers reuse
/// one. Fixed, since `limits.idle_ms` of the route table may change while connections are idle.
const ROUTED_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// The timeout for the head of a request on a connection that was opened while the daemon stops,
/// so that an unused one doesn't delay the exit.
const STOPPING_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for the head of a request on a connection of a peer that closes after one response,
/// so that an unused one soon makes room. A peer sends its request as soon as it is connected.
const SURPLUS_PEER_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const CLOSE: HeaderValue = HeaderValue::from_static("close");
/// The maximum size of the head of a request, and of the unread part of a response, in bytes.
const MAX_BUF_BYTES: usize = 64 << 10;
/// The timeout for the TLS handshake of a peer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of connections per listener.
const MAX_CONNECTIONS: usize = 8_192;
/// The delay after a failed accept, and between checks whether there is room for another connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The number of idle connections to close when no file descriptor is free. With the pause between
/// two shortages, that makes room for 400 new clients per second.
const IDLE_CLOSED_ON_SHORTAGE: usize = 8;

/// Closes when its sender is dropped; connections then finish their requests and close.
pub(crate) type Closing = Receiver<()>;

/// A connection that was just accepted.
pub(crate) struct Accepted {
    pub(crate) tcp: TcpStream,
    /// Its entry among the open connections.
    pub(crate) conn: Connection,
}

/// Accepts connections until `closing` closes, and runs `serve` for each.
pub(crate) async fn accept<F>(
    node: Arc<Node>,
    listener: TcpListener,
    kind: ListenerKind,
    closing: Closing,
    serve: impl Fn(Arc<Node>, Accepted, Closing) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let next = async {
            while !node.connections.has_room(kind) {
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            Some(listener.accept().await)
        };
        let Some(accepted) = next.or(closed(&closing)).await else {
            return;
        };
        let tcp = match accepted {
            Ok((tcp, _)) => tcp,
            Err(error) => {
                if lacks_descriptors(&error) {
                    free_descriptors(&node);
                }
                record_accept_failure(&node, kind, error);
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        node.connections.set_lacks_descriptors(false);
        let is_full = node.connections.open_count(kind) >= MAX_CONNECTIONS;
        if is_full || tcp.set_nodelay(true).is_err() {
            continue;
        }
        let count = Arc::clone(&node.counts.connections);
        count.fetch_add(1, Ordering::Relaxed);
        let accepted = Accepted {
            tcp,
            conn: node.connections.open(kind),
        };
        let conn = serve(Arc::clone(&node), accepted, closing.clone());
        let counted = async move {
            conn.await;
            count.fetch_sub(1, Ordering::Relaxed);
        };
        node.ex.spawn(counted).detach();
    }
}

/// Makes room for new connections while no file descriptor is free.
fn free_descriptors(node: &Node) {
    node.connections.set_lacks_descriptors(true);
    if !node.connections.close_idle(IDLE_CLOSED_ON_SHORTAGE) {
        node.instances.load().drop_idle_connections();
    }
}

/// Records a failed accept with what holds the file descriptors.
fn record_accept_failure(node: &Node, kind: ListenerKind, error: io::Error) {
    let mut fields = vec![
        Field::new("error", error),
        Field::new("listener", kind.name()),
    ];
    for kind in ListenerKind::ALL {
        fields.push(Field::new(kind.name(), node.connections.open_count(kind)));
    }
    fields.push(Field::new("to_peers", node.peer_connections.open()));
    fields.push(Field::new("idle_to_peers", node.peer_connections.idle()));
    node.record_event(&events::ACCEPT_FAILED, fields);
}

fn lacks_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

async fn closed<T>(closing: &Closing) -> Option<T> {
    let _ = closing.recv().await;
    None
}

/// Serves a caller's connection.
pub(crate) async fn caller(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let Accepted { tcp, conn } = accepted;
    let Ok(peer) = tcp.peer_addr() else {
        return;
    };
    let ip = peer.ip();
    let timers = node.timers.clone();
    let answer = move |req: Request<Incoming>| {
        let node = Arc::clone(&node);
        async move {
            if has_ambiguous_length(&req) {
                return bad_request(&node);
            }
            entry::serve(&node, ip, req).await
        }
    };
    let stream = ReadySocket::for_server(tcp);
    let _ = http1(timers, stream, Some(&conn), HEAD_TIMEOUT, closing, answer).await;
}

/// Serves a connection for requests that match routes.
pub(crate) async fn routed(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    if closing.is_closed() {
        let serve =
            async |node: &Arc<Node>, req| routed::serve(node, req, ConnectionPhase::Draining).await;
        return plain(node, accepted, STOPPING_HEAD_TIMEOUT, closing, serve).await;
    }
    let serve =
        async |node: &Arc<Node>, req| routed::serve(node, req, ConnectionPhase::Accepting).await;
    plain(node, accepted, ROUTED_IDLE_TIMEOUT, closing, serve).await;
}

/// Serves a connection for announcements of the own backend server.
pub(crate) async fn announce(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| announce::serve(node, req).await;
    plain(node, accepted, KEEP_ALIVE_TIMEOUT, closing, serve).await;
}

/// Serves a connection for readiness checks.
pub(crate) async fn ready(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| announce::ready(node, req).await;
    plain(node, accepted, KEEP_ALIVE_TIMEOUT, closing, serve).await;
}

/// Serves a connection of the own backend server.
pub(crate) async fn local(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| nested::serve(node, req).await;
    plain(node, accepted, HEAD_TIMEOUT, closing, serve).await;
}

/// Serves an operator's connection.
pub(crate) async fn admin(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| crate::operators::admin::serve(node, req).await;
    plain(node, accepted, HEAD_TIMEOUT, closing, serve).await;
}

/// Serves a connection without TLS. Errors are ignored, since the client notices them.
async fn plain(
    node: Arc<Node>,
    accepted: Accepted,
    head_timeout: Duration,
    closing: Closing,
    serve: impl AsyncFn(&Arc<Node>, Request<Incoming>) -> Response<Body>,
) {
    let Accepted { tcp, conn } = accepted;
    let timers = node.timers.clone();
    let answer = async |req| serve(&node, req).await;
    let stream = ReadySocket::for_server(tcp);
    let _ = http1(timers, stream, Some(&conn), head_timeout, closing, answer).await;
}

/// Serves a connection. `head_timeout` limits the time until the head of each request is
/// complete, idle time included. `closable` is given if the connection may be closed for a new
/// one while it is idle.
async fn http1<F>(
    timers: Timers,
    stream: impl AsyncRead + AsyncWrite + Unpin,
    closable: Option<&Connection>,
    head_timeout: Duration,
    closing: Closing,
    answer: impl Fn(Request<Incoming>) -> F,
) -> hyper::Result<()>
where
    F: Future<Output = Response<Body>>,
{
    let service = service_fn(|req| {
        let active_guard = closable.map(Connection::mark_active);
        // Boxed, since the future around it would hold it twice.
        let answered = Box::pin(answer(req));
        async move {
            let res = answered.await;
            drop(active_guard);
            Ok::<_, Infallible>(res)
        }
    });
    // A connection that was opened during the shutdown carries one request.
    let closes_soon = closing.is_closed();
    let conn = http1::Builder::new()
        .timer(timers)
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_BUF_BYTES)
        .keep_alive(!closes_soon)
        // Daemons ignore the date; omitting it saves bytes between failure domains.
        .auto_date_header(closable.is_some())
        .serve_connection(hyper_server_io(stream), service);
    let mut conn = pin!(conn);
    if closes_soon {
        return conn.await;
    }
    let finished = async { Some(conn.as_mut().await) };
    let must_close = async {
        match closable {
            Some(conn) => conn.wait_for_close().await,
            None => future::pending().await,
        }
        None
    };
    match finished.or(closed(&closing)).or(must_close).await {
        Some(result) => result,
        None => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    }
}

/// Serves a connection of another daemon.
pub(crate) async fn peer(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    // The connection counts as open until the end of this task.
    let Accepted { tcp, conn: _conn } = accepted;
    let timed_out = async {
        Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = match node.keys.accept(tcp).or(timed_out).await {
        Ok(stream) => stream,
        Err(error) => {
            node.record_event(&events::BAD_PEER, vec![Field::new("error", error)]);
            return;
        }
    };
    let for_service = Arc::clone(&node);
    let answer = move |req: Request<Incoming>| {
        let node = Arc::clone(&for_service);
        async move {
            let mut res = peer_call(&node, req).await;
            if !node.connections.keeps_peer() {
                res.headers_mut().insert(CONNECTION, CLOSE);
            }
            res
        }
    };
    let timers = node.timers.clone();
    let head_timeout = if node.connections.keeps_peer() {
        KEEP_ALIVE_TIMEOUT
    } else {
        SURPLUS_PEER_HEAD_TIMEOUT
    };
    let result = http1(timers, stream, None, head_timeout, closing, answer).await;
    if let Err(error) = result
        && error.is_parse()
    {
        node.record_event(&events::BAD_PEER, vec![Field::new("error", error)]);
    }
}

async fn peer_call(node: &Arc<Node>, mut req: Request<Incoming>) -> Response<Body> {
    let context = req
        .headers_mut()
        .remove(CONTEXT)
        .and_then(|value| CallContext::decode(value.as_bytes()).ok());
    let Some(context) = context else {
        if let Some(res) = status_query_response(node, req.headers()) {
            return res;
        }
        node.record_event(
            &events::BAD_PEER,
            vec![Field::new(
                "error",
                "the context header is missing or malformed",
            )],
        );
        return status(StatusCode::BAD_REQUEST);
    };
    headers::strip_internal(req.headers_mut());
    let req = req.map(|body| body::with_stall_timeout(&node.timers, body, |_| {}));
    let Some(_guard) = AttemptGuard::begin(node, attempt_id(&context)) else {
        // The attempt was already declared never arrived, so it must not run. The status is
        // returned again in case the sender missed it.
        return attempt_status_response(AttemptStatus::NeverCame);
    };
    // Pinned in place: this future is large, and awaiting it directly would copy it first.
    let reply = pin!(owner::serve(node, context, req)).await;
    reply.into_peer_response()
}

/// Returns the response to a peer's query for the status of an attempt; `None` if the headers
/// hold no such query.
fn status_query_response(node: &Node, headers: &HeaderMap) -> Option<Response<Body>> {
    let query = headers.get(ATTEMPT_STATUS)?;
    let query = AttemptStatusQuery::decode(query.as_bytes()).ok()?;
    let attempt_status = if query.owner == node.incarnation {
        let sent_ago = Duration::from_millis(query.sent_ms_ago.into());
        lock(&node.attempts).status(node.now(), query.attempt, sent_ago)
    } else {
        // An earlier incarnation may have had the attempt.
        AttemptStatus::Over
    };
    node.events.record(
        &events::FATE_ASKED,
        Some(query.attempt.request),
        vec![
            Field::new("sent_ms_ago", query.sent_ms_ago),
            Field::new("fate", format!("{attempt_status:?}").to_lowercase()),
        ],
    );
    Some(attempt_status_response(attempt_status))
}

/// Returns a response with the status of an attempt.
fn attempt_status_response(attempt_status: AttemptStatus) -> Response<Body> {
    let mut res = status(StatusCode::NO_CONTENT);
    headers::set(res.headers_mut(), ATTEMPT_STATUS, &attempt_status.encode());
    res
}

/// Marks a peer's attempt as in progress until it is dropped.
struct AttemptGuard<'a> {
    node: &'a Node,
    attempt: AttemptId,
}

impl<'a> AttemptGuard<'a> {
    /// Returns `None` if the attempt may no longer run.
    fn begin(node: &'a Node, attempt: AttemptId) -> Option<Self> {
        let may_run = lock(&node.attempts).begin(node.now(), attempt);
        may_run.then_some(Self { node, attempt })
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        lock(&self.node.attempts).end(self.node.now(), self.attempt);
    }
}

/// Returns whether the headers state the length of the body in two ways, which allows request
/// smuggling.
pub(crate) fn has_ambiguous_length(req: &Request<Incoming>) -> bool {
    let headers = req.headers();
    let lengths = headers
        .get_all(hyper::header::CONTENT_LENGTH)
        .iter()
        .count();
    let chunked = headers.contains_key(hyper::header::TRANSFER_ENCODING);
    lengths > 1 || (lengths == 1 && chunked)
}

fn bad_request(node: &Arc<Node>) -> Response<Body> {
    node.record_event(&events::BAD_REQUEST, Vec::new());
    let request = sorrelturn_protocol::RequestId::random(&mut fastrand::Rng::new());
    Reply::not_run(Refusal::Malformed).into_response(request, ActiveRequest::new(node))
}

pub(crate) fn status(code: StatusCode) -> Response<Body> {
    let mut res = Response::new(body::full(""));
    *res.status_mut() = code;
    res
}
