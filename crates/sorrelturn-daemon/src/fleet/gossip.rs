//! News between daemons: records of members and versions of bundles.
//! See `docs/design/spread.md` and `docs/design/membership.md`.

use crate::{
    backend::state,
    config::fetch,
    config::knowledge,
    fleet::control::ControlClient,
    fleet::control_client::{self as control, ControlError},
    fleet::next_run,
    fleet::reports,
    fleet::suspects,
    node::{Node, lock},
};
use smol::Timer;
use sorrelturn_fleet::{Digest, PUSH_FAN_OUT, Source, push_targets};
use sorrelturn_policy::LeavingCause;
use sorrelturn_protocol::{CrashUpdate, MemberRecord, MemberState};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tarpc::{client::RpcError, context::Context};

/// How often a daemon compares what it knows with a neighbour.
const EXCHANGE_EVERY: Duration = Duration::from_secs(2);
/// After one that failed, it compares with the next one so soon: a VM that was cut off shall know within the operators'
/// three seconds what the others learnt meanwhile, and a call to one that is silent takes a second of them.
const EXCHANGE_AGAIN: Duration = Duration::from_millis(500);
/// How many neighbours a daemon keeps connections to and sends news to.
const NEIGHBOURS: usize = PUSH_FAN_OUT;
/// So long a visitor is told of news: it comes round every ten seconds.
const VISITOR_TIME: Duration = Duration::from_secs(15);
/// The most visitors that are told of news.
const MOST_VISITORS: usize = 10;
/// After so many exchanges one neighbour is replaced, so that the graph keeps mixing.
const EXCHANGES_PER_NEIGHBOUR: u32 = 30;
/// A record arrived from wherever; if it is news, it goes on.
pub(crate) fn heard_member(node: &Arc<Node>, record: MemberRecord) {
    let own = record.instance == node.settings.instance;
    if own && record.incarnation != node.incarnation {
        state::heard_of_earlier_run(node, record.backend.as_ref());
    }
    if !node.merge_member(record.clone()) {
        return;
    }
    if own {
        spread_own_record(node);
        return;
    }
    if record.state == MemberState::Gone {
        next_run::look_for(node, &record);
    }
    push_news(node, vec![record]);
}

/// A daemon compared notes with this one, so this one is its neighbour.
pub(crate) fn visited_by(node: &Node, instance: &str) {
    let mut visitors = lock(&node.inbound_neighbours);
    if visitors.len() < MOST_VISITORS || visitors.contains_key(instance) {
        visitors.insert(instance.to_owned(), node.now());
    }
}

/// Sends the own record out after it changed.
pub(crate) fn spread_own_record(node: &Arc<Node>) {
    push_news(node, vec![(**node.own_record.load()).clone()]);
    reports::report_soon(node);
}

/// Starts leaving, whatever the cause, and tells the neighbours at once.
pub(crate) fn leave(node: &Arc<Node>, cause: LeavingCause) {
    if node.start_leaving(cause) {
        spread_own_record(node);
    }
}

/// Takes a reason for leaving back, and tells the neighbours if none is left.
pub(crate) fn stay(node: &Arc<Node>, cause: LeavingCause) {
    if node.stop_leaving(cause) {
        spread_own_record(node);
    }
}

fn push_news(node: &Arc<Node>, records: Vec<MemberRecord>) {
    tell_neighbours(node, move |client, cx| async move {
        client.news(cx, records).await
    });
}

/// News goes to the neighbours and to those whose neighbour this daemon is, over connections that
/// stay open; a fresh one for each piece of news would cost a handshake and its memory. Without the
/// visitors, a daemon that nobody happens to have chosen would hear everything last.
fn targets(node: &Node) -> Vec<MemberRecord> {
    let mut neighbours = lock(&node.neighbours);
    refill(node, &mut neighbours);
    let mut visitors = lock(&node.inbound_neighbours);
    visitors.retain(|_, seen| node.now().saturating_sub(*seen) < VISITOR_TIME);
    let membership = lock(&node.membership);
    neighbours
        .iter()
        .chain(
            visitors
                .keys()
                .filter(|instance| !neighbours.contains(instance)),
        )
        .filter_map(|instance| membership.get(instance))
        .filter(|record| record.state != MemberState::Gone)
        .cloned()
        .collect()
}

/// Tells some peers of a version that just came in force here.
pub(crate) fn announce(node: &Arc<Node>, version: u64) {
    let from = node.settings.instance.clone();
    tell_neighbours(node, move |client, cx| async move {
        client.announce(cx, from, version).await
    });
}

