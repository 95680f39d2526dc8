//! Root requests that wait for room at their entry. See `docs/design/entry-queue.md`.

use crate::{
    config::in_force::KindState,
    node::{Node, lock},
    operators::export,
};
use smol::channel::{self, Receiver, Sender};
use sorrelturn_policy::{EntryQueue, EntryRequest, LevelInForce, Now, Offer, WaitEnd};
use sorrelturn_protocol::RequestId;
use sorrelturn_telemetry::{Field, events, metrics};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

/// How often the queue of a kind is checked while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(15);

/// The requests of one kind that wait at this daemon.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    queue: EntryQueue,
    waiters: HashMap<u64, Sender<WaitEnd>>,
    next_id: u64,
    /// What was in force when the last request arrived.
    in_force: LevelInForce,
    /// Whether a task checks the queue.
    is_ticking: bool,
}

/// What the queue decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Let in on arrival.
    LetIn,
    /// Let in after a wait, in which the level and the route table may have changed.
    LetInAfterWait,
    /// Refused on arrival, or as soon as it couldn't be answered in time any more.
    Refused,
    /// Refused because the daemon stops.
    Stopped,
}

/// A request as it arrives at the queue.
pub(crate) struct Arrival<'a> {
    pub(crate) request_id: RequestId,
    /// The name of its kind.
    pub(crate) kind: &'a str,
    pub(crate) level: LevelInForce,
    /// Its id is replaced by one that is unique in the queue.
    pub(crate) request: EntryRequest,
}

/// Admits a request now or after a wait, or refuses it. `level_now` returns the level while it waits. The request leaves
/// the queue if the future is dropped.
pub(crate) async fn admit(
    node: &Arc<Node>,
    state: &Arc<KindState>,
    arrival: Arrival<'_>,
    level_now: impl Fn(&Node, Now) -> u16 + Send + 'static,
) -> Admission {
    let now = node.now();
    let offered = state.waiting.offer(now, &arrival);
    if offered.starts_ticks {
        let ticks = run_ticks(Arc::clone(node), Arc::clone(state), level_now);
        node.ex.spawn(ticks).detach();
    }
    let (expected_wait, ended) = match offered.decision {
        Decision::LetIn => return Admission::LetIn,
        Decision::Refuse => return Admission::Refused,
        Decision::Wait(expected_wait, ended) => (expected_wait, ended),
    };
    node.counts.waiting_at_entry.fetch_add(1, Ordering::Relaxed);
    let mut waiting = WaitingRequest {
        node,
        state,
        arrival: &arrival,
        id: offered.id,
        since: now,
        expected_wait,
        queue_len: offered.queue_len,
        end: None,
    };
    // The sender is dropped only after a result.
    let end = ended.recv().await.unwrap_or(WaitEnd::TooLate);
    waiting.end = Some(end);
    match end {
        WaitEnd::LetIn => Admission::LetInAfterWait,
        WaitEnd::TooLate => Admission::Refused,
        WaitEnd::Stopped => Admission::Stopped,
    }
}

/// Checks the queue of a kind until no request waits.
async fn run_ticks(
    node: Arc<Node>,
    state: Arc<KindState>,
    level_now: impl Fn(&Node, Now) -> u16 + Send + 'static,
) {
    loop {
        node.timers.after(TICK_INTERVAL).await;
        let now = node.now();
        let level = level_now(&node, now);
        if !state.waiting.tick(now, level, node.shutdown.has_begun()) {
            return;
        }
    }
}

/// What happens on an arrival.
struct Offered {
    id: u64,
    decision: Decision,
    /// The number of requests that wait now.
    queue_len: usize,
    /// Whether the caller has to start [`run_ticks`].
    starts_ticks: bool,
}

enum Decision {
    LetIn,
    Refuse,
    /// With the expected wait, and the channel of its end.
    Wait(Duration, Receiver<WaitEnd>),
}

