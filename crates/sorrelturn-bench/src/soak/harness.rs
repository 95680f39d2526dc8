//! The soak itself: starts everything, plays a plan, and tells the checker what was seen.

use super::{
    checker::{Breach, Checker, Counts, Place},
    member::{Member, own_ip},
    path::Path as Way,
    plan::SoakPlan,
    workspaces::{BURST, LEASE_MS, OVERAGE, RATE, REVOCATION_MS, SLACK, WINDOW_S},
};
use crate::{ReceivedRequest, RoutedBackend, Script};
use bytes::Bytes;
use hyper::{Request, header::HeaderName};
use smol::{Executor, Task, Timer, net::TcpListener};
use sorrelturn_daemon::{Dialect, Settings};
use sorrelturn_platform::{Expected, Platform, StandIn, http::exchange, serve};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// The longest time for the start of everything, and for service to return after the faults; long, so that
/// a busy machine doesn't fail.
pub(super) const WAIT: Duration = Duration::from_secs(60);
/// How long daemons that stop go on serving.
const LINGER_MS: u64 = 800;
/// The longest time that a caller waits: the routes' deadline and several seconds, in which the daemon has
/// to say that it is over.
pub(super) const PATIENCE: Duration = Duration::from_millis(SoakTarget::DEADLINE_MS + 5_000);
/// Callers of each daemon that keep their connection as long as it lasts, and those that open one for
/// each request.
const KEEPERS: usize = 3;
const OPENERS: usize = 1;
/// How long backend servers work, and the least length of their answers.
pub(super) const WORKS: Script = Script::Works { ms: 15, bytes: 800 };
/// How often backend servers announce themselves.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);
/// How often a daemon is asked whether it is ready, looked at and, when it has ended, started anew.
const READY_EVERY: Duration = Duration::from_millis(100);
pub(super) const LOOK: Duration = Duration::from_millis(10);
const DOWN: Duration = Duration::from_millis(300);
/// How often the soak looks whether it is late itself.
const LAG_EVERY: Duration = Duration::from_millis(20);
/// What crashes a backend server, how often it is sent, and how long a backend server is away then.
pub(super) const DEADLY: &str = "/safe/deadly";
const BACKEND_DOWN: Duration = Duration::from_secs(1);
/// What somebody else writes to the announce port and under the members of the store.
pub(super) const FOREIGN: [&str; 4] = [
    "{",
    "[]",
    r#"{"service":"nobody","state":"ready","sequence":1,"slots":4,"born":1793099500000}"#,
    r#"{"service":"a","state":"asleep","sequence":"1","born":1.5}"#,
];
/// Where the route table lies.
pub(super) const TABLE: &str = "config/main";
/// The services; the first answers what is safe and tells versions, the second what runs once.
const SERVICES: [&str; 2] = ["a", "b"];

/// How the daemons under test speak. The soak knows none of it.
#[derive(Clone)]
pub struct SoakTarget {
    /// The program of a daemon.
    pub program: &'static str,
    /// The names of its headers.
    pub dialect: Dialect,
    /// The host that route tables name.
    pub host: &'static str,
    /// The route table of a version: `/safe/` leads to service `a` and may be repeated, `/once/` leads to `b` and
    /// runs once at most, `/version/N/`, with the own version for N, is as `/safe/`. All have
    /// [`SoakTarget::DEADLINE_MS`]. Three workspaces hold the credentials of [`CredentialKind`]; the last one has the quota of
    /// [`SoakTarget::RATE`] and [`SoakTarget::BURST`].
    pub table: fn(u64) -> String,
}

impl SoakTarget {
    /// The deadline of all routes, in milliseconds.
    pub const DEADLINE_MS: u64 = 3_000;
    /// The rate of the workspace with a quota, in requests a second.
    pub const RATE: u32 = RATE;
    /// Its burst.
    pub const BURST: u32 = BURST;
}

/// What came of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
    /// How much was seen.
    pub counts: Counts,
    /// The longest time by which the soak itself was late.
    pub lag: Duration,
    /// Writes of route tables that the store took no answer of.
    pub unsure_tables: u64,
}

pub(super) struct Harness {
    pub(super) ex: Arc<Executor<'static>>,
    pub(super) words: SoakTarget,
    pub(super) begun: Instant,
    pub(super) checker: Arc<Mutex<Checker>>,
    pub(super) platform: SocketAddr,
    pub(super) daemons: Vec<Member>,
    /// Whether [`DEADLY`] is sent.
    crashes: bool,
    pub(super) version: AtomicU64,
    pub(super) next_id: AtomicU64,
    pub(super) unsure_tables: AtomicU64,
    /// Nothing is done to daemons any more, and callers end.
    pub(super) over: AtomicBool,
}

