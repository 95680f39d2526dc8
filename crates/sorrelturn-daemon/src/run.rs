//! Starting and stopping a daemon.

use crate::{
    backend::announce,
    backend::crash::Crashes,
    backend::link::Backend,
    backend::state::Routed,
    clock::{Clock, unix_ms},
    config::confirmation,
    config::contention::Contention,
    config::route_staleness::RouteStaleness,
    config::settings::{ListenSettings, RouteSettings, Settings, StopLimits},
    fleet::control_client::ControlLinks,
    fleet::evacuation::EvacuationState,
    fleet::gossip,
    fleet::instance_table::InstanceTable,
    fleet::join,
    fleet::quota::{self, Quota},
    fleet::reports,
    fleet::suspects::SuspectedRequests,
    fleet::watch,
    net::connections::Connections,
    net::listeners::Listeners,
    net::pool::PoolTotals,
    net::stream::{FleetKeys, KeysError},
    net::timers::Timers,
    node::{Counts, Node, lock},
    operators::export,
    operators::metrics_page::MetricsPage,
    request::admission::Admission,
    request::dialect::Dialect,
    request::parents::Parents,
    shutdown::Shutdown,
    store::{member_record, outcomes, quarantine},
};
use arc_swap::{ArcSwap, ArcSwapOption};
use displaydoc::Display;
use smol::{
    Executor, Timer,
    channel::{self, Sender},
    future::FutureExt,
    lock::Mutex as AsyncMutex,
};
use sorrelturn_bundle::{KeyError, TrustedKeys};
use sorrelturn_fleet::{BundleTracker, DomainView, Membership};
use sorrelturn_once::{Ledger, LedgerConfig};
use sorrelturn_platform::Platform;
use sorrelturn_policy::{ConnectionLimits, Gate, GateConfig, Leaving, LeavingCause, Now};
use sorrelturn_protocol::{Incarnation, MemberRecord, MemberState};
use sorrelturn_telemetry::{EventRing, Field, SpanBuffer, events};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// The gate's configuration until the first bundle arrives. Without a bundle the daemon admits no requests.
const INITIAL_GATE_CONFIG: GateConfig = GateConfig {
    slots: 1,
    queue_len: 1,
    queue_timeout: Duration::from_millis(100),
    cold_start: Duration::ZERO,
    call_queue_timeout: None,
};
/// How long before the end of the linger time a stopping daemon announces that it is leaving, if its service has
/// another instance. It closes the connections of callers at the end of the linger time.
const LEAVING_NOTICE_DURATION: Duration = Duration::from_millis(700);
/// How long the only instance of a service waits after it closed those connections and announced that it is leaving.
const ONLY_INSTANCE_NOTICE_DURATION: Duration = Duration::from_millis(100);
/// How often a stopping daemon checks whether requests or connections remain.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long before the stop deadline the final answers are due. The rest is for sending them and for writing the last
/// records to the store.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// The timeout for sending the final answers.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The minimum timeout for connections to close, even if the stop deadline has passed.
const MIN_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum timeout for connections to close, from when the close guard is dropped.
const MAX_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for writing the final member record to the store.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the daemon measures how late its timers fire.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A lag of at least this is reported as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Why a daemon can't start.
#[derive(Debug, Display)]
pub enum StartError {
    /// can't listen on {addr}: {error}
    Listen {
        /// The configured address.
        addr: SocketAddr,
        /// The error of the system.
        error: io::Error,
    },
    /// an operator's key is invalid: {0}
    OperatorKey(KeyError),
    /// can't load the fleet's keys: {0}
    FleetKeys(KeysError),
    /// can't open the socket for metrics: {0}
    Metrics(io::Error),
    /// the system's random number source failed
    NoRandomness,
}

impl std::error::Error for StartError {}

/// A running daemon.
pub struct Daemon {
    /// The addresses that its listeners are bound to.
    pub addresses: ListenSettings,
    node: Arc<Node>,
    /// Dropped first: closes connections of callers.
    entry_close_guard: Sender<()>,
    /// Dropped second: requests that still wait get their final answers.
    answer_guard: Sender<()>,
    /// Dropped last: closes all connections.
    close_guard: Sender<()>,
}

