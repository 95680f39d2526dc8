//! Stand-ins for the scripts of this review: the platform's store, instances, clients, and the platform that starts and
//! stops processes. Standard library only. They follow PROTOCOL.md and DEPLOY.md, in the words of `deploy/wire.toml`.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: what was sent, answered and run, in seconds since the start of the script.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        let (begin, lines) = (Instant::now(), Arc::default());
        Self { begin, lines }
    }
    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }
    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.into()));
    }
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} s  {line}", self.now());
        self.add(line);
    }
    pub fn write(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:8.3} s  {line}\n"))
            .collect();
        let _ = fs::write(folder.join("record.txt"), text);
    }
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

// ---- HTTP/1.1, as far as the stand-ins need it

pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message with a length or in chunks; `None` if the connection ends first.
pub fn read_message(r: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if r.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first_line = line.trim_end().to_owned();
    let mut headers = HashMap::new();
    loop {
        line.clear();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned())
            }
            None => break,
        };
    }
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|te| te.eq_ignore_ascii_case("chunked"))
    {
        loop {
            line.clear();
            r.read_line(&mut line).ok()?;
            let len = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; len + 2];
            r.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk[..len]);
            if len == 0 {
                break;
            }
        }
    } else if let Some(len) = headers.get("content-length") {
        body = vec![0; len.parse().ok()?];
        r.read_exact(&mut body).ok()?;
    }
    Some(Message {
        first_line,
        headers,
        body,
    })
}

/// Sends a request on a new connection and waits for the whole answer; the status, or why there is none.
pub fn exchange(
    to: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let mut tcp = TcpStream::connect_timeout(&to, ms(1_000))
        .map_err(|e| format!("no connection ({})", e.kind()))?;
    let _ = tcp.set_nodelay(true);
    let _ = tcp.set_read_timeout(Some(timeout));
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    tcp.write_all(&bytes)
        .map_err(|e| format!("not sent ({})", e.kind()))?;
    let begin = Instant::now();
    read_message(&mut BufReader::new(tcp)).ok_or_else(|| {
        let why = if begin.elapsed() >= timeout {
            "no answer in time"
        } else {
            "connection closed without an answer"
        };
        why.to_owned()
    })
}

pub fn status(answer: &Result<Message, String>) -> String {
    match answer {
        Ok(answer) => answer
            .first_line
            .split(' ')
            .nth(1)
            .unwrap_or("?")
            .to_owned(),
        Err(why) => why.clone(),
    }
}

fn serve(
    listener: TcpListener,
    ended: Arc<AtomicBool>,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for tcp in listener.incoming() {
            if ended.load(SeqCst) {
                return;
            }
            let (Ok(tcp), handle) = (tcp, Arc::clone(&handle)) else {
                continue;
            };
            let _ = tcp.set_nodelay(true);
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || handle(tcp));
        }
    });
}

// ---- The platform's store

