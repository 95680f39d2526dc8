//! Joining the fleet: registering this daemon and discovering members and a bundle.

use crate::{
    backend::state,
    config::fetch,
    config::route_staleness,
    fleet::gossip,
    node::{Node, lock},
    store::{self, member_record, outcomes},
};
use smol::Timer;
use sorrelturn_fleet::{Source, sample_peers};
use sorrelturn_platform::keys;
use sorrelturn_protocol::{Incarnation, MemberRecord, MemberState};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Number of peers queried for a bundle in each round.
const BUNDLE_PEER_COUNT: usize = 5;
/// Delay between two searches while there is no bundle.
const BUNDLE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Backend servers announce themselves every 1.5 s.
const FIRST_RECORD_DELAY: Duration = Duration::from_secs(2);
/// The time after which the records of daemons that started together are in an outdated list.
const SECOND_LIST_DELAY: Duration = Duration::from_millis(500);

/// Loads the known members from the store and publishes the record of this daemon. With a route table, that waits until
/// the backend server is known, so that the first record holds it.
pub(crate) async fn join(node: &Arc<Node>) {
    let listed = load_members(node).await;
    if let Some(own) = &listed.own_record {
        // What an earlier incarnation acknowledged shortly before its end may be missing in the list.
        if !restore_own_record(node).await {
            take_over(node, own);
        }
    }
    let is_absent = listed.is_loaded && listed.own_record.is_none();
    node.counts
        .is_record_absent
        .store(is_absent, Ordering::Relaxed);
    let is_leaving = lock(&node.leaving).cause().is_some();
    node.set_own_state(if is_leaving {
        MemberState::Leaving
    } else {
        MemberState::Live
    });
    if node.routed.is_none() {
        member_record::write_own(node).await;
        node.counts.has_joined.store(true, Ordering::Relaxed);
        return;
    }
    let publish = publish_later(Arc::clone(node), listed.other_count == 0);
    node.ex.spawn(publish).detach();
}

/// What the store's list of members holds.
#[derive(Default)]
struct ListedMembers {
    is_loaded: bool,
    own_record: Option<MemberRecord>,
    other_count: usize,
}

/// Merges the members that the store lists. The list may be some seconds old; gossip adds what it lacks.
async fn load_members(node: &Arc<Node>) -> ListedMembers {
    let Ok(changes) = node.platform.list_stale(keys::MEMBERS).await else {
        return ListedMembers::default();
    };
    store::log_unreadable_entries(node, keys::MEMBERS, &changes);
    let records: Vec<MemberRecord> = changes
        .objects
        .iter()
        .filter_map(|object| member_record::parse(node, object))
        .collect();
    let own = &node.settings.instance;
    let own_record = records.iter().find(|record| record.instance == *own);
    let listed = ListedMembers {
        is_loaded: true,
        own_record: own_record.cloned(),
        other_count: records.len() - usize::from(own_record.is_some()),
    };
    node.merge_members(records);
    if listed.other_count > 0 {
        node.counts.has_joined.store(true, Ordering::Relaxed);
    }
    listed
}

/// Takes over the newest record of this instance in the store. Returns false if it can't be read.
pub(crate) async fn restore_own_record(node: &Arc<Node>) -> bool {
    let key = keys::member(&node.settings.instance);
    let Ok(Some(object)) = node.platform.get(&key).await else {
        return false;
    };
    match member_record::parse(node, &object) {
        Some(record) => {
            take_over(node, &record);
            true
        }
        None => false,
    }
}

/// Takes over what a record of an earlier incarnation of this daemon says.
fn take_over(node: &Arc<Node>, record: &MemberRecord) {
    if record.incarnation == node.incarnation {
        return;
    }
    node.outrank_earlier_incarnation(record);
    state::restore_leaving_state(node, record.backend.as_ref());
    let delete = outcomes::delete_earlier_incarnation(Arc::clone(node), record.incarnation);
    node.ex.spawn(delete).detach();
}

/// Writes the record of this daemon, unless its backend server's announcement has caused that before. If no other
/// member was listed, the whole fleet has probably just started, and the list is loaded again.
async fn publish_later(node: Arc<Node>, is_alone: bool) {
    Timer::after(FIRST_RECORD_DELAY).await;
    if !node.counts.is_record_written.load(Ordering::Relaxed) {
        member_record::write_own(&node).await;
    }
    if is_alone {
        Timer::after(SECOND_LIST_DELAY.mul_f64(1.0 + fastrand::f64() / 2.0)).await;
        load_members(&node).await;
    }
    node.counts.has_joined.store(true, Ordering::Relaxed);
}

/// Searches for a bundle until one is in force.
///
/// Both the store and peers in several failure domains are queried, because the store may be down and a peer may be
/// outdated.
pub(crate) async fn find_bundle(node: Arc<Node>) {
    while node.in_force.load().is_none() {
        for seed in &node.settings.seeds {
            let seed_member = seed_record(&node, *seed);
            if gossip::exchange(&node, &seed_member).await.is_ok() {
                let _ = fetch::fetch_from_member(&node, Some(&seed_member)).await;
            }
        }
        let peers: Vec<MemberRecord> = {
            let own = node.own_record.load();
            let membership = lock(&node.membership);
            let mut rng = fastrand::Rng::new();
            let sampled = sample_peers(membership.present(), &own, BUNDLE_PEER_COUNT, &mut rng);
            sampled.into_iter().cloned().collect()
        };
        for peer in &peers {
            let _ = fetch::fetch_from_member(&node, Some(peer)).await;
        }
        let _ = match &node.settings.routes {
            Some(routes) => route_staleness::read_outdated_table(&node, &routes.object).await,
            None => fetch::fetch_from(&node, &Source::Store).await,
        };
        if node.in_force.load().is_none() {
            Timer::after(BUNDLE_RETRY_DELAY).await;
        }
    }
}

/// Returns a placeholder record for a seed, of which only the control address is known.
fn seed_record(node: &Node, control_addr: SocketAddr) -> MemberRecord {
    let own = node.own_record.load();
    let mut incarnation = [0; 8];
    let hash = blake3::hash(control_addr.to_string().as_bytes());
    incarnation.copy_from_slice(&hash.as_bytes()[..8]);
    MemberRecord {
        instance: format!("seed-{control_addr}"),
        incarnation: Incarnation(u64::from_be_bytes(incarnation)),
        control_addr,
        ..(**own).clone()
    }
}
