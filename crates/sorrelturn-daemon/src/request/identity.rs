//! Who asks: the credential that a request shows, and the workspace that holds it.

use crate::{
    backend::state::Routed, config::in_force::InForce, config::route_staleness, node::Node,
    request::answer::Reply, request::owner,
};
use hyper::HeaderMap;
use sorrelturn_bundle::{Bundle, CredentialHash, RouteEntry, WorkspaceEntry};
use sorrelturn_policy::Now;
use sorrelturn_protocol::Refusal;
use sorrelturn_telemetry::{Field, events};
use std::{sync::Arc, time::Duration};

/// Somebody whose credential can't be judged now is told to come back after this: reads follow one another sooner.
const JUDGED_LATER: Duration = Duration::from_millis(1_000);
/// How often unknown credentials are noted, however many come.
const NOTE_EVERY: Duration = Duration::from_secs(1);

/// What a request asks for, and in whose name.
pub(crate) struct Identified {
    pub(crate) in_force: Arc<InForce>,
    pub(crate) route: Arc<RouteEntry>,
    /// Absent on open routes, and where there are no workspaces.
    pub(crate) workspace: Option<Arc<WorkspaceEntry>>,
}

/// Finds the route and the workspace of a request.
///
/// "Unknown" ends a caller's tries for good, so it is said only if the table that doesn't know the credential was
/// the newest one when the request arrived; until that is known the answer is to come back.
pub(crate) async fn identify(
    node: &Arc<Node>,
    routed: &Routed,
    headers: &HeaderMap,
    place: (&str, &str),
    arrived: Now,
) -> Result<Identified, Reply> {
    let (host, path) = place;
    let shown = shown(headers, routed)?;
    let later = || Reply::not_run(Refusal::StaleKnowledge).come_back(JUDGED_LATER);
    loop {
        let in_force = node.in_force.load_full();
        let no_bundle = || Reply::not_run(Refusal::NoBundle).come_back(owner::come_back(node));
        let in_force = in_force.ok_or_else(no_bundle)?;
        let route = in_force.bundle.match_route(host, path).cloned();
        let route = route.ok_or_else(|| Reply::not_run(Refusal::UnknownKind))?;
        match who_asks(&in_force.bundle, &route, shown.as_ref()) {
            Some(workspace)
                if workspace.is_none() || route_staleness::is_valid(node, node.now()) =>
            {
                if workspace.is_some() {
                    route_staleness::refresh(node);
                }
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
                    return Err(later());
                }
            }
            None if is_unknown(node, shown, arrived) => {
                note_unknown(node, routed, shown.as_ref());
                return Err(Reply::not_run(Refusal::UnknownCaller));
            }
            None => {
                let may_prove = node.route_staleness.may_read_for_unknown(node.now());
                if !may_prove
                    || !route_staleness::wait_until(node, || node.route_staleness.covers(arrived))
                        .await
                {
                    return Err(later());
                }
            }
        }
    }
}

/// Whether it is certain that no table holds the credential that a request shows.
fn is_unknown(node: &Node, shown: Option<CredentialHash>, arrived: Now) -> bool {
    let covers = node.route_staleness.covers(arrived);
    match shown {
        Some(credential) if covers => node.route_staleness.remember_unknown(credential),
        Some(credential) => {
            let is_valid = route_staleness::is_valid(node, node.now());
            return is_valid && node.route_staleness.is_unknown(credential);
        }
        None => {}
    }
    covers
}

/// The workspace in whose name a request comes, if it needs one; `None` if it shows no credential that is valid.
fn who_asks(
    bundle: &Bundle,
    route: &RouteEntry,
    shown: Option<&CredentialHash>,
) -> Option<Option<Arc<WorkspaceEntry>>> {
    if !bundle.has_workspaces() {
        return Some(None);
    }
    match shown {
        Some(credential) => bundle.workspace_of(credential).cloned().map(Some),
        None => route.open.then_some(None),
    }
}

/// The hash of the credential that a request shows. Two of them leave open in whose name it comes.
fn shown(headers: &HeaderMap, routed: &Routed) -> Result<Option<CredentialHash>, Reply> {
    let mut shown = headers.get_all(&routed.dialect.headers.credential).iter();
    match (shown.next(), shown.next()) {
        (Some(_), Some(_)) => Err(Reply::not_run(Refusal::Malformed)),
        (Some(credential), None) => Ok(Some(CredentialHash::of(credential.as_bytes()))),
        _ => Ok(None),
    }
}

fn note_unknown(node: &Node, routed: &Routed, shown: Option<&CredentialHash>) {
    let now = node.now();
    if routed.noted_unknown.elapsed_since(now) < NOTE_EVERY {
        return;
    }
    routed.noted_unknown.set(now);
    let credential = shown.map_or_else(|| "none".to_owned(), CredentialHash::short);
    node.note(
        &events::CREDENTIAL_UNKNOWN,
        vec![Field::new("credential", credential)],
    );
}
