//! Finding the next run of a daemon that has ended. See `docs/design/membership.md`.
//!
//! A daemon that starts finds the others through the platform's store. In an outage of the store it
//! knows nobody, and nobody asks it either once its last run has said that it has gone. So a few of
//! those who heard that look at its address for a while, and whoever meets a new run at the address
//! of an old one compares notes with it.

use crate::{
    fleet::gossip,
    fleet::routes::Route,
    node::{Node, lock},
};
use smol::Timer;
use sorrelturn_fleet::successors;
use sorrelturn_protocol::{MemberRecord, MemberState};
use sorrelturn_telemetry::{Field, events};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// How many daemons look for the next run of one that has gone; one of them may be cut off or end itself.
const WHO_LOOK: usize = 3;
/// The pause before the first look: a process that ends is started again after about a second, and a
/// look costs a connection that is refused.
const FIRST_PAUSE: Duration = Duration::from_millis(700);
/// Each further pause is longer by this factor, as the hope for a next run fades.
const LONGER: f64 = 1.5;
/// So many looks take 14 s: an outage of the store and a restart of a VM last seconds.
const MOST_LOOKS: u32 = 6;

/// Looks for the next run of a daemon that said that it has gone, if it falls to this one.
pub(crate) fn look_for(node: &Arc<Node>, gone: &MemberRecord) {
    if !falls_to_us(node, &gone.instance) {
        return;
    }
    let (node, gone) = (Arc::clone(node), gone.clone());
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { look(&node, &gone).await }).detach();
}

fn falls_to_us(node: &Node, instance: &str) -> bool {
    let membership = lock(&node.membership);
    let own = node.own_record.load();
    let others = membership.present();
    successors(others, &own, instance, WHO_LOOK).contains(&node.settings.instance.as_str())
}

async fn look(node: &Arc<Node>, gone: &MemberRecord) {
    let mut pause = FIRST_PAUSE;
    for _ in 0..MOST_LOOKS {
        Timer::after(pause).await;
        pause = pause.mul_f64(LONGER);
        if !is_still_gone(node, gone) {
            return;
        }
        // The run that stops may still answer while its last connections end.
        if gossip::exchange(node, gone).await.is_ok() && !is_still_gone(node, gone) {
            note_found(node, gone);
            return;
        }
    }
}

/// Whether nothing newer was heard of it.
fn is_still_gone(node: &Node, gone: &MemberRecord) -> bool {
    let membership = lock(&node.membership);
    membership.get(&gone.instance).is_some_and(|known| {
        known.incarnation == gone.incarnation && known.state == MemberState::Gone
    })
}

/// An answer came from another run than the one that the call was meant for.
pub(crate) fn met(node: &Arc<Node>, route: &Arc<Route>) {
    // Many calls are under way at once; one of them asks.
    if route.is_asked_anew.swap(true, Ordering::Relaxed) {
        return;
    }
    let (node, route) = (Arc::clone(node), Arc::clone(route));
    let ex = Arc::clone(&node.ex);
    let ask = async move {
        if gossip::exchange(&node, &route.record).await.is_ok() {
            note_found(&node, &route.record);
        } else {
            route.is_asked_anew.store(false, Ordering::Relaxed);
        }
    };
    ex.spawn(ask).detach();
}

fn note_found(node: &Node, earlier: &MemberRecord) {
    let fields = vec![
        Field::new("member", &earlier.instance),
        Field::new("earlier", earlier.incarnation),
    ];
    node.record_event(&events::NEXT_RUN_FOUND, fields);
}
