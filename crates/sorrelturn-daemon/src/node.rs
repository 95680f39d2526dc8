//! The state that all tasks of a daemon share.

use crate::{
    backend::crash::Crashes,
    backend::link::Backend,
    backend::state::{self, Routed},
    clock::{Clock, unix_ms},
    config::contention::Contention,
    config::fetch::LearnedFrom,
    config::in_force::{InForce, Origin, RetryLimits},
    config::route_staleness::RouteStaleness,
    config::settings::Settings,
    fleet::control_client::ControlLinks,
    fleet::evacuation::EvacuationState,
    fleet::instance_table::InstanceTable,
    fleet::quota::Quota,
    fleet::suspects::SuspectedRequests,
    net::connections::Connections,
    net::pool::PoolTotals,
    net::stream::FleetKeys,
    net::timers::Timers,
    operators::metrics_page::MetricsPage,
    request::admission::Admission,
    request::parents::Parents,
    shutdown::Shutdown,
    store::outcomes::SegmentVersions,
};
use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::StatsdClient;
use smol::{Executor, lock::Mutex as AsyncMutex};
use sorrelturn_bundle::{Bundle, Service, TrustedKeys};
use sorrelturn_fleet::{BundleTracker, DomainView, Membership};
use sorrelturn_once::{AttemptRegister, Ledger};
use sorrelturn_platform::{Expected, Platform};
use sorrelturn_policy::{ColdRate, DemandByClass, GateConfig, Leaving, LeavingCause, Now};
use sorrelturn_protocol::{
    Announcement, Incarnation, LeftBackend, MemberRecord, MemberState, RequestRate,
};
use sorrelturn_telemetry::{EventKind, EventRing, Field, SpanBuffer, events};
use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// How long after its start an incarnation may still outrank a record of an earlier one.
const OUTRANK_PERIOD: Duration = Duration::from_secs(30);

/// The fraction of the configured retry slack that daemons use. Daemons that restart within a window lose their counts
/// and may use their share again.
const RETRY_SLACK_FRACTION: f64 = 0.5;
/// The memory of a request in progress without its body: two connections with their buffers, and its tasks.
const REQUEST_MEMORY_BYTES: usize = 100 << 10;
/// A buffered body is held for retries, and once more in a buffer of each of its two connections.
const BODY_COPIES: usize = 3;
/// The retry slack is divided by at least this many members, because a daemon knows few of them after its start.
const MIN_MEMBERS_FOR_SLACK_SHARE: usize = 12;

