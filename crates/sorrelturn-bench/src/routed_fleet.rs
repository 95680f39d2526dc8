//! A small fleet on loopback with route tables and scripted backend servers.

use crate::{
    Relay, ReservedPorts, RoutedBackend, other_writer,
    processes::{Process, play_faults},
};
use bytes::Bytes;
use hyper::{Request, Response};
use smol::{Executor, Timer, net::TcpListener};
use sorrelturn_daemon::{
    AdvertiseSettings, Clock, Daemon, Dialect, ListenSettings, Settings, StartError, StatusReport,
    StopSettings, since_boot,
};
use sorrelturn_platform::{Counters, Expected, Faults, Platform, StandIn, http::exchange, serve};
use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

/// Long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Enough for all retries of a test; the retry budget has its own tests.
const RETRY_SLACK: u32 = 1_000;
/// How long a revoked credential may still be honoured.
const REVOCATION_MS: u64 = 5_000;
/// How long a stopping daemon continues to serve.
const DEFAULT_LINGER: Duration = Duration::from_millis(50);
const DAEMON_PROGRAM: &str = "sorrelturn-adapted";
const ROUTE_TABLE_KEY: &str = "config/main";

/// An instance: a daemon with a scripted backend server.
pub struct RoutedInstance {
    /// The backend server.
    pub backend: RoutedBackend,
    /// The addresses that the daemon listens on.
    pub addresses: ListenSettings,
    /// Keeps the ports reserved for the daemon's next incarnation.
    _ports: ReservedPorts,
    /// The daemon's settings, for a restart.
    pub settings: Settings,
    /// The daemon, until it is stopped.
    pub daemon: Option<Daemon>,
    /// The daemon as a separate process that replaced a stopped one.
    pub process: Option<Process>,
    /// The limit of that process's file descriptors, if it is lowered.
    pub descriptors: Option<u32>,
    /// The paths between this instance and all others, if the fleet has them.
    pub paths: Option<Paths>,
    sequence: u64,
}

/// The paths between one instance and all others.
pub struct Paths {
    /// From other daemons, for requests.
    pub peers: Relay,
    /// From other daemons, for control calls.
    pub control: Relay,
    /// To the backend server.
    pub backend: Relay,
    /// To the platform.
    pub platform: Relay,
}

impl Paths {
    async fn open(ex: &Arc<Executor<'static>>) -> Self {
        Self {
            peers: Relay::open(ex).await,
            control: Relay::open(ex).await,
            backend: Relay::open(ex).await,
            platform: Relay::open(ex).await,
        }
    }

    /// Makes a daemon and its peers use these paths.
    fn apply_to(&self, settings: &mut Settings) {
        self.backend.set_target(settings.backend.address);
        self.platform.set_target(settings.platform.address);
        settings.backend.address = self.backend.addr;
        settings.platform.address = self.platform.addr;
        settings.advertise = AdvertiseSettings {
            peers: Some(self.peers.addr),
            control: Some(self.control.addr),
        };
    }
}

/// A fleet of daemons with route tables.
pub struct RoutedFleet {
    /// The executor of all daemons and backend servers.
    pub ex: Arc<Executor<'static>>,
    /// The address of the platform's stand-in.
    pub platform: SocketAddr,
    /// The dialect of all daemons.
    pub dialect: Dialect,
    /// The stop settings of all daemons.
    pub stopping: StopSettings,
    /// The instances.
    pub instances: Vec<RoutedInstance>,
    has_paths: bool,
    read_time: fn() -> Duration,
    change_settings: fn(usize, &mut Settings),
}

impl RoutedFleet {
    /// Starts the stand-in and one instance per service; no route table is published yet.
    pub async fn start(ex: Arc<Executor<'static>>, dialect: Dialect, services: &[&str]) -> Self {
        Self::start_lingering(ex, dialect, services, DEFAULT_LINGER).await
    }

