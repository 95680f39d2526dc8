//! Repeated requests at their owner. Each call that one makes is a repeat as well, so it is let in only if the services
//! that it calls have retries left. See `docs/design/retries.md`.

use crate::{
    backend::state::Routed,
    config::in_force::{InForce, KindState},
    node::{Node, lock},
};
use sorrelturn_policy::{CallGraph, Now, RetryWindow};
use sorrelturn_protocol::Refusal;
use std::sync::{Arc, Mutex};

/// The retries that are reserved for the calls of a repeated request.
#[derive(Default)]
pub(crate) struct ExpectedCalls {
    /// The number of calls to each service.
    calls: Vec<(Arc<Mutex<RetryWindow>>, f64)>,
}

impl ExpectedCalls {
    /// Gives the retries back, since the request didn't run.
    pub(crate) fn forget(&self, now: Now) {
        for (window, calls) in &self.calls {
            lock(window).forget_expected_calls(now, *calls);
        }
    }
}

/// Returns whether repeated requests of a kind are refused now.
pub(crate) fn are_refused(node: &Node, routed: &Routed, kind: &str) -> bool {
    let in_force = node.in_force.load();
    in_force.as_deref().is_some_and(|in_force| {
        let graph = lock(&routed.graph);
        !has_room_below(node.now(), &graph, in_force, kind)
    })
}

/// Reserves retries for the calls of a repeated request.
///
/// Fails with [`Refusal::NoRetriesBelow`] if a service that it calls, directly or indirectly, has none left.
pub(crate) fn let_in(
    now: Now,
    routed: &Routed,
    in_force: &InForce,
    kind: &str,
) -> Result<ExpectedCalls, Refusal> {
    // Held until the retries are reserved, so that no other request takes them.
    let graph = lock(&routed.graph);
    if !has_room_below(now, &graph, in_force, kind) {
        return Err(Refusal::NoRetriesBelow);
    }
    let calls = known_calls(&graph, in_force, kind).map(|(state, calls)| {
        lock(&state.retries).expect_calls_of_repeat(now, calls);
        (Arc::clone(&state.retries), calls)
    });
    Ok(ExpectedCalls {
        calls: calls.collect(),
    })
}

fn has_room_below(now: Now, graph: &CallGraph, in_force: &InForce, kind: &str) -> bool {
    known_calls(graph, in_force, kind).all(|(state, calls)| {
        !state.repeats_refused_recently(now)
            && lock(&state.retries).has_room_for_calls_of_repeat(now, calls)
    })
}

/// Returns the kinds that a kind calls, each with the number of calls to expect of one request.
fn known_calls<'a>(
    graph: &'a CallGraph,
    in_force: &'a InForce,
    kind: &'a str,
) -> impl Iterator<Item = (&'a KindState, f64)> + 'a {
    graph.calls(kind).iter().filter_map(move |call| {
        let state = in_force.kind_state_by_name(call)?;
        Some((state, graph.call_rate(kind, call)))
    })
}
