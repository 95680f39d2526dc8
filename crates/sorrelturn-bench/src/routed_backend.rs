//! A fake backend server that uses a dialect's headers and misbehaves on command.
//!
//! It writes raw bytes, because an HTTP library wouldn't produce most of the invalid responses.

use crate::{ReservedPorts, client::answer_body};
use smol::{
    Executor, Task,
    channel::{self, Sender},
    future::FutureExt,
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};
use socket2::SockRef;
use sorrelturn_daemon::HeaderNames;
use std::{
    collections::{HashMap, HashSet},
    fmt::Write,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// What a fake backend server does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Script {
    /// Responds at once.
    #[default]
    Answers,
    /// Reports that it did not execute the request.
    SaysNotRun,
    /// Responds with the id of another request.
    AnswersAnother,
    /// Executes the request and closes the connection without a response.
    BreaksOff,
    /// Closes the connection after half of the body.
    CutsBody,
    /// Closes or resets the connection before the last bytes of its response.
    CutsResponse {
        /// How the response tells where it ends.
        framing: Framing,
        /// The number of bytes that aren't sent.
        missing: usize,
        /// Whether the connection is reset, as if the bytes in between were lost.
        resets: bool,
    },
    /// Responds without a length, and closes the connection after the body.
    AnswersUnframed,
    /// Responds with bytes of a test around its request id, and closes the connection after them.
    Writes {
        /// The status line, and what else comes before the request id.
        start: &'static str,
        /// The rest of the head, and the body.
        rest: &'static str,
    },
    /// Sends the response twice.
    AnswersTwice,
    /// Responds with status 500.
    Fails,
    /// Responds when the time left for the request has passed, or at once if none is given.
    AnswersInTheEnd,
    /// Responds after a short delay, in which a test can make nested calls.
    AnswersSoon,
    /// Responds after a delay.
    AnswersLate,
    /// Responds after a delay that is longer than a silent connection is tolerated.
    AnswersVeryLate,
    /// Never responds.
    Hangs,
    /// Begins its response after half of `ms` and completes it after all of it; the body belongs to the
    /// request's id.
    Works {
        /// The total processing time.
        ms: u64,
        /// The minimum length of the body, without its checksum.
        bytes: usize,
    },
    /// Sends half of its response and never the rest.
    Rests,
    /// Sends a body that exceeds the buffers of sockets and daemons.
    AnswersLarge,
    /// Calls [`CALL_PATH`] through its own daemon, and responds when the call has ended.
    Calls,
    /// Responds to a long request after a part of its body, and reads the rest after [`RoutedBackend::read_on`].
    AnswersEarly,
    /// Refuses each request once, and sends a copy of the refusal before the next response on its connection.
    RefusesOnce {
        /// Whether the refusals have the request's id.
        has_id: bool,
    },
    /// Sends a response, health checks included, until the daemon closes the connection.
    AnswersWithoutEnd(EndlessPart),
    /// Refuses a part of the requests and executes the others as [`Script::Works`], and sends a copy of a part of its
    /// responses in the place of the next one on the connection.
    Overloaded {
        /// The refused part of the requests.
        refused_percent: u8,
        /// The copied part of the responses.
        copied_percent: u8,
    },
}

/// The execution of a request by a backend server without a fault, in a soak and by [`Script::Overloaded`].
pub(crate) const NORMAL_WORK: Script = Script::Works { ms: 15, bytes: 800 };

/// How a response tells where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By its length, after a response with status 102.
    LengthAfterInterim,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Returns a response with [`BODY`].
    fn response(self, headers: &str) -> String {
        let with_length = response_head(200, "OK", headers, Some(BODY.len())) + BODY;
        match self {
            Self::Length => with_length,
            Self::Chunks => {
                let headers = format!("{headers}transfer-encoding: chunked\r\n");
                let (first, second) = BODY.split_at(BODY.len() / 2);
                let chunks = [first, second, ""];
                let chunks = chunks.map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
                response_head(200, "OK", &headers, None) + &chunks.concat()
            }
            Self::LengthAfterInterim => format!("HTTP/1.1 102 Processing\r\n\r\n{with_length}"),
            Self::Close => response_head(200, "OK", headers, None) + BODY,
        }
    }
}

