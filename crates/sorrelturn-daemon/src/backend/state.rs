//! What is known of the backend server beside this daemon, where backend servers announce
//! themselves: which run it is, whether it takes work, and how many slots it has.

use crate::{
    backend::crash,
    fleet::gossip,
    node::{LastTime, Node, lock},
    request::dialect::Dialect,
    store::member_record,
};
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use sorrelturn_bundle::Bundle;
use sorrelturn_policy::{CallGraph, GateConfig, LeavingCause, Origins, Presence, PresenceChange};
use sorrelturn_protocol::{Announcement, BackendState};
use sorrelturn_telemetry::{Field, events};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

/// The slots of a backend server that has announced none yet: few enough for any that is known.
const SLOTS_BEFORE_ANNOUNCEMENT: u32 = 16;
/// The longest wait for a slot. Much longer and the answer misses its target (250 ms at the
/// shortest); much shorter and the arrivals of a few milliseconds can't be evened out.
const QUEUE_WAIT: Duration = Duration::from_millis(100);

/// The longest wait of a call of another backend server: refusing it wastes the work above it, and
/// the shortest deadline of one is 700 ms.
const CALL_WAIT: Duration = Duration::from_millis(250);

/// How often the log says at the most that somebody else's reports come in.
const FOREIGN_NOTED_EVERY: Duration = Duration::from_secs(10);

/// The backend server beside this daemon, and the dialect that it speaks.
pub(crate) struct Routed {
    pub(crate) dialect: Dialect,
    presence: Mutex<Presence>,
    slots: AtomicU32,
    /// What the kinds that the backend server works on call.
    pub(crate) graph: Mutex<CallGraph>,
    /// When a call that the backend server made failed last.
    pub(crate) call_failed: LastTime,
    /// When a credential that nobody holds was noted last.
    pub(crate) noted_unknown: LastTime,
    /// Where the requests for the backend server come from.
    pub(crate) origins: Mutex<Origins>,
    /// When the log said last that a report names no backend server.
    foreign_noted: LastTime,
    /// Whether the platform's store has the newest state, for the next run of this daemon.
    saved: AtomicBool,
}

/// What an answer of the backend server is.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// The answer to this request.
    Answered,
    /// The backend server didn't run the request.
    NotRun,
    /// The answer to another request, or none at all.
    NotOurs,
}

impl Routed {
    pub(crate) fn new(dialect: Dialect) -> Self {
        Self {
            dialect,
            presence: Mutex::default(),
            slots: AtomicU32::new(SLOTS_BEFORE_ANNOUNCEMENT),
            graph: Mutex::default(),
            call_failed: LastTime::default(),
            noted_unknown: LastTime::default(),
            origins: Mutex::default(),
            foreign_noted: LastTime::default(),
            saved: AtomicBool::new(false),
        }
    }

    /// The id of the backend server that takes work now, as a header's value.
    pub(crate) fn serving(&self) -> Option<HeaderValue> {
        let presence = lock(&self.presence);
        HeaderValue::from_str(presence.serving()?).ok()
    }

    /// What is known of the backend server.
    pub(crate) fn current(&self) -> Option<Announcement> {
        lock(&self.presence).current().cloned()
    }

    /// What the gate before the backend server is to be.
    pub(crate) fn gate_config(&self) -> GateConfig {
        let slots = self.slots.load(Ordering::Relaxed).max(1);
        GateConfig {
            slots,
            queue_len: slots,
            queue_timeout: QUEUE_WAIT,
            cold_start: Duration::ZERO,
            call_queue_timeout: Some(CALL_WAIT),
        }
    }

    /// Forgets what was learnt of kinds that a new bundle doesn't have.
    pub(crate) fn retain_kinds(&self, bundle: &Bundle) {
        let exists = |kind: &str| bundle.kind(kind).is_some();
        lock(&self.graph).retain(exists);
        lock(&self.origins).retain(exists);
    }

