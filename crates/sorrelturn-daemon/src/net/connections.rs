//! The open connections of all listeners, and which of them rests longest.
//!
//! Clients keep connections for later. When there are too many, a new client takes the place of the one that
//! went longest without a request, which opens another connection when it needs one. To refuse the new one
//! instead would leave it without service for as long as others rest.

use crate::node::lock;
use smol::channel::{self, Receiver, Sender};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// In the place of the time since which a connection rests.
const ACTIVE: u64 = u64::MAX;

/// The open connections of a daemon.
pub(crate) struct Connections {
    max_open: usize,
    /// Counts the times that a connection began to rest: their order is all that is asked for, and a request
    /// needs no clock for it.
    idle_counter: AtomicU64,
    open: Mutex<HashMap<u64, Arc<State>>>,
}

struct State {
    idle_since: AtomicU64,
    /// Closed when the connection is to end.
    close: Sender<()>,
}

/// One open connection; counts as open while it lives.
pub(crate) struct Connection {
    connections: Arc<Connections>,
    id: u64,
    state: Arc<State>,
    closed: Receiver<()>,
}

/// A connection doesn't rest while this lives.
pub(crate) struct ActiveGuard<'a>(&'a Connection);

impl Connections {
    /// No connections yet; more than `most` are not kept open while they rest.
    pub(crate) fn new(max_open: usize) -> Arc<Self> {
        Arc::new(Self {
            max_open,
            idle_counter: AtomicU64::new(0),
            open: Mutex::default(),
        })
    }

    /// Takes a new connection; if there are as many as may rest, the one that rested longest ends.
    pub(crate) fn open(self: &Arc<Self>) -> Connection {
        if lock(&self.open).len() >= self.max_open {
            self.close_idle(1);
        }
        let (close, closed) = channel::bounded(1);
        let id = self.next_sequence();
        let state = Arc::new(State {
            idle_since: AtomicU64::new(id),
            close,
        });
        lock(&self.open).insert(id, Arc::clone(&state));
        Connection {
            connections: Arc::clone(self),
            id,
            state,
            closed,
        }
    }

    /// Ends so many of those that have rested longest.
    pub(crate) fn close_idle(&self, count: usize) {
        let open = lock(&self.open);
        let mut idle: Vec<_> = open.values().filter_map(State::idle_sender).collect();
        if count < idle.len() {
            idle.select_nth_unstable_by_key(count, |(since, _)| *since);
        }
        for (_, close) in idle.into_iter().take(count) {
            close.close();
        }
    }

    fn next_sequence(&self) -> u64 {
        self.idle_counter.fetch_add(1, Ordering::Relaxed)
    }
}

impl State {
    fn idle_sender(self: &Arc<Self>) -> Option<(u64, &Sender<()>)> {
        let since = self.idle_since.load(Ordering::Relaxed);
        (since != ACTIVE && !self.close.is_closed()).then_some((since, &self.close))
    }
}

impl Connection {
    /// From now on it carries a request.
    pub(crate) fn mark_active(&self) -> ActiveGuard<'_> {
        self.state.idle_since.store(ACTIVE, Ordering::Relaxed);
        ActiveGuard(self)
    }

    /// Waits until it is to end.
    pub(crate) async fn wait_for_close(&self) {
        let _ = self.closed.recv().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.connections.open).remove(&self.id);
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        let connection = self.0;
        let now = connection.connections.next_sequence();
        connection.state.idle_since.store(now, Ordering::Relaxed);
    }
}
