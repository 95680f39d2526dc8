//! Fair shares of workspaces: what the owner of a request states, and what its entry makes of it.
//! See `docs/design/fair-shares.md`.

use crate::{
    config::in_force::{InForce, KindState},
    node::{Node, lock},
    operators::export,
};
use sorrelturn_bundle::WorkspaceEntry;
use sorrelturn_policy::{Now, SHARE_STEPS};
use sorrelturn_protocol::{CallContext, CallerId, Importance, Priority, RepeatShare};
use sorrelturn_telemetry::metrics;

/// Number of steps on the wire that stand for all of a rank.
const FRACTION_STEPS: f64 = 256.0;
/// The weight of a workspace without a quota.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Counts a call at its owner if it is the root request of a workspace. Returns the demand of the workspace relative to
/// its fair share, in steps of 1/[`SHARE_STEPS`]; 0 if it is unknown or doesn't matter.
pub(crate) fn observe_demand(node: &Node, context: &CallContext) -> u16 {
    let is_root = context.caller != CallerId::default() && context.depth == 0;
    let is_for_service = context.service == node.settings.service;
    if node.routed.is_none()
        || !is_root
        || !is_for_service
        || context.repeat_share == RepeatShare::CERTAIN
    {
        return 0;
    }
    let in_force = node.in_force.load();
    let Some(in_force) = in_force.as_deref() else {
        return 0;
    };
    if !node.contention.shares_fairly(in_force) {
        return 0;
    }
    let workspace = in_force.bundle.workspace(context.caller);
    let weight = workspace.map_or(DEFAULT_WEIGHT, |workspace| weight_of(workspace));
    let class = demand_class(in_force, context);
    lock(&node.workspace_demand).class(class).observe(
        node.now(),
        context.caller,
        weight,
        context.request.shedding_bucket(),
        from_steps(context.refused_fraction),
    )
}

/// Returns the priority of a call in its owner's queue: that of its root request, moved within its importance by the
/// fair share of its workspace.
pub(crate) fn queue_priority(node: &Node, context: &CallContext) -> Priority {
    if context.refused_fraction == 0 {
        return context.priority();
    }
    let bucket = context.request.shedding_bucket();
    let refused_fraction = from_steps(context.refused_fraction);
    let in_force = node.in_force.load();
    let Some(in_force) = in_force.as_deref() else {
        return context.priority();
    };
    let class = demand_class(in_force, context);
    let mut demand = lock(&node.workspace_demand);
    let demand = demand.class(class);
    let bucket = demand.queue_bucket(context.caller, bucket, refused_fraction);
    Priority::new(context.importance, bucket)
}

/// Returns the class in which the demand of a workspace is counted: requests of one class have one rank.
fn demand_class(in_force: &InForce, context: &CallContext) -> (Importance, Importance) {
    let workspace = in_force.bundle.workspace(context.caller);
    let importance = workspace.and_then(|workspace| workspace.importance);
    (context.importance, importance.unwrap_or_default())
}

/// Records what the owner of a call states about the call's workspace.
pub(crate) fn record_share(now: Now, state: &KindState, context: &CallContext, share_used: u16) {
    if share_used > 0 {
        let refused_fraction = from_steps(context.refused_fraction);
        lock(&state.shares).record(now, context.caller, share_used, refused_fraction);
    }
}

/// Counts the refusal of a workspace's request for load. `share_used` is its demand relative to its fair share, if known.
pub(crate) fn count_refusal(node: &Node, workspace: &WorkspaceEntry, share_used: Option<u16>) {
    let counts = &node.quota.counts;
    counts.count(workspace, |usage| usage.refused_for_load += 1);
    let side = match share_used {
        Some(share_used) if share_used > SHARE_STEPS => "above",
        Some(_) => "below",
        None => return,
    };
    export::count(node, &metrics::SHARE_REFUSALS, &[("share", side)]);
}

/// Returns a fraction of a rank as a call states it.
pub(crate) fn to_steps(fraction: f64) -> u8 {
    (fraction * FRACTION_STEPS) as u8
}

fn from_steps(steps: u8) -> f64 {
    f64::from(steps) / FRACTION_STEPS
}

fn weight_of(workspace: &WorkspaceEntry) -> f64 {
    workspace.quota.map_or(DEFAULT_WEIGHT, |quota| quota.rate)
}