/// The part of a response that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// The first line.
    StatusLine,
    /// A header.
    Header,
    /// Responses with status 102 before the final one.
    InterimResponses,
    /// A body without a length.
    Body,
    /// A body in chunks.
    ChunkedBody,
    /// An extension of a chunk.
    ChunkExtension,
    /// The trailers after a chunked body.
    Trailers,
}

impl EndlessPart {
    /// All parts.
    pub const ALL: [Self; 7] = [
        Self::StatusLine,
        Self::Header,
        Self::InterimResponses,
        Self::Body,
        Self::ChunkedBody,
        Self::ChunkExtension,
        Self::Trailers,
    ];

    /// Returns what comes before the endless part, and what is repeated then.
    fn bytes(self, headers: &str) -> (String, &'static str) {
        let ok = response_head(200, "OK", headers, None);
        let chunked = response_head(
            200,
            "OK",
            &format!("{headers}transfer-encoding: chunked\r\n"),
            None,
        );
        match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "x"),
            Self::Header => ("HTTP/1.1 200 OK\r\nx-long: ".to_owned(), "x"),
            Self::InterimResponses => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::Body => (ok, "x"),
            Self::ChunkedBody => (chunked, "4\r\nxxxx\r\n"),
            Self::ChunkExtension => (chunked + "4;x=", "x"),
            Self::Trailers => (chunked + "4\r\nxxxx\r\n0\r\n", "x-trailer: x\r\n"),
        }
    }
}

/// A request that was dropped because its connection was closed.
#[derive(Clone, Debug)]
pub struct Cancelled {
    /// Method, target and protocol.
    pub line: String,
    /// When the close was noticed.
    pub at: Instant,
}

/// A request as the backend server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method, target and protocol.
    pub line: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When it was read.
    pub at: Instant,
}

/// Called before the response with each request for this incarnation, and with the script for it.
pub(crate) type Observer = Arc<dyn Fn(&ReceivedRequest, Script) + Send + Sync>;

/// A fake backend server; clones share their state.
#[derive(Clone)]
pub struct RoutedBackend {
    names: HeaderNames,
    state: Arc<Mutex<State>>,
    observer: Option<Observer>,
}

struct State {
    id: String,
    /// Keeps the port reserved while the backend server is down.
    reserved_ports: ReservedPorts,
    addr: Option<SocketAddr>,
    /// Dropped at a crash, which ends the listener and the connections.
    running_tx: Option<Sender<()>>,
    /// Ends once the port has no listener any more.
    listener_task: Option<Task<()>>,
    /// Requests whose first line or body contains this text crash the backend server.
    crash_mark: Option<String>,
    crash_delay: Duration,
    /// Requests whose first line contains this text never get a response.
    hang_mark: Option<String>,
    crash_count: usize,
    script: Script,
    /// Lines that are added to the head of each response.
    extra_headers: String,
    received_requests: Vec<ReceivedRequest>,
    executed_requests: Vec<ReceivedRequest>,
    cancelled: Vec<Cancelled>,
    connection_count: usize,
    daemon: Option<SocketAddr>,
    /// The requests whose first line contains the first text make a call to the second one before their response.
    call: Option<(String, String)>,
    /// Whether the bodies of requests that were answered early are read.
    reads_on: bool,
    /// The ids of the requests that [`Script::RefusesOnce`] has refused.
    refused_ids: HashSet<String>,
}

