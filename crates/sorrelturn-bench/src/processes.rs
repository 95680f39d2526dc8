//! A small fleet of real processes, on loopback.

use crate::{
    client::Client,
    fleet::{FleetPlan, publish_bundle},
    plan::{Plan, plan_for},
};
use bytes::Bytes;
use hyper::Request;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use smol::{Executor, Timer};
use sorrelturn_daemon::{ListenSettings, Settings, StatusReport};
use sorrelturn_platform::{Faults, Platform, VmEntry, http::exchange};
use sorrelturn_protocol::MemberRecord;
use std::{
    collections::BTreeSet,
    ffi::OsStr,
    fs::{self, File},
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// The processes that this program has started. Locked while one is started, so that none is missed by [`kill_all`].
static STARTED: Mutex<StartedProcesses> = Mutex::new(StartedProcesses {
    running: BTreeSet::new(),
    is_ending: false,
});

struct StartedProcesses {
    /// The ids of those that weren't waited for.
    running: BTreeSet<u32>,
    /// Whether no more may be started.
    is_ending: bool,
}

/// Long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The path of a workspace program, which is built beside the running test or bench.
pub fn binary(name: &str) -> PathBuf {
    let own_path = std::env::current_exe().expect("the running program has a path");
    let folder = own_path.parent().expect("a program lies in a folder");
    // Test executables are in a subfolder of the programs' folder.
    let candidates = [folder.join(name), folder.join("..").join(name)];
    candidates
        .into_iter()
        .find(|path| path.exists())
        .unwrap_or_else(|| panic!("{name} is not built; run `cargo build --workspace --bins`"))
}

/// A child process, which is killed on drop.
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub first_line: String,
}

impl Process {
    /// Starts a program and waits for its first line.
    pub fn start(name: &str, args: &[&str]) -> Self {
        Self::start_command(&mut command(binary(name), args, "error"))
    }

