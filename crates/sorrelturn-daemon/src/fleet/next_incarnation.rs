//! Discovery of the next incarnation of a daemon that has stopped. See `docs/design/membership.md`.
//!
//! A starting daemon discovers the others through the platform's store. During an outage of the store it knows no
//! members, and no member contacts it after its previous incarnation announced that it is gone. Therefore a few
//! daemons that received this announcement probe its address for a while. A daemon that finds a new incarnation at a
//! known address runs an exchange with it.

use crate::{
    fleet::gossip,
    fleet::instance_table::KnownInstance,
    node::{Node, lock},
};
use smol::Timer;
use sorrelturn_fleet::searchers_for;
use sorrelturn_protocol::{MemberRecord, MemberState};
use sorrelturn_telemetry::{Field, events};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Several daemons search, since one of them may be unreachable or stop itself.
const SEARCHER_COUNT: usize = 3;
/// Delay before the first probe, about the time of a process restart.
const INITIAL_DELAY: Duration = Duration::from_millis(700);
const DELAY_FACTOR: f64 = 1.5;
const MAX_PROBES: u32 = 6;

/// Starts searching for the next incarnation of a member that is gone, if this daemon is one of its searchers_for.
pub(crate) fn start_search(node: &Arc<Node>, gone: &MemberRecord) {
    if !is_successor(node, &gone.instance) {
        return;
    }
    let (node, gone) = (Arc::clone(node), gone.clone());
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { search(&node, &gone).await }).detach();
}

fn is_successor(node: &Node, instance: &str) -> bool {
    let membership = lock(&node.membership);
    let own = node.own_record.load();
    let others = membership.present();
    searchers_for(others, &own, instance, SEARCHER_COUNT).contains(&node.settings.instance.as_str())
}

async fn search(node: &Arc<Node>, gone: &MemberRecord) {
    let mut delay = INITIAL_DELAY;
    for _ in 0..MAX_PROBES {
        Timer::after(delay).await;
        delay = delay.mul_f64(DELAY_FACTOR);
        if !is_still_gone(node, gone) {
            return;
        }
        // The stopping incarnation may still answer while its last connections close.
        if gossip::exchange(node, gone).await.is_ok() && !is_still_gone(node, gone) {
            log_found(node, gone);
            return;
        }
    }
}

/// Whether no update about the member arrived since it was declared gone.
fn is_still_gone(node: &Node, gone: &MemberRecord) -> bool {
    let membership = lock(&node.membership);
    membership.get(&gone.instance).is_some_and(|known| {
        known.incarnation == gone.incarnation && known.state == MemberState::Gone
    })
}

/// Runs an exchange with an instance that answered with another incarnation than expected.
pub(crate) fn query_new_incarnation(node: &Arc<Node>, route: &Arc<KnownInstance>) {
    // Many concurrent calls may see the new incarnation; only the first one queries it.
    if route.is_incarnation_queried.swap(true, Ordering::Relaxed) {
        return;
    }
    let (node, route) = (Arc::clone(node), Arc::clone(route));
    let ex = Arc::clone(&node.ex);
    let query = async move {
        if gossip::exchange(&node, &route.record).await.is_ok() {
            log_found(&node, &route.record);
        } else {
            route.is_incarnation_queried.store(false, Ordering::Relaxed);
        }
    };
    ex.spawn(query).detach();
}

fn log_found(node: &Node, earlier: &MemberRecord) {
    let fields = vec![
        Field::new("member", &earlier.instance),
        Field::new("earlier", earlier.incarnation),
    ];
    node.note(&events::NEXT_RUN_FOUND, fields);
}
