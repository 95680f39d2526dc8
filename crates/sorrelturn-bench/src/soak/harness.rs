//! The soak itself: starts all processes, executes a plan, and reports the observations to the checker.

use super::{
    checker::{Breach, Checker, Counts, Kind, Place},
    member::{Member, own_ip},
    path::FaultyPath,
    plan::SoakPlan,
    workspaces::{
        BURST, LEASE_MS, OVERAGE_FRACTION, RATE, REVOCATION_MS, SLACK_REQUESTS, WINDOW_S,
    },
};
use crate::{
    ReceivedRequest, RoutedBackend, Script,
    routed_backend::{CALL_SUFFIX, NORMAL_WORK},
};
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

/// For the start of all processes and the recovery after the faults; long enough for a busy machine.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(60);
/// How long stopping daemons continue to serve.
const LINGER_MS: u64 = 800;
/// The routes' deadline, plus several seconds in which the daemon has to report that it has passed.
pub(super) const RESPONSE_TIMEOUT: Duration =
    Duration::from_millis(SoakTarget::DEADLINE_MS + 5_000);
/// Callers per daemon that keep their connection open, and callers that open one for each request.
const PERSISTENT_CALLERS: usize = 3;
const ONE_SHOT_CALLERS: usize = 1;
/// Callers per daemon that send uploads, send requests behind one another, and go.
const MIXED_CALLERS: usize = 4;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(10);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The interval at which the soak measures its own delay.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The path of the request that crashes backend servers.
pub(super) const CRASHING_PATH: &str = "/safe/deadly";
/// The path of requests that backend servers never respond to.
pub(super) const TIMED_PATH: &str = "/timed/";
/// The path of requests that make a call, and the path of the call.
pub(super) const CALLING_PATH: &str = "/once/calling/";
const CALLED_PATH: &str = "/called/1";
const BACKEND_RESTART_DELAY: Duration = Duration::from_secs(1);
/// Malformed or foreign records that others write to the announce port and to the store's members.
pub(super) const FOREIGN_RECORDS: [&str; 4] = [
    "{",
    "[]",
    r#"{"service":"nobody","state":"ready","sequence":1,"slots":4,"born":1793099500000}"#,
    r#"{"service":"a","state":"asleep","sequence":"1","born":1.5}"#,
];
pub(super) const ROUTE_TABLE_KEY: &str = "config/main";
/// The delay of the first route table in plans of changes; daemons and callers run already.
const FIRST_TABLE_DELAY: Duration = Duration::from_secs(1);
/// The first serves repeatable and versioned routes, the second at-most-once routes.
const SERVICES: [&str; 2] = ["a", "b"];

/// The daemons under test: their program, dialect and route tables, which the soak itself doesn't know.
#[derive(Clone)]
pub struct SoakTarget {
    /// The name of the daemon's program.
    pub program: &'static str,
    /// The daemon's header names.
    pub dialect: Dialect,
    /// The host of all routes.
    pub host: &'static str,
    /// The route table of version N: `/safe/` leads to service `a` and is repeatable, `/once/` leads to `b`
    /// and is at-most-once, `/version/N/` is like `/safe/`, and so is `/called/`, which
    /// needs no credential. `/moved/` and `/shared/` are repeatable; the first leads to `a` in even versions and to `b` in
    /// odd ones, and the second to both with the weights 3 and 1. `/timed/` is like `/safe/`, with the deadline of
    /// [`timed_deadline`](super::timed_deadline). All others have the deadline [`SoakTarget::DEADLINE_MS`]. Three
    /// workspaces hold the credentials of `CredentialKind`; the last one has the quota of [`SoakTarget::RATE`] and
    /// [`SoakTarget::BURST`].
    pub table: fn(u64) -> String,
}

impl SoakTarget {
    /// The deadline of all routes.
    pub const DEADLINE_MS: u64 = 3_000;
    /// The quota of the limited workspace, in requests per second.
    pub const RATE: u32 = RATE;
    /// The burst of the limited workspace, in requests.
    pub const BURST: u32 = BURST;
}

