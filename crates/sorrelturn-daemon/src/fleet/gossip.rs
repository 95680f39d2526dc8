//! Gossip between daemons: member records, bundle versions and crash reports.
//! See `docs/design/spread.md` and `docs/design/membership.md`.

use crate::{
    config::confirmation,
    config::fetch,
    config::route_staleness,
    fleet::control::ControlClient,
    fleet::control_client::{self, ControlError},
    fleet::evacuation,
    fleet::next_incarnation,
    fleet::own_record,
    fleet::reports,
    fleet::suspects,
    node::{Node, lock},
};
use smol::{Timer, future::FutureExt};
use sorrelturn_fleet::{Evacuations, ExchangeRequest, PUSH_FAN_OUT, Source, sample_peers};
use sorrelturn_policy::LeavingCause;
use sorrelturn_protocol::{CrashUpdate, MemberRecord, MemberState};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tarpc::{client::RpcError, context::Context};

const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after a failed exchange, short so that a VM catches up soon after a network partition. It must learn within
/// three seconds what it missed, and a call to an unresponsive peer takes one of them.
const EXCHANGE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of neighbours that a daemon keeps connections to and pushes updates to.
const NEIGHBOUR_COUNT: usize = PUSH_FAN_OUT;
/// Number of daemons that a confirmation of the bundle is announced to.
const CONFIRMATION_FAN_OUT: usize = 3;
/// How long an inbound peer, a daemon that started an exchange with this one, receives updates after its last exchange.
const INBOUND_PEER_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_INBOUND_PEERS: usize = 10;
/// Number of members that a starting daemon asks what they know of its earlier incarnation.
const ASKED_MEMBER_COUNT: usize = 3;
/// How long it waits for them; a member may be down.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Shorter than [`ASK_TIMEOUT`], in which a member is told.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);
/// One neighbour is replaced after this many exchanges in total, so that the gossip graph keeps changing.
const EXCHANGES_PER_REPLACEMENT: u32 = 30;

/// Merges member records from any source and pushes those that are new to the neighbours, in one message to each.
///
/// Neighbours are chosen after all records are merged. Chosen after the first ones of a list, they would be the same at
/// all daemons that start together.
pub(crate) fn receive_member_records(node: &Arc<Node>, records: Vec<MemberRecord>) {
    own_record::restore_backend(node, &records);
    own_record::reclaim(node, &records);
    let updates = node.merge_members(records);
    for record in &updates {
        node.record_member_change(record);
        if record.state == MemberState::Gone {
            next_incarnation::start_search(node, record);
        }
    }
    if !updates.is_empty() {
        push_members(node, updates);
    }
}

/// Records the sender of an incoming exchange, up to [`MAX_INBOUND_PEERS`], so that updates are also pushed to it.
pub(crate) fn record_inbound_peer(node: &Node, instance: &str) {
    let mut inbound_peers = lock(&node.inbound_peers);
    if inbound_peers.len() < MAX_INBOUND_PEERS || inbound_peers.contains_key(instance) {
        inbound_peers.insert(instance.to_owned(), node.now());
    }
}

/// Pushes the changed record of this daemon to the neighbours and reports it to the watchers.
pub(crate) fn push_own_record(node: &Arc<Node>) {
    push_members(node, vec![(**node.own_record.load()).clone()]);
    reports::spawn_report(node);
}

/// Exchanges what is known with a few members, which have what the earlier incarnation of this daemon told them.
pub(crate) async fn ask_members(node: &Arc<Node>) {
    let members: Vec<MemberRecord> = {
        let own = node.own_record.load();
        let membership = lock(&node.membership);
        let mut rng = fastrand::Rng::new();
        let sampled = sample_peers(membership.present(), &own, ASKED_MEMBER_COUNT, &mut rng);
        sampled.into_iter().cloned().collect()
    };
    let asked: Vec<_> = members
        .into_iter()
        .map(|member| {
            let (node, ex) = (Arc::clone(node), Arc::clone(&node.ex));
            ex.spawn(async move { exchange(&node, &member).await.is_ok() })
        })
        .collect();
    let answered = async {
        for task in asked {
            // One that doesn't answer tells nothing; the others may.
            task.await;
        }
    };
    let timed_out = async {
        Timer::after(ASK_TIMEOUT).await;
    };
    answered.or(timed_out).await;
}