    /// As [`Process::start`], with a limit of file descriptors.
    pub fn start_with_descriptors(descriptors: u32, name: &str, args: &[&str]) -> Self {
        let run = format!(r#"ulimit -n {descriptors} && exec "$0" "$@""#);
        let mut command = command("sh", &["-c", &run], "error");
        Self::start_command(command.arg(binary(name)).args(args))
    }

    fn start_command(command: &mut Command) -> Self {
        let mut child = spawn(command.stdout(Stdio::piped())).expect("the program starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut first_line = String::new();
        BufReader::new(stdout)
            .read_line(&mut first_line)
            .expect("the program prints a line");
        Self {
            child,
            first_line: first_line.trim().to_owned(),
        }
    }

    /// Starts a program that writes its output and log to a file; doesn't wait for a line.
    pub fn start_logged(name: &str, args: &[&str], log: &Path) -> io::Result<Self> {
        let log = File::create(log)?;
        let mut command = command(binary(name), args, "sorrelturn=info");
        let child = spawn(command.stderr(log.try_clone()?).stdout(log))?;
        Ok(Self {
            child,
            first_line: String::new(),
        })
    }

    pub(crate) fn try_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            started_processes().running.remove(&self.pid());
        }
        status
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`. No program is started for it, since that may take seconds on a busy
    /// machine.
    pub fn signal(&self, name: &str) {
        let signal: Signal = format!("SIG{name}").parse().expect("a signal");
        let pid = Pid::from_raw(self.pid().cast_signed());
        let sent = kill(pid, signal);
        assert!(sent.is_ok(), "signal {name}: {sent:?}");
    }

    /// Suspends the process; returns once all its threads have stopped, which takes some milliseconds on a busy
    /// machine.
    pub async fn freeze(&self) {
        self.signal("STOP");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.is_frozen() {
            assert!(Instant::now() < deadline, "the process isn't suspended");
            Timer::after(Duration::from_millis(1)).await;
        }
    }

    fn is_frozen(&self) -> bool {
        let tasks = format!("/proc/{}/task", self.pid());
        let tasks = fs::read_dir(tasks).expect("the process is there");
        // A thread that exits meanwhile has no state any more.
        let states =
            tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("stat")).ok());
        let mut states = states.map(|stat| {
            // The state follows the name, which is in brackets.
            let (_, state_and_rest) = stat.rsplit_once(") ").expect("a name in brackets");
            state_and_rest.starts_with('T')
        });
        states.all(|stopped| stopped)
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Its id may belong to another process once it was waited for.
        started_processes().running.remove(&self.pid());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the exit of the process.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.try_exit_status() {
                return status;
            }
            assert!(Instant::now() < deadline, "the process doesn't exit");
            Timer::after(Duration::from_millis(10)).await;
        }
    }
}

fn started_processes() -> MutexGuard<'static, StartedProcesses> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn(command: &mut Command) -> io::Result<Child> {
    let mut started = started_processes();
    if started.is_ending {
        return Err(io::ErrorKind::Interrupted.into());
    }
    let child = command.spawn()?;
    started.running.insert(child.id());
    Ok(child)
}

/// Kills all processes that this program has started, before it ends without dropping them. No more can be started then.
pub(crate) fn kill_all() {
    let mut started = started_processes();
    started.is_ending = true;
    for pid in &started.running {
        // One that has exited meanwhile wasn't waited for, so its id isn't used again.
        let _ = kill(Pid::from_raw(pid.cast_signed()), Signal::SIGKILL);
    }
}

fn command(program: impl AsRef<OsStr>, args: &[&str], log: &str) -> Command {
    let mut command = Command::new(program);
    command
        .args(args)
        .env(
            "RUST_LOG",
            std::env::var("RUST_LOG").unwrap_or(log.to_owned()),
        )
        .stdin(Stdio::null());
    command
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon with its fake backend server.
pub struct DaemonProcess {
    /// The daemon.
    pub process: Process,
    /// The addresses that the daemon listens on.
    pub addresses: ListenSettings,
    /// The process of the backend server.
    pub backend: Process,
    /// The address of the backend server.
    pub backend_addr: SocketAddr,
    /// The daemon's settings.
    pub settings: Settings,
}

/// A fleet of daemons, backend servers and the platform's stand-in as processes.
pub struct ProcessFleet {
    /// The executor of the clients.
    pub ex: Arc<Executor<'static>>,
    /// The process of the platform's stand-in.
    pub platform_process: Process,
    /// The address of the stand-in.
    pub platform: SocketAddr,
    /// The daemons, in the order of the plan.
    pub daemons: Vec<DaemonProcess>,
    /// The plan of the fleet.
    pub plan: FleetPlan,
    folder: PathBuf,
}

impl ProcessFleet {
    /// Publishes the bundle and starts all processes; the settings files are written to `folder`.
    pub async fn start(ex: Arc<Executor<'static>>, plan: FleetPlan, folder: &Path) -> Self {
        let platform_process = Process::start("sorrelturn-platform", &["--listen", "127.0.0.1:0"]);
        let platform = platform_process.first_line.parse().expect("an address");
        publish_bundle(&Platform::new(platform, WAIT_TIMEOUT), &plan.bundle).await;
        let mut fleet = Self {
            ex,
            platform_process,
            platform,
            daemons: Vec::new(),
            plan,
            folder: folder.to_owned(),
        };
        for number in 0..fleet.plan.instances.len() {
            let daemon = fleet.start_daemon(number).await;
            fleet.daemons.push(daemon);
        }
        fleet.wait_for_all_members().await;
        fleet
    }

    /// Starts the daemon and the backend server of one instance of the plan.
    pub async fn start_daemon(&self, number: usize) -> DaemonProcess {
        let backend = Process::start("sorrelturn-bench", &["backend"]);
        let backend_addr = backend.first_line.parse().expect("an address");
        let instance = &self.plan.instances[number];
        let settings = self.plan.settings(instance, self.platform, backend_addr);
        self.start_with(settings, backend, backend_addr).await
    }

    /// Starts a daemon with these settings for a running backend server.
    pub async fn start_with(
        &self,
        settings: Settings,
        backend: Process,
        backend_addr: SocketAddr,
    ) -> DaemonProcess {
        let file = self.folder.join(format!("{}.jsonc", settings.instance));
        let text = serde_json::to_string_pretty(&settings).expect("settings are JSON");
        std::fs::write(&file, text).expect("the folder can be written");
        let file = file.display().to_string();
        let process = Process::start("sorrelturnd", &["--settings", &file]);
        let addresses: ListenSettings =
            serde_json::from_str(&process.first_line).expect("the daemon prints its addresses");
        let daemon = DaemonProcess {
            process,
            addresses,
            backend,
            backend_addr,
            settings,
        };
        let service = &daemon.settings.service;
        let mut plan = plan_for(&self.plan.indexed_bundle(), service, &self.plan.work_ms);
        plan.local = Some(addresses.local);
        daemon.set_plan(&plan).await;
        daemon
    }

    /// Returns a client of one instance's daemon.
    pub fn caller(&self, number: usize) -> Client {
        let addr = self.daemons[number].addresses.callers;
        Client::new(Arc::clone(&self.ex), addr)
    }

    /// Sets the faults of the stand-in.
    pub async fn play(&self, faults: &Faults) {
        play_faults(self.platform, faults).await;
    }

    /// Sets the list of VMs.
    pub async fn set_vms(&self, vms: &[VmEntry]) {
        let body = serde_json::to_vec(vms).expect("the list is JSON");
        put(self.platform, "/stand-in/vms", body).await;
    }

    /// Waits until every daemon has a bundle and knows all members.
    pub async fn wait_for_all_members(&self) {
        let all = self.daemons.len();
        for daemon in &self.daemons {
            daemon
                .until(|status| status.members == all && status.bundle_version > 0)
                .await;
        }
    }
}

impl DaemonProcess {
    /// Replaces the plan of the backend server.
    pub async fn set_plan(&self, plan: &Plan) {
        let body = serde_json::to_vec(plan).expect("a plan is JSON");
        put(self.backend_addr, "/fake/plan", body).await;
    }

    /// The daemon's status report, or `None` if it doesn't respond.
    pub async fn status(&self) -> Option<StatusReport> {
        let req = Request::get("/status").body(Bytes::new()).ok()?;
        let res = exchange(self.addresses.admin, req, WAIT_TIMEOUT)
            .await
            .ok()?;
        serde_json::from_slice(res.body()).ok()
    }

    /// Waits until the daemon's status satisfies a condition, and returns it.
    pub async fn until(&self, condition: impl Fn(&StatusReport) -> bool) -> StatusReport {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.status().await;
            if let Some(status) = status.as_ref().filter(|status| condition(status)) {
                return status.clone();
            }
            assert!(
                Instant::now() < deadline,
                "the status never satisfied the condition; last status {status:?}"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the daemon's record of a member satisfies a condition.
    pub async fn until_member(&self, instance: &str, condition: impl Fn(&MemberRecord) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self
            .members()
            .await
            .iter()
            .any(|record| record.instance == instance && condition(record))
        {
            assert!(
                Instant::now() < deadline,
                "the record of {instance} never satisfied the condition"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    async fn members(&self) -> Vec<MemberRecord> {
        let req = Request::get("/members")
            .body(Bytes::new())
            .expect("a request");
        let res = exchange(self.addresses.admin, req, WAIT_TIMEOUT)
            .await
            .expect("the daemon responds");
        serde_json::from_slice(res.body()).expect("members")
    }

    /// How often the backend server began each request with `x-execution-key`.
    pub async fn execution_counts(&self) -> std::collections::HashMap<String, u32> {
        let req = Request::get("/fake/ran")
            .body(Bytes::new())
            .expect("a request");
        let res = exchange(self.backend_addr, req, WAIT_TIMEOUT)
            .await
            .expect("the backend server responds");
        serde_json::from_slice(res.body()).expect("counts")
    }
}

/// The processor time that a process has used; zero if it doesn't exist.
pub fn cpu_time(pid: u32) -> Duration {
    /// The kernel's clock ticks per second (`USER_HZ`).
    const TICKS_PER_SECOND: u64 = 100;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name may contain spaces, the fields after it don't: the 12th is the user time, the 13th the system time.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// The resident memory of a process in bytes; zero if it doesn't exist.
pub fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

pub(crate) async fn play_faults(platform: SocketAddr, faults: &Faults) {
    let body = serde_json::to_vec(faults).expect("faults are JSON");
    put(platform, "/stand-in/faults", body).await;
}

async fn put(addr: SocketAddr, path: &str, body: Vec<u8>) {
    let req = Request::put(path)
        .body(Bytes::from(body))
        .expect("a request");
    let res = exchange(addr, req, WAIT_TIMEOUT)
        .await
        .expect("the server responds");
    assert!(res.status().is_success(), "{path} answers {}", res.status());
}