/// Plays a plan; `folder` takes the settings and logs of daemons.
pub async fn soak(
    ex: Arc<Executor<'static>>,
    words: &SoakTarget,
    plan: &SoakPlan,
    folder: &Path,
) -> SoakReport {
    let harness = Arc::new(Harness::start(ex, words, plan, folder).await);
    let running = harness.run_all();
    harness.until_served().await;
    let mut actions = Vec::new();
    let begun = Instant::now();
    for timed in &plan.actions {
        Timer::at(begun + Duration::from_millis(timed.at_ms)).await;
        let harness = Arc::clone(&harness);
        let action = timed.action;
        actions.push(
            harness
                .ex
                .clone()
                .spawn(async move { harness.play(action).await }),
        );
    }
    for action in actions {
        action.await;
    }
    harness.publish(false).await;
    harness.until_served().await;
    harness.over.store(true, Ordering::Relaxed);
    for task in running {
        task.await;
    }
    harness.report()
}

impl Harness {
    async fn start(
        ex: Arc<Executor<'static>>,
        words: &SoakTarget,
        plan: &SoakPlan,
        folder: &Path,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let platform = listener.local_addr().expect("an address");
        ex.spawn(serve(Arc::clone(&ex), listener, StandIn::default()))
            .detach();
        let most = Duration::from_millis(plan.stop_timeout_ms);
        let mut harness = Self {
            words: words.clone(),
            begun: Instant::now(),
            checker: Arc::new(Mutex::new(Checker::new(plan.instances, most))),
            platform,
            daemons: Vec::new(),
            crashes: plan.has_crashing_request,
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            unsure_tables: AtomicU64::new(0),
            over: AtomicBool::new(false),
            ex,
        };
        harness.publish(false).await;
        harness.write_foreign_records().await;
        for number in 0..plan.instances {
            let member = harness
                .start_member(number, plan.stop_timeout_ms, folder)
                .await;
            harness.daemons.push(member);
        }
        harness
    }

    /// Others write to the store as well; what can't be read names no member.
    async fn write_foreign_records(&self) {
        let platform = Platform::new(self.platform, WAIT);
        for (number, value) in FOREIGN.iter().enumerate() {
            let key = format!("sorrelturn/members/foreign-{number}");
            if let Err(error) = platform.put(&key, value, Expected::Absent).await {
                log::error!("{key} can't be written: {error}");
            }
        }
    }

    async fn start_member(&self, number: usize, stop_timeout_ms: u64, folder: &Path) -> Member {
        let checker = Arc::clone(&self.checker);
        let begun = self.begun;
        let id_header = self.words.dialect.headers.request_id.clone();
        let watcher = move |req: &ReceivedRequest, script: Script| {
            note_reached(&checker, begun.elapsed(), &id_header, number, req, script);
        };
        let id = format!("b-{number}-0");
        let names = &self.words.dialect.headers;
        let backend = RoutedBackend::watched(names, &id, Arc::new(watcher));
        backend.play(WORKS);
        if self.crashes {
            backend.crash_on(DEADLY);
        }
        let backend_addr = backend.serve(&self.ex).await.expect("a free port");
        let way = Way::open(&self.ex).await.expect("a free port on loopback");
        let settings = self.settings(number, stop_timeout_ms, backend_addr, way.addr);
        let mut member = Member {
            number,
            addresses: settings.listen,
            settings,
            program: self.words.program,
            file: folder.join(format!("i-{number}.jsonc")),
            folder: folder.to_owned(),
            way,
            backend,
            process: Mutex::default(),
            leaves: AtomicBool::new(false),
            telling: Mutex::default(),
            sequence: AtomicU64::new(0),
            backend_runs: AtomicU64::new(0),
        };
        lock(&self.checker).started(number);
        let (process, addresses) = member.start(0).await.expect("the daemon starts");
        member.process = Mutex::new(Some(process));
        member.addresses = addresses;
        member.settings.listen = addresses;
        member.way.set_target(addresses.peers);
        member
    }