impl Daemon {
    /// Starts a daemon on `ex`, whose threads the caller runs. The daemon uses `dialect` if the settings name a route
    /// table.
    pub fn start(
        settings: Settings,
        dialect: Dialect,
        ex: Arc<Executor<'static>>,
    ) -> impl Future<Output = Result<Self, StartError>> {
        Self::start_with_clock(settings, dialect, ex, Clock::system())
    }

    /// Like [`Daemon::start`], with the given clock.
    pub async fn start_with_clock(
        settings: Settings,
        dialect: Dialect,
        ex: Arc<Executor<'static>>,
        clock: Clock,
    ) -> Result<Self, StartError> {
        let daemon = Self::listen(settings, dialect, ex, clock)?;
        daemon.join().await;
        Ok(daemon)
    }

    /// Begins to serve, before the daemon knows the fleet; [`Daemon::join`] completes the start.
    pub(crate) fn listen(
        settings: Settings,
        dialect: Dialect,
        ex: Arc<Executor<'static>>,
        clock: Clock,
    ) -> Result<Self, StartError> {
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses(&settings)?;
        let (shutdown, answer_guard) = Shutdown::new();
        let node = Arc::new(build_node(
            settings, dialect, ex, clock, &addresses, shutdown,
        )?);
        if node.routed.is_some() {
            // Accept no calls (state `Leaving`) until the backend server announces itself or answers.
            node.start_leaving(LeavingCause::Backend);
        }
        let (entry_close_guard, entries_closed) = channel::bounded(1);
        let (close_guard, closed) = channel::bounded(1);
        listeners.serve(&node, &entries_closed, &closed);
        Ok(Self {
            addresses,
            node,
            entry_close_guard,
            answer_guard,
            close_guard,
        })
    }

    /// Joins the fleet and starts the background tasks. Waits for the platform's store for as long as its timeout.
    pub(crate) async fn join(&self) {
        join::join(&self.node).await;
        self.spawn_tasks();
        self.node.record_event(
            &events::STARTED,
            vec![Field::new("incarnation", self.node.incarnation)],
        );
    }

    /// Returns the number of known members, including this daemon, and whether a bundle is in force.
    pub fn discovery_state(&self) -> (usize, bool) {
        let members = lock(&self.node.membership).present().count();
        (members, self.node.in_force.load().is_some())
    }

    fn spawn_tasks(&self) {
        let node = &self.node;
        let spawn = |task: smol::future::Boxed<()>| node.ex.spawn(task).detach();
        spawn(Box::pin(join::find_bundle(Arc::clone(node))));
        spawn(Box::pin(gossip::run_exchanges(Arc::clone(node))));
        spawn(Box::pin(confirmation::run(Arc::clone(node))));
        spawn(Box::pin(quarantine::load(Arc::clone(node))));
        if node.routed.is_some() {
            spawn(Box::pin(announce::find_backend(Arc::clone(node))));
            spawn(Box::pin(quota::run(Arc::clone(node))));
        } else {
            spawn(Box::pin(reports::run_reports(Arc::clone(node))));
            spawn(Box::pin(outcomes::run(Arc::clone(node))));
        }
        spawn(Box::pin(watch::run(Arc::clone(node))));
        spawn(Box::pin(export::run(Arc::clone(node))));
        spawn(Box::pin(monitor_lag(Arc::clone(node))));
        gossip::push_own_record(node);
    }

    /// Records an event about settings that were read again, valid or not. Changes take effect at the next start.
    pub fn settings_changed(&self, result: Result<Settings, String>) {
        let node = &self.node;
        match result {
            Ok(settings) => {
                let changed = settings != node.settings;
                let fields = vec![Field::new("changed", changed)];
                node.record_event(&events::SETTINGS_RELOADED, fields);
            }
            Err(error) => node.record_event(
                &events::SETTINGS_REFUSED,
                vec![Field::new("error", error.replace('\n', " "))],
            ),
        }
    }

