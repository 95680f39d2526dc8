//! The catalogue of metrics. `docs/METRICS.md` describes each; a test keeps both in sync.

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A current value.
    Gauge,
    /// A duration.
    Timer,
}

/// The definition of one metric.
#[derive(Debug, PartialEq, Eq)]
pub struct Metric {
    /// The name without the prefix `sorrelturn`.
    pub name: &'static str,
    /// Its type.
    pub kind: MetricKind,
}

macro_rules! catalogue {
    ($($constant:ident = $kind:ident $name:literal $doc:literal;)*) => {
        $(
            #[doc = $doc]
            pub static $constant: Metric = Metric { name: $name, kind: MetricKind::$kind };
        )*

        /// All metrics.
        pub static CATALOGUE: &[&Metric] = &[$(&$constant),*];
    };
}

catalogue! {
    REQUESTS = Counter "requests" "Root requests by importance and verdict.";
    REFUSALS = Counter "refusals" "Refusals on this daemon by importance and reason.";
    ENTRY_REFUSALS = Counter "entry.refusals" "Refusals of requests at their entry daemon, by reason.";
    SHARE_REFUSALS = Counter "entry.share_refusals" "Refusals for load at the entry, by whether the workspace was above or below its fair share.";
    ENTRY_WAITING = Gauge "entry.waiting" "Requests that wait for room at their entry daemon.";
    ENTRY_WAITS = Counter "entry.waits" "Requests that waited for room at their entry daemon, by outcome.";
    ENTRY_WAIT = Timer "entry.wait" "The time that requests waited for room at their entry daemon, by outcome.";
    KNOWLEDGE_AGE = Gauge "knowledge.age" "The staleness of the route table, in milliseconds.";
    RETRIES = Counter "retries" "Retries that may have caused an additional execution.";
    HOP_TIME = Timer "hop.time" "The time from a root request's arrival at its entry to the head of its answer, by importance.";
    IN_FLIGHT = Gauge "backend.in_flight" "Calls in flight to the backend server.";
    WAITING = Gauge "backend.waiting" "Calls queued for a slot.";
    LIMIT = Gauge "backend.limit" "The concurrency limit of the backend server, without the variation while two limits are compared.";
    RATE_LIMIT = Gauge "backend.rate_limit" "The limit on requests that the backend server names, in thousandths of a request per second and at least 1; 0 if it names none.";
    EXPECTED_MS = Gauge "backend.expected_ms" "The expected time until the backend server would answer a call that arrived now, in milliseconds; 0 if it reports no work times, absent where none does.";
    WORK_TIME = Gauge "backend.work_time" "How long work takes at the backend server by its own report, in percent of the usual; 0 if it hasn't reported lately.";
    ROOM_USED = Gauge "backend.room_used" "The slots that would be in use if no root request were refused, in percent of those that should be in use at most; absent where room isn't pooled.";
    BUNDLE_VERSION = Gauge "bundle.version" "The version of the bundle in force.";
    MEMBERS = Gauge "members" "Members of the fleet known to this daemon.";
    TOKENS = Gauge "tokens" "Outstanding execution tokens that have not expired.";
    CONNECTIONS = Gauge "connections" "Open connections from others, by listener.";
    TO_PEERS = Gauge "connections.to_peers" "Open connections for calls to other daemons.";
    IDLE_TO_PEERS = Gauge "connections.idle_to_peers" "Those of them that carry no call.";
    SPANS_DROPPED = Counter "spans.dropped" "Spans dropped because the buffer was full.";
}