/// Tells a member that its earlier incarnation knew of a leave of its backend server that it doesn't know.
pub(crate) async fn tell_unknown_leave(node: &Arc<Node>, instance: &str) {
    let told = {
        let membership = lock(&node.membership);
        let earlier = membership.unknown_leave(instance).cloned();
        earlier.zip(membership.get(instance).cloned())
    };
    if let Some((earlier, member)) = told {
        // A member that wasn't reached is told by the next exchange.
        let update =
            async |client: ControlClient, cx| client.update_members(cx, vec![earlier]).await;
        let _ = control_client::call_within(node, &member, TELL_TIMEOUT, update).await;
    }
}

/// Starts leaving for the given cause and notifies the neighbours if the state changed.
pub(crate) fn leave(node: &Arc<Node>, cause: LeavingCause) {
    if node.start_leaving(cause) {
        push_own_record(node);
    }
}

/// Revokes one cause for leaving and notifies the neighbours if no other cause remains.
pub(crate) fn revoke_leave(node: &Arc<Node>, cause: LeavingCause) {
    if node.stop_leaving(cause) {
        push_own_record(node);
    }
}

fn push_members(node: &Arc<Node>, records: Vec<MemberRecord>) {
    push_to_recipients(node, move |client, cx| async move {
        client.update_members(cx, records).await
    });
}

/// Returns the recipients of updates: the neighbours and recent inbound peers.
///
/// Inbound peers are included because a daemon that no other daemon chose as a neighbour would otherwise receive
/// updates last.
fn push_recipients(node: &Node) -> Vec<MemberRecord> {
    let mut neighbours = lock(&node.neighbours);
    refill_neighbours(node, &mut neighbours);
    let mut inbound_peers = lock(&node.inbound_peers);
    inbound_peers
        .retain(|_, last_seen| node.now().saturating_sub(*last_seen) < INBOUND_PEER_TIMEOUT);
    let membership = lock(&node.membership);
    neighbours
        .iter()
        .chain(
            inbound_peers
                .keys()
                .filter(|instance| !neighbours.contains(instance)),
        )
        .filter_map(|instance| membership.get(instance))
        .filter(|record| record.state != MemberState::Gone)
        .cloned()
        .collect()
}

/// Announces the bundle version that came in force at this daemon.
pub(crate) fn announce(node: &Arc<Node>) {
    for recipient in push_recipients(node) {
        confirmation::spawn_comparison(node, recipient);
    }
}

/// Announces that the bundle in force was confirmed, to a few recipients: each of them asks for the proof and announces
/// it in turn, unless it has a recent one.
pub(crate) fn announce_confirmation(node: &Arc<Node>) {
    let mut recipients = push_recipients(node);
    fastrand::shuffle(&mut recipients);
    recipients.truncate(CONFIRMATION_FAN_OUT);
    for recipient in recipients {
        confirmation::spawn_comparison(node, recipient);
    }
}

/// Pushes new crashes of backend servers and cleared requests.
pub(crate) fn push_crash_update(node: &Arc<Node>, update: CrashUpdate) {
    push_to_recipients(node, move |client, cx| async move {
        client.update_crashes(cx, update).await
    });
}

/// Pushes the evacuated failure domains after they changed.
pub(crate) fn push_evacuations(node: &Arc<Node>, evacuations: Evacuations) {
    push_to_recipients(node, move |client, cx| async move {
        client.update_evacuations(cx, evacuations).await
    });
}

/// Makes one control call to each recipient in the background and ignores failures.
fn push_to_recipients<T, F>(
    node: &Arc<Node>,
    call: impl FnOnce(ControlClient, Context) -> F + Clone + Send + 'static,
) where
    T: Send + 'static,
    F: Future<Output = Result<T, RpcError>> + Send + 'static,
{
    for recipient in push_recipients(node) {
        let (node, call) = (Arc::clone(node), call.clone());
        let ex = Arc::clone(&node.ex);
        let push = async move {
            let _ = control_client::call(&node, &recipient, call).await;
        };
        ex.spawn(push).detach();
    }
}

