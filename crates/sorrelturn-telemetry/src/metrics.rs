//! The names of the metrics. `docs/METRICS.md` describes each; a test holds the two together.

/// How a metric is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Counts up.
    Counter,
    /// The state now.
    Gauge,
    /// A duration.
    Timer,
}

/// One metric.
#[derive(Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name after the prefix `sorrelturn`.
    pub name: &'static str,
    /// How to read it.
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
    REFUSALS = Counter "refusals" "Refusals here by importance and reason.";
    ENTRY_REFUSALS = Counter "entry.refusals" "Refusals of requests where they began, by reason.";
    KNOWLEDGE_AGE = Gauge "knowledge.age" "How old the knowledge of the route table is, in milliseconds.";
    RETRIES = Counter "retries" "Tries beyond the first that may have cost an execution.";
    HOP_TIME = Timer "hop.time" "The time from a call's arrival to its answer's head, by importance.";
    IN_FLIGHT = Gauge "backend.in_flight" "Calls in flight to the backend server.";
    WAITING = Gauge "backend.waiting" "Calls that wait for a slot.";
    LIMIT = Gauge "backend.limit" "The concurrency limit of the backend server.";
    BUNDLE_VERSION = Gauge "bundle.version" "The version of the bundle in force.";
    MEMBERS = Gauge "members" "Members of the fleet as known here.";
    TOKENS = Gauge "tokens" "Execution tokens that are out.";
    SPANS_DROPPED = Counter "spans.dropped" "Spans that were dropped because the receiver is slow.";
}