    fn settings(
        &self,
        number: usize,
        stop_timeout_ms: u64,
        backend: SocketAddr,
        peers: SocketAddr,
    ) -> Settings {
        let ip = own_ip(number);
        let service = SERVICES[number % SERVICES.len()];
        let text = format!(
            r#"{{
                "instance": "i-{number}", "service": "{service}", "failure_domain": "d",
                "listen": {{ "callers": "{ip}:0", "local": "{ip}:0", "peers": "{ip}:0", "control": "{ip}:0",
                    "admin": "{ip}:0", "routed": "{ip}:0", "announce": "{ip}:0", "ready": "{ip}:0" }},
                "advertise": {{ "peers": "{peers}" }},
                "backend": {{ "address": "{backend}" }},
                "platform": {{ "address": "{}" }},
                "routes": {{ "object": "{TABLE}", "retry_slack": 1000, "revocation_ms": {REVOCATION_MS},
                    "quota_window_s": {WINDOW_S}, "quota_overage": {OVERAGE}, "quota_slack": {SLACK}, "quota_lease_ms": {LEASE_MS} }},
                "threads": 1,
                "stop": {{ "linger_ms": {LINGER_MS}, "most_ms": {stop_timeout_ms} }}
            }}"#,
            self.platform
        );
        Settings::parse("soak", &text).expect("the settings are right")
    }

    pub(super) fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub(super) fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub(super) fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// Starts whatever goes on until the end.
    fn run_all(self: &Arc<Self>) -> Vec<Task<()>> {
        let mut tasks = vec![self.spawn(async |harness| harness.watch_lag().await)];
        for number in 0..self.daemons.len() {
            tasks.push(self.spawn(async move |harness| harness.keep_up(number).await));
            tasks.push(self.spawn(async move |harness| harness.ask_ready(number).await));
            tasks.push(self.spawn(async move |harness| harness.announce_often(number).await));
            if self.crashes {
                tasks.push(self.spawn(async move |harness| harness.keep_backend_up(number).await));
                tasks.push(self.spawn(async move |harness| harness.send_deadly(number).await));
            }
            for caller in 0..KEEPERS + OPENERS {
                let keeps = caller < KEEPERS;
                tasks.push(self.spawn(async move |harness| harness.call(number, keeps).await));
            }
        }
        tasks
    }

    fn spawn<F, T>(self: &Arc<Self>, f: F) -> Task<()>
    where
        F: FnOnce(Arc<Self>) -> T + Send + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        self.ex.spawn(f(Arc::clone(self)))
    }

    async fn watch_lag(&self) {
        while !self.is_over() {
            let due = Instant::now() + LAG_EVERY;
            Timer::at(due).await;
            self.checker().record_lag(due.elapsed());
        }
    }

    /// Starts a daemon anew whenever it has ended.
    async fn keep_up(&self, number: usize) {
        let member = &self.daemons[number];
        let mut runs = 1;
        while !self.is_over() {
            Timer::after(LOOK).await;
            if !self.has_ended(member) {
                continue;
            }
            Timer::after(DOWN).await;
            let begun = Instant::now();
            // Before the process can answer anybody.
            self.checker().started(number);
            loop {
                if let Some((process, _)) = member.start(runs).await {
                    self.checker().came_up(self.now(), number);
                    *lock(&member.process) = Some(process);
                    break;
                }
                runs += 1;
                if begun.elapsed() > WAIT {
                    let what = format!("daemon {number} doesn't start again");
                    return self.checker().did_not_recover(self.now(), what);
                }
            }
            runs += 1;
        }
    }

    /// Whether a daemon's process is gone; one that stops for too long is killed.
    fn has_ended(&self, member: &Member) -> bool {
        let mut slot = lock(&member.process);
        let Some(process) = slot.as_mut() else {
            return true;
        };
        if let Some(status) = process.try_exit_status() {
            let now = self.now();
            self.checker().exited(now, member.number, status.code());
            *slot = None;
            return true;
        }
        let now = self.now();
        let mut checker = self.checker();
        if checker.check_exit_time(now, member.number) {
            checker.killed(now, member.number);
            process.signal("KILL");
        }
        false
    }

    async fn ask_ready(&self, number: usize) {
        let addr = self.daemons[number].addresses.ready.expect("it listens");
        while !self.is_over() {
            Timer::after(READY_EVERY).await;
            let (asked, run) = (self.now(), self.checker().current_incarnation(number));
            let req = Request::get("/ready").body(Bytes::new());
            // A daemon that is down says nothing.
            let Ok(res) = exchange(addr, req.expect("a request"), PATIENCE).await else {
                continue;
            };
            let mut checker = self.checker();
            if checker.current_incarnation(number) == run {
                checker.readiness_reported(asked, number, run, res.status().is_success());
            }
        }
    }

    async fn announce_often(&self, number: usize) {
        let member = &self.daemons[number];
        while !self.is_over() {
            // A daemon that is down hears it the next time.
            let _ = member.announce().await;
            Timer::after(ANNOUNCE_EVERY).await;
        }
    }

    /// Starts a backend server anew whenever it has crashed.
    async fn keep_backend_up(&self, number: usize) {
        let member = &self.daemons[number];
        while !self.is_over() {
            Timer::after(LOOK).await;
            if member.backend.is_up() {
                continue;
            }
            Timer::after(BACKEND_DOWN).await;
            // One that leaves goes on leaving.
            if !member.leaves.load(Ordering::Relaxed) {
                self.checker().backend_joining(number);
                member.start_next_run(number);
            }
            let id = member.backend.id();
            if let Err(error) = member.backend.restart_after_crash(&self.ex, &id).await {
                log::error!("backend server {number} can't be started: {error}");
            }
        }
    }

    fn report(&self) -> SoakReport {
        let mut checker = self.checker();
        checker.finish();
        SoakReport {
            breaches: checker.breaches().to_vec(),
            counts: checker.counts(),
            lag: checker.lag(),
            unsure_tables: self.unsure_tables.load(Ordering::Relaxed),
        }
    }
}

fn note_reached(
    checker: &Mutex<Checker>,
    at: Duration,
    id_header: &HeaderName,
    daemon: usize,
    req: &ReceivedRequest,
    script: Script,
) {
    // A probe has none.
    let Some(id) = req.headers.get(id_header.as_str()) else {
        return;
    };
    let place = Place {
        daemon,
        runs: script != Script::SaysNotRun,
        misbehaves: !matches!(script, Script::Works { .. }),
    };
    let mut checker = lock(checker);
    checker.reached_backend(at, id, place);
    if req.line.contains(DEADLY) {
        checker.running_crashing_request(at, id, daemon);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