/// The result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The broken promises.
    pub breaches: Vec<Breach>,
    /// The totals.
    pub counts: Counts,
    /// The maximum delay of the soak itself.
    pub lag: Duration,
    /// The number of route table writes that the store didn't confirm.
    pub unconfirmed_tables: u64,
}

pub(super) struct Harness {
    pub(super) ex: Arc<Executor<'static>>,
    pub(super) target: SoakTarget,
    pub(super) started_at: Instant,
    pub(super) checker: Arc<Mutex<Checker>>,
    pub(super) platform: SocketAddr,
    pub(super) daemons: Vec<Member>,
    has_crashing_request: bool,
    has_mixed_work: bool,
    pub(super) has_table_probes: bool,
    pub(super) version: AtomicU64,
    /// Writes of earlier route tables.
    pub(super) reverts_started: AtomicU64,
    /// Those of them that have ended.
    pub(super) reverts_ended: AtomicU64,
    pub(super) next_id: AtomicU64,
    pub(super) unconfirmed_tables: AtomicU64,
    /// Set once all actions are done; ends the tasks.
    pub(super) is_over: AtomicBool,
}

/// Executes a plan; writes the settings and logs of the daemons to `folder`.
pub async fn soak(
    ex: Arc<Executor<'static>>,
    target: &SoakTarget,
    plan: &SoakPlan,
    folder: &Path,
) -> SoakReport {
    let harness = Arc::new(Harness::start(ex, target, plan, folder).await);
    let running_tasks = harness.start_tasks();
    if plan.has_table_probes {
        Timer::after(FIRST_TABLE_DELAY).await;
        harness.publish(false).await;
    }
    harness.wait_until_served().await;
    let mut actions = Vec::new();
    let started_at = Instant::now();
    for timed in &plan.actions {
        Timer::at(started_at + Duration::from_millis(timed.at_ms)).await;
        let harness = Arc::clone(&harness);
        let action = timed.action;
        actions.push(
            harness
                .ex
                .clone()
                .spawn(async move { harness.run_action(action).await }),
        );
    }
    for action in actions {
        action.await;
    }
    harness.publish(false).await;
    harness.wait_until_served().await;
    harness.is_over.store(true, Ordering::Relaxed);
    for task in running_tasks {
        task.await;
    }
    harness.report()
}

impl Harness {
    async fn start(
        ex: Arc<Executor<'static>>,
        target: &SoakTarget,
        plan: &SoakPlan,
        folder: &Path,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let platform = listener.local_addr().expect("an address");
        ex.spawn(serve(Arc::clone(&ex), listener, StandIn::default()))
            .detach();
        let stop_timeout = Duration::from_millis(plan.stop_timeout_ms);
        let mut harness = Self {
            target: target.clone(),
            started_at: Instant::now(),
            checker: Arc::new(Mutex::new(Checker::new(plan.instances, stop_timeout))),
            platform,
            daemons: Vec::new(),
            has_crashing_request: plan.has_crashing_request,
            has_mixed_work: plan.has_mixed_work,
            has_table_probes: plan.has_table_probes,
            version: AtomicU64::new(0),
            reverts_started: AtomicU64::new(0),
            reverts_ended: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            unconfirmed_tables: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            ex,
        };
        if !plan.has_table_probes {
            harness.publish(false).await;
        }
        harness.write_foreign_records().await;
        for number in 0..plan.instances {
            let member = harness
                .start_member(number, plan.stop_timeout_ms, folder)
                .await;
            harness.daemons.push(member);
        }
        harness
    }

    /// Daemons have to ignore these.
    async fn write_foreign_records(&self) {
        let platform = Platform::new(self.platform, START_TIMEOUT);
        for (number, value) in FOREIGN_RECORDS.iter().enumerate() {
            let key = format!("sorrelturn/members/foreign-{number}");
            if let Err(error) = platform.put(&key, value, Expected::Absent).await {
                log::error!("{key} can't be written: {error}");
            }
        }
    }

