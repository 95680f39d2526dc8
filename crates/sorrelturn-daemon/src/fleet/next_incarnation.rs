//! Discovery of the next incarnation of a daemon that has stopped. See `docs/design/membership.md`.
//!
//! A starting daemon discovers the others through the platform's store. During an outage of the store it knows no
//! members, and no member contacts it after its previous incarnation was announced as gone. Therefore a few daemons
//! that received this announcement, the searchers, probe its address for a while. A daemon that finds a new incarnation
//! at a known address runs an exchange with it.

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

/// Several daemons search, since one of them may be unreachable or may stop as well.
const SEARCHER_COUNT: usize = 3;
/// Delay before the first probe, about the time of a process restart. Each probe costs a connection that is refused.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(700);
const PROBE_DELAY_FACTOR: f64 = 1.5;
const MAX_PROBES: u32 = 6;

/// Starts searching for the next incarnation of a member that is gone, if this daemon is one of its searchers.
pub(crate) fn start_search(node: &Arc<Node>, gone: &MemberRecord) {
    if !is_searcher(node, &gone.instance) {
        return;
    }
    let (node, gone) = (Arc::clone(node), gone.clone());
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { search(&node, &gone).await }).detach();
}

fn is_searcher(node: &Node, instance: &str) -> bool {
    let membership = lock(&node.membership);
    let own = node.own_record.load();
    let others = membership.present();
    searchers_for(others, &own, instance, SEARCHER_COUNT).contains(&node.settings.instance.as_str())
}

async fn search(node: &Arc<Node>, gone: &MemberRecord) {
    let mut delay = INITIAL_PROBE_DELAY;
    for _ in 0..MAX_PROBES {
        Timer::after(delay).await;
        delay = delay.mul_f64(PROBE_DELAY_FACTOR);
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

/// Returns whether no update about the member arrived since it was declared gone.
fn is_still_gone(node: &Node, gone: &MemberRecord) -> bool {
    let membership = lock(&node.membership);
    membership.get(&gone.instance).is_some_and(|known| {
        known.incarnation == gone.incarnation && known.state == MemberState::Gone
    })
}

/// Runs an exchange with an instance that answered with another incarnation than expected.
pub(crate) fn query_new_incarnation(node: &Arc<Node>, instance: &Arc<KnownInstance>) {
    // Many concurrent calls may see the new incarnation; only the first one queries it.
    if instance
        .is_incarnation_queried
        .swap(true, Ordering::Relaxed)
    {
        return;
    }
    let (node, instance) = (Arc::clone(node), Arc::clone(instance));
    let ex = Arc::clone(&node.ex);
    let query = async move {
        if gossip::exchange(&node, &instance.record).await.is_ok() {
            log_found(&node, &instance.record);
        } else {
            instance
                .is_incarnation_queried
                .store(false, Ordering::Relaxed);
        }
    };
    ex.spawn(query).detach();
}

fn log_found(node: &Node, earlier: &MemberRecord) {
    let fields = vec![
        Field::new("member", &earlier.instance),
        Field::new("earlier", earlier.incarnation),
    ];
    node.record_event(&events::NEXT_RUN_FOUND, fields);
}
