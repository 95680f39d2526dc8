//! What the fleet knows of requests that crash backend servers. See `docs/design/quarantine.md`.

use crate::{
    fleet::gossip,
    node::{Node, lock},
    store::quarantine,
};
use sorrelturn_policy::{Now, Quarantine, QuarantineUpdate};
use sorrelturn_protocol::{
    ClearedRequest, CrashId, CrashReport, CrashUpdate, RequestFingerprint, RequestNames,
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

/// How many names of requests that ran to their end are remembered, 32 KB of them: some ten seconds of the busiest backend
/// server, in which what is asked for often comes again.
const PROVEN: usize = 4_096;
/// So many held requests are named in a line of the log; a crash may have hundreds beside its cause.
const MOST_NAMED: usize = 16;

/// What this daemon knows.
pub(crate) struct Suspects {
    quarantine: Mutex<Quarantine>,
    /// Whether any request is suspected, which is rare: else requests take no lock for it.
    any: AtomicBool,
    /// The last crash of the own backend server.
    own_crash: Mutex<Option<CrashId>>,
    /// Requests that ran to their end here, each at a place of its own; a later one takes the place.
    proven: Box<[AtomicU64; PROVEN]>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            quarantine: Mutex::default(),
            any: AtomicBool::new(false),
            own_crash: Mutex::default(),
            proven: Box::new(array::from_fn(|_| AtomicU64::new(0))),
        }
    }
}

impl Suspects {
    /// For how long a request is kept from backend servers, if it is.
    pub(crate) fn held_for(&self, now: Now, request: RequestNames) -> Option<Duration> {
        if !self.any.load(Ordering::Relaxed) {
            return None;
        }
        let quarantine = lock(&self.quarantine);
        let held = request
            .iter()
            .filter_map(|name| quarantine.remaining_quarantine(now, name));
        held.max()
    }

    /// A sum over all that is known by now; daemons with equal sums know the same.
    pub(crate) fn sum(&self, now: Now) -> u64 {
        let mut quarantine = lock(&self.quarantine);
        quarantine.remove_expired(now);
        self.any.store(!quarantine.is_empty(), Ordering::Relaxed);
        quarantine.checksum()
    }

    /// All that is known.
    pub(crate) fn news(&self, now: Now) -> CrashUpdate {
        lock(&self.quarantine).snapshot(now)
    }

    fn place(&self, request: RequestFingerprint) -> &AtomicU64 {
        &self.proven[request.0 as usize % PROVEN]
    }

    fn has_run(&self, request: RequestFingerprint) -> bool {
        self.place(request).load(Ordering::Relaxed) == request.0
    }
}

/// The backend server beside this daemon crashed.
pub(crate) fn crashed_here(node: &Arc<Node>, report: CrashReport) {
    *lock(&node.suspects.own_crash) = Some(report.id);
    let news = CrashUpdate {
        crashes: vec![report],
        cleared: Vec::new(),
    };
    heard(node, &news);
}

/// Takes what another daemon knows; what is new here goes on to the neighbours.
pub(crate) fn heard(node: &Arc<Node>, news: &CrashUpdate) {
    let now = node.now();
    let suspects = &node.suspects;
    let mut quarantine = lock(&suspects.quarantine);
    let QuarantineUpdate {
        mut new_reports,
        mut quarantined,
    } = quarantine.receive(now, news);
    suspects
        .any
        .store(!quarantine.is_empty(), Ordering::Relaxed);
    // Who has seen it run knows better than those who have seen it at work in crashes.
    let innocent: Vec<RequestFingerprint> = quarantined
        .extract_if(.., |request| suspects.has_run(*request))
        .filter(|request| quarantine.clear(now, *request))
        .collect();
    let proof = quarantine.evidence_for(now, &quarantined);
    drop(quarantine);
    note(node, &events::REQUESTS_HELD, &quarantined);
    note(node, &events::REQUESTS_CLEARED, &innocent);
    save_if_own(node, proof);
    new_reports
        .cleared
        .extend(innocent.into_iter().map(just_cleared));
    if !new_reports.is_empty() {
        gossip::tell_of_crashes(node, new_reports);
    }
}

/// The daemons beside the backend servers that crashed write down what that proved, and no others.
fn save_if_own(node: &Arc<Node>, proof: Vec<CrashReport>) {
    let own = *lock(&node.suspects.own_crash);
    let Some(own) = own.filter(|own| proof.iter().any(|crash| crash.id == *own)) else {
        return;
    };
    let save = quarantine::save(Arc::clone(node), own, proof);
    node.ex.spawn(save).detach();
}

/// A request ran to its end here, whatever its answer was: it isn't what crashes backend servers.
pub(crate) fn ran_whole(node: &Arc<Node>, request: RequestNames) {
    let suspects = &node.suspects;
    for name in request.iter() {
        suspects.place(name).store(name.0, Ordering::Relaxed);
    }
    if !suspects.any.load(Ordering::Relaxed) {
        return;
    }
    let mut quarantine = lock(&suspects.quarantine);
    let cleared: Vec<RequestFingerprint> = request
        .iter()
        .filter(|name| quarantine.is_quarantined(*name) && quarantine.clear(node.now(), *name))
        .collect();
    drop(quarantine);
    if cleared.is_empty() {
        return;
    }
    note(node, &events::REQUESTS_CLEARED, &cleared);
    let news = CrashUpdate {
        crashes: Vec::new(),
        cleared: cleared.into_iter().map(just_cleared).collect(),
    };
    gossip::tell_of_crashes(node, news);
}

fn just_cleared(request: RequestFingerprint) -> ClearedRequest {
    ClearedRequest { request, age_ms: 0 }
}

fn note(node: &Node, kind: &'static EventKind, requests: &[RequestFingerprint]) {
    if requests.is_empty() {
        return;
    }
    let named: Vec<String> = requests
        .iter()
        .take(MOST_NAMED)
        .map(ToString::to_string)
        .collect();
    let fields = vec![
        Field::new("requests", requests.len()),
        Field::new("fingerprints", named.join(",")),
    ];
    node.record_event(kind, fields);
}
