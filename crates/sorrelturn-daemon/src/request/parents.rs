//! The requests in progress at this VM's backend server, used to find the parents of its nested calls.

use crate::node::lock;
use smol::channel::{self, Receiver, Sender};
use sorrelturn_once::NestedTokens;
use sorrelturn_policy::{AttemptPool, Candidate, InProgressRequests, Now};
use sorrelturn_protocol::{CallContext, Precedence, SpanId};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Deadlines are sent in whole milliseconds, so two readings of one may differ by this much.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(4);

/// One request in progress at the backend server.
pub(crate) struct Parent {
    pub(crate) context: CallContext,
    pub(crate) span: SpanId,
    /// The time after which nobody waits for the response.
    pub(crate) deadline: Now,
    /// The executions that remain for its nested calls.
    pub(crate) attempts: Mutex<AttemptPool>,
    /// The tokens of its nested calls.
    pub(crate) tokens: Mutex<NestedTokens>,
    /// A nested call has failed after its retries, so a failure of the parent is not retried.
    pub(crate) nested_call_failed: AtomicBool,
    cancelled: Receiver<()>,
}

impl Parent {
    /// Waits until the parent ends; its nested calls are cancelled then.
    pub(crate) async fn ended(&self) {
        let _ = self.cancelled.recv().await;
    }

    pub(crate) fn record_failure(&self) {
        self.nested_call_failed.store(true, Ordering::Relaxed);
    }
}

#[derive(Default)]
pub(crate) struct Parents {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_span: HashMap<SpanId, Arc<Parent>>,
    by_kind: Vec<KindRequests>,
    totals: InProgressRequests,
}

/// The requests of one kind, contiguous since each call from the backend server scans all requests in progress.
struct KindRequests {
    kind: String,
    requests: Vec<RequestInProgress>,
}

struct RequestInProgress {
    span: SpanId,
    deadline: Now,
    repeat_share: f64,
}

impl Inner {
    fn begin(&mut self, parent: &Arc<Parent>) {
        let context = &parent.context;
        self.totals.begin(context.level);
        let entry = RequestInProgress {
            span: parent.span,
            deadline: parent.deadline,
            repeat_share: context.repeat_share.probability(),
        };
        let kind_requests = self
            .by_kind
            .iter_mut()
            .find(|kind_requests| kind_requests.kind == context.kind);
        match kind_requests {
            Some(kind_requests) => kind_requests.requests.push(entry),
            None => self.by_kind.push(KindRequests {
                kind: context.kind.clone(),
                requests: vec![entry],
            }),
        }
        self.by_span.insert(parent.span, Arc::clone(parent));
    }

    fn end(&mut self, parent: &Parent) {
        let context = &parent.context;
        self.totals.end(context.level);
        let kind_index = self
            .by_kind
            .iter()
            .position(|kind_requests| kind_requests.kind == context.kind);
        if let Some(kind_index) = kind_index {
            let requests = &mut self.by_kind[kind_index].requests;
            let index = requests.iter().position(|req| req.span == parent.span);
            if let Some(index) = index {
                requests.swap_remove(index);
            }
            if requests.is_empty() {
                self.by_kind.swap_remove(kind_index);
            }
        }
        self.by_span.remove(&parent.span);
    }
}

impl KindRequests {
    /// Counts the requests with this deadline and those with a later one, which may have made the call.
    fn candidate_parents(&self, call_deadline: Now) -> impl Iterator<Item = Candidate> {
        let (mut same_deadline, mut later) = ((0, 0.0), (0, 0.0));
        for req in &self.requests {
            let group = if req.deadline.abs_diff(call_deadline) <= DEADLINE_TOLERANCE {
                &mut same_deadline
            } else if req.deadline > call_deadline {
                &mut later
            } else {
                continue;
            };
            group.0 += 1;
            group.1 += req.repeat_share;
        }
        let groups = [(true, same_deadline), (false, later)].into_iter();
        let groups = groups.filter(|(_, (count, _))| *count > 0);
        groups.map(|(is_same, (count, repeats))| Candidate {
            kind: self.kind.clone(),
            has_same_deadline: is_same,
            count,
            repeat_share: repeats / f64::from(count),
        })
    }
}

/// Keeps a parent registered; when it is dropped, its nested calls are cancelled.
pub(crate) struct ParentGuard {
    parents: Arc<Parents>,
    parent: Arc<Parent>,
    _cancel: Sender<()>,
}

impl ParentGuard {
    pub(crate) fn register(
        parents: &Arc<Parents>,
        context: CallContext,
        span: SpanId,
        deadline: Now,
        min_executions: u32,
    ) -> Self {
        let (cancel, cancelled) = channel::bounded(1);
        let parent = Arc::new(Parent {
            attempts: Mutex::new(AttemptPool::new(context.attempts, min_executions)),
            tokens: Mutex::default(),
            nested_call_failed: AtomicBool::new(false),
            context,
            span,
            deadline,
            cancelled,
        });
        lock(&parents.inner).begin(&parent);
        Self {
            parents: Arc::clone(parents),
            parent,
            _cancel: cancel,
        }
    }

    pub(crate) fn parent(&self) -> &Parent {
        &self.parent
    }
}

impl Drop for ParentGuard {
    fn drop(&mut self) {
        lock(&self.parents.inner).end(&self.parent);
    }
}

impl Parents {
    /// Finds the parent by span, or else by trace if only one request of it is in progress: backend servers that create
    /// their own spans forward only the trace.
    pub(crate) fn find(&self, span: Option<SpanId>, trace: Option<u128>) -> Option<Arc<Parent>> {
        let inner = lock(&self.inner);
        if let Some(parent) = span.and_then(|span| inner.by_span.get(&span)) {
            return Some(Arc::clone(parent));
        }
        let trace = trace?;
        let mut of_trace = inner
            .by_span
            .values()
            .filter(|parent| parent.context.trace == trace);
        let only = of_trace.next()?;
        of_trace.next().is_none().then(|| Arc::clone(only))
    }

    pub(crate) fn totals(&self) -> InProgressRequests {
        lock(&self.inner).totals
    }

    /// Returns the highest precedence of the requests with the deadline of a call, one of which is its parent unless
    /// the call has a shorter deadline of its own; then the precedence is unknown.
    pub(crate) fn precedence_of_call(&self, call_deadline: Now) -> Precedence {
        let inner = lock(&self.inner);
        let parents = inner.by_span.values();
        parents
            .filter(|parent| parent.deadline.abs_diff(call_deadline) <= DEADLINE_TOLERANCE)
            .map(|parent| parent.context.root_precedence)
            .max()
            .unwrap_or_default()
    }

    /// Counts the requests that may have made the call, by kind.
    pub(crate) fn candidate_parents(&self, call_deadline: Now) -> Vec<Candidate> {
        let inner = lock(&self.inner);
        let candidates = inner
            .by_kind
            .iter()
            .flat_map(|kind_requests| kind_requests.candidate_parents(call_deadline));
        candidates.collect()
    }
}