    async fn start_member(&self, number: usize, stop_timeout_ms: u64, folder: &Path) -> Member {
        let checker = Arc::clone(&self.checker);
        let started_at = self.started_at;
        let id_header = self.target.dialect.headers.request_id.clone();
        let observer = move |req: &ReceivedRequest, script: Script| {
            record_arrival(
                &checker,
                started_at.elapsed(),
                &id_header,
                number,
                req,
                script,
            );
        };
        let id = format!("b-{number}-0");
        let header_names = &self.target.dialect.headers;
        let backend = RoutedBackend::with_observer(header_names, &id, Arc::new(observer));
        backend.play(NORMAL_WORK);
        backend.hang_on(TIMED_PATH);
        if self.has_crashing_request {
            backend.crash_on(CRASHING_PATH);
        }
        let backend_addr = backend.serve(&self.ex).await.expect("a free port");
        let path = FaultyPath::open(&self.ex)
            .await
            .expect("a free port on loopback");
        let settings = self.settings(number, stop_timeout_ms, backend_addr, path.addr);
        let mut member = Member {
            number,
            addresses: settings.listen,
            settings,
            program: self.target.program,
            file: folder.join(format!("i-{number}.jsonc")),
            folder: folder.to_owned(),
            path,
            backend,
            process: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            announce_lock: Mutex::default(),
            sequence: AtomicU64::new(0),
            backend_restarts: AtomicU64::new(0),
        };
        lock(&self.checker).started(number);
        let (process, addresses) = member.start(0).await.expect("the daemon starts");
        member.process = Mutex::new(Some(process));
        member.addresses = addresses;
        if self.has_mixed_work {
            let backend = &member.backend;
            backend.call_via(addresses.routed.expect("it listens"));
            backend.call_for(CALLING_PATH, CALLED_PATH);
        }
        member.settings.listen = addresses;
        member.path.set_target(addresses.peers);
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
                "routes": {{ "object": "{ROUTE_TABLE_KEY}", "retry_slack": 1000, "revocation_ms": {REVOCATION_MS},
                    "quota_window_s": {WINDOW_S}, "quota_overage": {OVERAGE_FRACTION}, "quota_slack": {SLACK_REQUESTS}, "quota_lease_ms": {LEASE_MS} }},
                "threads": 1,
                "stop": {{ "linger_ms": {LINGER_MS}, "most_ms": {stop_timeout_ms} }}
            }}"#,
            self.platform
        );
        Settings::parse("soak", &text).expect("the settings are right")
    }

    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    pub(super) fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// Starts the tasks that run until the end of the soak.
    fn start_tasks(self: &Arc<Self>) -> Vec<Task<()>> {
        let mut tasks = vec![self.spawn(async |harness| harness.watch_lag().await)];
        for number in 0..self.daemons.len() {
            tasks.push(self.spawn(async move |harness| harness.keep_daemon_running(number).await));
            tasks.push(self.spawn(async move |harness| harness.check_readiness(number).await));
            tasks.push(self.spawn(async move |harness| harness.send_heartbeats(number).await));
            if self.has_table_probes {
                tasks.push(self.spawn(async move |harness| harness.probe_tables(number).await));
            }
            if self.has_crashing_request {
                tasks.push(
                    self.spawn(async move |harness| harness.keep_backend_running(number).await),
                );
                tasks.push(
                    self.spawn(async move |harness| harness.send_crashing_requests(number).await),
                );
            }
            if self.has_mixed_work {
                for _ in 0..MIXED_CALLERS {
                    tasks.push(
                        self.spawn(async move |harness| harness.run_mixed_caller(number).await),
                    );
                }
            }
            for caller in 0..PERSISTENT_CALLERS + ONE_SHOT_CALLERS {
                let keeps_connection = caller < PERSISTENT_CALLERS;
                tasks.push(self.spawn(async move |harness| {
                    harness.run_caller(number, keeps_connection).await
                }));
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
            let due = Instant::now() + LAG_CHECK_INTERVAL;
            Timer::at(due).await;
            self.checker().record_lag(due.elapsed());
        }
    }

    async fn keep_daemon_running(&self, number: usize) {
        let member = &self.daemons[number];
        let mut incarnations = 1;
        while !self.is_over() {
            Timer::after(POLL_INTERVAL).await;
            if !self.has_ended(member) {
                continue;
            }
            Timer::after(RESTART_DELAY).await;
            let started_at = Instant::now();
            // The checker has to know before the process can respond.
            self.checker().started(number);
            loop {
                if let Some((process, _)) = member.start(incarnations).await {
                    self.checker().came_up(self.now(), number);
                    *lock(&member.process) = Some(process);
                    break;
                }
                incarnations += 1;
                if started_at.elapsed() > START_TIMEOUT {
                    let description = format!("daemon {number} doesn't start again");
                    return self.checker().did_not_recover(self.now(), description);
                }
            }
            incarnations += 1;
        }
    }

    /// Returns whether a daemon's process has exited; kills one that exceeds its stop timeout.
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

    async fn check_readiness(&self, number: usize) {
        let addr = self.daemons[number].addresses.ready.expect("it listens");
        while !self.is_over() {
            Timer::after(READINESS_INTERVAL).await;
            let (sent_at, incarnation) = (self.now(), self.checker().current_incarnation(number));
            let req = Request::get("/ready").body(Bytes::new());
            // A daemon that is down doesn't respond.
            let Ok(res) = exchange(addr, req.expect("a request"), RESPONSE_TIMEOUT).await else {
                continue;
            };
            let mut checker = self.checker();
            if checker.current_incarnation(number) == incarnation {
                checker.readiness_reported(sent_at, number, incarnation, res.status().is_success());
            }
        }
    }

    async fn send_heartbeats(&self, number: usize) {
        let member = &self.daemons[number];
        while !self.is_over() {
            if !member.is_silent.load(Ordering::Relaxed) {
                // A daemon that is down receives the next one.
                let _ = member.announce().await;
            }
            Timer::after(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn keep_backend_running(&self, number: usize) {
        let member = &self.daemons[number];
        while !self.is_over() {
            Timer::after(POLL_INTERVAL).await;
            if member.backend.is_up() {
                continue;
            }
            Timer::after(BACKEND_RESTART_DELAY).await;
            // A backend server that is leaving stays in that state.
            if !member.is_leaving.load(Ordering::Relaxed) {
                self.checker().backend_joining(number);
                member.start_next_incarnation(number);
            }
            let id = member.backend.id();
            if let Err(error) = member.backend.restart_after_crash(&self.ex, &id).await {
                log::error!("backend server {number} can't be started: {error}");
            }
        }
    }

    fn report(&self) -> SoakReport {
        let mut checker = self.checker();
        checker.finish(self.now());
        SoakReport {
            breaches: checker.breaches().to_vec(),
            counts: checker.counts(),
            lag: checker.lag(),
            unconfirmed_tables: self.unconfirmed_tables.load(Ordering::Relaxed),
        }
    }
}

fn record_arrival(
    checker: &Mutex<Checker>,
    at: Duration,
    id_header: &HeaderName,
    daemon: usize,
    req: &ReceivedRequest,
    script: Script,
) {
    // A probe has no request id.
    let Some(id) = req.headers.get(id_header.as_str()) else {
        return;
    };
    let arrival = Place {
        daemon,
        runs: script != Script::SaysNotRun,
        misbehaves: !matches!(script, Script::Works { .. }),
    };
    let mut checker = lock(checker);
    checker.reached_backend(at, id, arrival);
    if req.line.contains(CALLING_PATH) && arrival.runs {
        let call = format!("{id}{CALL_SUFFIX}");
        let incarnation = checker.current_incarnation(daemon);
        checker.sending(at, &call, Kind::Safe, daemon, incarnation);
    }
    if req.line.contains(CRASHING_PATH) {
        checker.running_crashing_request(at, id, daemon);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
