//! The state of the backend server beside this daemon, where backend servers announce
//! themselves: its incarnation, readiness and number of slots.

use crate::{
    backend::{crash, signals, work_times},
    clock::unix_ms,
    fleet::gossip,
    node::{LastTime, Node, lock},
    request::dialect::Dialect,
    store::member_record,
};
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use smol::Timer;
use sorrelturn_bundle::Bundle;
use sorrelturn_policy::{
    CallGraph, GateConfig, LeavingCause, Presence, PresenceChange, RequestOrigins, Responder,
    WorkTimes,
};
use sorrelturn_protocol::{Announcement, BackendState, LeftBackend, MemberRecord, RequestRate};
use sorrelturn_telemetry::{EventKind, Field, events};
use std::{
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

/// The assumed slots of a backend server that has announced none yet.
const SLOTS_BEFORE_ANNOUNCEMENT: u32 = 16;
/// The maximum queueing delay for a slot. Much longer, and the shortest targets (250 ms) are missed; much shorter, and
/// bursts of a few milliseconds aren't evened out.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// The maximum queueing delay of a call of another backend server. It is longer, since a refusal wastes the work of the
/// calling request. The shortest deadline of such a call is 700 ms.
const CALL_QUEUE_TIMEOUT: Duration = Duration::from_millis(250);

/// The range of reported work times, in percent of the usual; others are ignored.
const WORK_TIME_RANGE_PERCENT: RangeInclusive<u32> = 10..=10_000;

/// The minimum interval between log entries about refused reports.
const REFUSED_REPORT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The delay after the first failed write of the own record; it doubles with each further one.
const MIN_SAVE_DELAY: Duration = Duration::from_secs(1);
const MAX_SAVE_DELAY: Duration = Duration::from_secs(8);

/// The backend server beside this daemon, and its dialect.
pub(crate) struct Routed {
    pub(crate) dialect: Dialect,
    presence: Mutex<Presence>,
    slots: AtomicU32,
    /// The calls that each kind of request makes.
    pub(crate) graph: Mutex<CallGraph>,
    /// When a call of the backend server failed last.
    pub(crate) last_nested_call_failure: LastTime,
    /// When an unknown credential was logged last.
    pub(crate) last_unknown_credential_event: LastTime,
    /// When a change of the named limit was logged last.
    pub(crate) last_rate_limit_event: LastTime,
    /// Whether the store has no record of an earlier incarnation of this daemon.
    pub(crate) is_first_incarnation: AtomicBool,
    /// Whether the members in the store were listed at the start.
    pub(crate) has_listed_members: AtomicBool,
    /// Whether a task asks the backend server before its first report is applied.
    pub(crate) is_asking_before_report: AtomicBool,
    /// When it was last checked whether the backend server has stopped leaving.
    pub(crate) last_leaving_check: LastTime,
    /// Whether a task publishes changes of the named limit.
    pub(crate) is_publishing_rate_limit: AtomicBool,
    /// Where the requests for the backend server come from.
    pub(crate) origins: Mutex<RequestOrigins>,
    /// How long the backend server takes for requests.
    pub(crate) work_times: Mutex<WorkTimes>,
    /// When a refused report was logged last.
    last_refused_report_event: LastTime,
    /// Whether the platform's store has the newest state, for the next incarnation of this
    /// daemon.
    is_saved: AtomicBool,
    /// Whether a task saves the state until the store has it.
    is_saving: AtomicBool,
}

/// How something about the backend server became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The backend server reported it.
    Report,
    /// The response to a request said so.
    Response,
    /// The response to a health check said so.
    HealthCheck,
    /// An earlier incarnation of this daemon published it.
    EarlierIncarnation,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Response => "response",
            Self::HealthCheck => "health-check",
            Self::EarlierIncarnation => "earlier-incarnation",
        }
    }
}

/// What a response of the backend server means for the request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ResponseKind {
    /// The response belongs to this request.
    Answered,
    /// The backend server didn't run the request.
    NotRun,
    /// The response belongs to another request, or has no request id.
    Mismatched,
}

