//! A fake backend server that speaks a dialect's headers, and misbehaves on command.
//!
//! It writes its answers byte by byte, because most of what it has to play can't be said through a
//! library that keeps to the protocol.

use crate::{ReservedPorts, client::answer_body};
use smol::{
    Executor, Task,
    channel::{self, Sender},
    future::FutureExt,
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};
use sorrelturn_daemon::HeaderNames;
use std::{
    collections::HashMap,
    fmt::Write,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// What it does with the next requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Script {
    /// It answers.
    #[default]
    Answers,
    /// It says that it did not run the request.
    SaysNotRun,
    /// It answers under the id of another request.
    AnswersAnother,
    /// It runs the request and closes the connection without a word.
    BreaksOff,
    /// It ends its answer after half of the body.
    CutsBody,
    /// It answers without a length, and closes the connection behind the body.
    AnswersUnframed,
    /// It sends a second answer behind the first.
    AnswersTwice,
    /// It fails.
    Fails,
    /// It answers when the time that it was given is over, or at once without a time.
    AnswersInTheEnd,
    /// It works as long as a call of its own would take.
    AnswersSoon,
    /// It answers after a while.
    AnswersLate,
    /// It answers after longer than a silent connection is borne.
    AnswersVeryLate,
    /// It never answers.
    Hangs,
    /// It begins its answer after a while, and ends it after as long again; the body belongs to the request's
    /// id.
    Works {
        /// How long it takes in all, in milliseconds.
        ms: u64,
        /// The least length of the body, without its checksum.
        bytes: usize,
    },
    /// It sends half of its answer and never the rest.
    Rests,
    /// It sends a body that is larger than what sockets and daemons hold of it.
    AnswersLarge,
    /// It asks its own daemon for [`CALL_PATH`], and answers when that is over.
    Calls,
}

/// A request that was dropped because its connection was closed.
#[derive(Clone, Debug)]
pub struct Cancelled {
    /// Method, target and protocol.
    pub line: String,
    /// When the close was seen.
    pub at: Instant,
}

/// A request as it reached the backend server.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method, target and protocol.
    pub line: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Is told of each request that is meant for this run of the backend server, and what is done with it, before
/// it is answered.
pub(crate) type Watcher = Arc<dyn Fn(&ReceivedRequest, Script) + Send + Sync>;

/// The fake.
#[derive(Clone)]
pub struct RoutedBackend {
    names: HeaderNames,
    state: Arc<Mutex<State>>,
    watcher: Option<Watcher>,
}

struct State {
    id: String,
    /// Its port, which stays its own while it is down.
    ports: ReservedPorts,
    addr: Option<SocketAddr>,
    /// Dropped when it crashes: its listener and its connections end.
    running: Option<Sender<()>>,
    /// Ends when nothing listens at its port any more.
    listens: Option<Task<()>>,
    /// It crashes when it has run a request whose first line or body holds this.
    crashes_by: Option<String>,
    crashes_after: Duration,
    crashes: usize,
    script: Script,
    reached: Vec<ReceivedRequest>,
    ran: Vec<ReceivedRequest>,
    cancelled: Vec<Cancelled>,
    connections: usize,
    daemon: Option<SocketAddr>,
}

/// The body of each answer.
pub const BODY: &str = "the whole answer of the backend server";
/// How long it says that connections may rest, in seconds.
pub const IDLE_TIMEOUT_S: u64 = 1;
/// How long it works where a test makes calls for it meanwhile.
const SOON: Duration = Duration::from_millis(100);
/// What it asks of its daemon while it works on a request.
pub const CALL_PATH: &str = "/call/1";
/// How long it runs a request that crashes it: as long as one that it answers soon.
const CRASHES_AFTER: Duration = Duration::from_millis(60);
/// The size of a large answer.
const LARGE_BYTES: usize = 50_000_000;
/// How long it stays silent where it never answers.
const HANG_TIME: Duration = Duration::from_secs(60);
/// How late it answers.
const LATE: Duration = Duration::from_millis(300);
/// How late it answers at most.
const VERY_LATE: Duration = Duration::from_secs(3);
/// The header that marks an answer of a backend server.
pub const SIGNATURE: &str = "x-signature";

impl RoutedBackend {
    /// A backend server under this id.
    pub fn new(names: &HeaderNames, id: &str) -> Self {
        let state = State {
            id: id.to_owned(),
            ports: ReservedPorts::default(),
            addr: None,
            running: None,
            listens: None,
            crashes_by: None,
            crashes_after: CRASHES_AFTER,
            crashes: 0,
            script: Script::default(),
            reached: Vec::new(),
            ran: Vec::new(),
            cancelled: Vec::new(),
            connections: 0,
            daemon: None,
        };
        Self {
            names: names.clone(),
            state: Arc::new(Mutex::new(state)),
            watcher: None,
        }
    }

    /// A backend server that tells `watcher` of all requests and keeps none, so that it can run for long.
    pub(crate) fn watched(names: &HeaderNames, id: &str, watcher: Watcher) -> Self {
        Self {
            watcher: Some(watcher),
            ..Self::new(names, id)
        }
    }

