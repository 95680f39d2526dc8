//! The listeners and their connections.

use crate::{
    backend::announce,
    net::connections::Connection,
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
    HeaderMap, Request, Response, StatusCode, body::Incoming, server::conn::http1,
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
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// The longest time for the head of a request, so that slow senders hold no connection for long.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// The longest time that a connection of a peer rests; longer than the peer would use it again.
const PEER_IDLE_TIME: Duration = Duration::from_secs(60);
/// The longest time that a connection of a caller rests where routes tell kinds. The operators'
/// limit changes while connections rest; this is longer than any that callers would use again.
const ROUTED_IDLE_TIME: Duration = Duration::from_secs(120);
/// The longest time for the head of a request on a connection that was opened while the daemon stops, so that
/// one that carries nothing doesn't hold the exit for two seconds.
const ENDING_HEAD_TIME: Duration = Duration::from_millis(500);
/// The largest head of a request, in bytes, and what a reader may leave unread.
const BUF_LIMIT_BYTES: usize = 64 << 10;
/// The longest time for a peer to prove that it belongs to the fleet.
const HANDSHAKE_TIME: Duration = Duration::from_secs(5);
/// The most connections of one listener.
const MAX_CONNECTIONS: usize = 8_192;
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// So many connections that rest end when file descriptors are short: with the pause, room for 400 new
/// clients a second.
const ENDED_FOR_ROOM: usize = 8;

/// Ends when its sender is dropped; connections then finish what they carry and close.
pub(crate) type Closing = Receiver<()>;

/// A connection that was just accepted.
pub(crate) struct Accepted {
    /// Its socket.
    pub(crate) tcp: TcpStream,
    /// Its place among the open ones.
    pub(crate) conn: Connection,
}

/// Accepts connections until `closing` ends, and runs `serve` for each.
pub(crate) async fn accept<F>(
    node: Arc<Node>,
    listener: TcpListener,
    closing: Closing,
    serve: impl Fn(Arc<Node>, Accepted, Closing) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let next = async { Some(listener.accept().await) };
        let Some(accepted) = next.or(closed(&closing)).await else {
            return;
        };
        let tcp = match accepted {
            Ok((tcp, _)) => tcp,
            Err(error) => {
                if lacks_descriptors(&error) {
                    node.connections.end_resting(ENDED_FOR_ROOM);
                }
                node.record_event(&events::ACCEPT_FAILED, vec![Field::new("error", error)]);
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let full = open.load(Ordering::Relaxed) >= MAX_CONNECTIONS;
        if full || tcp.set_nodelay(true).is_err() {
            continue;
        }
        let counts = [Arc::clone(&open), Arc::clone(&node.counts.connections)];
        for count in &counts {
            count.fetch_add(1, Ordering::Relaxed);
        }
        let accepted = Accepted {
            tcp,
            conn: node.connections.open(),
        };
        let conn = serve(Arc::clone(&node), accepted, closing.clone());
        let counted = async move {
            conn.await;
            for count in counts {
                count.fetch_sub(1, Ordering::Relaxed);
            }
        };
        node.ex.spawn(counted).detach();
    }
}

fn lacks_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

async fn closed<T>(closing: &Closing) -> Option<T> {
    let _ = closing.recv().await;
    None
}

/// A connection of a caller.
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
            if ambiguous(&req) {
                return bad_request(&node);
            }
            entry::serve(&node, ip, req).await
        }
    };
    let stream = ReadySocket::for_server(tcp);
    let _ = http1(timers, stream, Some(&conn), HEAD_TIME, closing, answer).await;
}

/// A connection for requests that are told by routes.
pub(crate) async fn routed(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    if closing.is_closed() {
        let serve =
            async |node: &Arc<Node>, req| routed::serve(node, req, ConnectionPhase::Draining).await;
        return plain(node, accepted, ENDING_HEAD_TIME, closing, serve).await;
    }
    let serve =
        async |node: &Arc<Node>, req| routed::serve(node, req, ConnectionPhase::Accepting).await;
    plain(node, accepted, ROUTED_IDLE_TIME, closing, serve).await;
}

/// A connection of the own backend server that announces itself.
pub(crate) async fn announce(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| announce::serve(node, req).await;
    plain(node, accepted, PEER_IDLE_TIME, closing, serve).await;
}

/// A connection of whoever asks whether this daemon is ready.
pub(crate) async fn ready(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| announce::ready(node, req).await;
    plain(node, accepted, PEER_IDLE_TIME, closing, serve).await;
}

/// A connection of the own backend server.
pub(crate) async fn local(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| nested::serve(node, req).await;
    plain(node, accepted, HEAD_TIME, closing, serve).await;
}

/// A connection of an operator.
pub(crate) async fn admin(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let serve = async |node: &Arc<Node>, req| crate::operators::admin::serve(node, req).await;
    plain(node, accepted, HEAD_TIME, closing, serve).await;
}