/// The body of each response.
pub const BODY: &str = "the whole answer of the backend server";
/// The announced idle timeout of connections, in seconds.
pub const IDLE_TIMEOUT_S: u64 = 1;
const SOON_DELAY: Duration = Duration::from_millis(100);
/// The path of the nested call of [`Script::Calls`].
pub const CALL_PATH: &str = "/call/1";
/// The end of the id of a nested call.
pub const CALL_SUFFIX: &str = "-call";
/// The time in which the bytes before a reset arrive; those that haven't been read by then are lost.
const RESET_DELAY: Duration = Duration::from_millis(5);
/// The default execution time of a request that crashes the backend server.
const DEFAULT_CRASH_DELAY: Duration = Duration::from_millis(60);
const LARGE_BODY_BYTES: usize = 50_000_000;
/// The time for which scripts that never respond keep the connection open.
const HANG_DURATION: Duration = Duration::from_secs(60);
const LATE_DELAY: Duration = Duration::from_millis(300);
const VERY_LATE_DELAY: Duration = Duration::from_secs(3);
/// How much of a body [`Script::AnswersEarly`] reads before its response.
const EARLY_READ_BYTES: usize = 16 << 10;
/// How often [`Script::AnswersWithoutEnd`] repeats its endless part in one write.
const REPETITIONS: usize = 4096;
const READ_ON_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The header that marks responses of a backend server.
pub const SIGNATURE: &str = "x-signature";

impl RoutedBackend {
    /// Creates a backend server with this id.
    pub fn new(names: &HeaderNames, id: &str) -> Self {
        let state = State {
            id: id.to_owned(),
            reserved_ports: ReservedPorts::default(),
            addr: None,
            running_tx: None,
            listener_task: None,
            crash_mark: None,
            crash_delay: DEFAULT_CRASH_DELAY,
            hang_mark: None,
            crash_count: 0,
            script: Script::default(),
            extra_headers: String::new(),
            received_requests: Vec::new(),
            executed_requests: Vec::new(),
            cancelled: Vec::new(),
            connection_count: 0,
            daemon: None,
            call: None,
            reads_on: false,
            refused_ids: HashSet::new(),
        };
        Self {
            names: names.clone(),
            state: Arc::new(Mutex::new(state)),
            observer: None,
        }
    }

    /// As [`RoutedBackend::new`], but reports requests to `observer` and stores none, so that it can run for long.
    pub(crate) fn with_observer(names: &HeaderNames, id: &str, observer: Observer) -> Self {
        Self {
            observer: Some(observer),
            ..Self::new(names, id)
        }
    }