    /// Serves on a free port until the executor ends or it crashes.
    pub async fn serve(&self, ex: &Arc<Executor<'static>>) -> io::Result<SocketAddr> {
        let addr = self.lock().ports.reserve()?;
        self.lock().addr = Some(addr);
        self.listen(ex, addr).await?;
        Ok(addr)
    }

    /// Is there again after a crash, as another run under this id.
    pub async fn restart_after_crash(
        &self,
        ex: &Arc<Executor<'static>>,
        id: &str,
    ) -> io::Result<()> {
        let addr = self.lock().addr.ok_or(io::ErrorKind::NotConnected)?;
        self.restart_with_id(id);
        let crashed = self.lock().listens.take();
        if let Some(crashed) = crashed {
            crashed.await;
        }
        self.listen(ex, addr).await
    }

    async fn listen(&self, ex: &Arc<Executor<'static>>, addr: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(addr).await?;
        let (running, ends) = channel::bounded::<()>(1);
        self.lock().running = Some(running);
        let (backend, inner, crash) = (self.clone(), Arc::clone(ex), ends.clone());
        let accept = async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let (backend, crash) = (backend.clone(), crash.clone());
                // A connection that breaks is what the tests are about.
                let conn = async move {
                    backend.lock().connections += 1;
                    let crashed = async {
                        let _ = crash.recv().await;
                        Ok(())
                    };
                    let served = backend.connection(tcp).or(crashed).await;
                    served.unwrap_or_default();
                    backend.lock().connections -= 1;
                };
                inner.spawn(conn).detach();
            }
        };
        let crashed = async move {
            let _ = ends.recv().await;
        };
        self.lock().listens = Some(ex.spawn(accept.or(crashed)));
        Ok(())
    }

    /// It ends at once: nothing listens at its port, and its connections close without a word.
    pub fn crash(&self) {
        let mut state = self.lock();
        if state.running.take().is_some() {
            state.crashes += 1;
        }
    }

    /// From now on it crashes whenever it has run a request whose first line or body holds `mark`.
    pub fn crash_on(&self, mark: &str) {
        self.lock().crashes_by = Some(mark.to_owned());
    }

    /// It runs such a request for so long before it crashes, whether anybody waits for it or not.
    pub fn set_crash_delay(&self, time: Duration) {
        self.lock().crashes_after = time;
    }

    /// How often it has crashed.
    pub fn crashes(&self) -> usize {
        self.lock().crashes
    }

    /// Whether it is there.
    pub fn is_up(&self) -> bool {
        self.lock().running.is_some()
    }

    fn crashes_by(&self, req: &ReceivedRequest) -> bool {
        let state = self.lock();
        let mark = state.crashes_by.as_deref();
        mark.is_some_and(|mark| {
            req.line.contains(mark) || String::from_utf8_lossy(&req.body).contains(mark)
        })
    }

    /// Plays a script from now on.
    pub fn play(&self, script: Script) {
        self.lock().script = script;
    }

    /// Its own calls go through this daemon from now on.
    pub fn call_via(&self, daemon: SocketAddr) {
        self.lock().daemon = Some(daemon);
    }

    /// The backend server is another run from now on.
    pub fn restart_with_id(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Its id.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// All requests that reached it.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().reached.clone()
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// The requests that it began to run.
    pub fn executed_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().ran.clone()
    }

    /// The requests that it dropped since their connections were closed.
    pub fn cancelled(&self) -> Vec<Cancelled> {
        self.lock().cancelled.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connection(&self, tcp: TcpStream) -> io::Result<()> {
        let mut tcp = BufReader::new(tcp);
        while let Some(req) = read(&mut tcp).await? {
            let (script, id) = {
                let mut state = self.lock();
                if self.watcher.is_none() {
                    state.reached.push(req.clone());
                }
                (state.script, state.id.clone())
            };
            let expected = req.headers.get(self.names.expected_backend.as_str());
            if expected.is_some_and(|expected| *expected != id) {
                let own = format!("{}: {id}\r\n", self.names.backend_id);
                let answer = head(421, "Misdirected Request", &own, Some(0));
                tcp.get_mut().write_all(answer.as_bytes()).await?;
                continue;
            }
            if let Some(watcher) = &self.watcher {
                watcher(&req, script);
            } else if script != Script::SaysNotRun {
                self.lock().ran.push(req.clone());
            }
            if self.crashes_by(&req) {
                let time = self.lock().crashes_after;
                smol::Timer::after(time).await;
                self.crash();
                return Ok(());
            }
            let sender = tcp.get_ref().clone();
            let answer = self.answer(&mut tcp, &req, script);
            match answer.or(closed(&sender)).await {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(_) if self.watcher.is_some() => return Ok(()),
                Err(_) => {
                    let (line, at) = (req.line, Instant::now());
                    self.lock().cancelled.push(Cancelled { line, at });
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Returns whether the connection goes on.
    async fn answer(
        &self,
        tcp: &mut BufReader<TcpStream>,
        req: &ReceivedRequest,
        script: Script,
    ) -> io::Result<bool> {
        let name = &self.names.request_id;
        let asked = req.headers.get(name.as_str()).cloned().unwrap_or_default();
        let back = format!(
            "{name}: {asked}\r\n{SIGNATURE}: {asked}\r\nkeep-alive: timeout={IDLE_TIMEOUT_S}\r\n"
        );
        let whole = match &self.watcher {
            Some(_) => {
                let body = answer_body(&asked, 0);
                head(200, "OK", &back, Some(body.len())) + &String::from_utf8_lossy(&body)
            }
            None => head(200, "OK", &back, Some(BODY.len())) + BODY,
        };
        let (bytes, goes_on) = match script {
            Script::Answers => (whole, true),
            Script::SaysNotRun => {
                let not_run = format!("{name}: {asked}\r\n{}: 1\r\n", self.names.not_run);
                (head(503, "Service Unavailable", &not_run, Some(0)), true)
            }
            Script::AnswersAnother => {
                let other = format!("{name}: another\r\n{SIGNATURE}: another\r\n");
                (head(200, "OK", &other, Some(BODY.len())) + BODY, true)
            }
            Script::BreaksOff => return Ok(false),
            Script::CutsBody => {
                let half = &BODY[..BODY.len() / 2];
                (head(200, "OK", &back, Some(BODY.len())) + half, false)
            }
            Script::AnswersUnframed => (head(200, "OK", &back, None) + BODY, false),
            Script::AnswersTwice => (whole.clone() + &whole, true),
            Script::Fails => (head(500, "Internal Server Error", &back, Some(0)), true),
            Script::Hangs => {
                smol::Timer::after(HANG_TIME).await;
                return Ok(false);
            }
            Script::AnswersInTheEnd => {
                let told = req.headers.get(self.names.time_left_ms.as_str());
                let told_ms = told.and_then(|ms| ms.parse().ok()).unwrap_or_default();
                smol::Timer::after(Duration::from_millis(told_ms)).await;
                (whole, true)
            }
            Script::AnswersSoon => {
                smol::Timer::after(SOON).await;
                (whole, true)
            }
            Script::AnswersLate => {
                smol::Timer::after(LATE).await;
                (whole, true)
            }
            Script::Works { ms, bytes } => {
                let body = answer_body(&asked, bytes);
                let (first, rest) = body.split_at(body.len() / 2);
                let head = head(200, "OK", &back, Some(body.len()));
                let half = Duration::from_millis(ms / 2);
                smol::Timer::after(half).await;
                tcp.get_mut().write_all(head.as_bytes()).await?;
                tcp.get_mut().write_all(first).await?;
                smol::Timer::after(half).await;
                tcp.get_mut().write_all(rest).await?;
                return Ok(true);
            }
            Script::Rests => {
                let half = head(200, "OK", &back, Some(BODY.len())) + &BODY[..BODY.len() / 2];
                tcp.get_mut().write_all(half.as_bytes()).await?;
                smol::Timer::after(HANG_TIME).await;
                return Ok(false);
            }
            Script::AnswersLarge => {
                let large = head(200, "OK", &back, Some(LARGE_BYTES));
                (large + &"x".repeat(LARGE_BYTES), true)
            }
            Script::Calls => {
                self.call(&asked).await?;
                (whole, true)
            }
            Script::AnswersVeryLate => {
                smol::Timer::after(VERY_LATE).await;
                (whole, true)
            }
        };
        tcp.get_mut().write_all(bytes.as_bytes()).await?;
        Ok(goes_on)
    }

    /// Makes a call for the request `parent`; whoever drops it closes its connection.
    async fn call(&self, parent: &str) -> io::Result<()> {
        let daemon = self.lock().daemon.ok_or(io::ErrorKind::NotConnected)?;
        let mut tcp = TcpStream::connect(daemon).await?;
        let id = &self.names.request_id;
        let req = format!(
            "GET {CALL_PATH} HTTP/1.1\r\nhost: h.example\r\n{id}: {parent}-call\r\n\
             connection: close\r\n\r\n"
        );
        tcp.write_all(req.as_bytes()).await?;
        tcp.read_to_end(&mut Vec::new()).await?;
        Ok(())
    }
}

/// Fails when the other end closes the connection; until then it isn't expected to send anything.
async fn closed(tcp: &TcpStream) -> io::Result<bool> {
    match tcp.peek(&mut [0]).await? {
        0 => Err(io::ErrorKind::ConnectionAborted.into()),
        _ => std::future::pending().await,
    }
}

fn head(status: u16, reason: &str, headers: &str, length: Option<usize>) -> String {
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n{headers}");
    if let Some(length) = length {
        write!(text, "content-length: {length}\r\n").expect("a string takes every text");
    }
    text + "\r\n"
}

async fn read(tcp: &mut BufReader<TcpStream>) -> io::Result<Option<ReceivedRequest>> {
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
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    tcp.read_exact(&mut body).await?;
    Ok(Some(ReceivedRequest {
        line: line.trim().to_owned(),
        headers,
        body,
    }))
}