impl Routed {
    pub(crate) fn new(dialect: Dialect) -> Self {
        Self {
            dialect,
            presence: Mutex::default(),
            slots: AtomicU32::new(SLOTS_BEFORE_ANNOUNCEMENT),
            graph: Mutex::default(),
            last_nested_call_failure: LastTime::default(),
            last_unknown_credential_event: LastTime::default(),
            last_rate_limit_event: LastTime::default(),
            is_first_incarnation: AtomicBool::new(false),
            has_listed_members: AtomicBool::new(false),
            is_asking_before_report: AtomicBool::new(false),
            last_leaving_check: LastTime::default(),
            is_publishing_rate_limit: AtomicBool::new(false),
            origins: Mutex::default(),
            work_times: Mutex::default(),
            last_refused_report_event: LastTime::default(),
            is_saved: AtomicBool::new(false),
            is_saving: AtomicBool::new(false),
        }
    }

    /// Returns the id of the backend server that accepts requests now, as a header value.
    pub(crate) fn serving_id(&self) -> Option<HeaderValue> {
        let presence = lock(&self.presence);
        HeaderValue::from_str(presence.serving()?).ok()
    }

    /// Returns the last known state of the backend server.
    pub(crate) fn current(&self) -> Option<Announcement> {
        lock(&self.presence).current().cloned()
    }

    /// Returns whether the last known backend server has this id.
    pub(crate) fn is_current(&self, id: &str) -> bool {
        let presence = lock(&self.presence);
        presence.current().is_some_and(|current| current.id == id)
    }

    /// Returns the backend servers that left last, for the next incarnation of this daemon.
    fn left(&self) -> Vec<LeftBackend> {
        lock(&self.presence).left()
    }

    /// Returns whether an outdated leave may be acknowledged.
    pub(crate) fn has_left_for_good(&self, id: &str, born: Option<u64>) -> bool {
        lock(&self.presence).has_left_for_good(id, born)
    }

    /// Returns the configuration of the gate in front of the backend server.
    pub(crate) fn gate_config(&self) -> GateConfig {
        let slots = self.slots.load(Ordering::Relaxed).max(1);
        GateConfig {
            slots,
            queue_len: slots,
            queue_timeout: QUEUE_TIMEOUT,
            cold_start: Duration::ZERO,
            call_queue_timeout: Some(CALL_QUEUE_TIMEOUT),
        }
    }

    /// Removes what was learned about kinds that a new bundle lacks.
    pub(crate) fn retain_kinds(&self, bundle: &Bundle) {
        let exists = |kind: &str| bundle.kind(kind).is_some();
        lock(&self.graph).retain(exists);
        lock(&self.origins).retain(exists);
    }