/// Runs periodic exchanges with the neighbours in turn.
///
/// The first exchange starts at once, since a new incarnation has no crash reports yet.
pub(crate) async fn run_exchanges(node: Arc<Node>) {
    let mut exchange_count = 0;
    loop {
        let mut answered = true;
        if let Some(record) = next_neighbour(&node) {
            exchange_count += 1;
            answered = exchange(&node, &record).await.is_ok();
            if !answered || exchange_count % EXCHANGES_PER_REPLACEMENT == 0 {
                lock(&node.neighbours).retain(|instance| *instance != record.instance);
            }
        }
        let delay = if answered {
            EXCHANGE_INTERVAL
        } else {
            EXCHANGE_RETRY_DELAY
        };
        let jitter = 0.75 + fastrand::f64() / 2.0;
        Timer::after(delay.mul_f64(jitter)).await;
        lock(&node.membership).forget_gone(node.now());
        node.control_links.close_idle(node.now());
        node.instances.load().drop_expired_connections();
    }
}

/// Returns the next neighbour in rotation.
pub(crate) fn next_neighbour(node: &Node) -> Option<MemberRecord> {
    let mut neighbours = lock(&node.neighbours);
    refill_neighbours(node, &mut neighbours);
    let instance = neighbours.pop_front()?;
    let record = lock(&node.membership).get(&instance).cloned()?;
    neighbours.push_back(instance);
    Some(record)
}

fn refill_neighbours(node: &Node, neighbours: &mut VecDeque<String>) {
    if neighbours.len() >= NEIGHBOUR_COUNT {
        return;
    }
    let own = node.own_record.load();
    let membership = lock(&node.membership);
    let mut rng = fastrand::Rng::new();
    let candidates = sample_peers(membership.present(), &own, 2 * NEIGHBOUR_COUNT, &mut rng);
    for record in candidates {
        if neighbours.len() < NEIGHBOUR_COUNT && !neighbours.contains(&record.instance) {
            neighbours.push_back(record.instance.clone());
        }
    }
}

/// Synchronizes members and crash reports with a peer and starts fetching its bundle if the version is higher.
pub(crate) async fn exchange(node: &Arc<Node>, peer: &MemberRecord) -> Result<(), ControlError> {
    let sent = node.now();
    let own_digest = lock(&node.membership).digest();
    let request = ExchangeRequest {
        from: (**node.own_record.load()).clone(),
        version: lock(&node.bundle_tracker).in_force(),
        members: own_digest.checksum(),
        crashes: node.suspected_requests.checksum(node.now()),
        evacuations: node.evacuation.current(),
    };
    let reply = control_client::call(node, peer, |client, cx| async move {
        client.exchange(cx, request).await
    })
    .await?;
    let source = Source::Peer(peer.instance.clone());
    fetch::fetch_if_newer(node, reply.known.version, source);
    route_staleness::confirm_from_peer(
        node,
        sent,
        reply.known.version,
        reply.known.knowledge_age_ms,
    );
    evacuation::receive(node, &reply.evacuations);
    if let Some(theirs) = reply.crashes {
        suspects::receive_update(node, &theirs);
        let ours = node.suspected_requests.snapshot(node.now());
        control_client::call(node, peer, |client, cx| async move {
            client.update_crashes(cx, ours).await
        })
        .await?;
    }
    let Some(theirs) = reply.members else {
        tell_unknown_leave(node, &peer.instance).await;
        return Ok(());
    };
    // The peer may have learned of this daemon through this exchange, so compare the digests again.
    let differing = lock(&node.membership).digest().differing(&theirs);
    let requested = differing.clone();
    let records = control_client::call(node, peer, |client, cx| async move {
        client.members(cx, requested).await
    })
    .await?;
    let ours = lock(&node.membership).in_buckets(&differing);
    let newer_records: Vec<MemberRecord> = ours
        .into_iter()
        .filter(|our_record| {
            records
                .iter()
                .find(|their_record| their_record.instance == our_record.instance)
                .is_none_or(|their_record| our_record.supersedes(their_record))
        })
        .collect();
    own_record::reclaim(node, &records);
    node.merge_members(records);
    tell_unknown_leave(node, &peer.instance).await;
    if !newer_records.is_empty() {
        control_client::call(node, peer, |client, cx| async move {
            client.update_members(cx, newer_records).await
        })
        .await?;
    }
    Ok(())
}