    /// Stops the daemon. It reports itself as not ready at once, announces that it is leaving at the end of the linger
    /// time or shortly before it, finishes the requests in progress or refuses them by the deadline, and writes its
    /// last records. Returns whether no request was cut off.
    pub async fn stop(self) -> bool {
        let node = &self.node;
        let StopLimits { most, late, linger } = node.settings.stop.limits();
        let begun_at = node.now();
        let stop_deadline = begun_at + most;
        let answer_deadline = stop_deadline.saturating_sub(FINAL_ANSWER_MARGIN);
        let late_deadline = (begun_at + late).saturating_sub(FINAL_ANSWER_MARGIN);
        node.shutdown.set_answer_deadline(late_deadline);
        node.record_event(&events::STOPPING, node.counts.as_fields());
        // Keep accepting calls for most of the linger time, so that readiness checks notice the stop first.
        Timer::after(linger.saturating_sub(LEAVING_NOTICE_DURATION)).await;
        let announce_leaving = || {
            gossip::leave(node, LeavingCause::Signal);
            answer_deadline.saturating_sub(node.now())
        };
        let leaving_notice = Timer::after(linger.min(LEAVING_NOTICE_DURATION));
        // Close open connections of callers before the exit, or their next requests would be cut off.
        let exit_timeout = if is_only_instance(node) {
            leaving_notice.await;
            drop(self.entry_close_guard);
            let exit_timeout = announce_leaving();
            Timer::after(ONLY_INSTANCE_NOTICE_DURATION).await;
            exit_timeout
        } else {
            let exit_timeout = announce_leaving();
            leaving_notice.await;
            drop(self.entry_close_guard);
            exit_timeout
        };
        let active_requests = || node.counts.active_requests.load(Ordering::Relaxed);
        while !lock(&node.leaving).may_exit(node.now(), active_requests(), exit_timeout) {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        // Refuse new requests and send final answers to the waiting ones while the process still runs.
        node.shutdown.set_answer_deadline(node.now());
        drop(self.answer_guard);
        // Send them even after the stop deadline: the kill signal follows a little later.
        let until = node.now() + FINAL_ANSWER_TIMEOUT;
        while active_requests() > 0 && node.now() < until {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        if node.routed.is_none() {
            let timeout = node.timers.at(stop_deadline);
            outcomes::close(node).or(timeout).await;
        }
        announce_gone(node, stop_deadline).await;
        drop(self.close_guard);
        // Answers may still be in socket buffers; each connection closes once its buffer is sent.
        let min_flush_deadline = node.now() + MIN_FLUSH_TIMEOUT;
        let until = stop_deadline
            .max(min_flush_deadline)
            .min(node.now() + MAX_FLUSH_TIMEOUT);
        while node.counts.connections.load(Ordering::Relaxed) > 0 && node.now() < until {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        let is_clean = active_requests() == 0;
        node.record_event(
            if is_clean {
                &events::STOPPED
            } else {
                &events::STOP_CUT
            },
            node.counts.as_fields(),
        );
        is_clean
    }
}

/// Whether no other instance of this daemon's service is known to accept calls.
fn is_only_instance(node: &Node) -> bool {
    let table = node.instances.load();
    let instances = table.live_of_service(&node.settings.service);
    instances
        .iter()
        .all(|instance| instance.record.incarnation == node.incarnation)
}

/// Announces to peers and the store that this incarnation is gone, at the latest by `stop_deadline`.
async fn announce_gone(node: &Arc<Node>, stop_deadline: Now) {
    node.set_own_state(MemberState::Gone);
    gossip::push_own_record(node);
    let write_timeout = FINAL_WRITE_TIMEOUT.min(stop_deadline.saturating_sub(node.now()));
    member_record::write_within(node, write_timeout, member_record::write_own(node)).await;
}

fn build_node(
    settings: Settings,
    dialect: Dialect,
    ex: Arc<Executor<'static>>,
    clock: Clock,
    addresses: &ListenSettings,
    shutdown: Shutdown,
) -> Result<Node, StartError> {
    let (timers, woken) = Timers::new(clock);
    ex.spawn(timers.clone().run(woken)).detach();
    let mut random_bytes = [0; 40];
    getrandom::fill(&mut random_bytes).map_err(|_| StartError::NoRandomness)?;
    let (id_bytes, mac_secret) = random_bytes.split_at(8);
    let incarnation = Incarnation(u64::from_be_bytes(id_bytes.try_into().unwrap_or_default()));
    let mac_key = mac_secret.try_into().unwrap_or_default();
    let trusted = TrustedKeys::from_hex(&settings.operators).map_err(StartError::OperatorKey)?;
    let keys = FleetKeys::load(settings.fleet_keys.clone()).map_err(StartError::FleetKeys)?;
    let metrics_page = Arc::new(MetricsPage::default());
    let statsd = settings.metrics.map(|metrics| metrics.statsd);
    let metrics = export::client(statsd, &metrics_page).map_err(StartError::Metrics)?;
    let record = MemberRecord {
        instance: settings.instance.clone(),
        service: settings.service.clone(),
        failure_domain: settings.failure_domain.clone(),
        incarnation,
        started_ms: unix_ms(),
        sequence: 0,
        state: MemberState::Live,
        peer_addr: settings.advertise.peers.unwrap_or(addresses.peers),
        control_addr: settings.advertise.control.unwrap_or(addresses.control),
        backend: None,
        rate_limit: None,
        left: Vec::new(),
    };
    let ledger_config = LedgerConfig {
        ttl: Duration::from_secs(settings.once.ttl_s),
        capacity: settings.once.capacity,
        max_retained_bytes: settings.once.kept_bytes,
    };
    let span_capacity = settings.trace.map_or(0, |trace| trace.buffer);
    let platform_timeout = Duration::from_millis(settings.platform.timeout_ms);
    let quota_bound = settings.routes.as_ref().map(RouteSettings::quota_bound);
    let quota_validity = settings.routes.as_ref().map(RouteSettings::quota_validity);
    let contention = settings.routes.as_ref().map(|routes| routes.contention);
    let connect_timeout = Duration::from_millis(settings.backend.connect_ms);
    Ok(Node {
        platform: Platform::new(settings.platform.address, platform_timeout)
            .with_objects_path(&settings.platform.objects_path),
        routed: settings.routes.as_ref().map(|_| Routed::new(dialect)),
        backend: Backend::new(settings.backend.address, connect_timeout, clock),
        crashes: Crashes::default(),
        suspected_requests: SuspectedRequests::default(),
        admission: Arc::new(Admission::new(
            clock,
            timers.clone(),
            Gate::new(INITIAL_GATE_CONFIG, clock.now()),
        )),
        parents: Arc::new(Parents::default()),
        in_force: ArcSwapOption::empty(),
        route_staleness: RouteStaleness::new(clock.now()),
        contention: Contention::new(contention.unwrap_or_default()),
        workspace_demand: Mutex::default(),
        quota: Quota::new(
            incarnation,
            quota_bound.unwrap_or_default(),
            quota_validity.unwrap_or_default(),
            clock.now(),
        ),
        instances: ArcSwap::from_pointee(InstanceTable::default()),
        ledger: Mutex::new(Ledger::new(incarnation, ledger_config, mac_key)),
        attempts: Mutex::default(),
        segment_versions: AsyncMutex::default(),
        membership: Mutex::new(Membership::default()),
        bundle_tracker: Mutex::new(BundleTracker::default()),
        domain_view: Mutex::new(DomainView::default()),
        control_links: ControlLinks::default(),
        neighbours: Mutex::default(),
        inbound_peers: Mutex::default(),
        leaving: Mutex::new(Leaving::default()),
        evacuation: EvacuationState::default(),
        shutdown,
        own_record: ArcSwap::from_pointee(record),
        is_verifying_incarnation: AtomicBool::new(false),
        stored_record: Mutex::default(),
        events: EventRing::new(&settings.instance, settings.events.kept),
        spans: SpanBuffer::new(span_capacity),
        metrics,
        metrics_page,
        connections: Connections::new(settings.connections),
        peer_connections: PoolTotals::new(ConnectionLimits::new(settings.connections)),
        counts: Counts::default(),
        ex,
        clock,
        timers,
        incarnation,
        trusted,
        keys,
        settings,
    })
}

/// Reports timer lag to admission, which sheds load if the process is overloaded. After a pause, records an event and
/// announces this daemon again.
async fn monitor_lag(node: Arc<Node>) {
    let mut last = node.now();
    loop {
        Timer::after(LAG_CHECK_INTERVAL).await;
        let now = node.now();
        let lag = now.saturating_sub(last + LAG_CHECK_INTERVAL);
        last = now;
        if lag >= LAG_CHECK_INTERVAL {
            // The runtime's timers stop while the VM is suspended, so they miss what is due by now.
            node.timers.check_now();
        }
        node.admission.with_gate(|gate, _| gate.report_lag(lag));
        if lag >= PAUSE_THRESHOLD {
            let fields = vec![Field::new("paused_ms", lag.as_millis())];
            node.record_event(&events::PAUSE_NOTICED, fields);
            gossip::push_own_record(&node);
        }
    }
}
