//! Joining the fleet: registering this daemon and discovering members and a bundle.

use crate::{
    backend::state,
    config::fetch,
    fleet::gossip,
    node::{Node, lock},
    store::{self, member_record, outcomes},
};
use smol::Timer;
use sorrelturn_fleet::{Source, sample_peers};
use sorrelturn_platform::{Expected, keys};
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

/// Loads the known members from the store and publishes the record of this daemon.
pub(crate) async fn join(node: &Arc<Node>) {
    if let Ok(changes) = node.platform.list(keys::MEMBERS).await {
        store::log_unreadable_entries(node, keys::MEMBERS, &changes);
        let records = member_record::parse_all(node, &changes.objects);
        let own_key = keys::member(&node.settings.instance);
        let own = changes.objects.iter().find(|object| object.key == own_key);
        let stored = own.map_or(Expected::Absent, |object| Expected::Version(object.version));
        *lock(&node.stored_record) = Some(stored);
        let is_new = own.is_none();
        for record in &records {
            node.merge_own_record(record);
            if record.instance == node.settings.instance {
                state::restore(node, record);
            }
            if record.instance == node.settings.instance && record.incarnation != node.incarnation {
                let delete =
                    outcomes::delete_earlier_incarnation(Arc::clone(node), record.incarnation);
                node.ex.spawn(delete).detach();
            }
        }
        node.merge_members(records);
        if let Some(routed) = &node.routed {
            routed.is_first_incarnation.store(is_new, Ordering::Relaxed);
            routed.has_listed_members.store(true, Ordering::Relaxed);
        }
    }
    let is_leaving = lock(&node.leaving).cause().is_some();
    node.set_own_state(if is_leaving {
        MemberState::Leaving
    } else {
        MemberState::Live
    });
    member_record::write_own(node).await;
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
        let _ = fetch::fetch_from(&node, &Source::Store).await;
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
