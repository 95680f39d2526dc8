//! The open connections of all listeners, and how long each has been idle.
//!
//! Clients keep connections open for later use. At the limit, a new connection replaces the one
//! that has been idle longest, whose client reconnects when it needs to. Refusing the new one
//! instead would deny its client service for as long as others stay idle. Control connections of
//! other daemons count as clients. Connections for calls of other daemons don't: closing an idle
//! one could cut off a call, so beyond their own limit they end with a response.

use crate::node::lock;
use smol::channel::{self, Receiver, Sender};
use sorrelturn_policy::ConnectionLimits;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

/// Marks a connection that carries a request, in place of a sequence number.
const ACTIVE: u64 = u64::MAX;

/// The listeners of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    Callers,
    Local,
    Peers,
    Control,
    Admin,
    Routed,
    Announce,
    Ready,
}

impl ListenerKind {
    pub(crate) const ALL: [Self; 8] = [
        Self::Callers,
        Self::Local,
        Self::Peers,
        Self::Control,
        Self::Admin,
        Self::Routed,
        Self::Announce,
        Self::Ready,
    ];

    /// Returns the name of the listener's setting.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Local => "local",
            Self::Peers => "peers",
            Self::Control => "control",
            Self::Admin => "admin",
            Self::Routed => "routed",
            Self::Announce => "announce",
            Self::Ready => "ready",
        }
    }
}

/// The open connections of a daemon.
pub(crate) struct Connections {
    max_clients: usize,
    limits: ConnectionLimits,
    /// Whether the last accept found no free file descriptor.
    lacks_descriptors: AtomicBool,
    open_by_listener: [AtomicUsize; ListenerKind::ALL.len()],
    /// The next sequence number, for connection ids and the order in which connections became idle;
    /// saves a clock reading per request.
    sequence_counter: AtomicU64,
    /// The connections that may be closed for a new one, which are all but those of peers.
    clients: Mutex<HashMap<u64, Arc<State>>>,
}

struct State {
    idle_sequence: AtomicU64,
    /// Closed to make the connection end.
    close: Sender<()>,
}

/// One open connection; it counts as open until it is dropped.
pub(crate) struct Connection {
    connections: Arc<Connections>,
    listener: ListenerKind,
    id: u64,
    state: Arc<State>,
    closed: Receiver<()>,
}

/// Keeps a connection marked as active until it is dropped.
pub(crate) struct ActiveGuard<'a>(&'a Connection);

impl Connections {
    /// Creates an empty set; from `max_clients` connections of clients on, idle ones are closed.
    pub(crate) fn new(max_clients: usize) -> Arc<Self> {
        Arc::new(Self {
            max_clients,
            limits: ConnectionLimits::new(max_clients),
            lacks_descriptors: AtomicBool::new(false),
            open_by_listener: Default::default(),
            sequence_counter: AtomicU64::new(0),
            clients: Mutex::default(),
        })
    }

    /// Returns the number of open connections of a listener.
    pub(crate) fn open_count(&self, listener: ListenerKind) -> usize {
        self.open_by_listener[listener as usize].load(Ordering::Relaxed)
    }

    /// Returns whether a listener has room for another connection. Those of clients replace idle ones.
    pub(crate) fn has_room(&self, listener: ListenerKind) -> bool {
        listener != ListenerKind::Peers || self.limits.accepts_inbound(self.open_count(listener))
    }

    /// Returns whether a peer's connection stays open after a response.
    pub(crate) fn keeps_peer(&self) -> bool {
        !self.lacks_descriptors.load(Ordering::Relaxed)
            && self
                .limits
                .keeps_inbound(self.open_count(ListenerKind::Peers))
    }

    /// Records whether an accept found no free file descriptor.
    pub(crate) fn set_lacks_descriptors(&self, lacks: bool) {
        self.lacks_descriptors.store(lacks, Ordering::Relaxed);
    }

    /// Adds a connection; at the limit of clients, the one that has been idle longest is closed.
    pub(crate) fn open(self: &Arc<Self>, listener: ListenerKind) -> Connection {
        let is_client = listener != ListenerKind::Peers;
        if is_client && lock(&self.clients).len() >= self.max_clients {
            self.close_idle(1);
        }
        let (close, closed) = channel::bounded(1);
        let id = self.next_sequence();
        let state = Arc::new(State {
            idle_sequence: AtomicU64::new(id),
            close,
        });
        if is_client {
            lock(&self.clients).insert(id, Arc::clone(&state));
        }
        self.open_by_listener[listener as usize].fetch_add(1, Ordering::Relaxed);
        Connection {
            connections: Arc::clone(self),
            listener,
            id,
            state,
            closed,
        }
    }

    /// Closes up to `count` connections of clients, those that have been idle longest first. Returns whether any was idle.
    pub(crate) fn close_idle(&self, count: usize) -> bool {
        let clients = lock(&self.clients);
        let mut idle: Vec<_> = clients.values().filter_map(State::idle_sender).collect();
        if count < idle.len() {
            idle.select_nth_unstable_by_key(count, |(sequence, _)| *sequence);
        }
        let has_idle = !idle.is_empty();
        for (_, close) in idle.into_iter().take(count) {
            close.close();
        }
        has_idle
    }

    fn next_sequence(&self) -> u64 {
        self.sequence_counter.fetch_add(1, Ordering::Relaxed)
    }
}

impl State {
    fn idle_sender(self: &Arc<Self>) -> Option<(u64, &Sender<()>)> {
        let sequence = self.idle_sequence.load(Ordering::Relaxed);
        (sequence != ACTIVE && !self.close.is_closed()).then_some((sequence, &self.close))
    }
}

impl Connection {
    /// Marks the connection as active until the guard is dropped.
    pub(crate) fn mark_active(&self) -> ActiveGuard<'_> {
        self.state.idle_sequence.store(ACTIVE, Ordering::Relaxed);
        ActiveGuard(self)
    }

    /// Makes the connection the one that was used last.
    pub(crate) fn mark_used(&self) {
        drop(self.mark_active());
    }

    /// Waits until the connection has to close.
    pub(crate) async fn wait_for_close(&self) {
        let _ = self.closed.recv().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.connections.clients).remove(&self.id);
        self.connections.open_by_listener[self.listener as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        let connection = self.0;
        let sequence = connection.connections.next_sequence();
        connection
            .state
            .idle_sequence
            .store(sequence, Ordering::Relaxed);
    }
}