/// The raw JSON texts of the fields of an object.
pub fn fields(json: &str) -> BTreeMap<String, String> {
    let (bytes, mut found, mut at) = (json.as_bytes(), BTreeMap::new(), 0);
    let skip_string = |mut at: usize| {
        at += 1;
        while bytes[at] != b'"' {
            at += if bytes[at] == b'\\' { 2 } else { 1 };
        }
        at + 1
    };
    while at < bytes.len() && bytes[at] != b'{' {
        at += 1;
    }
    at += 1;
    loop {
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b',') {
            at += 1;
        }
        if at >= bytes.len() || bytes[at] != b'"' {
            return found;
        }
        let end = skip_string(at);
        let name = json[at + 1..end - 1].to_owned();
        at = end;
        while bytes[at].is_ascii_whitespace() || bytes[at] == b':' {
            at += 1;
        }
        let (start, mut depth) = (at, 0);
        while at < bytes.len() {
            match bytes[at] {
                b'"' => {
                    at = skip_string(at);
                    continue;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => break,
                b'}' | b']' => depth -= 1,
                b',' if depth == 0 => break,
                _ => {}
            }
            at += 1;
        }
        found.insert(name, json[start..at].trim().to_owned());
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[derive(Clone)]
struct Object {
    revision: u64,
    value: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<(u64, String, String)>,
}

/// The store. While it is silent it does nothing and says nothing; connections of that time say nothing more.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    objects: Arc<Mutex<Objects>>,
    silent: Arc<AtomicBool>,
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"created_at":1,"finalizers":[],"deleting":false}},"value":{},"status":null}}"#,
        object.revision, object.value
    )
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Self {
            addr: listener.local_addr().unwrap(),
            objects: Arc::default(),
            silent: Arc::default(),
        };
        let for_serve = store.clone();
        serve(listener, Arc::default(), move |tcp| {
            for_serve.connection(tcp)
        });
        store
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, SeqCst);
    }

    fn connection(&self, tcp: TcpStream) {
        let mut r = BufReader::new(tcp.try_clone().unwrap());
        while let Some(req) = read_message(&mut r) {
            let answer = self.answer(&req);
            let Some((status, body)) = answer else {
                // Says nothing more until the caller closes.
                let _ = tcp.set_read_timeout(None);
                let _ = (&tcp).read(&mut [0; 64]);
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if (&tcp).write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// `None` if the store is silent.
    fn answer(&self, req: &Message) -> Option<(u16, String)> {
        if self.silent.load(SeqCst) {
            return None;
        }
        thread::sleep(ms(4));
        let mut words = req.first_line.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<_, _> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let Some(rest) = path.strip_prefix("/sorrelturn/objects/") else {
            return Some((404, String::new()));
        };
        let (kind, name) = rest
            .split_once('/')
            .map_or((rest, None), |(kind, name)| (kind, Some(decode(name))));
        let kind = decode(kind);
        let body = String::from_utf8_lossy(&req.body).into_owned();
        match (method, name) {
            ("GET", None) if query.contains_key("watch") => {
                let since = query["watch"].parse().unwrap_or(0);
                let wait = query
                    .get("wait_ms")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                self.watch(&kind, since, ms(wait))
            }
            ("GET", None) => {
                let objects = self.objects.lock().unwrap();
                let items: Vec<String> = objects
                    .kinds
                    .get(&kind)
                    .into_iter()
                    .flatten()
                    .map(|(name, object)| object_json(name, object))
                    .collect();
                Some((
                    200,
                    format!(
                        r#"{{"items":[{}],"has_more":false,"store_revision":{}}}"#,
                        items.join(","),
                        objects.revision
                    ),
                ))
            }
            ("GET", Some(name)) => {
                let objects = self.objects.lock().unwrap();
                let object = objects.kinds.get(&kind).and_then(|kind| kind.get(&name));
                Some(object.map_or((404, String::new()), |object| {
                    (200, object_json(&name, object))
                }))
            }
            ("POST", None) => {
                let name = fields(fields(&body).get("metadata")?)
                    .get("name")?
                    .trim_matches('"')
                    .to_owned();
                Some(self.write(&kind, &name, &body, true))
            }
            ("PUT", Some(name)) => Some(self.write(&kind, &name, &body, false)),
            ("DELETE", Some(name)) => {
                let mut objects = self.objects.lock().unwrap();
                let removed = objects
                    .kinds
                    .get_mut(&kind)
                    .and_then(|kind| kind.remove(&name));
                Some((if removed.is_some() { 200 } else { 404 }, "{}".to_owned()))
            }
            _ => Some((404, String::new())),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str, creates: bool) -> (u16, String) {
        let body = fields(body);
        let condition = body
            .get("metadata")
            .map(|metadata| fields(metadata))
            .and_then(|metadata| metadata.get("revision")?.parse::<u64>().ok())
            .unwrap_or(0);
        let value = body
            .get("value")
            .cloned()
            .unwrap_or_else(|| "null".to_owned());
        let mut objects = self.objects.lock().unwrap();
        let before = objects
            .kinds
            .get(kind)
            .and_then(|kind| kind.get(name))
            .cloned();
        match &before {
            Some(before) if creates || (condition != 0 && condition != before.revision) => {
                return (409, object_json(name, before));
            }
            Some(before) if before.value == value => return (200, object_json(name, before)),
            None if !creates => return (404, String::new()),
            _ => {}
        }
        objects.revision += 1;
        let object = Object {
            revision: objects.revision,
            value,
        };
        let json = object_json(name, &object);
        objects
            .kinds
            .entry(kind.to_owned())
            .or_default()
            .insert(name.to_owned(), object);
        let event = (
            objects.revision,
            kind.to_owned(),
            format!(r#"{{"removed":false,"object":{json}}}"#),
        );
        objects.history.push(event);
        (200, json)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        loop {
            if self.silent.load(SeqCst) {
                return None;
            }
            {
                let objects = self.objects.lock().unwrap();
                let events: Vec<&str> = objects
                    .history
                    .iter()
                    .filter(|(revision, of, _)| *revision > since && of == kind)
                    .map(|(_, _, json)| json.as_str())
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return Some((
                        200,
                        format!(
                            r#"{{"events":[{}],"store_revision":{}}}"#,
                            events.join(","),
                            objects.revision
                        ),
                    ));
                }
            }
            thread::sleep(ms(10));
        }
    }

    /// The operator writes the manifest.
    pub fn put_manifest(&self, manifest: &str) {
        let body = format!(r#"{{"metadata":{{"name":"main"}},"value":{manifest}}}"#);
        if self.write("config", "main", &body, true).0 != 200 {
            self.write("config", "main", &body, false);
        }
    }
}

// ---- Instances

pub struct Run {
    pub id: String,
    pub at: f64,
    pub ended: &'static str,
}

/// Added to an instance's working time: it spoils this answer.
pub const SPOILED: u64 = 1 << 40;

/// How a run ends that takes longer than the time budget which the instance received: with a 504 of its own.
const AT_BUDGET: &str = "stopped at its time budget, answered with 504";

/// The whole body of an instance's answer to a request.
pub fn answer_body(id: &str) -> String {
    format!("done {id} {}", "x".repeat(400))
}

/// An application instance: one listener at its machine's `application` address.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub born: Option<u64>,
    pub service: String,
    pub addr: SocketAddr,
    announce: SocketAddr,
    record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    leaving: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
}

impl Instance {
    /// Starts an instance that works `work` milliseconds on a request with this id, 100 at once.
    pub fn start(
        machine: &Machine,
        id: &str,
        born: Option<u64>,
        record: &Record,
        work: impl Fn(&str) -> u64 + Send + Sync + 'static,
    ) -> Self {
        Self::start_of(machine, &machine.service, id, born, record, work)
    }

    /// As [`Instance::start`], of any service.
    pub fn start_of(
        machine: &Machine,
        service: &str,
        id: &str,
        born: Option<u64>,
        record: &Record,
        work: impl Fn(&str) -> u64 + Send + Sync + 'static,
    ) -> Self {
        let listener =
            TcpListener::bind(machine.application).expect("the application's address is free");
        let instance = Self {
            id: id.to_owned(),
            born,
            service: service.to_owned(),
            addr: machine.application,
            announce: machine.control_plane,
            record: record.clone(),
            runs: Arc::default(),
            leaving: Arc::default(),
            ended: Arc::default(),
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
        };
        let for_serve = instance.clone();
        serve(listener, Arc::clone(&instance.ended), move |tcp| {
            for_serve.connection(tcp, &work)
        });
        instance
    }

    /// Sends liveness reports every 1.5 s from now on, until [`Instance::stop_beats`].
    pub fn start_beats(&self) {
        let instance = self.clone();
        thread::spawn(move || {
            while instance.beats.load(SeqCst) && !instance.ended.load(SeqCst) {
                instance.send_beat(&instance.next_beat());
                thread::sleep(ms(1_500));
            }
        });
    }

    pub fn stop_beats(&self) {
        self.beats.store(false, SeqCst);
    }

    /// The body of the next liveness report.
    pub fn next_beat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let born = self
            .born
            .map_or_else(String::new, |born| format!(r#","born":{born}"#));
        format!(
            r#"{{"service":"{}","address":"{}","zone":"z","version":"v1","slots":100,"state":"ready","cold_ms":0,"sequence":{sequence}{born}}}"#,
            self.service, self.addr
        )
    }

    pub fn send_beat(&self, body: &str) -> String {
        self.report("heartbeat", body)
    }

    pub fn deregister(&self) -> String {
        self.leaving.store(true, SeqCst);
        let body = self
            .born
            .map_or_else(String::new, |born| format!(r#"{{"born":{born}}}"#));
        self.report("deregister", &body)
    }

    /// As `fleetbench wire` shows it.
    pub fn deregister_without_body(&self) -> String {
        self.leaving.store(true, SeqCst);
        self.report("deregister", "")
    }

    fn report(&self, what: &str, body: &str) -> String {
        let head = format!(
            "POST /backend/{}/{what} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nConnection: close\r\n",
            self.id, self.announce
        );
        status(&exchange(self.announce, &head, body.as_bytes(), ms(1_000)))
    }

    /// The process ends at once: its listener and its connections close.
    pub fn end(&self) {
        self.ended.store(true, SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&self.addr, ms(200));
    }

    fn connection(&self, tcp: TcpStream, work: &(impl Fn(&str) -> u64 + Send + Sync)) {
        let mut r = BufReader::new(tcp.try_clone().unwrap());
        while let Some(req) = read_message(&mut r) {
            if self.ended.load(SeqCst) {
                return;
            }
            let path = req.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let is_leaving = self.leaving.load(SeqCst);
            let close = if is_leaving {
                "Connection: close\r\n"
            } else {
                ""
            };
            if path == "/health" {
                let status = if is_leaving { "503 Leaving" } else { "200 OK" };
                let text = format!(
                    "HTTP/1.1 {status}\r\nX-Sorrelturn-Instance-Id: {}\r\n{close}Content-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = (&tcp).write_all(text.as_bytes());
                continue;
            }
            let id = req
                .headers
                .get("x-sorrelturn-request-id")
                .cloned()
                .unwrap_or_default();
            if req
                .headers
                .get("x-sorrelturn-expected-instance")
                .is_some_and(|expected| *expected != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Sorrelturn-Request-Id: {id}\r\nX-Sorrelturn-Instance-Id: {}\r\n{close}Content-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = (&tcp).write_all(text.as_bytes());
                continue;
            }
            let at = self.record.now();
            self.record
                .add(format!("instance {} begins to run {id} ({path})", self.id));
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    id: id.clone(),
                    at,
                    ended: "at work",
                });
                runs.len() - 1
            };
            let work = work(&id);
            let until = Instant::now() + ms(work % SPOILED);
            // It stops its work at the time budget that it receives.
            let budget = req.headers.get("x-sorrelturn-deadline-ms");
            let budget = budget.and_then(|text| text.parse().ok()).map(ms);
            let budget_ends = budget.map(|budget| Instant::now() + budget);
            let _ = tcp.set_read_timeout(Some(ms(20)));
            let mut ended = "answered";
            while Instant::now() < until && ended == "answered" {
                if self.ended.load(SeqCst) {
                    ended = "cut by the end of the instance";
                } else if budget_ends.is_some_and(|end| Instant::now() >= end) {
                    ended = AT_BUDGET;
                } else if matches!(tcp.peek(&mut [0; 1]), Ok(0)) {
                    ended = "dropped, the connection was closed";
                }
            }
            let _ = tcp.set_read_timeout(None);
            self.runs.lock().unwrap()[index].ended = ended;
            self.record
                .add(format!("instance {}: run of {id} ends, {ended}", self.id));
            if ended == AT_BUDGET {
                let text = format!(
                    "HTTP/1.1 504 Gateway Timeout\r\nX-Sorrelturn-Request-Id: {id}\r\nX-Sorrelturn-Response-Signature: {}.{id}\r\n{close}Content-Length: 0\r\n\r\n",
                    self.id
                );
                if (&tcp).write_all(text.as_bytes()).is_err() || is_leaving {
                    return;
                }
                continue;
            }
            if ended != "answered" {
                let _ = tcp.shutdown(std::net::Shutdown::Both);
                return;
            }
            let body = answer_body(&id);
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Sorrelturn-Request-Id: {id}\r\nX-Sorrelturn-Response-Signature: {}.{id}\r\nX-Sorrelturn-Server-Load: 1,0,100\r\nKeep-Alive: timeout=10\r\n{close}",
                self.id
            );
            let text = if work >= SPOILED {
                self.record.add(format!("instance {} spoils the answer to {id}: in chunks, and with a length that is too short", self.id));
                format!(
                    "{head}Transfer-Encoding: chunked\r\nContent-Length: {}\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                    body.len() / 2,
                    body.len()
                )
            } else {
                format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
            };
            if (&tcp).write_all(text.as_bytes()).is_err() || is_leaving {
                return;
            }
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_millis() as u64)
}

// ---- Machines and the platform that runs processes on them

/// A machine: its settings, filled into the template of the deploy file, and the daemon's process.
pub struct Machine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub application: SocketAddr,
    pub outbound: SocketAddr,
    pub readiness: SocketAddr,
    pub control_plane: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    process: Arc<Mutex<Option<Child>>>,
    record: Record,
}

/// The processes of all machines, so that none outlives the script.
static PROCESSES: Mutex<Vec<Arc<Mutex<Option<Child>>>>> = Mutex::new(Vec::new());

fn new_process() -> Arc<Mutex<Option<Child>>> {
    let process = Arc::default();
    PROCESSES.lock().unwrap().push(Arc::clone(&process));
    process
}

fn end_process(process: &Mutex<Option<Child>>) {
    if let Some(child) = process.lock().unwrap().as_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The repository and a temporary folder for one run of a script.
pub struct Site {
    pub root: PathBuf,
    pub temp: PathBuf,
    net: u32,
    pub record: Record,
}

impl Site {
    pub fn new(record: &Record) -> Self {
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").expect("run.sh sets REVIEW_ROOT"));
        let temp = std::env::temp_dir().join(format!("sorrelturn-review-{}", std::process::id()));
        fs::create_dir_all(&temp).expect("a temporary folder");
        // Loopback addresses that other runs hardly use.
        let net = 20 + std::process::id() % 200;
        Self {
            root,
            temp,
            net,
            record: record.clone(),
        }
    }

    pub fn ip(&self, number: u32) -> String {
        format!("127.0.{}.{number}", self.net)
    }

    /// Writes the settings of a machine: the deploy file's template, filled with the values of a small deployment.
    pub fn machine(
        &self,
        number: u32,
        name: &str,
        service: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Machine {
        let ip = self.ip(number);
        let addr = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let (application, inbound, readiness, outbound, control_plane) =
            (addr(8301), addr(8300), addr(8302), addr(8304), addr(8306));
        let values = [
            ("node_name", name.to_owned()),
            ("service", service.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.clone()),
            ("application", application.to_string()),
            ("listen_addresses.outbound", outbound.to_string()),
            ("listen_addresses.inbound", inbound.to_string()),
            ("listen_addresses.readiness", readiness.to_string()),
            ("listen_addresses.control_plane", control_plane.to_string()),
            ("internal_port_range.0", "7620".to_owned()),
            ("internal_port_range.1", "7635".to_owned()),
            ("platform.address", store.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "49".to_owned()),
            ("bounds.budget_window", "10".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
        ];
        let template =
            fs::read_to_string(self.root.join("deploy/settings.jsonc")).expect("the template");
        let settings = self.temp.join(format!("{name}.jsonc"));
        fs::write(&settings, fill(&template, &values.into_iter().collect()))
            .expect("settings are written");
        Machine {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            application,
            outbound,
            readiness,
            control_plane,
            settings,
            log: self.temp.join(format!("{name}.log")),
            root: self.root.clone(),
            process: new_process(),
            record: self.record.clone(),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("REVIEW_KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.temp);
        }
    }
}

/// Fills `{{name}}`, and keeps `{{#name}} .. {{/name}}` only if there is such a value.
fn fill(template: &str, values: &HashMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(open) = text.find("{{#") {
        let end_of_open = open + text[open..].find("}}").unwrap() + 2;
        let name = text[open + 3..end_of_open - 2].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let at = end_of_open + text[end_of_open..].find(&close).unwrap();
        let inner = if values.contains_key(name.as_str()) {
            text[end_of_open..at].to_owned()
        } else {
            String::new()
        };
        text.replace_range(open..at + close.len(), &inner);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Machine {
    /// Starts the daemon with the run command and the environment of the deploy file.
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let mut command = Command::new(self.root.join("target/release/sorrelturn-adapted"));
        command.current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command
            .env("SORRELTURN_SETTINGS", &self.settings)
            .env("RUST_LOG", "sorrelturn=debug");
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        *self.process.lock().unwrap() =
            Some(child.expect("the daemon starts; run the build of the deploy file first"));
        self.record
            .say(format!("platform starts the daemon of {}", self.name));
    }

    /// Changes the settings file; a signal is sent separately.
    pub fn change_settings(&self, before: &str, after: &str) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        assert!(text.contains(before), "the settings hold {before}");
        fs::write(&self.settings, text.replace(before, after)).expect("settings are written");
        self.record.say(format!(
            "platform changes the settings file of {}: {after}",
            self.name
        ));
    }

    pub fn signal(&self, signal: i32, name: &str) {
        if let Some(child) = &*self.process.lock().unwrap() {
            self.record.say(format!(
                "platform sends {name} to the daemon of {}",
                self.name
            ));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended by itself or by a signal.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        process
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits for the end until `grace` has passed, then kills. Returns whether it had to.
    pub fn wait_or_kill(&self, grace: Duration) -> bool {
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if self.has_ended() {
                self.record
                    .say(format!("the daemon of {} has ended", self.name));
                return false;
            }
            thread::sleep(ms(5));
        }
        self.kill();
        self.record.say(format!(
            "platform kills the daemon of {}: `grace` is over",
            self.name
        ));
        true
    }

    pub fn kill(&self) {
        end_process(&self.process);
    }

    pub fn is_ready(&self) -> bool {
        let head = format!(
            "GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n",
            self.readiness
        );
        status(&exchange(self.readiness, &head, b"", ms(900))) == "200"
    }

    /// One attempt of a client on this machine, on a connection of its own.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        id: &str,
        budget_ms: u64,
    ) -> Result<Message, String> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Sorrelturn-Request-Id: {id}\r\nX-Sorrelturn-Deadline-Ms: {budget_ms}\r\n"
        );
        exchange(self.outbound, &head, b"", ms(budget_ms + 1_000))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether the disruption of the case is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Repeats a check until it holds; `false` after `timeout`.
pub fn wait_for(timeout: Duration, check: impl Fn() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if check() {
            return true;
        }
        thread::sleep(ms(100));
    }
    false
}

/// Writes the record and ends the script.
pub fn finish(record: &Record, folder: &Path, code: i32, verdict: &str) -> ! {
    // A thread of clients may still hold a machine.
    for process in PROCESSES.lock().unwrap().iter() {
        end_process(process);
    }
    record.say(verdict);
    record.write(folder);
    std::process::exit(code)
}
