//! The soak itself: starts everything, plays a plan, and tells the checker what was seen.

use super::{
    caller::{Caller, Heard, Question},
    checker::{Breach, Checker, Counts, Ending, Kind, Place},
    path::Path as Way,
    plan::{Act, SoakPlan, Trouble},
    workspaces::{BURST, OVERAGE, RATE, REVOCATION_MS, SLACK, Shows, WINDOW_S},
};
use crate::{
    Reached, RoutedBackend, Script,
    processes::{Process, play_faults},
};
use bytes::Bytes;
use hyper::{Request, header::HeaderName};
use smol::{Executor, Task, Timer, net::TcpListener};
use sorrelturn_daemon::{Dialect, ListenSettings, Settings};
use sorrelturn_platform::{Expected, Faults, Platform, StandIn, http::exchange, serve};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// The longest time for the start of everything, and for service to return after the faults; long, so that
/// a busy machine doesn't fail.
const WAIT: Duration = Duration::from_secs(60);
/// How long daemons that stop go on serving.
const LINGER_MS: u64 = 800;
/// The longest time that a caller waits: the routes' deadline and several seconds, in which the daemon has
/// to say that it is over.
const PATIENCE: Duration = Duration::from_millis(SoakWords::DEADLINE_MS + 5_000);
/// Callers of each daemon that keep their connection as long as it lasts, and those that open one for
/// each request.
const KEEPERS: usize = 3;
const OPENERS: usize = 1;
/// The longest pause of a caller between two requests; with four callers a daemon is asked some hundred
/// times a second.
const PAUSE_MS: u64 = 50;
/// How long backend servers work, and the least length of their answers.
const WORKS: Script = Script::Works { ms: 15, bytes: 800 };
/// Now and then one works longer, up to about the longest time of a stop.
const WORKS_LONG: Script = Script::Works {
    ms: 1_200,
    bytes: 40_000,
};
/// The slots that backend servers announce: more than their callers together.
const SLOTS: u32 = 64;
/// How often backend servers announce themselves.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);
/// How often a daemon is asked whether it is ready, looked at and, when it has ended, started anew.
const READY_EVERY: Duration = Duration::from_millis(100);
const LOOK: Duration = Duration::from_millis(10);
const DOWN: Duration = Duration::from_millis(300);
/// How often the soak looks whether it is late itself.
const LAG_EVERY: Duration = Duration::from_millis(20);
/// What crashes a backend server, how often it is sent, and how long a backend server is away then.
const DEADLY: &str = "/safe/deadly";
const DEADLY_EVERY: Duration = Duration::from_millis(200);
const BACKEND_DOWN: Duration = Duration::from_secs(1);
/// The extra time of each call of a slow store: near the daemons' time-out of a second.
const SLOW_MS: u64 = 900;
/// When the first run of each backend server started, in milliseconds since the Unix epoch; each further one starts
/// a second later by its own clock.
const FIRST_BORN_MS: u64 = 1_793_099_500_000;
/// Every so many restarts the backend server has a new id; at all others it keeps the one that it had.
const NEW_ID_EVERY: u64 = 3;
/// What somebody else writes to the announce port and under the members of the store.
const FOREIGN: [&str; 4] = [
    "{",
    "[]",
    r#"{"service":"nobody","state":"ready","sequence":1,"slots":4,"born":1793099500000}"#,
    r#"{"service":"a","state":"asleep","sequence":"1","born":1.5}"#,
];
/// Where the route table lies.
const TABLE: &str = "config/main";
/// The services; the first answers what is safe and tells versions, the second what runs once.
const SERVICES: [&str; 2] = ["a", "b"];

/// How the daemons under test speak. The soak knows none of it.
#[derive(Clone)]
pub struct SoakWords {
    /// The program of a daemon.
    pub program: &'static str,
    /// The names of its headers.
    pub dialect: Dialect,
    /// The host that route tables name.
    pub host: &'static str,
    /// The route table of a version: `/safe/` leads to service `a` and may be repeated, `/once/` leads to `b` and
    /// runs once at most, `/version/N/`, with the own version for N, is as `/safe/`. All have
    /// [`SoakWords::DEADLINE_MS`]. Three workspaces hold the credentials of [`Shows`]; the last one has the quota of
    /// [`SoakWords::RATE`] and [`SoakWords::BURST`].
    pub table: fn(u64) -> String,
}

