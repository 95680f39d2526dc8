//! Identifies callers: the credential of a request and the workspace that it belongs to.

use crate::{
    backend::state::Routed,
    config::in_force::InForce,
    config::route_staleness::{self, RefusalCheck},
    node::Node,
    request::answer::Reply,
    request::owner,
};
use hyper::HeaderMap;
use sorrelturn_bundle::{Bundle, CredentialHash, RouteEntry, WorkspaceEntry};
use sorrelturn_policy::Now;
use sorrelturn_protocol::Refusal;
use sorrelturn_telemetry::{Field, events};
use std::{sync::Arc, time::Duration};

/// Sent if a credential or a route can't be checked now.
const STALE_KNOWLEDGE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Sent if the entry for a request can't be used, which lasts until operators correct it.
const UNUSABLE_ENTRY_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The minimum time between two events.
const UNKNOWN_CREDENTIAL_EVENT_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) struct Identified {
    pub(crate) in_force: Arc<InForce>,
    pub(crate) route: Arc<RouteEntry>,
    /// `None` on open routes without a credential, and without workspaces.
    pub(crate) workspace: Option<Arc<WorkspaceEntry>>,
}

/// Callers don't retry after `UnknownCaller`, so it is sent only if the newest route table at the arrival lacked the
/// credential. `UnknownKind` is sent only if no table that has to be in force by now can have the route. Until that is
/// known, the reply has a Retry-After time.
pub(crate) async fn identify(
    node: &Arc<Node>,
    routed: &Routed,
    headers: &HeaderMap,
    host_and_path: (&str, &str),
    arrived_at: Now,
) -> Result<Identified, Reply> {
    let (host, path) = host_and_path;
    let presented = presented_credential(headers, routed)?;
    loop {
        let in_force = node.in_force.load_full();
        let no_bundle =
            || Reply::not_run(Refusal::NoBundle).with_retry_after(owner::retry_after(node));
        let in_force = in_force.ok_or_else(no_bundle)?;
        let route = in_force.bundle.match_route(host, path).cloned();
        let Some(route) = route else {
            let may_be_rejected = in_force.bundle.has_unlocated_rejection();
            if may_be_rejected {
                return Err(unusable_entry());
            }
            check_refusal(node, &in_force, Refusal::UnknownKind).await?;
            continue;
        };
        if route.is_rejected() {
            return Err(unusable_entry());
        }
        match requesting_workspace(&in_force.bundle, &route, presented.as_ref()) {
            Some(workspace)
                if workspace.is_none() || route_staleness::is_valid(node, node.now()) =>
            {
                return Ok(Identified {
                    in_force,
                    route,
                    workspace,
                });
            }
            Some(_) => {
                if !route_staleness::wait_until(node, || {
                    route_staleness::is_valid(node, node.now())
                })
                .await
                {
                    return Err(stale_knowledge());
                }
            }
            None if check_unknown(node, presented, arrived_at) => {
                if in_force.bundle.has_rejected_workspace() {
                    return Err(unusable_entry());
                }
                record_unknown_credential(node, routed, presented.as_ref());
                return Err(Reply::not_run(Refusal::UnknownCaller));
            }
            None => {
                let may_read = node.route_staleness.try_take_read_for_unknown(node.now());
                if !may_read
                    || !route_staleness::wait_until(node, || {
                        node.route_staleness.is_confirmed_since(arrived_at)
                    })
                    .await
                {
                    return Err(stale_knowledge());
                }
            }
        }
    }
}

/// Returns `refusal`, which is final to callers, if the table is known to be recent. Returns normally if another table
/// may be in force by now.
pub(crate) async fn check_refusal(
    node: &Arc<Node>,
    in_force: &InForce,
    refusal: Refusal,
) -> Result<(), Reply> {
    match route_staleness::check_refusal(node, in_force.bundle.version).await {
        RefusalCheck::Final => Err(Reply::not_run(refusal)),
        RefusalCheck::Repeat => Ok(()),
        RefusalCheck::Unknown => Err(stale_knowledge()),
    }
}

/// Sent if it isn't known whether the newest table would refuse a request too.
fn stale_knowledge() -> Reply {
    Reply::not_run(Refusal::StaleKnowledge).with_retry_after(STALE_KNOWLEDGE_RETRY_AFTER)
}

/// Callers give up after `UnknownKind` and `UnknownCaller`, but the next version may have the entry.
fn unusable_entry() -> Reply {
    Reply::not_run(Refusal::UnusableEntry).with_retry_after(UNUSABLE_ENTRY_RETRY_AFTER)
}

/// Whether the newest route table certainly lacks the credential, which is then remembered as unknown as long as the
/// table is valid.
fn check_unknown(node: &Node, presented: Option<CredentialHash>, arrived_at: Now) -> bool {
    let is_confirmed = node.route_staleness.is_confirmed_since(arrived_at);
    match presented {
        Some(credential) if is_confirmed => node.route_staleness.remember_unknown(credential),
        Some(credential) => {
            let is_valid = route_staleness::is_valid(node, node.now());
            return is_valid && node.route_staleness.is_unknown(credential);
        }
        None => {}
    }
    is_confirmed
}

/// The outer `None`: the credential is unknown, or missing although the route requires one. The inner `None`: the
/// request needs no workspace.
fn requesting_workspace(
    bundle: &Bundle,
    route: &RouteEntry,
    presented: Option<&CredentialHash>,
) -> Option<Option<Arc<WorkspaceEntry>>> {
    if !bundle.has_workspaces() {
        return Some(None);
    }
    match presented {
        Some(credential) => bundle.workspace_of(credential).cloned().map(Some),
        None => route.open.then_some(None),
    }
}

/// A request with two credentials is malformed, since its sender is ambiguous.
fn presented_credential(
    headers: &HeaderMap,
    routed: &Routed,
) -> Result<Option<CredentialHash>, Reply> {
    let mut credentials = headers.get_all(&routed.dialect.headers.credential).iter();
    match (credentials.next(), credentials.next()) {
        (Some(_), Some(_)) => Err(Reply::not_run(Refusal::Malformed)),
        (Some(credential), None) => Ok(Some(CredentialHash::of(credential.as_bytes()))),
        _ => Ok(None),
    }
}

fn record_unknown_credential(node: &Node, routed: &Routed, presented: Option<&CredentialHash>) {
    let now = node.now();
    if routed.last_unknown_credential_event.elapsed_since(now) < UNKNOWN_CREDENTIAL_EVENT_INTERVAL {
        return;
    }
    routed.last_unknown_credential_event.set(now);
    let credential = presented.map_or_else(|| "none".to_owned(), CredentialHash::short);
    node.record_event(
        &events::CREDENTIAL_UNKNOWN,
        vec![Field::new("credential", credential)],
    );
}