    /// As [`RoutedFleet::start`], with daemons that continue to serve for `linger` when they stop.
    pub async fn start_lingering(
        ex: Arc<Executor<'static>>,
        dialect: Dialect,
        services: &[&str],
        linger: Duration,
    ) -> Self {
        let stopping = StopSettings {
            linger_ms: linger.as_millis() as u64,
            ..StopSettings::default()
        };
        Self::start_stopping(ex, dialect, services, stopping).await
    }

    /// As [`RoutedFleet::start`], with these stop settings.
    pub async fn start_stopping(
        ex: Arc<Executor<'static>>,
        dialect: Dialect,
        services: &[&str],
        stopping: StopSettings,
    ) -> Self {
        let mut fleet = Self::empty(ex, dialect, stopping).await;
        fleet.add(services).await;
        fleet
    }

    /// As [`RoutedFleet::start`], with [`Paths`] between an instance and all others.
    pub async fn start_with_paths(
        ex: Arc<Executor<'static>>,
        dialect: Dialect,
        services: &[&str],
    ) -> Self {
        let mut fleet = Self::empty(ex, dialect, StopSettings::default()).await;
        fleet.has_paths = true;
        fleet.add(services).await;
        fleet
    }

    /// As [`RoutedFleet::start_with_paths`], with daemons that read the clock through `read_time`; timers aren't affected.
    pub async fn start_with_clock(
        ex: Arc<Executor<'static>>,
        dialect: Dialect,
        services: &[&str],
        read_time: fn() -> Duration,
    ) -> Self {
        let mut fleet = Self::empty(ex, dialect, StopSettings::default()).await;
        fleet.has_paths = true;
        fleet.read_time = read_time;
        fleet.add(services).await;
        fleet
    }

    /// As [`RoutedFleet::start`], with settings that `change_settings` has changed for each instance, given by number.
    pub async fn start_with_settings(
        ex: Arc<Executor<'static>>,
        dialect: Dialect,
        services: &[&str],
        change_settings: fn(usize, &mut Settings),
    ) -> Self {
        let mut fleet = Self::empty(ex, dialect, StopSettings::default()).await;
        fleet.change_settings = change_settings;
        fleet.add(services).await;
        fleet
    }

    async fn empty(ex: Arc<Executor<'static>>, dialect: Dialect, stopping: StopSettings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let platform = listener.local_addr().expect("an address");
        ex.spawn(serve(Arc::clone(&ex), listener, StandIn::default()))
            .detach();
        Self {
            ex,
            platform,
            dialect,
            stopping,
            instances: Vec::new(),
            has_paths: false,
            read_time: since_boot,
            change_settings: |_, _| {},
        }
    }

    async fn add(&mut self, services: &[&str]) {
        for (number, service) in services.iter().enumerate() {
            let instance = self.start_instance(number, service).await;
            self.instances.push(instance);
        }
    }

    async fn start_instance(&self, number: usize, service: &str) -> RoutedInstance {
        let backend = RoutedBackend::new(&self.dialect.headers, &format!("b-{number}"));
        let backend_addr = backend.serve(&self.ex).await.expect("a free port");
        let (ports, listen) = ReservedPorts::for_routed_daemon().expect("free ports");
        let mut settings = self.settings(number, service, &listen, backend_addr);
        (self.change_settings)(number, &mut settings);
        let mut paths = None;
        if self.has_paths {
            let opened = Paths::open(&self.ex).await;
            opened.apply_to(&mut settings);
            paths = Some(opened);
        }
        let daemon = self.start_daemon(settings.clone()).await;
        if let Some(paths) = &paths {
            paths.peers.set_target(daemon.addresses.peers);
            paths.control.set_target(daemon.addresses.control);
        }
        RoutedInstance {
            backend,
            addresses: daemon.addresses,
            _ports: ports,
            settings,
            daemon: Some(daemon),
            process: None,
            descriptors: None,
            paths,
            sequence: 0,
        }
    }

    /// Starts a daemon with these settings.
    pub async fn start_daemon(&self, settings: Settings) -> Daemon {
        let started = self.try_start(settings).await;
        started.expect("the daemon starts")
    }