    /// Serves on a free port until the executor ends or the backend server crashes.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn serve(&self, ex: &Arc<Executor<'static>>) -> io::Result<SocketAddr> {
        let addr = self.lock().reserved_ports.reserve()?;
        self.lock().addr = Some(addr);
        self.listen(ex, addr).await?;
        Ok(addr)
    }

    /// Serves again after a crash, as another incarnation with this id.
    ///
    /// # Errors
    ///
    /// If it never served, or its port can't be bound.
    pub async fn restart_after_crash(
        &self,
        ex: &Arc<Executor<'static>>,
        id: &str,
    ) -> io::Result<()> {
        let addr = self.lock().addr.ok_or(io::ErrorKind::NotConnected)?;
        self.restart_with_id(id);
        let crashed = self.lock().listener_task.take();
        if let Some(crashed) = crashed {
            crashed.await;
        }
        self.listen(ex, addr).await
    }

    async fn listen(&self, ex: &Arc<Executor<'static>>, addr: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(addr).await?;
        let (running_tx, crash_rx) = channel::bounded::<()>(1);
        self.lock().running_tx = Some(running_tx);
        let (backend, connection_ex, crash) = (self.clone(), Arc::clone(ex), crash_rx.clone());
        let accept = async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let (backend, crash) = (backend.clone(), crash.clone());
                // Tests break connections on purpose, so errors are ignored.
                let connection_task = async move {
                    backend.lock().connection_count += 1;
                    let crashed = async {
                        let _ = crash.recv().await;
                        Ok(())
                    };
                    let served = backend.serve_connection(tcp).or(crashed).await;
                    served.unwrap_or_default();
                    backend.lock().connection_count -= 1;
                };
                connection_ex.spawn(connection_task).detach();
            }
        };
        let crashed = async move {
            let _ = crash_rx.recv().await;
        };
        self.lock().listener_task = Some(ex.spawn(accept.or(crashed)));
        Ok(())
    }

    /// Crashes the backend server: stops the listener and closes all connections without a response.
    pub fn crash(&self) {
        let mut state = self.lock();
        if state.running_tx.take().is_some() {
            state.crash_count += 1;
        }
    }

    /// Crashes from now on at each request whose first line or body contains `mark`.
    pub fn crash_on(&self, mark: &str) {
        self.lock().crash_mark = Some(mark.to_owned());
    }

    /// Never responds from now on to a request whose first line contains `mark`.
    pub fn hang_on(&self, mark: &str) {
        self.lock().hang_mark = Some(mark.to_owned());
    }

    fn hangs_on(&self, req: &ReceivedRequest) -> bool {
        let state = self.lock();
        let mark = state.hang_mark.as_deref();
        mark.is_some_and(|mark| req.line.contains(mark))
    }

    /// Sets the execution time of a request before it crashes the backend server, even if the caller has gone.
    pub fn set_crash_delay(&self, delay: Duration) {
        self.lock().crash_delay = delay;
    }

    /// The number of crashes.
    pub fn crashes(&self) -> usize {
        self.lock().crash_count
    }

    /// Whether the backend server is running.
    pub fn is_up(&self) -> bool {
        self.lock().running_tx.is_some()
    }

    fn is_crashed_by(&self, req: &ReceivedRequest) -> bool {
        let state = self.lock();
        let mark = state.crash_mark.as_deref();
        mark.is_some_and(|mark| {
            req.line.contains(mark) || String::from_utf8_lossy(&req.body).contains(mark)
        })
    }

    /// Plays a script for all requests from now on.
    pub fn play(&self, script: Script) {
        self.lock().script = script;
    }

    /// Adds headers to all responses from now on, in place of those added before.
    pub fn add_headers(&self, headers: &[(&str, &str)]) {
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        self.lock().extra_headers = lines.collect();
    }

    /// Sets the daemon for the backend server's own calls.
    pub fn call_via(&self, daemon: SocketAddr) {
        self.lock().daemon = Some(daemon);
    }

    /// Makes requests whose first line contains `mark` call `path` through [`RoutedBackend::call_via`] before they are
    /// answered. The id of the call is that of the request followed by [`CALL_SUFFIX`].
    pub fn call_for(&self, mark: &str, path: &str) {
        self.lock().call = Some((mark.to_owned(), path.to_owned()));
    }

    fn call_path(&self, req: &ReceivedRequest) -> Option<String> {
        let state = self.lock();
        let (mark, path) = state.call.as_ref()?;
        req.line.contains(mark).then(|| path.clone())
    }

    /// Reads the bodies of requests that were answered early.
    pub fn read_on(&self) {
        self.lock().reads_on = true;
    }

    /// Makes the backend server another incarnation with this id.
    pub fn restart_with_id(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// The id.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// All received requests.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().received_requests.clone()
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.lock().connection_count
    }

    /// The requests whose execution began.
    pub fn executed_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().executed_requests.clone()
    }

    /// The requests that were dropped because their connections were closed.
    pub fn cancelled(&self) -> Vec<Cancelled> {
        self.lock().cancelled.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve_connection(&self, tcp: TcpStream) -> io::Result<()> {
        let mut tcp = BufReader::new(tcp);
        let mut late_copy: Option<String> = None;
        while let Some(mut req) = read_head(&mut tcp).await? {
            let length = body_length(&req);
            let answers_early =
                self.lock().script == Script::AnswersEarly && length > EARLY_READ_BYTES;
            let first_length = if answers_early {
                EARLY_READ_BYTES
            } else {
                length
            };
            read_body(&mut tcp, &mut req, first_length).await?;
            let (script, id) = {
                let mut state = self.lock();
                if self.observer.is_none() {
                    state.received_requests.push(req.clone());
                }
                (state.script, state.id.clone())
            };
            let (script, is_copied) = draw(script);
            let expected = req.headers.get(self.names.expected_backend.as_str());
            if expected.is_some_and(|expected| *expected != id) {
                let id_header = format!("{}: {id}\r\n", self.names.backend_id);
                let response = response_head(421, "Misdirected Request", &id_header, Some(0));
                tcp.get_mut().write_all(response.as_bytes()).await?;
                continue;
            }
            if let Some(copy) = late_copy.take() {
                tcp.get_mut().write_all(copy.as_bytes()).await?;
            }
            if let Script::RefusesOnce { has_id } = script
                && let Some(refusal) = self.refuse_once(&req, has_id)
            {
                tcp.get_mut().write_all(refusal.as_bytes()).await?;
                late_copy = Some(refusal);
                continue;
            }
            if is_copied && req.headers.contains_key(self.names.request_id.as_str()) {
                late_copy = Some(self.copy_of_response(&req, script));
            }
            if let Some(observer) = &self.observer {
                observer(&req, script);
            } else if script != Script::SaysNotRun {
                self.lock().executed_requests.push(req.clone());
            }
            if self.is_crashed_by(&req) {
                let delay = self.lock().crash_delay;
                smol::Timer::after(delay).await;
                self.crash();
                return Ok(());
            }
            if answers_early {
                self.answer_early(&mut tcp, &mut req, length).await?;
                continue;
            }
            let sender = tcp.get_ref().clone();
            let script = match self.hangs_on(&req) {
                true => Script::Hangs,
                false => script,
            };
            let response = self.respond(&mut tcp, &req, script);
            match response.or(wait_for_close(&sender)).await {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(_) if self.observer.is_some() => return Ok(()),
                Err(_) => {
                    let (line, at) = (req.line, Instant::now());
                    self.lock().cancelled.push(Cancelled { line, at });
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Returns a refusal if the request wasn't refused before.
    fn refuse_once(&self, req: &ReceivedRequest, has_id: bool) -> Option<String> {
        let name = &self.names.request_id;
        let id = req.headers.get(name.as_str())?;
        let is_new = self.lock().refused_ids.insert(id.clone());
        let id_header = if has_id {
            format!("{name}: {id}\r\n")
        } else {
            String::new()
        };
        is_new.then(|| self.refusal(&id_header))
    }

    /// Returns a response that says that the request didn't run, with these headers besides.
    fn refusal(&self, headers: &str) -> String {
        let headers = format!("{headers}{}: 1\r\n", self.names.not_run);
        response_head(503, "Service Unavailable", &headers, Some(0))
    }

    /// Returns what [`Script::SaysNotRun`] or [`Script::Works`] responds.
    fn copy_of_response(&self, req: &ReceivedRequest, script: Script) -> String {
        let name = &self.names.request_id;
        let id = req.headers.get(name.as_str()).cloned().unwrap_or_default();
        if let Script::Works { bytes, .. } = script {
            let body = answer_body(&id, bytes);
            let headers = format!("{name}: {id}\r\n{SIGNATURE}: {id}\r\n");
            return response_head(200, "OK", &headers, Some(body.len()))
                + &String::from_utf8_lossy(&body);
        }
        self.refusal(&format!("{name}: {id}\r\n"))
    }

    /// Responds, and reads the rest of the body once [`RoutedBackend::read_on`] was called.
    async fn answer_early(
        &self,
        tcp: &mut BufReader<TcpStream>,
        req: &mut ReceivedRequest,
        length: usize,
    ) -> io::Result<()> {
        self.respond(tcp, req, Script::Answers).await?;
        while !self.lock().reads_on {
            smol::Timer::after(READ_ON_POLL_INTERVAL).await;
        }
        read_body(tcp, req, length).await
    }

    /// Returns whether the connection stays open.
    async fn respond(
        &self,
        tcp: &mut BufReader<TcpStream>,
        req: &ReceivedRequest,
        script: Script,
    ) -> io::Result<bool> {
        let name = &self.names.request_id;
        let request_id = req.headers.get(name.as_str()).cloned().unwrap_or_default();
        let mut extra = self.lock().extra_headers.clone();
        if self.observer.is_some() && request_id.is_empty() {
            // A health check.
            extra += &format!("{}: {}\r\n", self.names.backend_id, self.id());
        }
        if !extra.contains("keep-alive:") {
            extra += &format!("keep-alive: timeout={IDLE_TIMEOUT_S}\r\n");
        }
        let response_headers =
            format!("{name}: {request_id}\r\n{SIGNATURE}: {request_id}\r\n{extra}");
        let full_response = match &self.observer {
            Some(_) => {
                let body = answer_body(&request_id, 0);
                response_head(200, "OK", &response_headers, Some(body.len()))
                    + &String::from_utf8_lossy(&body)
            }
            None => response_head(200, "OK", &response_headers, Some(BODY.len())) + BODY,
        };
        let (bytes, stays_open) = match script {
            Script::Answers => (full_response, true),
            Script::SaysNotRun => {
                let headers = format!("{name}: {request_id}\r\n{extra}");
                (self.refusal(&headers), true)
            }
            Script::AnswersAnother => {
                let foreign_headers = format!("{name}: another\r\n{SIGNATURE}: another\r\n");
                (
                    response_head(200, "OK", &foreign_headers, Some(BODY.len())) + BODY,
                    true,
                )
            }
            Script::BreaksOff => return Ok(false),
            Script::CutsBody => {
                let half = &BODY[..BODY.len() / 2];
                (
                    response_head(200, "OK", &response_headers, Some(BODY.len())) + half,
                    false,
                )
            }
            Script::CutsResponse {
                framing,
                missing,
                resets,
            } => {
                let response = framing.response(&response_headers);
                let sent = response.len().saturating_sub(missing);
                let sent = &response.as_bytes()[..sent];
                tcp.get_mut().write_all(sent).await?;
                if resets {
                    smol::Timer::after(RESET_DELAY).await;
                    SockRef::from(tcp.get_ref()).set_linger(Some(Duration::ZERO))?;
                }
                return Ok(false);
            }
            Script::AnswersUnframed => (
                response_head(200, "OK", &response_headers, None) + BODY,
                false,
            ),
            Script::Writes { start, rest } => {
                let id_header = format!("{name}: {request_id}\r\n");
                (start.to_owned() + &id_header + rest, false)
            }
            Script::AnswersTwice => (full_response.clone() + &full_response, true),
            Script::Fails => (
                response_head(500, "Internal Server Error", &response_headers, Some(0)),
                true,
            ),
            Script::Hangs => {
                smol::Timer::after(HANG_DURATION).await;
                return Ok(false);
            }
            Script::AnswersInTheEnd => {
                let time_left = req.headers.get(self.names.time_left_ms.as_str());
                let time_left_ms = time_left.and_then(|ms| ms.parse().ok()).unwrap_or_default();
                smol::Timer::after(Duration::from_millis(time_left_ms)).await;
                (full_response, true)
            }
            Script::AnswersSoon => {
                smol::Timer::after(SOON_DELAY).await;
                (full_response, true)
            }
            Script::AnswersLate => {
                smol::Timer::after(LATE_DELAY).await;
                (full_response, true)
            }
            Script::Works { ms, bytes } => {
                let body = answer_body(&request_id, bytes);
                let (first_half, second_half) = body.split_at(body.len() / 2);
                let head = response_head(200, "OK", &response_headers, Some(body.len()));
                let half = Duration::from_millis(ms / 2);
                smol::Timer::after(half).await;
                if let Some(path) = self.call_path(req) {
                    // The daemon may be gone; the request itself doesn't depend on the call.
                    let _ = self.call(&request_id, &path).await;
                }
                tcp.get_mut().write_all(head.as_bytes()).await?;
                tcp.get_mut().write_all(first_half).await?;
                smol::Timer::after(half).await;
                tcp.get_mut().write_all(second_half).await?;
                return Ok(true);
            }
            Script::Rests => {
                let half = response_head(200, "OK", &response_headers, Some(BODY.len()))
                    + &BODY[..BODY.len() / 2];
                tcp.get_mut().write_all(half.as_bytes()).await?;
                smol::Timer::after(HANG_DURATION).await;
                return Ok(false);
            }
            Script::AnswersLarge => {
                let large = response_head(200, "OK", &response_headers, Some(LARGE_BODY_BYTES));
                (large + &"x".repeat(LARGE_BODY_BYTES), true)
            }
            Script::Calls => {
                self.call(&request_id, CALL_PATH).await?;
                (full_response, true)
            }
            Script::AnswersWithoutEnd(part) => {
                let (start, repeated) = part.bytes(&response_headers);
                tcp.get_mut().write_all(start.as_bytes()).await?;
                let repeated = repeated.repeat(REPETITIONS);
                loop {
                    tcp.get_mut().write_all(repeated.as_bytes()).await?;
                    smol::future::yield_now().await;
                }
            }
            // Short requests have no rest to read, and the second sending of one is answered.
            Script::AnswersEarly | Script::RefusesOnce { .. } | Script::Overloaded { .. } => {
                (full_response, true)
            }
            Script::AnswersVeryLate => {
                smol::Timer::after(VERY_LATE_DELAY).await;
                (full_response, true)
            }
        };
        tcp.get_mut().write_all(bytes.as_bytes()).await?;
        Ok(stays_open)
    }

    /// Makes a nested call for the request `parent`; dropping the future closes the connection.
    async fn call(&self, parent: &str, path: &str) -> io::Result<()> {
        let daemon = self.lock().daemon.ok_or(io::ErrorKind::NotConnected)?;
        let mut tcp = TcpStream::connect(daemon).await?;
        let id = &self.names.request_id;
        let req = format!(
            "GET {path} HTTP/1.1\r\nhost: h.example\r\n{id}: {parent}{CALL_SUFFIX}\r\n\
             connection: close\r\n\r\n"
        );
        tcp.write_all(req.as_bytes()).await?;
        tcp.read_to_end(&mut Vec::new()).await?;
        Ok(())
    }
}

/// Returns what a script does with one request, and whether its response is copied.
fn draw(script: Script) -> (Script, bool) {
    let Script::Overloaded {
        refused_percent,
        copied_percent,
    } = script
    else {
        return (script, false);
    };
    let script = match fastrand::u8(..100) < refused_percent {
        true => Script::SaysNotRun,
        false => NORMAL_WORK,
    };
    (script, fastrand::u8(..100) < copied_percent)
}

/// Fails when the peer closes the connection; the peer isn't expected to send anything until then.
async fn wait_for_close(tcp: &TcpStream) -> io::Result<bool> {
    match tcp.peek(&mut [0]).await? {
        0 => Err(io::ErrorKind::ConnectionAborted.into()),
        _ => std::future::pending().await,
    }
}

fn response_head(status: u16, reason: &str, headers: &str, length: Option<usize>) -> String {
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n{headers}");
    if let Some(length) = length {
        write!(text, "content-length: {length}\r\n").expect("a string takes every text");
    }
    text + "\r\n"
}

/// Reads a request without its body. Returns `None` at the end of the connection.
async fn read_head(tcp: &mut BufReader<TcpStream>) -> io::Result<Option<ReceivedRequest>> {
    let mut line = String::new();
    if tcp.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        tcp.read_line(&mut header).await?;
        let Some((name, value)) = header.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(Some(ReceivedRequest {
        line: line.trim().to_owned(),
        headers,
        body: Vec::new(),
        at: Instant::now(),
    }))
}

fn body_length(req: &ReceivedRequest) -> usize {
    let length = req.headers.get("content-length");
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Reads on until `length` bytes of the body are read.
async fn read_body(
    tcp: &mut BufReader<TcpStream>,
    req: &mut ReceivedRequest,
    length: usize,
) -> io::Result<()> {
    let start = req.body.len();
    req.body.resize(length, 0);
    tcp.read_exact(&mut req.body[start..]).await?;
    req.at = Instant::now();
    Ok(())
}
