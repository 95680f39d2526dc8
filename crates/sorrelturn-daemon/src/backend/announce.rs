//! The listener for announcements of the own backend server, and the readiness endpoint.
//!
//! A backend server announces its incarnation and its state at intervals. An announcement that it
//! is leaving is acknowledged only after it was written to the store, which alone outlives all
//! daemons. See `docs/design/leaving.md`.

use crate::{
    backend::report::{read_deregistration, read_heartbeat},
    backend::signals,
    backend::state::{
        self, Routed, Source, announced_slots, receive_announcement, record_health, update_slots,
    },
    fleet::gossip,
    net::serve::status,
    node::Node,
    request::body::{self, Body},
    store::member_record,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use smol::{Timer, channel, future::FutureExt};
use sorrelturn_platform::http::exchange_limited;
use sorrelturn_policy::PresenceChange;
use sorrelturn_protocol::{Announcement, BackendState};
use sorrelturn_telemetry::{Field, events};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

const MAX_ANNOUNCEMENT_BYTES: usize = 4 << 10;
/// The maximum time until a first report is acknowledged. Backend servers wait for 1 s at most.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum time until a leave is written to the store. Backend servers wait for 1 s at most.
const SAVE_TIMEOUT: Duration = Duration::from_millis(800);
/// The limit of the body of a response to a health check, whose head alone counts.
const MAX_HEALTH_BYTES: usize = 64 << 10;
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// A first report waits no longer for the health check of a slow backend server.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const BUNDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The minimum interval between checks whether a backend server is still leaving.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// The maximum number of probes after a start.
const MAX_PROBES: u32 = 3;

/// Answers `POST /backend/ID/heartbeat` and `POST /backend/ID/deregister`.
pub(crate) async fn serve(node: &Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let Some(routed) = &node.routed else {
        return status(StatusCode::NOT_FOUND);
    };
    let path = req.uri().path().to_owned();
    let mut parts = path.trim_start_matches('/').split('/');
    let segments = (parts.next(), parts.next(), parts.next(), parts.next());
    let (Some("backend"), Some(id), Some(operation), None) = segments else {
        return status(StatusCode::NOT_FOUND);
    };
    if *req.method() != Method::POST {
        return status(StatusCode::METHOD_NOT_ALLOWED);
    }
    let id = id.to_owned();
    if !matches!(operation, "heartbeat" | "deregister") {
        return status(StatusCode::NOT_FOUND);
    }
    let operation = operation.to_owned();
    let report = match read_body(req).await {
        Some(bytes) if operation == "heartbeat" => parse_heartbeat(node, id, &bytes),
        Some(bytes) => parse_deregistration(id, &bytes),
        None => Err("the body is too large or incomplete".to_owned()),
    };
    match report {
        Ok(report) => accept_report(node, routed, report).await,
        Err(reason) => refuse(node, routed, &reason),
    }
}

/// A heartbeat or a deregistration of the own backend server.
struct Report {
    announcement: Announcement,
    /// 0 if the report doesn't state them.
    slots: u32,
    cold_remaining: Option<Duration>,
}

fn parse_heartbeat(node: &Node, id: String, bytes: &[u8]) -> Result<Report, String> {
    let heartbeat = read_heartbeat(bytes)?;
    if heartbeat.service != node.settings.service {
        return Err(format!(
            "the service is {:?}, expected {:?}",
            heartbeat.service, node.settings.service
        ));
    }
    Ok(Report {
        slots: heartbeat.slots,
        cold_remaining: heartbeat.cold_remaining(),
        announcement: Announcement {
            id,
            born: heartbeat.born,
            state: heartbeat.state,
            sequence: heartbeat.sequence,
        },
    })
}

fn parse_deregistration(id: String, bytes: &[u8]) -> Result<Report, String> {
    let announcement = Announcement {
        id,
        born: read_deregistration(bytes)?.born,
        state: BackendState::Gone,
        sequence: u64::MAX,
    };
    Ok(Report {
        announcement,
        slots: 0,
        cold_remaining: None,
    })
}

/// Applies a report. One that the backend server is leaving is acknowledged once the store has it.
async fn accept_report(node: &Arc<Node>, routed: &Routed, report: Report) -> Response<Body> {
    if is_earlier_state_unknown(routed, &report.announcement) {
        let applied = ask_before_first_report(node, routed, report);
        let timed_out = async {
            Timer::after(ACKNOWLEDGE_TIMEOUT).await;
        };
        applied.or(timed_out).await;
        return ok_response();
    }
    let leaving = report.announcement.state != BackendState::Ready;
    let (id, born) = (report.announcement.id.clone(), report.announcement.born);
    if state::may_have_stopped_leaving(routed, &report.announcement) {
        check_leaving(node, routed);
    }
    let change = receive_announcement(node, routed, report.announcement, Source::Report);
    let is_news = match change {
        PresenceChange::Foreign => return status(StatusCode::BAD_REQUEST),
        // An acknowledgement would promise that the backend server gets no more requests.
        PresenceChange::Unconfirmed if leaving => return status(StatusCode::SERVICE_UNAVAILABLE),
        PresenceChange::Outdated if leaving && !routed.has_left_for_good(&id, born) => {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        PresenceChange::Outdated | PresenceChange::Unconfirmed => false,
        PresenceChange::NoChange | PresenceChange::NowReady | PresenceChange::NowLeaving => true,
    };
    if is_news {
        update_slots(node, routed, report.slots);
        if let Some(remaining) = report.cold_remaining {
            state::record_cold_remaining(node, remaining);
        }
    }
    if leaving {
        let is_saved = save_leave(node, routed).await;
        record_leave(node, &id, is_saved);
        if !is_saved {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    ok_response()
}

/// Writes the leave to the store. Returns whether the store has it within [`SAVE_TIMEOUT`]; if not, a background task
/// repeats the write.
async fn save_leave(node: &Arc<Node>, routed: &Routed) -> bool {
    // A leave that doesn't change the state may be of a later incarnation than the known one.
    state::record_left(node, routed);
    let save = state::save(node, routed);
    let is_saved = member_record::write_within(node, SAVE_TIMEOUT, save).await;
    if !is_saved {
        state::spawn_save(node);
    }
    is_saved
}

/// Records whether a leave is acknowledged, and the number of requests that are at the backend server by then.
fn record_leave(node: &Node, id: &str, is_acknowledged: bool) {
    let in_flight = node.admission.with_gate(|gate, _| gate.in_flight());
    let fields = vec![
        Field::new("backend", id),
        Field::new("in_flight", in_flight),
    ];
    let kind = match is_acknowledged {
        true => &events::LEAVE_ACKNOWLEDGED,
        false => &events::LEAVE_UNCONFIRMED,
    };
    node.record_event(kind, fields);
}

fn ok_response() -> Response<Body> {
    Response::new(body::full("{}"))
}

/// Refuses a report that is malformed or names another service; the known state stays.
fn refuse(node: &Node, routed: &Routed, reason: &str) -> Response<Body> {
    state::log_refused_report(node, routed, reason);
    let mut res = Response::new(body::full(format!("{reason}\n")));
    *res.status_mut() = StatusCode::BAD_REQUEST;
    res
}

async fn read_body(req: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(req.into_body(), MAX_ANNOUNCEMENT_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Responds whether this daemon is ready for requests of callers.
pub(crate) async fn ready(node: &Arc<Node>, _: Request<Incoming>) -> Response<Body> {
    let is_stopping = node.shutdown.has_begun();
    let has_bundle = node.in_force.load().is_some();
    status(if has_bundle && !is_stopping {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Probes the backend server after a start, instead of waiting for its next announcement. It is ready if it announced
/// itself to an earlier incarnation of this daemon: a health check doesn't name the service, and another one may have got
/// the address. A successful health check doesn't say that the backend server isn't leaving either. So without the
/// members in the store there is no probe, and if an earlier incarnation of this daemon is among them, some of the others
/// are asked first.
pub(crate) async fn find_backend(node: Arc<Node>) {
    let Some(routed) = &node.routed else {
        return;
    };
    if !routed.has_listed_members.load(Ordering::Relaxed) {
        return;
    }
    if !routed.is_first_incarnation.load(Ordering::Relaxed) {
        gossip::ask_members(&node).await;
    }
    let mut probes = 0;
    while routed.current().is_none() && probes < MAX_PROBES {
        Timer::after(PROBE_INTERVAL).await;
        let Some(path) = probe_path(&node) else {
            continue;
        };
        if routed.current().is_some() {
            return;
        }
        probes += 1;
        probe(&node, routed, &path).await;
    }
}

/// Checks in the background whether the backend server is still leaving, at most once per [`LEAVING_CHECK_INTERVAL`].
fn check_leaving(node: &Arc<Node>, routed: &Routed) {
    let now = node.now();
    if routed.last_leaving_check.elapsed_since(now) < LEAVING_CHECK_INTERVAL {
        return;
    }
    routed.last_leaving_check.set(now);
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let check = async move {
        if let (Some(routed), Some(path)) = (&node.routed, probe_path(&node))
            && let Some(res) = ask_health(&node, &path, PROBE_TIMEOUT).await
            && res.status().is_success()
            && let Some(id) = signals::id_unless_leaving(routed, res.headers())
        {
            state::stop_leaving(&node, routed, id);
        }
    };
    ex.spawn(check).detach();
}

/// Returns whether the first report of a backend server says that it is ready although it may have told an earlier
/// incarnation of this daemon more, which the store may lack.
fn is_earlier_state_unknown(routed: &Routed, announcement: &Announcement) -> bool {
    announcement.state == BackendState::Ready
        && routed.current().is_none()
        && !routed.is_first_incarnation.load(Ordering::Relaxed)
}

/// Returns the path of the health check; `None` before the first bundle.
fn probe_path(node: &Node) -> Option<String> {
    let in_force = node.in_force.load_full()?;
    let path = in_force.bundle.probe_path(&node.settings.service)?;
    Some(path.to_owned())
}

/// Applies the first report of a backend server in the background, once other daemons and its health check have told
/// whether it is leaving or limits its requests. A report may be seconds old, so one is ignored whose health check fails.
/// Without a bundle there is no health check yet, and no request is sent either.
///
/// The returned future ends when the report is applied, or at once if a task applies one already.
fn ask_before_first_report(
    node: &Arc<Node>,
    routed: &Routed,
    report: Report,
) -> impl Future<Output = ()> + use<> {
    let (applied_tx, applied_rx) = channel::bounded::<()>(1);
    let applied = async move {
        // The sender is dropped once the report is applied.
        let _ = applied_rx.recv().await;
    };
    if routed.is_asking_before_report.swap(true, Ordering::AcqRel) {
        return applied;
    }
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let ask = async move {
        let Some(routed) = &node.routed else {
            return;
        };
        while node.in_force.load().is_none() {
            Timer::after(BUNDLE_POLL_INTERVAL).await;
        }
        gossip::ask_members(&node).await;
        let health = match probe_path(&node) {
            Some(path) => ask_health(&node, &path, FIRST_PROBE_TIMEOUT).await,
            None => None,
        };
        if health.as_ref().is_none_or(|res| is_healthy(routed, res)) {
            apply_first_report(&node, routed, report, health.as_ref());
        }
        routed
            .is_asking_before_report
            .store(false, Ordering::Release);
        drop(applied_tx);
    };
    ex.spawn(ask).detach();
    applied
}

/// Returns whether a health check doesn't say that the backend server is leaving or failing. One that was turned away for
/// lack of room says nothing.
fn is_healthy(routed: &Routed, health: &Response<Bytes>) -> bool {
    let was_turned_away = health
        .headers()
        .contains_key(&routed.dialect.headers.not_run);
    health.status().is_success() || was_turned_away
}

fn apply_first_report(
    node: &Arc<Node>,
    routed: &Routed,
    mut report: Report,
    health: Option<&Response<Bytes>>,
) {
    let headers = health.map(Response::headers);
    if headers.is_some_and(|headers| signals::is_leaving(routed, headers)) {
        report.announcement.state = BackendState::Draining;
    }
    receive_announcement(node, routed, report.announcement, Source::Report);
    update_slots(node, routed, report.slots);
    if let Some(headers) = headers {
        signals::record_probe(node, routed, headers);
    }
    if let Some(remaining) = report.cold_remaining {
        state::record_cold_remaining(node, remaining);
    }
}

/// Returns the response to a health check.
async fn ask_health(node: &Node, path: &str, timeout: Duration) -> Option<Response<Bytes>> {
    let req = Request::get(path).body(Bytes::new()).ok()?;
    let addr = node.settings.backend.address;
    let res = exchange_limited(addr, req, timeout, MAX_HEALTH_BYTES).await;
    res.ok()
}

async fn probe(node: &Arc<Node>, routed: &Routed, path: &str) {
    let res = ask_health(node, path, PROBE_TIMEOUT).await;
    if let Some(res) = res.filter(|res| res.status().is_success())
        && record_health(node, routed, res.headers())
    {
        if let Some(slots) = announced_slots(routed, res.headers()) {
            update_slots(node, routed, slots);
        }
        if let Some(remaining) = state::cold_remaining(routed, res.headers()) {
            state::record_cold_remaining(node, remaining);
        }
        signals::record_probe(node, routed, res.headers());
    }
}