/// A connection without anything between TCP and the requests on it. How it ends is of no interest:
/// whoever asked sees it.
async fn plain(
    node: Arc<Node>,
    accepted: Accepted,
    head_time: Duration,
    closing: Closing,
    serve: impl AsyncFn(&Arc<Node>, Request<Incoming>) -> Response<Body>,
) {
    let Accepted { tcp, conn } = accepted;
    let timers = node.timers.clone();
    let answer = async |req| serve(&node, req).await;
    let stream = ReadySocket::for_server(tcp);
    let _ = http1(timers, stream, Some(&conn), head_time, closing, answer).await;
}

/// Serves a connection; `head_time` is the longest time for the head of each request, the wait for
/// it included. `ends_for_room` is given where the connection may end for a new one while it rests.
async fn http1<F>(
    timers: Timers,
    stream: impl AsyncRead + AsyncWrite + Unpin,
    ends_for_room: Option<&Connection>,
    head_time: Duration,
    closing: Closing,
    answer: impl Fn(Request<Incoming>) -> F,
) -> hyper::Result<()>
where
    F: Future<Output = Response<Body>>,
{
    let service = service_fn(|req| {
        let carries = ends_for_room.map(Connection::carries);
        let answered = answer(req);
        async move {
            let res = answered.await;
            drop(carries);
            Ok::<_, Infallible>(res)
        }
    });
    // Opened while connections close: it carries one request.
    let ends_soon = closing.is_closed();
    let conn = http1::Builder::new()
        .timer(timers)
        .header_read_timeout(head_time)
        .max_buf_size(BUF_LIMIT_BYTES)
        .keep_alive(!ends_soon)
        // Between daemons nobody reads the date; each byte of a short call's answer crosses failure domains.
        .auto_date_header(ends_for_room.is_some())
        .serve_connection(hyper_server_io(stream), service);
    let mut conn = pin!(conn);
    if ends_soon {
        return conn.await;
    }
    let finished = async { Some(conn.as_mut().await) };
    let ended = async {
        match ends_for_room {
            Some(conn) => conn.ended().await,
            None => future::pending().await,
        }
        None
    };
    match finished.or(closed(&closing)).or(ended).await {
        Some(result) => result,
        None => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    }
}

/// A connection of another daemon.
pub(crate) async fn peer(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let Accepted { tcp, conn } = accepted;
    // It never ends for a new one: a call that crosses the end would count as one that may have run.
    let _carries = conn.carries();
    let too_late = async {
        Timer::after(HANDSHAKE_TIME).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = match node.keys.accept(tcp).or(too_late).await {
        Ok(stream) => stream,
        Err(error) => {
            node.record_event(&events::BAD_PEER, vec![Field::new("error", error)]);
            return;
        }
    };
    let for_service = Arc::clone(&node);
    let answer = move |req: Request<Incoming>| {
        let node = Arc::clone(&for_service);
        async move { peer_call(&node, req).await }
    };
    let timers = node.timers.clone();
    let result = http1(timers, stream, None, PEER_IDLE_TIME, closing, answer).await;
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
        if let Some(fate) = fate(node, req.headers()) {
            return fate;
        }
        node.record_event(&events::BAD_PEER, vec![Field::new("error", "no context")]);
        return status(StatusCode::BAD_REQUEST);
    };
    headers::strip_internal(req.headers_mut());
    let req = req.map(|body| body::guarded(&node.timers, body, |_| {}));
    let Some(_guard) = AttemptGuard::begin(node, attempt_id(&context)) else {
        // Its sender was told that it never came, or had given the question up before this word was out: then it
        // hears it now, and may send another attempt.
        return told(AttemptStatus::NeverCame);
    };
    owner::serve(node, context, req).await.into_peer_response()
}

/// The answer to a peer that asks what became of an attempt; `None` if it doesn't ask.
fn fate(node: &Node, headers: &HeaderMap) -> Option<Response<Body>> {
    let question = headers.get(ATTEMPT_STATUS)?;
    let question = AttemptStatusQuery::decode(question.as_bytes()).ok()?;
    let fate = if question.owner == node.incarnation {
        let sent_ago = Duration::from_millis(question.sent_ms_ago.into());
        lock(&node.attempts).status(node.now(), question.attempt, sent_ago)
    } else {
        // An earlier run had it, or not.
        AttemptStatus::Over
    };
    node.events.record(
        &events::FATE_ASKED,
        Some(question.attempt.request),
        vec![
            Field::new("sent_ms_ago", question.sent_ms_ago),
            Field::new("fate", format!("{fate:?}").to_lowercase()),
        ],
    );
    Some(told(fate))
}

/// The word on what became of an attempt.
fn told(fate: AttemptStatus) -> Response<Body> {
    let mut res = status(StatusCode::NO_CONTENT);
    headers::set(res.headers_mut(), ATTEMPT_STATUS, &fate.encode());
    res
}

/// Counts an attempt of a peer as at work while it lives.
struct AttemptGuard<'a> {
    node: &'a Node,
    attempt: AttemptId,
}

impl<'a> AttemptGuard<'a> {
    /// `None` if the attempt may not run any more.
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

/// Two ways to tell where a body ends are a way to smuggle a request behind another one.
pub(crate) fn ambiguous(req: &Request<Incoming>) -> bool {
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
