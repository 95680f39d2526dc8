//! A small fleet of real processes, on loopback.

use crate::{
    client::Client,
    fleet::{FleetPlan, publish_bundle},
    plan::{Plan, plan_for},
};
use bytes::Bytes;
use hyper::Request;
use smol::{Executor, Timer};
use sorrelturn_daemon::{ListenSettings, Settings, StatusReport};
use sorrelturn_platform::{Faults, Platform, VmEntry, http::exchange};
use sorrelturn_protocol::MemberRecord;
use std::{
    ffi::OsStr,
    fs::{self, File},
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

/// The longest time for anything that a test waits for; long, so that a busy machine doesn't fail.
const WAIT: Duration = Duration::from_secs(60);

/// The path of one of the workspace's programs: beside the running test or bench.
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the running program has a path");
    let folder = own.parent().expect("a program lies in a folder");
    // Tests lie one folder below the programs.
    let candidates = [folder.join(name), folder.join("..").join(name)];
    candidates
        .into_iter()
        .find(|path| path.exists())
        .unwrap_or_else(|| panic!("{name} is not built; run `cargo build --workspace --bins`"))
}

/// One process; killed when it is dropped.
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

    /// As [`Process::start`], with no more than so many file descriptors.
    pub fn start_with_descriptors(descriptors: u32, name: &str, args: &[&str]) -> Self {
        let run = format!(r#"ulimit -n {descriptors} && exec "$0" "$@""#);
        let mut command = command("sh", &["-c", &run], "error");
        Self::start_command(command.arg(binary(name)).args(args))
    }

    fn start_command(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
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

    /// Starts a program whose output goes to a file, its log among it; doesn't wait for a line.
    pub(crate) fn start_logged(name: &str, args: &[&str], log: &Path) -> io::Result<Self> {
        let log = File::create(log)?;
        let child = command(binary(name), args, "sorrelturn=info")
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Self {
            child,
            first_line: String::new(),
        })
    }

    /// Its end, if it has ended.
    pub(crate) fn has_ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by its number.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.pid().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "signal {name}");
    }

    /// Freezes it. On a busy machine its threads stop some milliseconds after the signal, and go on with what arrives until
    /// then; none of them runs any more when this returns.
    pub async fn freeze(&self) {
        self.signal("STOP");
        let until = Instant::now() + WAIT;
        while !self.is_frozen() {
            assert!(Instant::now() < until, "the process doesn't freeze");
            Timer::after(Duration::from_millis(1)).await;
        }
    }

    fn is_frozen(&self) -> bool {
        let tasks = format!("/proc/{}/task", self.pid());
        let tasks = fs::read_dir(tasks).expect("the process is there");
        // A thread that ends meanwhile has no state any more.
        let states =
            tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("stat")).ok());
        let mut states = states.map(|stat| {
            // The state stands behind the name, which is in brackets.
            let (_, behind) = stat.rsplit_once(") ").expect("a name in brackets");
            behind.starts_with('T')
        });
        states.all(|stopped| stopped)
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        let until = Instant::now() + WAIT;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status;
            }
            assert!(Instant::now() < until, "the process doesn't end");
            Timer::after(Duration::from_millis(10)).await;
        }
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
    /// Where it listens.
    pub addresses: ListenSettings,
    /// The backend server.
    pub backend: Process,
    /// Where the backend server listens.
    pub backend_addr: SocketAddr,
    /// The daemon's settings.
    pub settings: Settings,
}

/// A fleet of processes.
pub struct ProcessFleet {
    /// Runs the clients.
    pub ex: Arc<Executor<'static>>,
    /// The stand-in's process.
    pub platform_process: Process,
    /// Where the stand-in listens.
    pub platform: SocketAddr,
    /// The daemons, in the order of the plan.
    pub daemons: Vec<DaemonProcess>,
    /// The plan.
    pub plan: FleetPlan,
    folder: PathBuf,
}

