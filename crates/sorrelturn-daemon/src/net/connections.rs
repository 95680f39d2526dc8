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
const CARRIES: u64 = u64::MAX;

/// The open connections of a daemon.
pub(crate) struct Connections {
    most: usize,
    /// Counts the times that a connection began to rest: their order is all that is asked for, and a request
    /// needs no clock for it.
    rests: AtomicU64,
    open: Mutex<HashMap<u64, Arc<State>>>,
}

struct State {
    rests_since: AtomicU64,
    /// Closed when the connection is to end.
    end: Sender<()>,
}

/// One open connection; counts as open while it lives.
pub(crate) struct Connection {
    connections: Arc<Connections>,
    id: u64,
    state: Arc<State>,
    ended: Receiver<()>,
}

/// A connection doesn't rest while this lives.
pub(crate) struct Carries<'a>(&'a Connection);

impl Connections {
    /// No connections yet; more than `most` are not kept open while they rest.
    pub(crate) fn new(most: usize) -> Arc<Self> {
        Arc::new(Self {
            most,
            rests: AtomicU64::new(0),
            open: Mutex::default(),
        })
    }

    /// Takes a new connection; if there are as many as may rest, the one that rested longest ends.
    pub(crate) fn open(self: &Arc<Self>) -> Connection {
        if lock(&self.open).len() >= self.most {
            self.end_resting(1);
        }
        let (end, ended) = channel::bounded(1);
        let id = self.next();
        let state = Arc::new(State {
            rests_since: AtomicU64::new(id),
            end,
        });
        lock(&self.open).insert(id, Arc::clone(&state));
        Connection {
            connections: Arc::clone(self),
            id,
            state,
            ended,
        }
    }

    /// Ends so many of those that have rested longest.
    pub(crate) fn end_resting(&self, count: usize) {
        let open = lock(&self.open);
        let mut resting: Vec<_> = open.values().filter_map(State::resting).collect();
        if count < resting.len() {
            resting.select_nth_unstable_by_key(count, |(since, _)| *since);
        }
        for (_, end) in resting.into_iter().take(count) {
            end.close();
        }
    }

    fn next(&self) -> u64 {
        self.rests.fetch_add(1, Ordering::Relaxed)
    }
}

impl State {
    fn resting(self: &Arc<Self>) -> Option<(u64, &Sender<()>)> {
        let since = self.rests_since.load(Ordering::Relaxed);
        (since != CARRIES && !self.end.is_closed()).then_some((since, &self.end))
    }
}

impl Connection {
    /// From now on it carries a request.
    pub(crate) fn carries(&self) -> Carries<'_> {
        self.state.rests_since.store(CARRIES, Ordering::Relaxed);
        Carries(self)
    }

    /// Waits until it is to end.
    pub(crate) async fn ended(&self) {
        let _ = self.ended.recv().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.connections.open).remove(&self.id);
    }
}

impl Drop for Carries<'_> {
    fn drop(&mut self) {
        let connection = self.0;
        let now = connection.connections.next();
        connection.state.rests_since.store(now, Ordering::Relaxed);
    }
}