/// The shared state of one daemon, called node in the code.
pub(crate) struct Node {
    pub(crate) ex: Arc<Executor<'static>>,
    pub(crate) clock: Clock,
    pub(crate) timers: Timers,
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    /// The public keys of the operators whose bundles are accepted.
    pub(crate) trusted: TrustedKeys,
    /// The keys by which daemons prove that they belong to the fleet.
    pub(crate) keys: FleetKeys,
    pub(crate) platform: Platform,
    pub(crate) backend: Backend,
    /// Interrupted and abandoned requests at the backend server, and its last crash.
    pub(crate) crashes: Crashes,
    /// Requests suspected of crashing backend servers.
    pub(crate) suspected_requests: SuspectedRequests,
    /// Present if routes determine the kinds of requests and the backend server announces itself.
    pub(crate) routed: Option<Routed>,
    pub(crate) admission: Arc<Admission>,
    /// Requests in progress at the backend server; nested calls refer to them.
    pub(crate) parents: Arc<Parents>,
    /// The bundle in force; empty before the first one.
    pub(crate) in_force: ArcSwapOption<InForce>,
    /// The staleness of the route table.
    pub(crate) route_staleness: RouteStaleness,
    /// Which mechanisms for contention are on.
    pub(crate) contention: Contention,
    /// The quotas of workspaces.
    pub(crate) quota: Quota,
    /// The demand of workspaces among the requests that reach the own backend server.
    pub(crate) workspace_demand: Mutex<DemandByClass>,
    /// The known instances that are not gone, by service.
    pub(crate) instances: ArcSwap<InstanceTable>,
    pub(crate) ledger: Mutex<Ledger>,
    /// Attempts that other daemons sent here.
    pub(crate) attempts: Mutex<AttemptRegister>,
    /// Store versions of the outcome segments; the lock on them serializes all writes.
    pub(crate) segment_versions: AsyncMutex<SegmentVersions>,
    pub(crate) membership: Mutex<Membership>,
    /// The bundle version in force, and the fetches of higher versions.
    pub(crate) bundle_tracker: Mutex<BundleTracker>,
    /// The reports that this daemon received as a watcher of its failure domain.
    pub(crate) domain_view: Mutex<DomainView>,
    /// Open connections to the control ports of other daemons.
    pub(crate) control_links: ControlLinks,
    /// Instances that this daemon keeps connections to and pushes updates to.
    pub(crate) neighbours: Mutex<VecDeque<String>>,
    /// When each instance last started a gossip exchange with this daemon.
    pub(crate) inbound_peers: Mutex<HashMap<String, Now>>,
    pub(crate) leaving: Mutex<Leaving>,
    /// The failure domains that operators evacuate.
    pub(crate) evacuation: EvacuationState,
    pub(crate) shutdown: Shutdown,
    pub(crate) own_record: ArcSwap<MemberRecord>,
    /// Whether a record of another incarnation of this instance is being verified.
    pub(crate) is_verifying_incarnation: AtomicBool,
    /// What the next write of the own record replaces in the store; `None` if that has to be read.
    pub(crate) stored_record: Mutex<Option<Expected>>,
    pub(crate) events: EventRing,
    pub(crate) spans: SpanBuffer,
    pub(crate) metrics: StatsdClient,
    pub(crate) metrics_page: Arc<MetricsPage>,
    /// The connections that others opened to this daemon.
    pub(crate) connections: Arc<Connections>,
    /// The connections to the peer ports of other daemons.
    pub(crate) peer_connections: Arc<PoolTotals>,
    pub(crate) counts: Counts,
}

/// Counters and flags for the shutdown and for operators.
#[derive(Default)]
pub(crate) struct Counts {
    /// Requests that this daemon handles now, in any role.
    pub(crate) active_requests: AtomicUsize,
    /// Those of them that wait for room at their entry.
    pub(crate) waiting_at_entry: AtomicUsize,
    /// Bytes of the buffered bodies of these requests.
    pub(crate) buffered_body_bytes: AtomicUsize,
    /// Open connections over all listeners.
    pub(crate) connections: Arc<AtomicUsize>,
    /// Whether the last attempt to reach the backend server failed.
    pub(crate) backend_lost: AtomicBool,
    /// When this daemon last reported to its watchers.
    pub(crate) last_report: LastTime,
    /// Whether this daemon watches the platform for its failure domain.
    pub(crate) watching: AtomicBool,
    /// Bytes of control messages, sent and received.
    pub(crate) control_bytes: AtomicU64,
}

/// What memory is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryDemand {
    /// A request of a caller, which has cost nothing yet.
    RootRequest,
    /// A nested call, whose refusal would waste the work of its parent.
    NestedCall,
}

impl MemoryDemand {
    /// The percentage of the process's memory that requests may take for this demand to be met.
    fn max_percent(self) -> usize {
        match self {
            Self::RootRequest => 50,
            Self::NestedCall => 65,
        }
    }
}

/// The time at which an event last occurred; infinitely long ago if it has not occurred.
#[derive(Default)]
pub(crate) struct LastTime(Mutex<Option<Now>>);

impl LastTime {
    pub(crate) fn set(&self, now: Now) {
        *lock(&self.0) = Some(now);
    }

    /// Whether the last occurrence was at `since` or later.
    pub(crate) fn is_after(&self, since: Now) -> bool {
        lock(&self.0).is_some_and(|last| last >= since)
    }

    /// Returns the time from the last occurrence until `now`.
    pub(crate) fn elapsed_since(&self, now: Now) -> Duration {
        lock(&self.0).map_or(Duration::MAX, |last| now.saturating_sub(last))
    }
}

impl Counts {
    /// Returns the fields that events about stopping have.
    pub(crate) fn as_fields(&self) -> Vec<Field> {
        let active_requests = self.active_requests.load(Ordering::Relaxed);
        let connections = self.connections.load(Ordering::Relaxed);
        vec![
            Field::new("carried", active_requests),
            Field::new("connections", connections),
        ]
    }
}

