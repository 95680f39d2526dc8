//! The interface for the own backend server and for whoever asks whether this daemon is ready.
//!
//! A backend server tells once in a while which run it is and whether it takes work. That it leaves
//! is acknowledged only once the next run of this daemon would know it, too.

use crate::{
    backend::report::{read_deregistration, read_heartbeat},
    backend::state::{self, Routed, answered_by, heard, heard_slots, slots_of},
    net::serve::status,
    node::Node,
    request::body::{self, Body},
    store::member_record,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use smol::Timer;
use sorrelturn_platform::http::exchange;
use sorrelturn_policy::PresenceChange;
use sorrelturn_protocol::{Announcement, BackendState};
use std::{sync::Arc, time::Duration};

/// The largest announcement, in bytes.
const ANNOUNCEMENT_LIMIT_BYTES: usize = 4 << 10;
/// An acknowledgement comes within this time, whatever the store does: backend servers wait for a
/// second at most, and neighbours know by then.
const ACKNOWLEDGE_TIME: Duration = Duration::from_millis(600);
/// A probe that takes longer says nothing.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Between two looks whether the backend server was announced.
const PROBE_PAUSE: Duration = Duration::from_millis(200);
/// The most probes of one start: they are priced, and an announcement comes within seconds.
const MOST_PROBES: u32 = 3;

/// Answers `POST /backend/ID/heartbeat` and `POST /backend/ID/deregister`.
pub(crate) async fn serve(node: &Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let Some(routed) = &node.routed else {
        return status(StatusCode::NOT_FOUND);
    };
    let path = req.uri().path().to_owned();
    let mut parts = path.trim_start_matches('/').split('/');
    let place = (parts.next(), parts.next(), parts.next(), parts.next());
    let (Some("backend"), Some(id), Some(call), None) = place else {
        return status(StatusCode::NOT_FOUND);
    };
    if *req.method() != Method::POST {
        return status(StatusCode::METHOD_NOT_ALLOWED);
    }
    let id = id.to_owned();
    if !matches!(call, "heartbeat" | "deregister") {
        return status(StatusCode::NOT_FOUND);
    }
    let call = call.to_owned();
    let report = match read(req).await {
        Some(bytes) if call == "heartbeat" => of_heartbeat(node, id, &bytes),
        Some(bytes) => of_deregistration(id, &bytes),
        None => Err("it is too large or was cut".to_owned()),
    };
    match report {
        Ok((news, slots)) => take(node, routed, news, slots).await,
        Err(reason) => refused(node, routed, &reason),
    }
}

/// What a heartbeat says: the news, and the slots.
fn of_heartbeat(node: &Node, id: String, bytes: &[u8]) -> Result<(Announcement, u32), String> {
    let heartbeat = read_heartbeat(bytes)?;
    if heartbeat.service != node.settings.service {
        return Err(format!(
            "it is of service {:?}, and this is {:?}",
            heartbeat.service, node.settings.service
        ));
    }
    let news = Announcement {
        id,
        born: heartbeat.born,
        state: heartbeat.state,
        sequence: heartbeat.sequence,
    };
    Ok((news, heartbeat.slots))
}

fn of_deregistration(id: String, bytes: &[u8]) -> Result<(Announcement, u32), String> {
    let news = Announcement {
        id,
        born: read_deregistration(bytes)?.born,
        state: BackendState::Gone,
        sequence: u64::MAX,
    };
    Ok((news, 0))
}

/// Takes an announcement. Only what leaves is acknowledged late, and only once it is known to those who must know.
async fn take(node: &Arc<Node>, routed: &Routed, news: Announcement, slots: u32) -> Response<Body> {
    let leaves = news.state != BackendState::Ready;
    match heard(node, routed, news) {
        PresenceChange::Foreign => return status(StatusCode::BAD_REQUEST),
        // An acknowledgement would bind a run that nothing follows for.
        PresenceChange::Unconfirmed if leaves => return status(StatusCode::SERVICE_UNAVAILABLE),
        PresenceChange::Outdated | PresenceChange::Unconfirmed => return accepted(),
        PresenceChange::NoChange | PresenceChange::NowReady | PresenceChange::NowLeaving => {}
    }
    heard_slots(node, routed, slots);
    if leaves {
        let save = state::save(node, routed);
        member_record::within(node, ACKNOWLEDGE_TIME, save).await;
    }
    accepted()
}

fn accepted() -> Response<Body> {
    Response::new(body::full("{}"))
}

/// Malformed news changes nothing.
fn refused(node: &Node, routed: &Routed, reason: &str) -> Response<Body> {
    state::note_foreign(node, routed, reason);
    let mut res = Response::new(body::full(format!("{reason}\n")));
    *res.status_mut() = StatusCode::BAD_REQUEST;
    res
}

async fn read(req: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(req.into_body(), ANNOUNCEMENT_LIMIT_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Answers whether this daemon is ready for callers' requests.
pub(crate) async fn ready(node: &Arc<Node>, _: Request<Incoming>) -> Response<Body> {
    let stops = node.shutdown.has_begun();
    let knows = node.in_force.load().is_some();
    status(if knows && !stops {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Asks the backend server once who it is, so that a daemon that starts anew beside it needn't wait
/// for its next announcement.
pub(crate) async fn find_backend(node: Arc<Node>) {
    let Some(routed) = &node.routed else {
        return;
    };
    let mut probes = 0;
    while routed.current().is_none() && probes < MOST_PROBES {
        Timer::after(PROBE_PAUSE).await;
        let in_force = node.in_force.load_full();
        let path = in_force
            .as_ref()
            .and_then(|in_force| in_force.bundle.probe_path(&node.settings.service));
        let Some(path) = path else {
            continue;
        };
        if routed.current().is_some() {
            return;
        }
        probes += 1;
        probe(&node, routed, path).await;
    }
}

async fn probe(node: &Arc<Node>, routed: &Routed, path: &str) {
    let Ok(req) = Request::get(path).body(Bytes::new()) else {
        return;
    };
    let Ok(res) = exchange(node.settings.backend.address, req, PROBE_TIME).await else {
        return;
    };
    if res.status().is_success() {
        if let Some(slots) = slots_of(routed, res.headers()) {
            heard_slots(node, routed, slots);
        }
        answered_by(node, routed, res.headers());
    }
}
