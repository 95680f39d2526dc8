//! Requests suspected of crashing backend servers, as known to the fleet. See `docs/design/quarantine.md`.

use crate::{
    fleet::gossip,
    node::{Node, lock},
    store::quarantine,
};
use sorrelturn_policy::{Now, Quarantine, QuarantineUpdate};
use sorrelturn_protocol::{
    ClearedRequest, CrashId, CrashReport, CrashUpdate, RequestFingerprint, RequestFingerprints,
};
use sorrelturn_telemetry::{EventKind, Field, events};
use std::{
    array,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Number of slots for fingerprints of completed requests. They take 32 KB and cover some ten seconds of the busiest
/// backend server.
const COMPLETED_REQUEST_CAPACITY: usize = 4_096;
/// Maximum number of fingerprints in one log line.
const MAX_LOGGED_REQUESTS: usize = 16;

/// Suspected, quarantined and completed requests known to this daemon.
pub(crate) struct SuspectedRequests {
    quarantine: Mutex<Quarantine>,
    /// Whether any request is suspected. Lets requests skip the lock in the usual case.
    has_suspected_requests: AtomicBool,
    /// Last crash of this daemon's backend server.
    own_crash: Mutex<Option<CrashId>>,
    /// Fingerprints of requests completed here, indexed by fingerprint. A later one overwrites an earlier one.
    completed: Box<[AtomicU64; COMPLETED_REQUEST_CAPACITY]>,
}

impl Default for SuspectedRequests {
    fn default() -> Self {
        Self {
            quarantine: Mutex::default(),
            has_suspected_requests: AtomicBool::new(false),
            own_crash: Mutex::default(),
            completed: Box::new(array::from_fn(|_| AtomicU64::new(0))),
        }
    }
}

impl SuspectedRequests {
    /// Remaining time for which a request is quarantined, or `None` if it isn't.
    pub(crate) fn remaining_quarantine(
        &self,
        now: Now,
        request: RequestFingerprints,
    ) -> Option<Duration> {
        if !self.has_suspected_requests.load(Ordering::Relaxed) {
            return None;
        }
        let quarantine = lock(&self.quarantine);
        let remaining = request
            .iter()
            .filter_map(|fingerprint| quarantine.remaining_quarantine(now, fingerprint));
        remaining.max()
    }

    /// Removes expired entries and returns a checksum; daemons with equal checksums have the same entries.
    pub(crate) fn checksum(&self, now: Now) -> u64 {
        let mut quarantine = lock(&self.quarantine);
        quarantine.remove_expired(now);
        self.has_suspected_requests
            .store(!quarantine.is_empty(), Ordering::Relaxed);
        quarantine.checksum()
    }

    /// Returns all crashes and cleared requests.
    pub(crate) fn snapshot(&self, now: Now) -> CrashUpdate {
        lock(&self.quarantine).snapshot(now)
    }

    fn completed_slot(&self, request: RequestFingerprint) -> &AtomicU64 {
        &self.completed[request.0 as usize % COMPLETED_REQUEST_CAPACITY]
    }

    fn is_completed(&self, request: RequestFingerprint) -> bool {
        self.completed_slot(request).load(Ordering::Relaxed) == request.0
    }
}

/// Records a crash of this daemon's backend server.
pub(crate) fn record_own_crash(node: &Arc<Node>, report: CrashReport) {
    *lock(&node.suspected_requests.own_crash) = Some(report.id);
    let update = CrashUpdate {
        crashes: vec![report],
        cleared: Vec::new(),
    };
    receive_update(node, &update);
}

/// Merges crash reports and cleared requests from any source and pushes what is new to other daemons.
pub(crate) fn receive_update(node: &Arc<Node>, update: &CrashUpdate) {
    let now = node.now();
    let suspected_requests = &node.suspected_requests;
    let mut quarantine = lock(&suspected_requests.quarantine);
    let QuarantineUpdate {
        mut new_reports,
        mut quarantined,
    } = quarantine.receive(now, update);
    suspected_requests
        .has_suspected_requests
        .store(!quarantine.is_empty(), Ordering::Relaxed);
    // A completion seen here outweighs reports that the request was in progress during crashes.
    let cleared: Vec<RequestFingerprint> = quarantined
        .extract_if(.., |request| suspected_requests.is_completed(*request))
        .filter(|request| quarantine.clear(now, *request))
        .collect();
    let evidence = quarantine.evidence_for(now, &quarantined);
    drop(quarantine);
    log_requests(node, &events::REQUESTS_HELD, &quarantined);
    log_requests(node, &events::REQUESTS_CLEARED, &cleared);
    save_if_own_crash(node, evidence);
    new_reports
        .cleared
        .extend(cleared.into_iter().map(newly_cleared));
    if !new_reports.is_empty() {
        gossip::push_crash_update(node, new_reports);
    }
}

/// Saves the evidence for a quarantine if it includes the last crash of this daemon's backend server.
fn save_if_own_crash(node: &Arc<Node>, evidence: Vec<CrashReport>) {
    let own_crash = *lock(&node.suspected_requests.own_crash);
    let Some(own_crash) =
        own_crash.filter(|own_crash| evidence.iter().any(|crash| crash.id == *own_crash))
    else {
        return;
    };
    let save = quarantine::save(Arc::clone(node), own_crash, evidence);
    node.ex.spawn(save).detach();
}

/// Records that a request completed here, with any response, and clears it if it is quarantined.
pub(crate) fn record_completed(node: &Arc<Node>, request: RequestFingerprints) {
    let suspected_requests = &node.suspected_requests;
    for fingerprint in request.iter() {
        suspected_requests
            .completed_slot(fingerprint)
            .store(fingerprint.0, Ordering::Relaxed);
    }
    if !suspected_requests
        .has_suspected_requests
        .load(Ordering::Relaxed)
    {
        return;
    }
    let mut quarantine = lock(&suspected_requests.quarantine);
    let cleared: Vec<RequestFingerprint> = request
        .iter()
        .filter(|fingerprint| {
            quarantine.is_quarantined(*fingerprint) && quarantine.clear(node.now(), *fingerprint)
        })
        .collect();
    drop(quarantine);
    if cleared.is_empty() {
        return;
    }
    log_requests(node, &events::REQUESTS_CLEARED, &cleared);
    let update = CrashUpdate {
        crashes: Vec::new(),
        cleared: cleared.into_iter().map(newly_cleared).collect(),
    };
    gossip::push_crash_update(node, update);
}

fn newly_cleared(request: RequestFingerprint) -> ClearedRequest {
    ClearedRequest { request, age_ms: 0 }
}

fn log_requests(node: &Node, kind: &'static EventKind, requests: &[RequestFingerprint]) {
    if requests.is_empty() {
        return;
    }
    let fingerprints: Vec<String> = requests
        .iter()
        .take(MAX_LOGGED_REQUESTS)
        .map(ToString::to_string)
        .collect();
    let fields = vec![
        Field::new("requests", requests.len()),
        Field::new("fingerprints", fingerprints.join(",")),
    ];
    node.record_event(kind, fields);
}
