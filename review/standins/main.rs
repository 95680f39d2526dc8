//! Stand-ins and a driver for the scripts of this folder, with the standard library alone.
//!
//! `standins CASE` starts the platform's stand-in and the daemons as separate processes on loopback
//! addresses, plays instances and clients itself, and checks one rule on what it has seen.
//! It exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

use std::{
    collections::HashMap,
    fmt::Write as _,
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod case1;
mod case2;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

const OUTBOUND_PORT: u16 = 8304;
const CONTROL_PLANE_PORT: u16 = 8306;
const READINESS_PORT: u16 = 8302;
const APPLICATION_PORT: u16 = 8301;
const INTERNAL_PORTS: [u16; 2] = [7620, 7635];
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "1" => case1::run(trouble),
        "2" => case2::run(trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    let code = result.unwrap_or_else(|error| {
        eprintln!("the case couldn't run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

/// A small generator (xorshift), so that a seed fixes all draws of one thread.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What was sent, run and answered, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u128, String)>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Arc<Self> {
        let lines = Mutex::default();
        Arc::new(Self {
            start: Instant::now(),
            lines,
            path,
        })
    }

    pub fn add(&self, line: String) {
        let at = self.start.elapsed().as_millis();
        lock(&self.lines).push((at, line));
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self) -> io::Result<()> {
        let mut text = String::new();
        let mut lines = lock(&self.lines);
        lines.sort_by_key(|(at, _)| *at);
        for (at, line) in lines.iter() {
            let _ = writeln!(text, "{at:>7} ms  {line}");
        }
        fs::write(&self.path, text)
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

/// The head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first_line)? == 0 {
        return Ok(None);
    }
    message.first_line = message.first_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a whole message with a length or in chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size =
                usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let len = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    message.body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(addr: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut tcp = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(timeout))?;
    tcp.write_all(request)?;
    let answer = read_message(&mut BufReader::new(&tcp))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Makes the kernel end the child if this program is killed before it could.
fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: `prctl` with this option only sets an attribute of the child.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        })
    }
}

/// A child process that is killed on drop.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The platform's stand-in of this project.
pub struct Platform {
    pub addr: SocketAddr,
    _process: Process,
}

impl Platform {
    pub fn start() -> Result<Self, String> {
        let mut command = Command::new("target/release/sorrelturn-platform");
        command
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped());
        let mut child = end_with_parent(&mut command)
            .spawn()
            .map_err(|error| format!("sorrelturn-platform: {error}"))?;
        let stdout = child.stdout.take().ok_or("no standard output")?;
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.map_err(|error| error.to_string())?;
        let addr = line
            .trim()
            .parse()
            .map_err(|_| format!("unexpected line {line:?}"))?;
        Ok(Self {
            addr,
            _process: Process(child),
        })
    }

    /// Writes the manifest, as the operator does.
    pub fn publish(&self, manifest: &str) -> Result<(), String> {
        let body = format!(r#"{{"metadata":{{"name":"main"}},"value":{manifest}}}"#);
        for (method, path) in [
            ("PUT", "/v1/objects/config/main"),
            ("POST", "/v1/objects/config"),
        ] {
            let request = format!(
                "{method} {path} HTTP/1.1\r\nhost: store\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            let answer = exchange(self.addr, request.as_bytes(), Duration::from_secs(5));
            let status = answer.map_err(|error| error.to_string())?.status();
            if (200..300).contains(&status) {
                return Ok(());
            }
        }
        Err("the store refused the manifest".to_owned())
    }
}

/// The addresses of one machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub ip: Ipv4Addr,
}

