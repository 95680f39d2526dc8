//! What all tasks of a daemon share.

use crate::{
    backend::crash::Crashes,
    backend::link::Backend,
    backend::state::Routed,
    clock::Clock,
    config::in_force::{InForce, Origin, RetryLimits},
    config::route_staleness::RouteStaleness,
    config::settings::Settings,
    ending::Ending,
    fleet::control_client::ControlLinks,
    fleet::instance_table::InstanceTable,
    fleet::quota::Quota,
    fleet::suspects::SuspectedRequests,
    net::connections::Connections,
    net::stream::FleetKeys,
    net::timers::Timers,
    operators::metrics_page::MetricsPage,
    request::admission::Admission,
    request::parents::Parents,
    store::outcomes::SegmentVersions,
};
use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::StatsdClient;
use smol::{Executor, lock::Mutex as AsyncMutex};
use sorrelturn_bundle::{Bundle, Service, TrustedKeys};
use sorrelturn_fleet::{BundleTracker, DomainView, Membership};
use sorrelturn_once::{AttemptRegister, Ledger};
use sorrelturn_platform::Platform;
use sorrelturn_policy::{GateConfig, Leaving, LeavingCause, Now};
use sorrelturn_protocol::{Announcement, Incarnation, MemberRecord, MemberState};
use sorrelturn_telemetry::{EventKind, EventRing, Field, SpanBuffer, events};
use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// A run of a daemon is young for so long.
const YOUNG_TIME: Duration = Duration::from_secs(30);

/// The part of the allowed slack of retries that is used: all daemons may start anew within a window, and
/// remember nothing of what they took of it.
const RETRY_SLACK_USED: f64 = 0.5;
/// At the start few members are known; the slack is shared as if there were so many.
const LEAST_SHARERS: usize = 12;

/// Everything that the tasks of one daemon share.
pub(crate) struct Node {
    pub(crate) ex: Arc<Executor<'static>>,
    pub(crate) clock: Clock,
    pub(crate) timers: Timers,
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) trusted: TrustedKeys,
    pub(crate) keys: FleetKeys,
    pub(crate) platform: Platform,
    pub(crate) backend: Backend,
    /// What broke off at the backend server.
    pub(crate) crashes: Crashes,
    /// Requests that may crash backend servers.
    pub(crate) suspected_requests: SuspectedRequests,
    /// Present where kinds are told by routes and the backend server announces itself.
    pub(crate) routed: Option<Routed>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) parents: Arc<Parents>,
    pub(crate) in_force: ArcSwapOption<InForce>,
    /// How old the knowledge of the route table is.
    pub(crate) route_staleness: RouteStaleness,
    /// Quotas of workspaces.
    pub(crate) quota: Quota,
    pub(crate) instances: ArcSwap<InstanceTable>,
    pub(crate) ledger: Mutex<Ledger>,
    /// The attempts of other daemons here.
    pub(crate) attempts: Mutex<AttemptRegister>,
    pub(crate) segment_versions: AsyncMutex<SegmentVersions>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) bundle_tracker: Mutex<BundleTracker>,
    pub(crate) domain_view: Mutex<DomainView>,
    pub(crate) control_links: ControlLinks,
    pub(crate) neighbours: Mutex<VecDeque<String>>,
    pub(crate) inbound_peers: Mutex<HashMap<String, Now>>,
    pub(crate) leaving: Mutex<Leaving>,
    pub(crate) ending: Ending,
    pub(crate) own_record: ArcSwap<MemberRecord>,
    pub(crate) events: EventRing,
    pub(crate) spans: SpanBuffer,
    pub(crate) metrics: StatsdClient,
    pub(crate) metrics_page: Arc<MetricsPage>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) counts: Counts,
}

/// Numbers of the moment, for the planned stop and for operators.
#[derive(Default)]
pub(crate) struct Counts {
    /// Requests that this daemon carries in any role.
    pub(crate) carried: AtomicUsize,
    /// Open connections of all listeners.
    pub(crate) connections: Arc<AtomicUsize>,
    /// Whether the backend server could not be reached last.
    pub(crate) backend_lost: AtomicBool,
    /// When this daemon reported to its watchers last.
    pub(crate) last_report: LastTime,
    /// Whether this daemon watches the platform.
    pub(crate) watching: AtomicBool,
    /// Bytes sent and received for control, for the budget of 3 KB a second.
    pub(crate) control_bytes: AtomicU64,
}

/// A point in time that tasks share; before it is set, it lies infinitely long ago.
#[derive(Default)]
pub(crate) struct LastTime(Mutex<Option<Now>>);

impl LastTime {
    pub(crate) fn set(&self, now: Now) {
        *lock(&self.0) = Some(now);
    }

    /// Whether it was set at `since` or later.
    pub(crate) fn is_after(&self, since: Now) -> bool {
        lock(&self.0).is_some_and(|last| last >= since)
    }