    async fn try_start(&self, settings: Settings) -> Result<Daemon, StartError> {
        let clock = Clock::from_source(self.read_time);
        Daemon::start_with_clock(settings, self.dialect.clone(), Arc::clone(&self.ex), clock).await
    }

    fn settings(
        &self,
        number: usize,
        service: &str,
        listen: &ListenSettings,
        backend: SocketAddr,
    ) -> Settings {
        let listen = serde_json::to_string(listen).expect("addresses are JSON");
        let stopping = serde_json::to_string(&self.stopping).expect("settings are JSON");
        let text = format!(
            r#"{{
                "instance": "i-{number}", "service": "{service}", "failure_domain": "d",
                "listen": {listen},
                "backend": {{ "address": "{backend}" }},
                "platform": {{ "address": "{}" }},
                "routes": {{ "object": "{ROUTE_TABLE_KEY}", "retry_slack": {RETRY_SLACK}, "revocation_ms": {REVOCATION_MS} }},
                "stop": {stopping}
            }}"#,
            self.platform
        );
        Settings::parse("test", &text).expect("the settings are valid")
    }

    /// Writes a route table into the store, as operators do.
    pub async fn publish(&self, table: &str) {
        let platform = Platform::new(self.platform, WAIT_TIMEOUT);
        let written = platform
            .put(ROUTE_TABLE_KEY, table, Expected::Anything)
            .await;
        written.expect("the store accepts the route table");
    }

    /// Writes an object with this JSON as its value into the store, as another client that doesn't check it.
    pub async fn write_json(&self, key: &str, value: &str) {
        let written = other_writer::write_json(self.platform, key, value, WAIT_TIMEOUT).await;
        let status = written.expect("the store answers");
        assert!(status.is_success(), "{key}: {status}");
    }

    /// How often each call of the store was received.
    pub async fn store_calls(&self) -> Counters {
        let req = Request::get("/stand-in/counters").body(Bytes::new());
        let res = send(self.platform, req.expect("a request")).await;
        serde_json::from_slice(res.body()).expect("counters")
    }

    /// Sets the faults of the stand-in.
    pub async fn play(&self, faults: &Faults) {
        play_faults(self.platform, faults).await;
    }

    /// Announces every backend server as ready and waits until every daemon knows all members.
    pub async fn announce_all(&mut self) {
        for at in 0..self.instances.len() {
            self.announce(at, "ready").await;
        }
        let all = self.instances.len();
        for instance in &self.instances {
            until("all know all", async || {
                let live = instance.live_members().await;
                live == all && instance.is_ready().await
            })
            .await;
        }
    }

    /// Stops the daemon of one instance, without waiting for its end.
    pub fn stop(&mut self, at: usize) {
        let daemon = self.instances[at].daemon.take().expect("it runs");
        self.ex.spawn(daemon.stop()).detach();
    }

    /// Restarts a stopped daemon on the same addresses.
    pub async fn restart_daemon(&mut self, at: usize) {
        let settings = self.instances[at].settings.clone();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        // The listener tasks of the last incarnation end slightly later than the daemon.
        let daemon = loop {
            match self.try_start(settings.clone()).await {
                Err(StartError::Listen { .. }) if Instant::now() < deadline => {
                    Timer::after(Duration::from_millis(20)).await;
                }
                started => break started.expect("the daemon starts"),
            }
        };
        self.instances[at].daemon = Some(daemon);
    }

    /// Replaces an instance's daemon by a process with the same settings, which are written to `folder`, and waits
    /// until it is ready.
    pub async fn replace_with_process(&mut self, at: usize, folder: &Path) {
        if let Some(daemon) = self.instances[at].daemon.take() {
            daemon.stop().await;
        }
        self.start_process(at, folder).await;
        assert_eq!(self.announce(at, "ready").await, 200);
        let instance = &self.instances[at];
        until("ready", async || instance.is_ready().await).await;
    }

    /// Starts a process for an instance whose daemon has ended.
    pub async fn start_process(&mut self, at: usize, folder: &Path) {
        let instance = &mut self.instances[at];
        let settings = &instance.settings;
        let file = folder.join(format!("{}.jsonc", settings.instance));
        let text = serde_json::to_string_pretty(settings).expect("settings are JSON");
        std::fs::write(&file, text).expect("the folder can be written");
        let file = file.display().to_string();
        // The listener tasks of the last incarnation end slightly later than the daemon.
        until("the process starts", async || {
            // Blocking the threads of the other daemons would look like load to them.
            let file = file.clone();
            let descriptors = instance.descriptors;
            let start = move || match descriptors {
                Some(limit) => {
                    Process::start_with_descriptors(limit, DAEMON_PROGRAM, &["--settings", &file])
                }
                None => Process::start(DAEMON_PROGRAM, &["--settings", &file]),
            };
            let process = smol::unblock(start).await;
            let has_started = !process.first_line.is_empty();
            instance.process = has_started.then_some(process);
            has_started
        })
        .await;
    }

    /// Sends a heartbeat with a state of one backend server; returns the status of the response.
    pub async fn announce(&mut self, at: usize, state: &str) -> u16 {
        let instance = &mut self.instances[at];
        instance.sequence += 1;
        let sequence = instance.sequence;
        let body = instance.heartbeat(state, sequence, 8);
        instance.post_backend_call("heartbeat", body).await
    }
}

