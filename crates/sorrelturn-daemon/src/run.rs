//! Starting and stopping a daemon.

use crate::{
    backend::announce,
    backend::crash::Crashes,
    backend::link::Backend,
    backend::state::Routed,
    clock::{Clock, unix_ms},
    config::route_staleness::RouteStaleness,
    config::settings::{ListenSettings, RouteSettings, Settings},
    ending::Ending,
    fleet::control_client::ControlLinks,
    fleet::gossip,
    fleet::instance_table::InstanceTable,
    fleet::join,
    fleet::quota::{self, Quota},
    fleet::reports,
    fleet::suspects::SuspectedRequests,
    fleet::watch,
    net::connections::Connections,
    net::listeners::Listeners,
    net::stream::{FleetKeys, KeysError},
    net::timers::Timers,
    node::{Counts, Node, lock},
    operators::export,
    operators::metrics_page::MetricsPage,
    request::admission::Admission,
    request::dialect::Dialect,
    request::parents::Parents,
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
use sorrelturn_policy::{Gate, GateConfig, Leaving, LeavingCause, Now};
use sorrelturn_protocol::{Incarnation, MemberRecord, MemberState};
use sorrelturn_telemetry::{EventRing, Field, SpanBuffer, events};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

/// What a daemon without a bundle knows about its backend server: it admits nothing then anyway.
const GATE_BEFORE_BUNDLE: GateConfig = GateConfig {
    slots: 1,
    queue_len: 1,
    queue_timeout: Duration::from_millis(100),
    cold_start: Duration::ZERO,
    call_queue_timeout: None,
};
/// So long before it may exit a daemon that stops takes no more calls of others, which hear of it in
/// a few milliseconds; most calls end within this time.
const LEAVES_BEFORE: Duration = Duration::from_millis(700);
/// The only instance of a service leaves this late: others have nobody to turn to, and half of the 1.4 s
/// for which a rolling restart left a service without any instance was [`LEAVES_BEFORE`]. They
/// still have to hear of it before connections to it end.
const ALONE_LEAVES_BEFORE: Duration = Duration::from_millis(100);
/// How often the planned stop looks whether everything is carried.
const STOP_STEP: Duration = Duration::from_millis(10);
/// The last answers are given so long before the exit: they have to leave, and the store has to take
/// the last record, whose writes take 4 ms as a rule.
const LAST_ANSWERS_BEFORE: Duration = Duration::from_millis(300);
/// The longest time for the last answers to leave; a few milliseconds are usual.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);
/// Connections have at least this time to end, however late the process is.
const LEAST_FLUSH_TIME: Duration = Duration::from_millis(100);
/// The longest time for connections to end once nothing is carried any more.
const FLUSH_TIME: Duration = Duration::from_secs(2);
/// The longest time for the store to take the last record of a run that is over.
const LAST_WRITE_TIME: Duration = Duration::from_secs(1);
/// How often the process looks whether it runs late or was paused, and what counts as a pause.
const LAG_CHECK: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_secs(2);

/// Why a daemon doesn't start.
#[derive(Debug, Display)]
pub enum StartError {
    /// can't listen on {addr}: {error}
    Listen {
        /// The address from the settings.
        addr: SocketAddr,
        /// The reason.
        error: io::Error,
    },
    /// an operator's key can't be used: {0}
    OperatorKey(KeyError),
    /// the fleet's keys can't be used: {0}
    FleetKeys(KeysError),
    /// metrics can't be sent: {0}
    Metrics(io::Error),
    /// the system gives no random numbers
    NoRandomness,
}

impl std::error::Error for StartError {}

/// A running daemon.
pub struct Daemon {
    /// Where it listens.
    pub addresses: ListenSettings,
    node: Arc<Node>,
    /// Dropped first, when others had the time to notice the stop: connections of callers end.
    closing_entries: Sender<()>,
    /// Dropped next: everybody who still waits has a final answer.
    answering: Sender<()>,
    /// Dropped last: all connections end.
    closing: Sender<()>,
}

impl Daemon {
    /// Starts a daemon on `ex`; `dialect` holds where the settings name a route table; whoever owns `ex` runs its threads.
    pub fn start(
        settings: Settings,
        dialect: Dialect,
        ex: Arc<Executor<'static>>,
    ) -> impl Future<Output = Result<Self, StartError>> {
        Self::start_by_clock(settings, dialect, ex, Clock::of_system())
    }

    /// As [`Daemon::start`], by another clock.
    pub async fn start_by_clock(
        settings: Settings,
        dialect: Dialect,
        ex: Arc<Executor<'static>>,
        clock: Clock,
    ) -> Result<Self, StartError> {
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses(&settings)?;
        let (ending, answering) = Ending::new();
        let node = Arc::new(node(settings, dialect, ex, clock, &addresses, ending)?);
        if node.routed.is_some() {
            // Until the backend server was announced or answered, it takes no work.
            node.start_leaving(LeavingCause::Backend);
        }
        let (closing_entries, entries_closed) = channel::bounded(1);
        let (closing, closed) = channel::bounded(1);
        listeners.serve(&node, &entries_closed, &closed);
        let daemon = Self {
            addresses,
            node,
            closing_entries,
            answering,
            closing,
        };
        join::join(&daemon.node).await;
        daemon.spawn_tasks();
        daemon.node.note(
            &events::STARTED,
            vec![Field::new("incarnation", daemon.node.incarnation)],
        );
        Ok(daemon)
    }

    /// How many members it knows, itself among them, and whether it has a bundle.
    pub fn knows(&self) -> (usize, bool) {
        let members = lock(&self.node.membership).present().count();
        (members, self.node.in_force.load().is_some())
    }

    fn spawn_tasks(&self) {
        let node = &self.node;
        let spawn = |task: smol::future::Boxed<()>| node.ex.spawn(task).detach();
        spawn(Box::pin(join::find_bundle(Arc::clone(node))));
        spawn(Box::pin(gossip::run_exchanges(Arc::clone(node))));
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
        spawn(Box::pin(notice_lags(Arc::clone(node))));
        gossip::push_own_record(node);
    }

    /// The settings file may have changed. What the daemon listens on and whom it talks to is taken
    /// over at the next start; a file that can't be used is reported now.
    pub fn settings_changed(&self, read: Result<Settings, String>) {
        let node = &self.node;
        match read {
            Ok(settings) => {
                let changed = settings != node.settings;
                let fields = vec![Field::new("changed", changed)];
                node.note(&events::SETTINGS_RELOADED, fields);
            }
            Err(error) => node.note(
                &events::SETTINGS_REFUSED,
                vec![Field::new("error", error.replace('\n', " "))],
            ),
        }
    }

    /// The planned stop: is not ready at once, takes no new requests when others had the time to
    /// notice, carries what it has or gives it a final answer, closes its record, and returns. Returns
    /// whether nothing was cut off.
    pub async fn stop(self) -> bool {
        let node = &self.node;
        let last = node.now() + Duration::from_millis(node.settings.stop.most_ms);
        let answers_by = last.saturating_sub(LAST_ANSWERS_BEFORE);
        node.ending.answers_by(answers_by);
        let linger = Duration::from_millis(node.settings.stop.linger_ms);
        node.note(&events::STOPPING, node.counts.as_fields());
        // Its backend server goes on meanwhile: other daemons use it as long as they can.
        Timer::after(linger.saturating_sub(LEAVES_BEFORE)).await;
        let leave = || {
            gossip::leave(node, LeavingCause::Signal);
            answers_by.saturating_sub(node.now())
        };
        let rest_of_linger = Timer::after(linger.min(LEAVES_BEFORE));
        // Whoever goes on over an open connection would be cut at the end.
        let most = if is_only_instance(node) {
            rest_of_linger.await;
            drop(self.closing_entries);
            let most = leave();
            Timer::after(ALONE_LEAVES_BEFORE).await;
            most
        } else {
            let most = leave();
            rest_of_linger.await;
            drop(self.closing_entries);
            most
        };
        let carried = || node.counts.carried.load(Ordering::Relaxed);
        while !lock(&node.leaving).may_exit(node.now(), carried(), most) {
            Timer::after(STOP_STEP).await;
        }
        // What is asked for from now on is refused, and whoever still waits has its final answer,
        // while there is somebody to give them.
        node.ending.answers_by(node.now());
        drop(self.answering);
        // A process that is late gives them all the same: whoever kills it waits a little longer.
        let until = node.now() + LAST_ANSWERS_TIME;
        while carried() > 0 && node.now() < until {
            Timer::after(STOP_STEP).await;
        }
        if node.routed.is_none() {
            let in_time = node.timers.at(last);
            outcomes::close(node).or(in_time).await;
        }
        say_gone(node, last).await;
        drop(self.closing);
        // What was carried may still lie in a socket's buffer; each connection ends when it is out.
        let late = node.now() + LEAST_FLUSH_TIME;
        let until = last.max(late).min(node.now() + FLUSH_TIME);
        while node.counts.connections.load(Ordering::Relaxed) > 0 && node.now() < until {
            Timer::after(STOP_STEP).await;
        }
        let whole = carried() == 0;
        node.note(
            if whole {
                &events::STOPPED
            } else {
                &events::STOP_CUT
            },
            node.counts.as_fields(),
        );
        whole
    }
}

/// Whether no other instance of the own service is known to take calls.
fn is_only_instance(node: &Node) -> bool {
    let routes = node.instances.load();
    let instances = routes.live_of_service(&node.settings.service);
    instances
        .iter()
        .all(|route| route.record.incarnation == node.incarnation)
}

/// Tells peers and the store that this run is over, which ends at `last` in any case.
async fn say_gone(node: &Arc<Node>, last: Now) {
    node.set_own_state(MemberState::Gone);
    gossip::push_own_record(node);
    let time = LAST_WRITE_TIME.min(last.saturating_sub(node.now()));
    member_record::write_within(node, time, member_record::write_own(node)).await;
}

fn node(
    settings: Settings,
    dialect: Dialect,
    ex: Arc<Executor<'static>>,
    clock: Clock,
    addresses: &ListenSettings,
    ending: Ending,
) -> Result<Node, StartError> {
    let (timers, woken) = Timers::new(clock);
    ex.spawn(timers.clone().run(woken)).detach();
    let mut secret = [0; 40];
    getrandom::fill(&mut secret).map_err(|_| StartError::NoRandomness)?;
    let (id, seal) = secret.split_at(8);
    let incarnation = Incarnation(u64::from_be_bytes(id.try_into().unwrap_or_default()));
    let seal_key = seal.try_into().unwrap_or_default();
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
    };
    let ledger = LedgerConfig {
        ttl: Duration::from_secs(settings.once.ttl_s),
        capacity: settings.once.capacity,
        max_retained_bytes: settings.once.kept_bytes,
    };
    let spans = settings.trace.map_or(0, |trace| trace.buffer);
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let quota_bound = settings.routes.as_ref().map(RouteSettings::quota_bound);
    let quota_terms = settings.routes.as_ref().map(RouteSettings::quota_validity);
    let connect_time = Duration::from_millis(settings.backend.connect_ms);
    Ok(Node {
        platform: Platform::new(settings.platform.address, timeout)
            .with_objects_path(&settings.platform.objects_path),
        routed: settings.routes.as_ref().map(|_| Routed::new(dialect)),
        backend: Backend::new(settings.backend.address, connect_time, clock),
        crashes: Crashes::default(),
        suspected_requests: SuspectedRequests::default(),
        admission: Arc::new(Admission::new(
            clock,
            timers.clone(),
            Gate::new(GATE_BEFORE_BUNDLE, clock.now()),
        )),
        parents: Arc::new(Parents::default()),
        in_force: ArcSwapOption::empty(),
        route_staleness: RouteStaleness::new(clock.now()),
        quota: Quota::new(
            incarnation,
            quota_bound.unwrap_or_default(),
            quota_terms.unwrap_or_default(),
            clock.now(),
        ),
        instances: ArcSwap::from_pointee(InstanceTable::default()),
        ledger: Mutex::new(Ledger::new(incarnation, ledger, seal_key)),
        attempts: Mutex::default(),
        segment_versions: AsyncMutex::default(),
        membership: Mutex::new(Membership::default()),
        bundle_tracker: Mutex::new(BundleTracker::default()),
        domain_view: Mutex::new(DomainView::default()),
        control_links: ControlLinks::default(),
        neighbours: Mutex::default(),
        inbound_peers: Mutex::default(),
        leaving: Mutex::new(Leaving::default()),
        ending,
        own_record: ArcSwap::from_pointee(record),
        events: EventRing::new(&settings.instance, settings.events.kept),
        spans: SpanBuffer::new(spans),
        metrics,
        metrics_page,
        connections: Connections::new(settings.connections),
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

/// A process that runs late is asked for too much; one that was paused has connections and thresholds of another time.
async fn notice_lags(node: Arc<Node>) {
    let mut last = node.now();
    loop {
        Timer::after(LAG_CHECK).await;
        let now = node.now();
        let paused = now.saturating_sub(last + LAG_CHECK);
        last = now;
        if paused >= LAG_CHECK {
            // The runtime's timers stand still while the VM is suspended; what is due by now isn't due by them.
            node.timers.check_now();
        }
        node.admission.with_gate(|gate, _| gate.report_lag(paused));
        if paused >= PAUSE {
            let fields = vec![Field::new("paused_ms", paused.as_millis())];
            node.note(&events::PAUSE_NOTICED, fields);
            gossip::push_own_record(&node);
        }
    }
}