impl SoakWords {
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

struct Site {
    ex: Arc<Executor<'static>>,
    words: SoakWords,
    begun: Instant,
    checker: Arc<Mutex<Checker>>,
    platform: SocketAddr,
    daemons: Vec<Member>,
    /// Whether [`DEADLY`] is sent.
    crashes: bool,
    version: AtomicU64,
    next_id: AtomicU64,
    unsure_tables: AtomicU64,
    /// Nothing is done to daemons any more, and callers end.
    over: AtomicBool,
}

/// A daemon with its backend server.
struct Member {
    number: usize,
    settings: Settings,
    addresses: ListenSettings,
    program: &'static str,
    file: PathBuf,
    folder: PathBuf,
    way: Way,
    backend: RoutedBackend,
    process: Mutex<Option<Process>>,
    /// Whether the backend server is about to go.
    leaves: AtomicBool,
    /// Held while an announcement is written and while the backend server becomes another run, so that no run is told
    /// with what another one does.
    telling: Mutex<()>,
    sequence: AtomicU64,
    backend_runs: AtomicU64,
}

/// One run of a backend server.
struct BackendRun {
    id: String,
    born_ms: u64,
}

/// Plays a plan; `folder` takes the settings and logs of daemons.
pub async fn soak(
    ex: Arc<Executor<'static>>,
    words: &SoakWords,
    plan: &SoakPlan,
    folder: &Path,
) -> SoakReport {
    let site = Arc::new(Site::start(ex, words, plan, folder).await);
    let running = site.run_all();
    site.until_served().await;
    let mut acts = Vec::new();
    let begun = Instant::now();
    for timed in &plan.acts {
        Timer::at(begun + Duration::from_millis(timed.at_ms)).await;
        let site = Arc::clone(&site);
        let act = timed.act;
        acts.push(site.ex.clone().spawn(async move { site.play(act).await }));
    }
    for act in acts {
        act.await;
    }
    site.publish(false).await;
    site.until_served().await;
    site.over.store(true, Ordering::Relaxed);
    for task in running {
        task.await;
    }
    site.report()
}

impl Site {
    async fn start(
        ex: Arc<Executor<'static>>,
        words: &SoakWords,
        plan: &SoakPlan,
        folder: &Path,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let platform = listener.local_addr().expect("an address");
        ex.spawn(serve(Arc::clone(&ex), listener, StandIn::default()))
            .detach();
        let most = Duration::from_millis(plan.most_ms);
        let mut site = Self {
            words: words.clone(),
            begun: Instant::now(),
            checker: Arc::new(Mutex::new(Checker::new(plan.instances, most))),
            platform,
            daemons: Vec::new(),
            crashes: plan.crashes,
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            unsure_tables: AtomicU64::new(0),
            over: AtomicBool::new(false),
            ex,
        };
        site.publish(false).await;
        site.write_foreign_records().await;
        for number in 0..plan.instances {
            let member = site.start_member(number, plan.most_ms, folder).await;
            site.daemons.push(member);
        }
        site
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

    async fn start_member(&self, number: usize, most_ms: u64, folder: &Path) -> Member {
        let checker = Arc::clone(&self.checker);
        let begun = self.begun;
        let id_header = self.words.dialect.headers.request_id.clone();
        let watcher = move |req: &Reached, script: Script| {
            note_reached(&checker, begun.elapsed(), &id_header, number, req, script);
        };
        let id = format!("b-{number}-0");
        let names = &self.words.dialect.headers;
        let backend = RoutedBackend::watched(names, &id, Arc::new(watcher));
        backend.play(WORKS);
        if self.crashes {
            backend.crash_by(DEADLY);
        }
        let backend_addr = backend.serve(&self.ex).await.expect("a free port");
        let way = Way::open(&self.ex).await.expect("a free port on loopback");
        let settings = self.settings(number, most_ms, backend_addr, way.addr);
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
        member.way.lead_to(addresses.peers);
        member
    }

    fn settings(
        &self,
        number: usize,
        most_ms: u64,
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
                    "quota_window_s": {WINDOW_S}, "quota_overage": {OVERAGE}, "quota_slack": {SLACK} }},
                "threads": 1,
                "stop": {{ "linger_ms": {LINGER_MS}, "most_ms": {most_ms} }}
            }}"#,
            self.platform
        );
        Settings::parse("soak", &text).expect("the settings are right")
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// Starts whatever goes on until the end.
    fn run_all(self: &Arc<Self>) -> Vec<Task<()>> {
        let mut tasks = vec![self.spawn(async |site| site.watch_lag().await)];
        for number in 0..self.daemons.len() {
            tasks.push(self.spawn(async move |site| site.keep_up(number).await));
            tasks.push(self.spawn(async move |site| site.ask_ready(number).await));
            tasks.push(self.spawn(async move |site| site.announce_often(number).await));
            if self.crashes {
                tasks.push(self.spawn(async move |site| site.keep_backend_up(number).await));
                tasks.push(self.spawn(async move |site| site.send_deadly(number).await));
            }
            for caller in 0..KEEPERS + OPENERS {
                let keeps = caller < KEEPERS;
                tasks.push(self.spawn(async move |site| site.call(number, keeps).await));
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
            self.checker().lags(due.elapsed());
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
                    self.checker().is_up(self.now(), number);
                    *lock(&member.process) = Some(process);
                    break;
                }
                runs += 1;
                if begun.elapsed() > WAIT {
                    let what = format!("daemon {number} doesn't start again");
                    return self.checker().never_recovers(self.now(), what);
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
        if let Some(status) = process.has_ended() {
            let now = self.now();
            self.checker().exited(now, member.number, status.code());
            *slot = None;
            return true;
        }
        let now = self.now();
        let mut checker = self.checker();
        if checker.check_time(now, member.number) {
            checker.killed(now, member.number);
            process.signal("KILL");
        }
        false
    }

    async fn ask_ready(&self, number: usize) {
        let addr = self.daemons[number].addresses.ready.expect("it listens");
        while !self.is_over() {
            Timer::after(READY_EVERY).await;
            let (asked, run) = (self.now(), self.checker().run_of(number));
            let req = Request::get("/ready").body(Bytes::new());
            // A daemon that is down says nothing.
            let Ok(res) = exchange(addr, req.expect("a request"), PATIENCE).await else {
                continue;
            };
            let mut checker = self.checker();
            if checker.run_of(number) == run {
                checker.said_ready(asked, number, run, res.status().is_success());
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
                self.checker().joins(number);
                member.start_next_run(number);
            }
            let id = member.backend.id();
            if let Err(error) = member.backend.rise(&self.ex, &id).await {
                log::error!("backend server {number} can't be started: {error}");
            }
        }
    }

    /// Sends what crashes backend servers at one daemon, again and again.
    async fn send_deadly(&self, number: usize) {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let every = DEADLY_EVERY * self.daemons.len() as u32;
        while !self.is_over() {
            Timer::after(every.mul_f64(0.5 + fastrand::f64())).await;
            let run = self.checker().run_of(number);
            if let Ok(mut caller) = Caller::connect(addr).await {
                let id = self.new_id();
                let of = (number, run);
                self.ask_for(&mut caller, DEADLY, &id, Kind::Safe, of, Shows::Steady)
                    .await;
            }
        }
    }

    /// A caller of one daemon.
    async fn call(&self, number: usize, keeps: bool) {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let mut rng = fastrand::Rng::new();
        let mut open: Option<(Caller, usize)> = None;
        while !self.is_over() {
            Timer::after(Duration::from_millis(rng.u64(..PAUSE_MS))).await;
            let (mut caller, run) = match open.take() {
                Some(open) => open,
                None => {
                    let run = self.checker().run_of(number);
                    match Caller::connect(addr).await {
                        Ok(caller) if self.checker().run_of(number) == run => (caller, run),
                        _ => continue,
                    }
                }
            };
            let (kind, shows) = self.any_kind(&mut rng);
            let id = self.new_id();
            let path = path_of(kind, &id);
            let heard = self
                .ask_for(&mut caller, &path, &id, kind, (number, run), shows)
                .await;
            if keeps && heard.is_some_and(|heard| heard.goes_on) {
                open = Some((caller, run));
            }
        }
    }

    fn any_kind(&self, rng: &mut fastrand::Rng) -> (Kind, Shows) {
        let newest = self.version.load(Ordering::Relaxed);
        let before = newest.saturating_sub(1);
        match rng.u8(..14) {
            0..5 => (Kind::Once, Shows::Steady),
            5..8 => (Kind::Safe, Shows::Steady),
            8 => (Kind::Version(newest), Shows::Steady),
            9 => (Kind::Version(before), Shows::Steady),
            10 => (Kind::Safe, Shows::OfVersion(newest)),
            11 => (Kind::Safe, Shows::OfVersion(before)),
            _ => (Kind::Once, Shows::Limited),
        }
    }

    /// Makes a request; `None` if the connection was closed before all of it went out, as it may be.
    async fn ask(
        &self,
        caller: &mut Caller,
        kind: Kind,
        number: usize,
        run: usize,
    ) -> Option<Heard> {
        let id = self.new_id();
        let path = path_of(kind, &id);
        self.ask_for(caller, &path, &id, kind, (number, run), Shows::Steady)
            .await
    }

    fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Asks a run of a daemon for a path.
    async fn ask_for(
        &self,
        caller: &mut Caller,
        path: &str,
        id: &str,
        kind: Kind,
        of: (usize, usize),
        shows: Shows,
    ) -> Option<Heard> {
        let credential = shows.credential();
        let question = Question {
            path,
            host: self.words.host,
            id,
            id_header: self.words.dialect.headers.request_id.as_str(),
            credential: &credential,
            credential_header: self.words.dialect.headers.credential.as_str(),
        };
        self.checker().asked_by(self.now(), id, kind, of, shows);
        caller.send(&question).await.ok()?;
        let heard = caller.hear(&question, PATIENCE).await;
        self.checker().ended(self.now(), id, heard.ending);
        Some(heard)
    }

    /// Writes the next route table into the store, or the one before the newest.
    async fn publish(&self, older: bool) {
        let version = if older {
            let before = self.version.load(Ordering::Relaxed).max(2) - 1;
            self.checker().goes_back(before);
            before
        } else {
            let next = self.version.fetch_add(1, Ordering::Relaxed) + 1;
            self.checker().published(next);
            next
        };
        let platform = Platform::new(self.platform, PATIENCE);
        let table = (self.words.table)(version);
        let written = platform.put(TABLE, &table, Expected::Anything).await;
        if written.is_ok() {
            self.checker().confirmed(self.now(), version);
        }
        let unsure = u64::from(written.is_err());
        self.unsure_tables.fetch_add(unsure, Ordering::Relaxed);
    }

    async fn play(&self, act: Act) {
        match act {
            Act::Stop {
                daemon,
                again_ms,
                kill_ms,
            } => self.stop(daemon, again_ms, kill_ms).await,
            Act::Kill { daemon } => self.kill(daemon, None),
            Act::Pause { daemon, ms } => self.pause(daemon, ms).await,
            Act::Reread { daemon } => self.signal(daemon, "HUP", |_, _| ()),
            Act::Publish { older } => self.publish(older).await,
            Act::Store { trouble, ms } => self.trouble(trouble, ms).await,
            Act::Path { daemon, harm, ms } => {
                let (now, lasts) = (self.now(), Duration::from_millis(ms));
                self.checker().harmed(now, now + lasts, daemon);
                self.daemons[daemon].way.harm(harm, lasts).await;
            }
            Act::Leave { daemon, ms } => self.leave(daemon, ms).await,
            Act::Misbehave { daemon, script, ms } => {
                let backend = &self.daemons[daemon].backend;
                backend.play(script);
                Timer::after(Duration::from_millis(ms)).await;
                backend.play(WORKS_LONG);
                Timer::after(Duration::from_millis(ms)).await;
                backend.play(WORKS);
            }
        }
    }

    /// Sends a signal if the daemon is up, and notes it before.
    fn signal(&self, daemon: usize, signal: &str, note: impl FnOnce(&mut Checker, Duration)) {
        let mut slot = lock(&self.daemons[daemon].process);
        if let Some(process) = slot.as_mut()
            && process.has_ended().is_none()
        {
            note(&mut self.checker(), self.now());
            process.signal(signal);
        }
    }

    async fn stop(&self, daemon: usize, again_ms: Option<u64>, kill_ms: Option<u64>) {
        let run = self.checker().run_of(daemon);
        let tell = || self.signal(daemon, "TERM", |checker, now| checker.told(now, daemon));
        tell();
        let again = async {
            if let Some(ms) = again_ms {
                Timer::after(Duration::from_millis(ms)).await;
                tell();
            }
        };
        let kill = async {
            if let Some(ms) = kill_ms {
                Timer::after(Duration::from_millis(ms)).await;
                self.kill(daemon, Some(run));
            }
        };
        smol::future::zip(again, kill).await;
    }

    /// Kills a daemon; where a run is given, only that one.
    fn kill(&self, daemon: usize, run: Option<usize>) {
        if run.is_none_or(|run| run == self.checker().run_of(daemon)) {
            self.signal(daemon, "KILL", |checker, now| checker.killed(now, daemon));
        }
    }

    async fn pause(&self, daemon: usize, ms: u64) {
        self.signal(daemon, "STOP", |checker, now| checker.paused(now, daemon));
        Timer::after(Duration::from_millis(ms)).await;
        self.signal(daemon, "CONT", |checker, now| checker.resumed(now, daemon));
    }

    async fn trouble(&self, trouble: Trouble, ms: u64) {
        let mut faults = Faults::default();
        match trouble {
            Trouble::Down => faults.down = true,
            Trouble::Busy => faults.busy = true,
            Trouble::Silent => faults.silent = true,
            Trouble::Slow => faults.slow_ms = SLOW_MS,
            Trouble::LosesAnswers => faults.lose_write_answers = u32::MAX,
            Trouble::Deaf => faults.silent_watches = true,
        }
        let (now, lasts) = (self.now(), Duration::from_millis(ms));
        self.checker().store_troubled(now, now + lasts);
        play_faults(self.platform, &faults).await;
        Timer::after(lasts).await;
        // Of troubles that overlap the first to end ends all.
        play_faults(self.platform, &Faults::default()).await;
    }

    /// A backend server leaves, is away for a while, and comes back as another run.
    async fn leave(&self, daemon: usize, ms: u64) {
        let member = &self.daemons[daemon];
        if member.leaves.swap(true, Ordering::Relaxed) {
            return;
        }
        let away = Instant::now() + Duration::from_millis(ms);
        while !member.announce().await.is_ok_and(|status| status == 200) {
            Timer::after(LOOK).await;
        }
        self.checker().leave_acknowledged(self.now(), daemon);
        Timer::at(away).await;
        self.checker().joins(daemon);
        let before = member.start_next_run(daemon);
        self.held_up_news(member, &before).await;
    }

    /// What the run before said last comes late, with what others write.
    async fn held_up_news(&self, member: &Member, before: &BackendRun) {
        while !member.announce().await.is_ok_and(|status| status == 200) {
            Timer::after(LOOK).await;
        }
        // Whatever the answers are: the checker sees whether the new run gets work.
        let leaves = member.heartbeat(before.born_ms, "draining", u64::from(u32::MAX));
        let _ = member.post(&before.id, "heartbeat", leaves).await;
        let ends = format!(r#"{{"born":{}}}"#, before.born_ms);
        let _ = member.post(&before.id, "deregister", ends).await;
        for foreign in FOREIGN {
            let id = member.backend.id();
            let _ = member.post(&id, "heartbeat", foreign.to_owned()).await;
        }
    }

    /// Waits until every daemon serves every kind.
    async fn until_served(&self) {
        let end = Instant::now() + WAIT;
        for number in 0..self.daemons.len() {
            let newest = Kind::Version(self.version.load(Ordering::Relaxed));
            for kind in [Kind::Safe, Kind::Once, newest] {
                while !self.is_served(number, kind).await {
                    if Instant::now() > end {
                        let what = format!("daemon {number} doesn't serve {kind:?}");
                        self.checker().never_recovers(self.now(), what);
                        return;
                    }
                    Timer::after(LOOK).await;
                }
            }
        }
    }

    async fn is_served(&self, number: usize, kind: Kind) -> bool {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let run = self.checker().run_of(number);
        let Ok(mut caller) = Caller::connect(addr).await else {
            return false;
        };
        let heard = self.ask(&mut caller, kind, number, run).await;
        heard.is_some_and(|heard| matches!(heard.ending, Ending::Answer { status: 200, .. }))
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

impl Member {
    /// Starts a run of the daemon and waits until it says where it listens; `None` if it ends instead.
    async fn start(&self, run: usize) -> Option<(Process, ListenSettings)> {
        let text = serde_json::to_string_pretty(&self.settings).expect("settings are JSON");
        let log = self.folder.join(format!("i-{}-{run}.log", self.number));
        let (program, file) = (self.program, self.file.clone());
        let to = log.clone();
        // A disk that is busy holds up this thread only.
        let start = smol::unblock(move || {
            std::fs::write(&file, text)?;
            let file = file.display().to_string();
            Process::start_logged(program, &["--settings", &file], &to)
        });
        let mut process = match start.await {
            Ok(process) => process,
            Err(error) => {
                log::error!("daemon {} can't be started: {error}", self.number);
                return None;
            }
        };
        let begun = Instant::now();
        while begun.elapsed() < WAIT && process.has_ended().is_none() {
            let from = log.clone();
            if let Some(addresses) = smol::unblock(move || addresses_in(&from)).await {
                return Some((process, addresses));
            }
            Timer::after(LOOK).await;
        }
        None
    }

    /// The backend server ends and starts again; returns the run that ended.
    fn start_next_run(&self, daemon: usize) -> BackendRun {
        let _telling = lock(&self.telling);
        let before = self.run();
        let restarts = self.backend_runs.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("b-{daemon}-{}", restarts / NEW_ID_EVERY);
        self.backend.restart_as(&id);
        self.sequence.store(0, Ordering::Relaxed);
        self.leaves.store(false, Ordering::Relaxed);
        before
    }

    /// The run of the backend server that is there now.
    fn run(&self) -> BackendRun {
        let restarts = self.backend_runs.load(Ordering::Relaxed);
        BackendRun {
            id: self.backend.id(),
            born_ms: FIRST_BORN_MS + 1_000 * restarts,
        }
    }

    /// Makes an announcement of the backend server; the status of the answer.
    async fn announce(&self) -> Result<u16, io::Error> {
        let (run, body) = {
            let _telling = lock(&self.telling);
            let leaves = self.leaves.load(Ordering::Relaxed);
            let state = if leaves { "draining" } else { "ready" };
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let run = self.run();
            let body = self.heartbeat(run.born_ms, state, sequence);
            (run, body)
        };
        self.post(&run.id, "heartbeat", body).await
    }

    fn heartbeat(&self, born_ms: u64, state: &str, sequence: u64) -> String {
        let service = &self.settings.service;
        format!(
            r#"{{"service":"{service}","state":"{state}","sequence":{sequence},"slots":{SLOTS},"born":{born_ms}}}"#
        )
    }

    /// Makes a call of a backend server to the daemon; the status of the answer.
    async fn post(&self, id: &str, call: &str, body: String) -> Result<u16, io::Error> {
        let path = format!("/backend/{id}/{call}");
        let req = Request::post(path).body(Bytes::from(body));
        let addr = self.addresses.announce.expect("it listens");
        let res = exchange(addr, req.expect("a request"), PATIENCE).await;
        let res = res.map_err(io::Error::other)?;
        Ok(res.status().as_u16())
    }
}

/// What a daemon printed of its addresses; its log stands in the same file.
fn addresses_in(log: &Path) -> Option<ListenSettings> {
    let text = std::fs::read_to_string(log).ok()?;
    let mut lines = text.lines().filter(|line| line.starts_with('{'));
    lines.find_map(|line| serde_json::from_str(line).ok())
}

fn note_reached(
    checker: &Mutex<Checker>,
    at: Duration,
    id_header: &HeaderName,
    daemon: usize,
    req: &Reached,
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
    checker.reached(at, id, place);
    if req.line.contains(DEADLY) {
        checker.runs_what_crashes(at, id, daemon);
    }
}

fn path_of(kind: Kind, id: &str) -> String {
    match kind {
        Kind::Safe => format!("/safe/{id}"),
        Kind::Once => format!("/once/{id}"),
        Kind::Version(version) => format!("/version/{version}/{id}"),
    }
}

/// An address of this process's and this daemon's own: no connection of others ever takes a port of it, so that
/// the daemon's next run finds its ports free.
fn own_ip(number: usize) -> Ipv4Addr {
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, number as u8 + 1)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
