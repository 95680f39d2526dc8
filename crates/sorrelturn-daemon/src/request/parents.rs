//! The requests that this VM's backend server works on, by which its nested calls are recognised.

use crate::node::lock;
use smol::channel::{self, Receiver, Sender};
use sorrelturn_once::NestedTokens;
use sorrelturn_policy::{AttemptPool, Candidate, InProgressRequests, Now};
use sorrelturn_protocol::{CallContext, SpanId};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Deadlines travel in whole milliseconds, so the same one may seem this much apart.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(4);

/// One request at the backend server.
pub(crate) struct Parent {
    /// The call that brought it.
    pub(crate) context: CallContext,
    /// The span of this hop.
    pub(crate) span: SpanId,
    /// When its answer is of no more use.
    pub(crate) deadline: Now,
    /// The attempts left for its nested calls.
    pub(crate) attempts: Mutex<AttemptPool>,
    /// The tokens of its nested calls.
    pub(crate) tokens: Mutex<NestedTokens>,
    /// Whether a nested call failed for good, so that a failure of the parent is not retried.
    pub(crate) nested_call_failed: AtomicBool,
    cancelled: Receiver<()>,
}

impl Parent {
    /// Waits until the parent is over; its nested calls are of no more use then.
    pub(crate) async fn ended(&self) {
        let _ = self.cancelled.recv().await;
    }

    /// Notes a nested call that failed for good.
    pub(crate) fn record_failure(&self) {
        self.nested_call_failed.store(true, Ordering::Relaxed);
    }
}

/// All requests at the backend server.
#[derive(Default)]
pub(crate) struct Parents {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_span: HashMap<SpanId, Arc<Parent>>,
    by_kind: Vec<OfKind>,
    totals: InProgressRequests,
}

/// When the requests of one kind end. Each call of the backend server looks at all that it works on, a hundred and
/// more at a busy one, so they lie side by side.
struct OfKind {
    kind: String,
    ends: Vec<(SpanId, Now)>,
}

impl Inner {
    fn begin(&mut self, parent: &Arc<Parent>) {
        let context = &parent.context;
        self.totals.begin(context.level, context.repeated);
        let end = (parent.span, parent.deadline);
        let known = self.by_kind.iter_mut().find(|of| of.kind == context.kind);
        match known {
            Some(of) => of.ends.push(end),
            None => self.by_kind.push(OfKind {
                kind: context.kind.clone(),
                ends: vec![end],
            }),
        }
        self.by_span.insert(parent.span, Arc::clone(parent));
    }

    fn end(&mut self, parent: &Parent) {
        let context = &parent.context;
        self.totals.end(context.level, context.repeated);
        let place = self.by_kind.iter().position(|of| of.kind == context.kind);
        if let Some(place) = place {
            let ends = &mut self.by_kind[place].ends;
            let gone = ends.iter().position(|(span, _)| *span == parent.span);
            if let Some(at) = gone {
                ends.swap_remove(at);
            }
            if ends.is_empty() {
                self.by_kind.swap_remove(place);
            }
        }
        self.by_span.remove(&parent.span);
    }
}

impl OfKind {
    /// Those that may have made a call that ends at `end`: the ones that end with it, and the ones that end later.
    fn candidate_parents(&self, end: Now) -> impl Iterator<Item = Candidate> {
        let (mut with_it, mut later) = (0, 0);
        for (_, own_end) in &self.ends {
            with_it += u32::from(own_end.abs_diff(end) <= DEADLINE_TOLERANCE);
            later += u32::from(*own_end > end + DEADLINE_TOLERANCE);
        }
        let groups = [(true, with_it), (false, later)].into_iter();
        let groups = groups.filter(|(_, count)| *count > 0);
        groups.map(|(same_end, count)| Candidate {
            kind: self.kind.clone(),
            has_same_deadline: same_end,
            count,
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
    /// Registers a request that is about to be forwarded to the backend server.
    pub(crate) fn register(
        parents: &Arc<Parents>,
        context: CallContext,
        span: SpanId,
        deadline: Now,
        need: u32,
    ) -> Self {
        let (cancel, cancelled) = channel::bounded(1);
        let parent = Arc::new(Parent {
            attempts: Mutex::new(AttemptPool::new(context.attempts, need)),
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

    /// The request.
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
    /// The request that a nested call belongs to: by its span, else by its trace if only one
    /// request of that trace is here. Backend servers that make spans of their own pass only the
    /// trace on.
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

    /// What is known of all together.
    pub(crate) fn totals(&self) -> InProgressRequests {
        lock(&self.inner).totals
    }

    /// The requests that may have made a call that ends at `end`, in groups.
    pub(crate) fn candidate_parents(&self, end: Now) -> Vec<Candidate> {
        let inner = lock(&self.inner);
        let groups = inner
            .by_kind
            .iter()
            .flat_map(|of| of.candidate_parents(end));
        groups.collect()
    }
}