impl ProcessFleet {
    /// Starts everything; the bundle is published first. `folder` takes the settings files.
    pub async fn start(ex: Arc<Executor<'static>>, plan: FleetPlan, folder: &Path) -> Self {
        let platform_process = Process::start("sorrelturn-platform", &["--listen", "127.0.0.1:0"]);
        let platform = platform_process.first_line.parse().expect("an address");
        publish_bundle(&Platform::new(platform, WAIT), &plan.bundle).await;
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
        fleet.until_all_know_all().await;
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

    /// Starts a daemon with changed settings beside a backend server that runs.
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

    /// A caller of one instance's daemon.
    pub fn caller(&self, number: usize) -> Client {
        let addr = self.daemons[number].addresses.callers;
        Client::new(Arc::clone(&self.ex), addr)
    }

    /// Makes the stand-in play faults.
    pub async fn play(&self, faults: &Faults) {
        play_faults(self.platform, faults).await;
    }

    /// Sets the list of VMs.
    pub async fn set_vms(&self, vms: &[VmEntry]) {
        let body = serde_json::to_vec(vms).expect("the list is JSON");
        put(self.platform, "/stand-in/vms", body).await;
    }

    /// Waits until every daemon has the bundle and knows every other one.
    pub async fn until_all_know_all(&self) {
        let all = self.daemons.len();
        for daemon in &self.daemons {
            daemon
                .until(|status| status.members == all && status.bundle_version > 0)
                .await;
        }
    }
}

impl DaemonProcess {
    /// Replaces the backend server's plan.
    pub async fn set_plan(&self, plan: &Plan) {
        let body = serde_json::to_vec(plan).expect("a plan is JSON");
        put(self.backend_addr, "/fake/plan", body).await;
    }

    /// What the daemon says about itself, if it answers.
    pub async fn status(&self) -> Option<StatusReport> {
        let req = Request::get("/status").body(Bytes::new()).ok()?;
        let res = exchange(self.addresses.admin, req, WAIT).await.ok()?;
        serde_json::from_slice(res.body()).ok()
    }

    /// Waits until the daemon's status is as wanted.
    pub async fn until(&self, wanted: impl Fn(&StatusReport) -> bool) -> StatusReport {
        let until = Instant::now() + WAIT;
        loop {
            let status = self.status().await;
            if let Some(status) = status.as_ref().filter(|status| wanted(status)) {
                return status.clone();
            }
            assert!(
                Instant::now() < until,
                "not reached; last status {status:?}"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the daemon knows a member as wanted.
    pub async fn until_member(&self, instance: &str, wanted: impl Fn(&MemberRecord) -> bool) {
        let until = Instant::now() + WAIT;
        while !self
            .members()
            .await
            .iter()
            .any(|record| record.instance == instance && wanted(record))
        {
            assert!(
                Instant::now() < until,
                "{instance} never became known as wanted"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    async fn members(&self) -> Vec<MemberRecord> {
        let req = Request::get("/members")
            .body(Bytes::new())
            .expect("a request");
        let res = exchange(self.addresses.admin, req, WAIT)
            .await
            .expect("the daemon answers");
        serde_json::from_slice(res.body()).expect("members")
    }

    /// How often each request that carried `x-execution-key` was begun at the backend server.
    pub async fn ran(&self) -> std::collections::HashMap<String, u32> {
        let req = Request::get("/fake/ran")
            .body(Bytes::new())
            .expect("a request");
        let res = exchange(self.backend_addr, req, WAIT)
            .await
            .expect("the fake answers");
        serde_json::from_slice(res.body()).expect("counts")
    }
}

/// The processor time that a process has used.
pub fn cpu_time(pid: u32) -> Duration {
    /// Ticks of the kernel's clock in a second, on every Linux that this runs on.
    const TICKS_PER_SECOND: u64 = 100;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name may hold spaces; the fields behind it don't. User time is the 12th, then system.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// The memory that a process holds, in bytes.
pub fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Makes the stand-in at `platform` play faults.
pub(crate) async fn play_faults(platform: SocketAddr, faults: &Faults) {
    let body = serde_json::to_vec(faults).expect("faults are JSON");
    put(platform, "/stand-in/faults", body).await;
}

async fn put(addr: SocketAddr, path: &str, body: Vec<u8>) {
    let req = Request::put(path)
        .body(Bytes::from(body))
        .expect("a request");
    let res = exchange(addr, req, WAIT).await.expect("it answers");
    assert!(res.status().is_success(), "{path} answers {}", res.status());
}