    /// Classifies a response by its request id, its not-run header and status 421.
    pub(crate) fn classify_response(
        &self,
        sent_id: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseKind {
        let names = &self.dialect.headers;
        let returned_id = headers.get(&names.request_id);
        if returned_id.is_some() && returned_id != sent_id {
            return ResponseKind::Mismatched;
        }
        let not_run = headers.contains_key(&names.not_run);
        if not_run || status == StatusCode::MISDIRECTED_REQUEST {
            return ResponseKind::NotRun;
        }
        if returned_id.is_none() {
            return ResponseKind::Mismatched;
        }
        ResponseKind::Answered
    }
}

/// Applies the number of slots that the backend server announced; 0 is ignored.
pub(crate) fn update_slots(node: &Node, routed: &Routed, slots: u32) {
    if slots > 0 && routed.slots.swap(slots, Ordering::Relaxed) != slots {
        let cfg = routed.gate_config();
        node.admission.with_gate(|gate, _| gate.reconfigure(cfg));
    }
}

/// Logs that a report was refused, and why, at most once per
/// [`REFUSED_REPORT_LOG_INTERVAL`].
pub(crate) fn log_refused_report(node: &Node, routed: &Routed, reason: &str) {
    let now = node.now();
    if routed.last_refused_report_event.elapsed_since(now) < REFUSED_REPORT_LOG_INTERVAL {
        return;
    }
    routed.last_refused_report_event.set(now);
    node.record_event(
        &events::BACKEND_REPORT_REFUSED,
        vec![Field::new("reason", reason)],
    );
}

/// Applies an announcement and returns what changed.
pub(crate) fn receive_announcement(
    node: &Arc<Node>,
    routed: &Routed,
    announcement: Announcement,
    source: Source,
) -> PresenceChange {
    let fields = vec![
        Field::new("backend", &announcement.id),
        Field::new("born", announcement.born.unwrap_or_default()),
        Field::new("state", format!("{:?}", announcement.state).to_lowercase()),
        Field::new("sequence", announcement.sequence),
        Field::new("source", source.name()),
    ];
    let before = routed.current();
    // The time of a restored leave isn't known.
    let received_at = (source != Source::EarlierIncarnation).then(unix_ms);
    let change = lock(&routed.presence).receive_at(node.now(), received_at, announcement);
    match change {
        PresenceChange::NowReady => {
            node.record_event(&events::BACKEND_READY, fields);
            report_if_replaced(node, routed, before.as_ref());
            on_backend_ready(node, routed);
        }
        PresenceChange::NowLeaving => {
            node.record_event(&events::BACKEND_LEAVING, fields);
            on_backend_leaving(node, routed);
        }
        PresenceChange::NoChange | PresenceChange::Outdated | PresenceChange::Unconfirmed => {}
        PresenceChange::Foreign => {
            log_refused_report(node, routed, "it lacks the start time of its incarnation")
        }
    }
    change
}

/// Records the id of the backend server that didn't run a request, which may be another one than expected.
pub(crate) fn record_answering_backend(node: &Arc<Node>, routed: &Routed, headers: &HeaderMap) {
    let Some(id) = backend_id(routed, headers) else {
        return;
    };
    let before = routed.current();
    let responder = lock(&routed.presence).record_answer_from(node.now(), id);
    match responder {
        Responder::Current => {}
        Responder::Returned => {
            report_if_replaced(node, routed, before.as_ref());
            record_answer_event(node, &events::BACKEND_READY, id, Source::Response);
            on_backend_ready(node, routed);
        }
        Responder::Unknown => {
            record_event_of(
                node,
                &events::BACKEND_LEAVING,
                id,
                "unknown",
                Source::Response,
            );
            on_backend_leaving(node, routed);
        }
    }
}

/// Records that a backend server responded to a health check while none was known. Returns whether it is ready.
pub(crate) fn record_health(node: &Arc<Node>, routed: &Routed, headers: &HeaderMap) -> bool {
    let Some(id) = backend_id(routed, headers) else {
        return false;
    };
    if !lock(&routed.presence).record_health_of(node.now(), id) {
        return false;
    }
    record_answer_event(node, &events::BACKEND_READY, id, Source::HealthCheck);
    on_backend_ready(node, routed);
    true
}

fn backend_id<'a>(routed: &Routed, headers: &'a HeaderMap) -> Option<&'a str> {
    headers
        .get(&routed.dialect.headers.backend_id)?
        .to_str()
        .ok()
}

/// Records an event about what a response of the backend server with this id said.
fn record_answer_event(node: &Node, kind: &'static EventKind, id: &str, source: Source) {
    record_event_of(node, kind, id, "answered", source);
}

fn record_event_of(
    node: &Node,
    kind: &'static EventKind,
    id: &str,
    state: &'static str,
    source: Source,
) {
    let fields = vec![
        Field::new("backend", id),
        Field::new("state", state),
        Field::new("source", source.name()),
    ];
    node.record_event(kind, fields);
}