    /// Decides what an answer is, by the id that it gives back.
    pub(crate) fn judge(
        &self,
        asked: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Word {
        let names = &self.dialect.headers;
        let gives_back = headers.get(&names.request_id);
        if gives_back.is_some() && gives_back != asked {
            return Word::NotOurs;
        }
        let not_run = headers.contains_key(&names.not_run);
        if not_run || status == StatusCode::MISDIRECTED_REQUEST {
            return Word::NotRun;
        }
        if gives_back.is_none() {
            return Word::NotOurs;
        }
        Word::Answered
    }
}

/// Takes over the slots that the backend server announced.
pub(crate) fn heard_slots(node: &Node, routed: &Routed, slots: u32) {
    if slots > 0 && routed.slots.swap(slots, Ordering::Relaxed) != slots {
        let cfg = routed.gate_config();
        node.admission.with_gate(|gate, _| gate.reconfigure(cfg));
    }
}

/// Says in the log that a report about a backend server names none, and why; once in a while, whoever writes them.
pub(crate) fn note_foreign(node: &Node, routed: &Routed, reason: &str) {
    let now = node.now();
    if routed.foreign_noted.elapsed_since(now) < FOREIGN_NOTED_EVERY {
        return;
    }
    routed.foreign_noted.set(now);
    node.record_event(
        &events::BACKEND_REPORT_REFUSED,
        vec![Field::new("reason", reason)],
    );
}

/// Takes an announcement; returns what followed from it.
pub(crate) fn heard(node: &Arc<Node>, routed: &Routed, news: Announcement) -> PresenceChange {
    let fields = vec![
        Field::new("backend", &news.id),
        Field::new("born", news.born.unwrap_or_default()),
        Field::new("state", format!("{:?}", news.state).to_lowercase()),
        Field::new("sequence", news.sequence),
    ];
    let before = routed.current();
    let heard = lock(&routed.presence).receive(node.now(), news);
    match heard {
        PresenceChange::NowReady => {
            node.record_event(&events::BACKEND_READY, fields);
            note_replaced(node, routed, before.as_ref());
            takes_work(node, routed);
        }
        PresenceChange::NowLeaving => {
            node.record_event(&events::BACKEND_LEAVING, fields);
            takes_no_work(node, routed);
        }
        PresenceChange::NoChange | PresenceChange::Outdated | PresenceChange::Unconfirmed => {}
        PresenceChange::Foreign => {
            note_foreign(node, routed, "it doesn't tell when its run started")
        }
    }
    heard
}

/// Another backend server answered than the one that was expected.
pub(crate) fn answered_by(node: &Arc<Node>, routed: &Routed, headers: &HeaderMap) {
    let id = headers.get(&routed.dialect.headers.backend_id);
    let Some(id) = id.and_then(|id| id.to_str().ok()) else {
        return;
    };
    let before = routed.current();
    if lock(&routed.presence).record_answer_from(node.now(), id) {
        note_replaced(node, routed, before.as_ref());
        let fields = vec![Field::new("backend", id), Field::new("state", "answered")];
        node.record_event(&events::BACKEND_READY, fields);
        takes_work(node, routed);
    }
}

/// Another run takes work where one did that never said that it leaves. Where only one of the two tells its start, a
/// run of the same id may be the same.
fn note_replaced(node: &Arc<Node>, routed: &Routed, before: Option<&Announcement>) {
    let now = routed.current();
    let (Some(before), Some(now)) = (before, now) else {
        return;
    };
    let tell_starts = before.born.is_some() && now.born.is_some();
    let is_another = before.id != now.id || (tell_starts && before.born != now.born);
    if before.state == BackendState::Ready && is_another {
        crash::was_replaced(node);
    }
}

/// The slots that an answer tells, where it tells the load.
pub(crate) fn slots_of(routed: &Routed, headers: &HeaderMap) -> Option<u32> {
    let load = headers.get(&routed.dialect.headers.load)?.to_str().ok()?;
    load.split(',').nth(2)?.trim().parse().ok()
}

fn takes_work(node: &Arc<Node>, routed: &Routed) {
    routed.saved.store(false, Ordering::Relaxed);
    node.set_own_backend(routed.current());
    node.admission.with_gate(|gate, _| gate.reset_tuning());
    node.backend.forget_idle();
    let no_longer_leaving = node.stop_leaving(LeavingCause::Backend);
    // A daemon that leaves for another reason tells so already.
    if no_longer_leaving || !node.is_leaving() {
        gossip::spread_own_record(node);
    }
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let save = async move {
        if let Some(routed) = &node.routed {
            save(&node, routed).await;
        }
    };
    ex.spawn(save).detach();
}

fn takes_no_work(node: &Arc<Node>, routed: &Routed) {
    routed.saved.store(false, Ordering::Relaxed);
    node.set_own_backend(routed.current());
    node.start_leaving(LeavingCause::Backend);
    gossip::spread_own_record(node);
}

/// An earlier run of this daemon acknowledged that its backend server leaves.
pub(crate) fn heard_of_earlier_run(node: &Arc<Node>, earlier: Option<&Announcement>) {
    let leaving = earlier.filter(|backend| backend.state != BackendState::Ready);
    if let (Some(routed), Some(backend)) = (&node.routed, leaving) {
        heard(node, routed, backend.clone());
    }
}

/// Writes the own record, so that the next run of this daemon knows what this one acknowledged.
/// Returns whether the store has it.
pub(crate) async fn save(node: &Arc<Node>, routed: &Routed) -> bool {
    if routed.saved.load(Ordering::Relaxed) {
        return true;
    }
    if member_record::write_own(node).await {
        routed.saved.store(true, Ordering::Relaxed);
    }
    routed.saved.load(Ordering::Relaxed)
}