impl Machine {
    fn at(self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn outbound(self) -> SocketAddr {
        self.at(OUTBOUND_PORT)
    }

    pub fn control_plane(self) -> SocketAddr {
        self.at(CONTROL_PLANE_PORT)
    }

    pub fn readiness(self) -> SocketAddr {
        self.at(READINESS_PORT)
    }

    pub fn application(self) -> SocketAddr {
        self.at(APPLICATION_PORT)
    }
}

/// Returns `count` loopback addresses on which all ports of a machine are free.
pub fn free_machines(count: u8) -> Result<Vec<Machine>, String> {
    let pid = std::process::id();
    for attempt in 0..50u32 {
        let number = pid.wrapping_mul(31).wrapping_add(attempt * 7919);
        let (second, third) = ((number >> 8) as u8 % 200 + 10, number as u8);
        let machines: Vec<Machine> = (1..=count)
            .map(|last| Machine {
                ip: Ipv4Addr::new(127, second, third, last),
            })
            .collect();
        let ports = [
            OUTBOUND_PORT,
            CONTROL_PLANE_PORT,
            READINESS_PORT,
            APPLICATION_PORT,
            7690,
        ];
        let all = ports.iter().chain(&INTERNAL_PORTS);
        let is_free = |machine: &Machine, port: u16| TcpListener::bind(machine.at(port)).is_ok();
        if machines
            .iter()
            .all(|machine| all.clone().all(|port| is_free(machine, *port)))
        {
            return Ok(machines);
        }
    }
    Err("no free loopback addresses".to_owned())
}

/// Fills the template of the deploy file, as DEPLOY.md describes it. Sections are left out.
pub fn settings(
    machine: Machine,
    name: &str,
    zone: &str,
    service: &str,
    platform: &Platform,
) -> Result<String, String> {
    let template =
        fs::read_to_string("deploy/settings.jsonc").map_err(|error| error.to_string())?;
    let mut text = template;
    while let Some(begin) = text.find("{{#") {
        let name_end = begin + text[begin..].find("}}").ok_or("an open gap")?;
        let close = format!("{{{{/{}}}}}", &text[begin + 3..name_end]);
        let end = text.find(&close).ok_or("an open section")? + close.len();
        text.replace_range(begin..end, "");
    }
    let values = [
        ("node_name", name.to_owned()),
        ("service", service.to_owned()),
        ("zone", zone.to_owned()),
        ("ip", machine.ip.to_string()),
        ("listen_addresses.outbound", machine.outbound().to_string()),
        (
            "listen_addresses.control_plane",
            machine.control_plane().to_string(),
        ),
        (
            "listen_addresses.readiness",
            machine.readiness().to_string(),
        ),
        ("internal_port_range.0", INTERNAL_PORTS[0].to_string()),
        ("internal_port_range.1", INTERNAL_PORTS[1].to_string()),
        ("application", machine.application().to_string()),
        ("platform.address", platform.addr.to_string()),
        ("bounds.retry_budget_ratio", "0.2".to_owned()),
        ("bounds.retry_budget_slack", "49".to_owned()),
        ("bounds.budget_window", "10".to_owned()),
        ("limits.memory_mb", "260".to_owned()),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    // The path of the project's own stand-in of the store.
    text = text.replace("/sorrelturn/objects", "/v1/objects");
    match text.find("{{") {
        Some(at) => Err(format!(
            "a gap that isn't filled: {}",
            &text[at..text.len().min(at + 40)]
        )),
        None => Ok(text),
    }
}

/// A temporary folder that is removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("sorrelturn-review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Starts a daemon with the command of the deploy file.
pub fn start_daemon(folder: &Folder, name: &str, settings: &str) -> Result<Process, String> {
    let file = folder.0.join(format!("{name}.jsonc"));
    fs::write(&file, settings).map_err(|error| error.to_string())?;
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.0.join(format!("{name}.log")));
    let log = log.map_err(|error| error.to_string())?;
    let clone = log.try_clone().map_err(|error| error.to_string())?;
    let log_level = std::env::var("RUST_LOG").unwrap_or("sorrelturn=debug".to_owned());
    let mut command = Command::new("target/release/sorrelturn-adapted");
    command
        .env("SORRELTURN_SETTINGS", &file)
        .env("RUST_LOG", log_level)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(clone);
    let child = end_with_parent(&mut command).spawn();
    child
        .map(Process)
        .map_err(|error| format!("sorrelturn-adapted: {error}"))
}

/// Waits until the daemon answers 200 at its `readiness` address.
pub fn wait_until_ready(machine: Machine) -> Result<(), String> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        let answer = exchange(
            machine.readiness(),
            b"GET /ready HTTP/1.1\r\nhost: m\r\n\r\n",
            Duration::from_secs(1),
        );
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("the daemon at {} isn't ready", machine.ip))
}

/// Posts a report of an instance; returns the status.
pub fn report(machine: Machine, id: &str, call: &str, body: &str) -> io::Result<u16> {
    let request = format!(
        "POST /backend/{id}/{call} HTTP/1.1\r\nhost: m\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = exchange(
        machine.control_plane(),
        request.as_bytes(),
        Duration::from_secs(1),
    )?;
    Ok(answer.status())
}

pub fn heartbeat(
    machine: Machine,
    service: &str,
    zone: &str,
    slots: u32,
    state: &str,
    sequence: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold_ms":0,"sequence":{sequence}}}"#,
        machine.application()
    )
}

/// Sends heartbeats in the state `ready` until `stop` is set.
pub fn spawn_heartbeats(
    machine: Machine,
    id: String,
    service: String,
    zone: String,
    slots: u32,
    stop: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
) {
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let number = sequence.fetch_add(1, Ordering::Relaxed);
            let _ = report(
                machine,
                &id,
                "heartbeat",
                &heartbeat(machine, &service, &zone, slots, "ready", number),
            );
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}

/// The runs that instances have begun, by request id, with the instances.
#[derive(Default)]
pub struct Runs(pub Mutex<HashMap<String, Vec<String>>>);

impl Runs {
    pub fn add(&self, request: &str, instance: &str) {
        let mut runs = lock(&self.0);
        runs.entry(request.to_owned())
            .or_default()
            .push(instance.to_owned());
    }

    pub fn of(&self, request: &str) -> Vec<String> {
        lock(&self.0).get(request).cloned().unwrap_or_default()
    }
}