    pub(crate) fn elapsed_since(&self, now: Now) -> Duration {
        lock(&self.0).map_or(Duration::MAX, |last| now.saturating_sub(last))
    }
}

impl Counts {
    /// What the log says of them when the process stops.
    pub(crate) fn as_fields(&self) -> Vec<Field> {
        let carried = self.carried.load(Ordering::Relaxed);
        let connections = self.connections.load(Ordering::Relaxed);
        vec![
            Field::new("carried", carried),
            Field::new("connections", connections),
        ]
    }
}

/// Counts a request as carried while it lives.
pub(crate) struct Carried {
    node: Arc<Node>,
}

impl Carried {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        node.counts.carried.fetch_add(1, Ordering::Relaxed);
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.node.counts.carried.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Locks a mutex; what another thread left behind when it panicked is still whole, because every
/// critical section here is one step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Whether anybody gets the metrics.
    pub(crate) fn has_metrics(&self) -> bool {
        self.settings.metrics.is_some() || self.routed.is_some()
    }

    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }

    /// How many members the own failure domain has.
    pub(crate) fn domain_member_count(&self) -> usize {
        let own = &self.settings.failure_domain;
        let membership = lock(&self.membership);
        let members = membership.present();
        members
            .filter(|record| record.failure_domain == *own)
            .count()
    }

    /// Whether this daemon refuses new calls.
    pub(crate) fn is_leaving(&self) -> bool {
        self.own_record.load().state != MemberState::Live
    }

    /// Notes an event that concerns no single request.
    pub(crate) fn note(&self, kind: &'static EventKind, fields: Vec<Field>) {
        self.events.record(kind, None, fields);
    }

    /// The version of the bundle in force; 0 before the first.
    pub(crate) fn bundle_version(&self) -> u64 {
        let in_force = self.in_force.load();
        in_force
            .as_ref()
            .map_or(0, |in_force| in_force.bundle.version)
    }

    /// How old the knowledge of the bundle is, in milliseconds, where credentials hang on it.
    pub(crate) fn knowledge_age_ms(&self) -> Option<u32> {
        let in_force = self.in_force.load();
        let has_workspaces = in_force.as_ref()?.bundle.has_workspaces();
        has_workspaces.then(|| self.route_staleness.age_ms(self.now()))?
    }

    /// Puts a bundle in force if its version is higher; returns whether it was.
    pub(crate) fn put_in_force(&self, bundle: Bundle, origin: Origin) -> bool {
        let version = bundle.version;
        let mut spread = lock(&self.bundle_tracker);
        if !spread.put_in_force(version) {
            return false;
        }
        let before = self.in_force.load();
        let now = self.now();
        if let Some(service) = bundle.service(&self.settings.service) {
            let gate = match &self.routed {
                Some(routed) => routed.gate_config(),
                None => gate_config(service),
            };
            self.admission
                .with_gate(|current, _| current.reconfigure(gate));
            self.backend.reconfigure(service.connections);
        }
        if let Some(routed) = &self.routed {
            routed.retain_kinds(&bundle);
        }
        let retries = self.retry_terms();
        let in_force = InForce::new(bundle, origin, before.as_deref(), now, retries);
        self.in_force.store(Some(Arc::new(in_force)));
        drop(spread);
        self.note(
            &events::BUNDLE_IN_FORCE,
            vec![Field::new("version", version)],
        );
        true
    }

    /// This daemon's share of the retries that all daemons may make, so that they need no talk
    /// about it.
    fn retry_terms(&self) -> RetryLimits {
        let Some(routes) = &self.settings.routes else {
            return RetryLimits::default();
        };
        let members = lock(&self.membership).present().count();
        RetryLimits {
            ratio: routes.retry_ratio,
            slack: routes.retry_slack * RETRY_SLACK_USED / members.max(LEAST_SHARERS) as f64,
            window: Duration::from_secs_f64(routes.retry_window_s),
        }
    }

    /// Notes whether the backend server could be reached; one that is back starts cold.
    pub(crate) fn backend_reached(&self, reached: bool) {
        let was_lost = self.counts.backend_lost.swap(!reached, Ordering::Relaxed);
        match (was_lost, reached) {
            (false, false) => self.note(&events::BACKEND_LOST, Vec::new()),
            (true, true) => {
                self.admission
                    .with_gate(|gate, now| gate.backend_restarted(now));
                self.note(&events::BACKEND_BACK, Vec::new());
            }
            _ => {}
        }
    }

    /// Takes a record of a member; returns whether it was news.
    pub(crate) fn merge_member(&self, record: MemberRecord) -> bool {
        if record.instance == self.settings.instance {
            return self.hear_of_self(&record);
        }
        let kind = match record.state {
            MemberState::Live => &events::MEMBER_JOINED,
            MemberState::Leaving => &events::MEMBER_LEAVING,
            MemberState::Gone => &events::MEMBER_GONE,
        };
        let fields = vec![
            Field::new("member", &record.instance),
            Field::new("incarnation", record.incarnation),
        ];
        let mut membership = lock(&self.membership);
        if !membership.merge(self.now(), record) {
            return false;
        }
        self.rebuild_routes(&membership);
        drop(membership);
        self.note(kind, fields);
        true
    }

    /// Somebody has a record of this instance. Returns whether the own record changed.
    fn hear_of_self(&self, record: &MemberRecord) -> bool {
        if record.incarnation != self.incarnation {
            return self.outrank_earlier_incarnation(record);
        }
        let own = self.own_record.load();
        if !record.supersedes(&own) {
            return false;
        }
        // Taken for gone while it couldn't be reached: what it says itself holds.
        self.change_own_record(|own| own.sequence = record.sequence);
        true
    }

    /// An earlier run of this instance may look newer, if the clock was set back meanwhile. While
    /// this run is young, it puts its start behind the earlier one's; later it is the one that was
    /// replaced. Returns whether the own record changed.
    pub(crate) fn outrank_earlier_incarnation(&self, other: &MemberRecord) -> bool {
        let own = self.own_record.load();
        let is_earlier_run = other.instance == own.instance && other.incarnation != own.incarnation;
        // One that has said that it is gone has a later run, which it would outrank.
        let is_over = own.state == MemberState::Gone;
        if is_over || !is_earlier_run || !other.supersedes(&own) || self.now() >= YOUNG_TIME {
            return false;
        }
        let mut later = (**own).clone();
        later.started_ms = other.started_ms + 1;
        self.own_record.store(Arc::new(later));
        self.set_own_state(own.state);
        true
    }

    /// Takes many records with one rebuild of the routes; returns those that were news.
    pub(crate) fn merge_members(&self, records: Vec<MemberRecord>) -> Vec<MemberRecord> {
        let mut membership = lock(&self.membership);
        let now = self.now();
        let own = &self.settings.instance;
        let news: Vec<MemberRecord> = records
            .into_iter()
            .filter(|record| record.instance != *own)
            .filter(|record| membership.merge(now, record.clone()))
            .collect();
        if !news.is_empty() {
            self.rebuild_routes(&membership);
        }
        news
    }

    fn rebuild_routes(&self, membership: &Membership) {
        let in_force = self.in_force.load();
        let cold_start = |service: &str| {
            let service = in_force
                .as_ref()
                .and_then(|in_force| in_force.bundle.service(service));
            Duration::from_millis(service.map_or(0, |service| service.cold_start_ms.into()))
        };
        let domain = &self.settings.failure_domain;
        let before = self.instances.load();
        let routes = before.rebuild(membership, domain, self.clock, cold_start);
        self.instances.store(Arc::new(routes));
    }

    /// Changes the own record's state; peers hear of it from the gossip task.
    pub(crate) fn set_own_state(&self, state: MemberState) -> MemberRecord {
        self.change_own_record(|record| record.state = state)
    }

    /// Changes what the own record says of the backend server.
    pub(crate) fn set_own_backend(&self, backend: Option<Announcement>) -> MemberRecord {
        self.change_own_record(|record| record.backend = backend)
    }

    fn change_own_record(&self, change: impl FnOnce(&mut MemberRecord)) -> MemberRecord {
        let mut record = (**self.own_record.load()).clone();
        change(&mut record);
        record.sequence += 1;
        self.own_record.store(Arc::new(record.clone()));
        let mut membership = lock(&self.membership);
        membership.merge(self.now(), record.clone());
        self.rebuild_routes(&membership);
        record
    }

    /// Starts leaving; returns whether this is news, which [`crate::fleet::gossip::leave`] spreads.
    pub(crate) fn start_leaving(&self, cause: LeavingCause) -> bool {
        if !lock(&self.leaving).leave(self.now(), cause) {
            return false;
        }
        self.set_own_state(MemberState::Leaving);
        self.note(
            &events::LEAVING,
            vec![Field::new("cause", format!("{cause:?}").to_lowercase())],
        );
        true
    }

    /// Takes a reason for leaving back; returns whether this is news.
    pub(crate) fn stop_leaving(&self, cause: LeavingCause) -> bool {
        if !lock(&self.leaving).revoke(cause) {
            return false;
        }
        self.set_own_state(MemberState::Live);
        self.note(&events::STAYING, Vec::new());
        true
    }
}

/// What the bundle says about the own backend server.
fn gate_config(service: &Service) -> GateConfig {
    GateConfig {
        slots: service.slots,
        queue_len: service.queue_len(),
        queue_timeout: Duration::from_millis(service.queue_wait_ms.into()),
        cold_start: Duration::from_millis(service.cold_start_ms.into()),
        call_queue_timeout: None,
    }
}