/// Records that a response of the backend server with this id says that it is leaving.
pub(crate) fn record_leaving_answer(node: &Arc<Node>, routed: &Routed, id: &str, source: Source) {
    if !lock(&routed.presence).record_leaving_answer(node.now(), id) {
        return;
    }
    record_answer_event(node, &events::BACKEND_LEAVING, id, source);
    on_backend_leaving(node, routed);
    spawn_save(node);
}

/// Returns whether the backend server may have stopped leaving, going by its announcement.
pub(crate) fn may_have_stopped_leaving(routed: &Routed, announcement: &Announcement) -> bool {
    lock(&routed.presence).may_have_stopped_leaving(announcement)
}

/// Accepts requests again for the backend server with this id, if only a response said that it is leaving.
pub(crate) fn stop_leaving(node: &Arc<Node>, routed: &Routed, id: &str) {
    if lock(&routed.presence).stop_leaving(node.now(), id) {
        record_answer_event(node, &events::BACKEND_READY, id, Source::HealthCheck);
        on_backend_ready(node, routed);
    }
}

/// Reports a crash if another incarnation is ready and the one before never announced that it was
/// leaving.
fn report_if_replaced(node: &Arc<Node>, routed: &Routed, before: Option<&Announcement>) {
    let now = routed.current();
    let (Some(before), Some(now)) = (before, now) else {
        return;
    };
    if before.state == BackendState::Ready && !now.is_of_same_incarnation(before) {
        crash::report_replaced(node);
    }
}

/// Returns the number of slots, the third comma-separated field of a response's load header.
pub(crate) fn announced_slots(routed: &Routed, headers: &HeaderMap) -> Option<u32> {
    let load = headers.get(&routed.dialect.headers.load)?.to_str().ok()?;
    load.split(',').nth(2)?.trim().parse().ok()
}

/// Returns how long work takes at the backend server now, in percent of the usual: the fourth comma-separated field of
/// a response's load header. `None` if there is none or it isn't in [`WORK_TIME_RANGE_PERCENT`].
pub(crate) fn reported_work_time(routed: &Routed, headers: &HeaderMap) -> Option<u32> {
    let load = headers.get(&routed.dialect.headers.load)?.to_str().ok()?;
    let percent = load.split(',').nth(3)?.trim().parse().ok()?;
    WORK_TIME_RANGE_PERCENT
        .contains(&percent)
        .then_some(percent)
}

/// Returns for how much longer the backend server is cold, if its response says it.
pub(crate) fn cold_remaining(routed: &Routed, headers: &HeaderMap) -> Option<Duration> {
    let remaining = headers
        .get(&routed.dialect.headers.cold_ms)?
        .to_str()
        .ok()?;
    remaining.trim().parse().ok().map(Duration::from_millis)
}

/// Applies for how much longer the backend server says that it is cold.
pub(crate) fn record_cold_remaining(node: &Node, remaining: Duration) {
    let has_changed = node.admission.with_gate(|gate, now| {
        let was_limiting = gate.cold_limiter().is_limiting(now);
        gate.cold_limiter().report(now, remaining);
        was_limiting != gate.cold_limiter().is_limiting(now)
    });
    if has_changed {
        let fields = vec![Field::new("cold_ms", remaining.as_millis())];
        node.record_event(&events::BACKEND_COLD, fields);
    }
}

/// Limits requests to the backend server until it reports whether it is cold.
pub(crate) fn assume_cold(node: &Node) {
    node.admission
        .with_gate(|gate, now| gate.cold_limiter().assume_cold(now));
}

fn on_backend_ready(node: &Arc<Node>, routed: &Routed) {
    assume_cold(node);
    routed.is_saved.store(false, Ordering::Relaxed);
    let backend = routed.current();
    if let Some(backend) = &backend {
        signals::backend_started(node, routed, &backend.id);
    }
    node.set_own_backend(backend, routed.left());
    node.admission.with_gate(|gate, _| gate.reset_tuning());
    work_times::reset(routed);
    node.backend.drop_idle();
    let stopped_leaving = node.stop_leaving(LeavingCause::Backend);
    // A daemon that leaves for another reason has announced that already.
    if stopped_leaving || !node.is_leaving() {
        gossip::push_own_record(node);
    }
    spawn_save(node);
}