impl RoutedInstance {
    /// Returns a heartbeat of the backend server.
    pub fn heartbeat(&self, state: &str, sequence: u64, slots: u32) -> String {
        let service = &self.settings.service;
        format!(
            r#"{{"service":"{service}","state":"{state}","sequence":{sequence},"slots":{slots}}}"#
        )
    }

    /// Returns a heartbeat of an incarnation that reports its start time.
    pub fn heartbeat_of_incarnation(&self, born: u64, state: &str, sequence: u64) -> String {
        let text = self.heartbeat(state, sequence, 8);
        format!(r#"{{"born":{born},{}"#, &text[1..])
    }

    /// Sends a call of the backend server to its daemon; returns the status of the response.
    pub async fn post_backend_call(&self, call: &str, body: String) -> u16 {
        let path = format!("/backend/{}/{call}", self.backend.id());
        let req = Request::post(path).body(Bytes::from(body));
        let addr = self.addresses.announce.expect("it listens");
        send(addr, req.expect("a request")).await.status().as_u16()
    }

    /// Whether the daemon reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let req = Request::get("/ready").body(Bytes::new());
        let addr = self.addresses.ready.expect("it listens");
        let res = send(addr, req.expect("a request")).await;
        res.status().is_success()
    }

    /// Sends a request through the daemon.
    pub async fn ask(&self, req: Request<Bytes>) -> Response<Bytes> {
        self.try_ask(req).await.expect("a complete response")
    }

    /// Sends a request through the daemon.
    ///
    /// # Errors
    ///
    /// If the response is incomplete.
    pub async fn try_ask(&self, req: Request<Bytes>) -> Result<Response<Bytes>, String> {
        let addr = self.addresses.routed.expect("it listens");
        let answer = exchange(addr, req, WAIT_TIMEOUT).await;
        answer.map_err(|error| error.to_string())
    }

    /// Returns the status report of the daemon.
    pub async fn status(&self) -> StatusReport {
        let req = Request::get("/status").body(Bytes::new());
        let res = send(self.addresses.admin, req.expect("a request")).await;
        serde_json::from_slice(res.body()).expect("a status report")
    }

    async fn live_members(&self) -> usize {
        let req = Request::get("/members").body(Bytes::new());
        let res = send(self.addresses.admin, req.expect("a request")).await;
        let members: Vec<sorrelturn_protocol::MemberRecord> =
            serde_json::from_slice(res.body()).expect("members");
        let live = members
            .iter()
            .filter(|record| record.state == sorrelturn_protocol::MemberState::Live);
        live.count()
    }
}

async fn send(addr: SocketAddr, req: Request<Bytes>) -> Response<Bytes> {
    exchange(addr, req, WAIT_TIMEOUT).await.expect("a response")
}

/// Waits until a condition is true; panics with `what` after a timeout.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "never: {what}");
        Timer::after(Duration::from_millis(20)).await;
    }
}