/// Tells some peers what was learnt of crashes of backend servers.
pub(crate) fn tell_of_crashes(node: &Arc<Node>, news: CrashUpdate) {
    tell_neighbours(node, move |client, cx| async move {
        client.crashes(cx, news).await
    });
}

/// Makes one control call to each of those who are told of news, and waits for none of them.
fn tell_neighbours<T, F>(
    node: &Arc<Node>,
    make: impl FnOnce(ControlClient, Context) -> F + Clone + Send + 'static,
) where
    T: Send + 'static,
    F: Future<Output = Result<T, RpcError>> + Send + 'static,
{
    for target in targets(node) {
        let (node, make) = (Arc::clone(node), make.clone());
        let ex = Arc::clone(&node.ex);
        let tell = async move {
            let _ = control::call(&node, &target, make).await;
        };
        ex.spawn(tell).detach();
    }
}

/// Compares notes with neighbours, one after another; with the first one at once, since a run that has just started
/// knows nothing of requests that crash backend servers.
pub(crate) async fn run_exchanges(node: Arc<Node>) {
    let mut exchanges = 0;
    loop {
        let mut answered = true;
        if let Some(record) = next_neighbour(&node) {
            exchanges += 1;
            answered = exchange(&node, &record).await.is_ok();
            if !answered || exchanges % EXCHANGES_PER_NEIGHBOUR == 0 {
                lock(&node.neighbours).retain(|instance| *instance != record.instance);
            }
        }
        let pause = if answered {
            EXCHANGE_EVERY
        } else {
            EXCHANGE_AGAIN
        };
        let jitter = 0.75 + fastrand::f64() / 2.0;
        Timer::after(pause.mul_f64(jitter)).await;
        lock(&node.membership).forget_gone(node.now());
        node.control_links.close_idle(node.now());
    }
}

/// The neighbour whose turn it is; it goes to the end of the row.
fn next_neighbour(node: &Node) -> Option<MemberRecord> {
    let mut neighbours = lock(&node.neighbours);
    refill(node, &mut neighbours);
    let instance = neighbours.pop_front()?;
    let record = lock(&node.membership).get(&instance).cloned()?;
    neighbours.push_back(instance);
    Some(record)
}

fn refill(node: &Node, neighbours: &mut VecDeque<String>) {
    if neighbours.len() >= NEIGHBOURS {
        return;
    }
    let own = node.own_record.load();
    let membership = lock(&node.membership);
    let mut rng = fastrand::Rng::new();
    let fresh = push_targets(membership.present(), &own, 2 * NEIGHBOURS, &mut rng);
    for record in fresh {
        if neighbours.len() < NEIGHBOURS && !neighbours.contains(&record.instance) {
            neighbours.push_back(record.instance.clone());
        }
    }
}

/// One exchange; brings both sides to the same members and starts a fetch of a higher bundle.
pub(crate) async fn exchange(node: &Arc<Node>, peer: &MemberRecord) -> Result<(), ControlError> {
    let sent = node.now();
    let own = lock(&node.membership).digest();
    let digest = Digest {
        from: (**node.own_record.load()).clone(),
        version: lock(&node.bundle_tracker).in_force(),
        members: own.total(),
        crashes: node.suspects.sum(node.now()),
    };
    let reply = control::call(node, peer, |client, cx| async move {
        client.exchange(cx, digest).await
    })
    .await?;
    fetch::heard_version(node, reply.version, Source::Peer(peer.instance.clone()));
    knowledge::told(node, sent, reply.version, reply.knowledge_age_ms);
    if let Some(theirs) = reply.crashes {
        suspects::heard(node, &theirs);
        let ours = node.suspects.news(node.now());
        control::call(node, peer, |client, cx| async move {
            client.crashes(cx, ours).await
        })
        .await?;
    }
    let Some(theirs) = reply.members else {
        return Ok(());
    };
    // The other side may have learnt of this daemon by this very exchange, so compare anew.
    let differing = lock(&node.membership).digest().differing(&theirs);
    let asked = differing.clone();
    let records = control::call(node, peer, |client, cx| async move {
        client.members(cx, asked).await
    })
    .await?;
    let ours = lock(&node.membership).in_buckets(&differing);
    let unknown_there: Vec<MemberRecord> = ours
        .into_iter()
        .filter(|own| {
            records
                .iter()
                .find(|other| other.instance == own.instance)
                .is_none_or(|other| own.supersedes(other))
        })
        .collect();
    for record in &records {
        if node.outrank_earlier_incarnation(record) {
            spread_own_record(node);
        }
    }
    node.merge_members(records);
    if !unknown_there.is_empty() {
        control::call(node, peer, |client, cx| async move {
            client.news(cx, unknown_there).await
        })
        .await?;
    }
    Ok(())
}