impl WaitingRequests {
    /// Records the time from when a request was let in until it was answered.
    pub(crate) fn record_duration(&self, duration: Duration) {
        lock(&self.inner).queue.record_duration(duration);
    }

    fn offer(&self, now: Now, arrival: &Arrival<'_>) -> Offered {
        let mut inner = lock(&self.inner);
        inner.next_id += 1;
        inner.in_force = arrival.level;
        let id = inner.next_id;
        let request = EntryRequest {
            id,
            ..arrival.request
        };
        let decision = match inner.queue.offer(now, arrival.level, &request) {
            Offer::LetIn => Decision::LetIn,
            Offer::Refuse => Decision::Refuse,
            Offer::Wait(expected_wait) => {
                let (tx, rx) = channel::bounded(1);
                inner.waiters.insert(id, tx);
                Decision::Wait(expected_wait, rx)
            }
        };
        inner.release(now, arrival.level);
        let queue_len = inner.queue.len();
        let starts_ticks = queue_len > 0 && !inner.is_ticking;
        inner.is_ticking |= starts_ticks;
        Offered {
            id,
            decision,
            queue_len,
            starts_ticks,
        }
    }

    /// Ends the waits that are over. Returns whether requests still wait.
    fn tick(&self, now: Now, level: u16, is_stopping: bool) -> bool {
        let mut inner = lock(&self.inner);
        let level = LevelInForce {
            level,
            ..inner.in_force
        };
        match is_stopping {
            true => inner.drain(),
            false => inner.release(now, level),
        }
        inner.is_ticking = !inner.queue.is_empty();
        inner.is_ticking
    }

    fn cancel(&self, id: u64) {
        let mut inner = lock(&self.inner);
        inner.queue.cancel(id);
        inner.waiters.remove(&id);
    }
}

impl Inner {
    fn release(&mut self, now: Now, level: LevelInForce) {
        let waiters = &mut self.waiters;
        self.queue
            .release(now, level, |id, end| notify(waiters, id, end));
    }

    fn drain(&mut self) {
        let waiters = &mut self.waiters;
        self.queue.drain(|id, end| notify(waiters, id, end));
    }
}

fn notify(waiters: &mut HashMap<u64, Sender<WaitEnd>>, id: u64, end: WaitEnd) {
    if let Some(tx) = waiters.remove(&id) {
        let _ = tx.try_send(end);
    }
}

/// A request that waits. Dropping it records the end of its wait; without one, its caller has left.
struct WaitingRequest<'a> {
    node: &'a Node,
    state: &'a KindState,
    arrival: &'a Arrival<'a>,
    id: u64,
    since: Now,
    expected_wait: Duration,
    queue_len: usize,
    end: Option<WaitEnd>,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let node = self.node;
        node.counts.waiting_at_entry.fetch_sub(1, Ordering::Relaxed);
        if self.end.is_none() {
            self.state.waiting.cancel(self.id);
        }
        let outcome = outcome_name(self.end);
        let waited = node.now().saturating_sub(self.since);
        let tags = [("outcome", outcome)];
        export::count(node, &metrics::ENTRY_WAITS, &tags);
        export::record_duration(node, &metrics::ENTRY_WAIT, waited, &tags);
        node.events.record(
            &events::WAITED,
            Some(self.arrival.request_id),
            vec![
                Field::new("kind", self.arrival.kind),
                Field::new("waited_ms", waited.as_millis()),
                Field::new("outcome", outcome),
                Field::new("queue_len", self.queue_len),
                Field::new("expected_ms", self.expected_wait.as_millis()),
            ],
        );
    }
}

fn outcome_name(end: Option<WaitEnd>) -> &'static str {
    match end {
        Some(WaitEnd::LetIn) => "let-in",
        Some(WaitEnd::TooLate) => "too-late",
        Some(WaitEnd::Stopped) => "stopped",
        None => "caller-left",
    }
}