/// Counts a request as active until it is dropped.
pub(crate) struct ActiveRequest {
    node: Arc<Node>,
}

impl ActiveRequest {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        node.counts.active_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.node
            .counts
            .active_requests
            .fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts the bytes of a buffered body until it is dropped.
pub(crate) struct BufferedBytes {
    node: Arc<Node>,
    len: usize,
}

impl BufferedBytes {
    pub(crate) fn count(node: &Arc<Node>, len: usize) -> Self {
        node.counts
            .buffered_body_bytes
            .fetch_add(len, Ordering::Relaxed);
        Self {
            node: Arc::clone(node),
            len,
        }
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.node
            .counts
            .buffered_body_bytes
            .fetch_sub(self.len, Ordering::Relaxed);
    }
}

/// Locks a mutex and ignores poisoning: a panic in one task must not stop the others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Whether metrics are collected.
    pub(crate) fn has_metrics(&self) -> bool {
        self.settings.metrics.is_some() || self.routed.is_some()
    }

    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }

    /// Returns the number of members in this daemon's failure domain.
    pub(crate) fn domain_member_count(&self) -> usize {
        let own = &self.settings.failure_domain;
        let membership = lock(&self.membership);
        let members = membership.present();
        members
            .filter(|record| record.failure_domain == *own)
            .count()
    }

    /// Returns whether the requests in progress take so much of the process's memory that this demand is refused.
    pub(crate) fn lacks_memory_for(&self, demand: MemoryDemand) -> bool {
        let Some(memory_mb) = self.settings.memory_mb else {
            return false;
        };
        let requests = self.counts.active_requests.load(Ordering::Relaxed);
        let bodies = self.counts.buffered_body_bytes.load(Ordering::Relaxed);
        let used = requests * REQUEST_MEMORY_BYTES + bodies * BODY_COPIES;
        let available = memory_mb as usize * 1_000_000;
        used * 100 > available * demand.max_percent()
    }

    /// Whether this daemon is leaving and refuses new calls.
    pub(crate) fn is_leaving(&self) -> bool {
        self.own_record.load().state != MemberState::Live
    }

    /// Records an event that isn't about a single request.
    pub(crate) fn record_event(&self, kind: &'static EventKind, fields: Vec<Field>) {
        self.events.record(kind, None, fields);
    }

    /// Returns the version of the bundle in force, or 0 before the first one.
    pub(crate) fn bundle_version(&self) -> u64 {
        let in_force = self.in_force.load();
        in_force
            .as_ref()
            .map_or(0, |in_force| in_force.bundle.version)
    }

    /// Returns the staleness of the route table in milliseconds. Returns `None` before the first bundle, before the
    /// first read of the route table, and if the bundle has no workspaces and so no credentials.
    pub(crate) fn knowledge_age_ms(&self) -> Option<u32> {
        let in_force = self.in_force.load();
        let has_workspaces = in_force.as_ref()?.bundle.has_workspaces();
        has_workspaces.then(|| self.route_staleness.age_ms(self.now()))?
    }

    /// Puts a bundle in force if its version is higher than the current one. Returns whether it did.
    pub(crate) fn put_in_force(
        &self,
        bundle: Bundle,
        origin: Origin,
        learned_from: LearnedFrom,
    ) -> bool {
        let version = bundle.version;
        let mut tracker = lock(&self.bundle_tracker);
        if !tracker.put_in_force(version) {
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
            let cold_rate = self.cold_rate(&bundle);
            self.admission
                .with_gate(|gate, _| gate.cold_limiter().set_rate(cold_rate));
        }
        if let Some(routed) = &self.routed {
            routed.retain_kinds(&bundle);
        }
        let retries = self.retry_limits();
        let in_force = InForce::new(bundle, origin, before.as_deref(), now, retries);
        self.in_force.store(Some(Arc::new(in_force)));
        drop(tracker);
        let mut fields = vec![
            Field::new("version", version),
            Field::new("learned_from", learned_from),
        ];
        if let Some(before) = before.as_deref() {
            fields.push(Field::new("before", before.bundle.version));
        }
        fields.extend(self.route_staleness.age_field(now));
        self.record_event(&events::BUNDLE_IN_FORCE, fields);
        self.log_contention();
        true
    }

    /// Records that some backend server of the fleet reports its work time.
    pub(crate) fn record_work_times_reported(&self) {
        if self.contention.record_work_times_reported() {
            self.log_contention();
        }
    }

    fn log_contention(&self) {
        let in_force = self.in_force.load();
        let fields = in_force
            .as_deref()
            .and_then(|in_force| self.contention.changed_fields(in_force));
        if let Some(fields) = fields {
            self.record_event(&events::CONTENTION_CHANGED, fields);
        }
    }

    /// Returns the limit on requests to the own backend server while it is cold, if there is one.
    fn cold_rate(&self, bundle: &Bundle) -> Option<ColdRate> {
        let service = bundle.routed_services().get(&self.settings.service)?;
        let routes = self.settings.routes.as_ref()?;
        Some(routes.cold_rate(service.cold_rate?))
    }

    /// Returns this daemon's retry limits: the configured ratio, and its share of the slack by the number of members.
    fn retry_limits(&self) -> RetryLimits {
        let Some(routes) = &self.settings.routes else {
            return RetryLimits::default();
        };
        let members = lock(&self.membership).present().count();
        RetryLimits {
            ratio: routes.retry_ratio,
            slack: routes.retry_slack * RETRY_SLACK_FRACTION
                / members.max(MIN_MEMBERS_FOR_SLACK_SHARE) as f64,
            window: Duration::from_secs_f64(routes.retry_window_s),
        }
    }

    /// Records whether the backend server could be reached. One that is reachable again gets a cold start.
    pub(crate) fn record_backend_reachability(&self, reached: bool) {
        let was_lost = self.counts.backend_lost.swap(!reached, Ordering::Relaxed);
        match (was_lost, reached) {
            (false, false) => {
                // Cold from now on, since several requests may arrive before the first answer.
                state::assume_cold(self);
                self.record_event(&events::BACKEND_LOST, Vec::new());
            }
            (true, true) => {
                state::assume_cold(self);
                self.admission
                    .with_gate(|gate, now| gate.backend_restarted(now));
                self.record_event(&events::BACKEND_BACK, Vec::new());
            }
            _ => {}
        }
    }

    /// Records an event about the changed record of another member.
    pub(crate) fn record_member_change(&self, record: &MemberRecord) {
        let kind = match record.state {
            MemberState::Live => &events::MEMBER_JOINED,
            MemberState::Leaving => &events::MEMBER_LEAVING,
            MemberState::Gone => &events::MEMBER_GONE,
        };
        let fields = vec![
            Field::new("member", &record.instance),
            Field::new("incarnation", record.incarnation),
        ];
        self.record_event(kind, fields);
    }

    /// Merges a record of this instance that others have. Returns whether the own record changed.
    pub(crate) fn merge_own_record(&self, record: &MemberRecord) -> bool {
        if !self.is_outranked_by(record) {
            return false;
        }
        // Later, the other incarnation may be this one's successor.
        if record.incarnation != self.incarnation && self.now() >= OUTRANK_PERIOD {
            return false;
        }
        self.outrank(record);
        true
    }

    /// Whether others take this record of the instance for newer than the own record.
    pub(crate) fn is_outranked_by(&self, record: &MemberRecord) -> bool {
        let own = self.own_record.load();
        record.instance == own.instance
            && record.is_plausible(unix_ms())
            && record.supersedes(&own)
            // After it announced that it is gone, this incarnation would outrank its own successor.
            && (record.incarnation == own.incarnation || own.state != MemberState::Gone)
    }

    /// Makes the own record newer than another record of this instance. The wall clock may have been set back since that
    /// one was written, peers may have declared this daemon gone while it was unreachable, and others may have written it.
    pub(crate) fn outrank(&self, record: &MemberRecord) {
        self.change_own_record(|own| own.outrank(record));
        let fields = vec![
            Field::new("incarnation", record.incarnation),
            Field::new("state", format!("{:?}", record.state).to_lowercase()),
            Field::new("started_ms", record.started_ms),
            Field::new("sequence", record.sequence),
        ];
        self.record_event(&events::RECORD_RECLAIMED, fields);
    }

    /// Merges the records of other members with one rebuild of the instance table. Returns those that changed anything.
    pub(crate) fn merge_members(&self, records: Vec<MemberRecord>) -> Vec<MemberRecord> {
        let mut membership = lock(&self.membership);
        let (now, unix_ms) = (self.now(), unix_ms());
        let own = &self.settings.instance;
        let updates: Vec<MemberRecord> = records
            .into_iter()
            .filter(|record| record.instance != *own && record.is_plausible(unix_ms))
            .filter(|record| membership.merge(now, record.clone()))
            .collect();
        if !updates.is_empty() {
            self.rebuild_instance_table(&membership);
        }
        updates
    }

    fn rebuild_instance_table(&self, membership: &Membership) {
        let in_force = self.in_force.load();
        let cold_start = |service: &str| {
            let service = in_force
                .as_ref()
                .and_then(|in_force| in_force.bundle.service(service));
            Duration::from_millis(service.map_or(0, |service| service.cold_start_ms.into()))
        };
        let domain = &self.settings.failure_domain;
        let before = self.instances.load();
        let evacuated = self.evacuation.domains();
        let table = before.rebuild(
            membership,
            domain,
            &evacuated,
            self.clock,
            &self.peer_connections,
            cold_start,
        );
        self.instances.store(Arc::new(table));
    }

    /// Stops or resumes calls to instances after the evacuated failure domains changed.
    pub(crate) fn apply_evacuations(&self) {
        self.rebuild_instance_table(&lock(&self.membership));
    }

    /// Changes the state in the own record. The gossip task sends it to peers.
    pub(crate) fn set_own_state(&self, state: MemberState) -> MemberRecord {
        self.change_own_record(|record| record.state = state)
    }

    /// Changes the announcement of the backend server in the own record.
    pub(crate) fn set_own_backend(
        &self,
        backend: Option<Announcement>,
        left: Vec<LeftBackend>,
    ) -> MemberRecord {
        self.change_own_record(|record| {
            record.backend = backend;
            record.left = left;
        })
    }

    /// Copies what an earlier incarnation published of its backend server into the own record.
    pub(crate) fn restore_own_backend(&self, earlier: &MemberRecord) -> MemberRecord {
        self.change_own_record(|record| {
            record.backend.clone_from(&earlier.backend);
            record.rate_limit = earlier.rate_limit;
            record.left.clone_from(&earlier.left);
        })
    }

    /// Changes the limit of the backend server in the own record.
    pub(crate) fn set_own_rate_limit(&self, rate: Option<RequestRate>) -> MemberRecord {
        self.change_own_record(|record| record.rate_limit = rate)
    }

    fn change_own_record(&self, change: impl FnOnce(&mut MemberRecord)) -> MemberRecord {
        let mut record = (**self.own_record.load()).clone();
        change(&mut record);
        record.advance();
        self.own_record.store(Arc::new(record.clone()));
        let mut membership = lock(&self.membership);
        membership.merge(self.now(), record.clone());
        self.rebuild_instance_table(&membership);
        record
    }

    /// Starts leaving. Returns whether the state changed; [`crate::fleet::gossip::leave`] sends it to peers.
    pub(crate) fn start_leaving(&self, cause: LeavingCause) -> bool {
        if !lock(&self.leaving).leave(self.now(), cause) {
            return false;
        }
        self.set_own_state(MemberState::Leaving);
        self.record_event(
            &events::LEAVING,
            vec![Field::new("cause", format!("{cause:?}").to_lowercase())],
        );
        true
    }

    /// Revokes a cause for leaving. Returns whether the daemon no longer leaves.
    pub(crate) fn stop_leaving(&self, cause: LeavingCause) -> bool {
        if !lock(&self.leaving).revoke(cause) {
            return false;
        }
        self.set_own_state(MemberState::Live);
        self.record_event(&events::STAYING, Vec::new());
        true
    }
}

/// Returns the gate's configuration for this daemon's backend server from the bundle.
fn gate_config(service: &Service) -> GateConfig {
    GateConfig {
        slots: service.slots,
        queue_len: service.queue_len(),
        queue_timeout: Duration::from_millis(service.queue_wait_ms.into()),
        cold_start: Duration::from_millis(service.cold_start_ms.into()),
        call_queue_timeout: None,
    }
}
