//! The admin API of a daemon: plain HTTP with JSON.

use crate::{
    config::fetch::{self, LearnedFrom},
    fleet::gossip,
    net::serve::status,
    node::{Node, lock},
    operators::explain,
    operators::status::{RoomStatus, StatusReport},
    operators::workspaces,
    request::body::{self, Body},
};
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use sorrelturn_bundle::{ContentHash, SectionBytes, SignedManifest};
use sorrelturn_policy::LeavingCause;
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
};

/// The maximum size of a bundle that an operator uploads.
const MAX_BUNDLE_BYTES: usize = 64 << 20;

/// A signed bundle that an operator uploads to a daemon directly, for use when the platform is unavailable after the
/// publication.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OperatorBundle {
    manifest: SignedManifest,
    sections: Vec<SectionBytes>,
}

pub(crate) async fn serve(node: &Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/status") => json(&report(node)),
        (&Method::GET, "/metrics") => Response::new(body::full(node.metrics_page.text())),
        (&Method::GET, "/events") => json(&node.events.fleet_events()),
        (&Method::GET, "/members") => {
            let members: Vec<_> = lock(&node.membership).all().cloned().collect();
            json(&members)
        }
        (&Method::GET, "/workspaces") => json(&workspaces::report(node)),
        (&Method::POST, "/drain") => {
            gossip::leave(node, LeavingCause::Operator);
            json(&report(node))
        }
        (&Method::POST, "/keys/reload") => reload_keys(node),
        (&Method::PUT, "/bundle") => receive_bundle(node, req).await,
        (&Method::GET, path) => match path.strip_prefix("/explain/").map(str::parse) {
            Some(Ok(request)) => json(&explain::explain(node, request).await),
            Some(Err(_)) => status(StatusCode::BAD_REQUEST),
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn report(node: &Node) -> StatusReport {
    let (in_flight, waiting, limit) = node
        .admission
        .with_gate(|gate, now| (gate.in_flight(), gate.queued(), gate.steady_limit(now)));
    StatusReport {
        record: (**node.own_record.load()).clone(),
        bundle_version: lock(&node.bundle_tracker).in_force(),
        in_flight,
        waiting,
        limit,
        members: lock(&node.membership).present().count(),
        control_bytes: node.counts.control_bytes.load(Ordering::Relaxed),
        platform_calls: node.platform.call_count(),
        watcher: node.counts.watching.load(Ordering::Relaxed),
        rooms: rooms(node),
    }
}

fn rooms(node: &Node) -> BTreeMap<String, RoomStatus> {
    let instances = node.instances.load();
    let rooms = instances.rooms(node.now());
    rooms
        .filter_map(|(service, sum)| Some((service.to_owned(), RoomStatus::of(&sum)?)))
        .collect()
}

fn reload_keys(node: &Node) -> Response<Body> {
    match node.keys.reload() {
        Ok(()) => {
            node.record_event(&events::KEYS_ROTATED, Vec::new());
            status(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            let mut res = Response::new(body::full(format!("{error}\n")));
            *res.status_mut() = StatusCode::CONFLICT;
            res
        }
    }
}

async fn receive_bundle(node: &Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let Ok(body) = Limited::new(req.into_body(), MAX_BUNDLE_BYTES)
        .collect()
        .await
    else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let Ok(uploaded) = serde_json::from_slice::<OperatorBundle>(&body.to_bytes()) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let sections = uploaded
        .sections
        .into_iter()
        .map(|section| (ContentHash::of(&section.bytes), section))
        .collect();
    let accepted = uploaded
        .manifest
        .verify(&node.trusted)
        .and_then(|manifest| {
            let learned_from = LearnedFrom::Operator;
            fetch::put_bundle_in_force(node, uploaded.manifest, &manifest, &sections, learned_from)
        });
    match accepted {
        Ok(()) => json(&report(node)),
        Err(error) => {
            node.record_event(&events::BUNDLE_REFUSED, vec![Field::new("error", &error)]);
            let mut res = Response::new(body::full(format!("{error}\n")));
            *res.status_mut() = StatusCode::FORBIDDEN;
            res
        }
    }
}

fn json(value: &impl Serialize) -> Response<Body> {
    let mut res = Response::new(body::full(serde_json::to_vec(value).unwrap_or_default()));
    crate::request::headers::set(res.headers_mut(), CONTENT_TYPE.as_str(), "application/json");
    res
}