/// Saves the own record in the background, again and again until the store has it, unless a task does so already.
pub(crate) fn spawn_save(node: &Arc<Node>) {
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let save = async move {
        if let Some(routed) = &node.routed
            && !routed.is_saving.swap(true, Ordering::AcqRel)
        {
            save_until_saved(&node, routed).await;
        }
    };
    ex.spawn(save).detach();
}

async fn save_until_saved(node: &Arc<Node>, routed: &Routed) {
    let mut delay = MIN_SAVE_DELAY;
    while !save(node, routed).await && !node.shutdown.has_begun() {
        Timer::after(delay).await;
        delay = (delay * 2).min(MAX_SAVE_DELAY);
    }
    routed.is_saving.store(false, Ordering::Release);
    // A change after the last save found this task still running.
    if !routed.is_saved.load(Ordering::Relaxed) && !node.shutdown.has_begun() {
        spawn_save(node);
    }
}

fn on_backend_leaving(node: &Arc<Node>, routed: &Routed) {
    routed.is_saved.store(false, Ordering::Relaxed);
    node.set_own_backend(routed.current(), routed.left());
    node.start_leaving(LeavingCause::Backend);
    gossip::push_own_record(node);
}

/// Puts the backend servers that left last into the own record, if they have changed.
pub(crate) fn record_left(node: &Node, routed: &Routed) {
    let left = routed.left();
    if node.own_record.load().left != left {
        routed.is_saved.store(false, Ordering::Relaxed);
        node.set_own_backend(routed.current(), left);
    }
}

/// Restores what an earlier incarnation of this daemon published of its backend server, unless that was replaced
/// meanwhile: that it is leaving, and the limit that it names.
pub(crate) fn restore(node: &Arc<Node>, earlier: &MemberRecord) {
    let (Some(routed), Some(backend)) = (&node.routed, &earlier.backend) else {
        return;
    };
    let leave_of_current = lock(&routed.presence).restore_left(&earlier.left);
    if let Some(leave) = leave_of_current {
        receive_announcement(node, routed, leave, Source::EarlierIncarnation);
    }
    let current = routed.current();
    if current
        .as_ref()
        .is_some_and(|current| !current.is_of_same_incarnation(backend))
    {
        return;
    }
    let is_ready = backend.state == BackendState::Ready;
    if is_ready && earlier.service == node.settings.service {
        lock(&routed.presence).expect_backend(&backend.id);
    }
    if !is_ready {
        receive_announcement(node, routed, backend.clone(), Source::EarlierIncarnation);
    } else if let Some(rate) = earlier.rate_limit {
        signals::restore_limit(node, routed, &backend.id, rate);
    } else {
        return;
    }
    if current.is_none() {
        // This incarnation may end before the backend server announces itself again.
        routed.is_saved.store(false, Ordering::Relaxed);
        node.restore_own_backend(earlier);
        gossip::push_own_record(node);
    }
    spawn_save(node);
}

/// Publishes the limit that the backend server names now, for the next incarnation of this daemon.
pub(crate) async fn publish_rate_limit(
    node: &Arc<Node>,
    routed: &Routed,
    rate: Option<RequestRate>,
) {
    routed.is_saved.store(false, Ordering::Relaxed);
    node.set_own_rate_limit(rate);
    gossip::push_own_record(node);
    save(node, routed).await;
}

/// Writes the record of this daemon, so that its next incarnation knows what this one
/// acknowledged. Returns whether the store has it.
pub(crate) async fn save(node: &Arc<Node>, routed: &Routed) -> bool {
    if routed.is_saved.load(Ordering::Relaxed) {
        return true;
    }
    if member_record::write_own(node).await {
        routed.is_saved.store(true, Ordering::Relaxed);
    }
    routed.is_saved.load(Ordering::Relaxed)
}
