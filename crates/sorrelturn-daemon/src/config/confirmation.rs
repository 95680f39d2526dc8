//! Confirms continually that the bundle in force is the newest one. See `docs/design/spread.md`.

use crate::{
    config::fetch,
    config::route_staleness,
    fleet::control_client::{self, ControlError},
    fleet::gossip,
    node::{Node, lock},
};
use smol::{
    Timer,
    channel::{self, Sender},
};
use sorrelturn_fleet::{
    ConfirmationSchedule, ConfirmationStep, DomainPlace, KnownVersion, Source, rank_of, ranked,
};
use sorrelturn_policy::Now;
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};
use std::{sync::Arc, time::Duration};

/// Far above a round trip, and short enough to read the store in time after two silent connections.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// A smaller reduction of the staleness isn't worth the messages that spread it.
const MIN_IMPROVEMENT: Duration = Duration::from_millis(300);

/// The staleness from which operators are told of it, above what any single failure causes.
const REPORTED_STALENESS: Duration = Duration::from_secs(2);

/// Asks peers and reads the store whenever the bundle gets too stale.
pub(crate) async fn run(node: Arc<Node>) {
    let mut rng = fastrand::Rng::new();
    let mut schedule = ConfirmationSchedule::new(node.now(), &mut rng);
    let (finished_tx, finished_asks) = channel::unbounded();
    let mut staleness_log = StalenessLog::new(node.now());
    loop {
        while let Ok(has_answered) = finished_asks.try_recv() {
            schedule.ask_finished(has_answered);
        }
        let place = own_place(&node);
        let confirmed_at = node.route_staleness.confirmed_at();
        staleness_log.update(&node, confirmed_at, place.rank, schedule.has_unanswered());
        match schedule.next_step(node.now(), confirmed_at, place, &mut rng) {
            ConfirmationStep::WaitUntil(at) => {
                Timer::after(at.saturating_sub(node.now())).await;
            }
            ConfirmationStep::AskPeer => {
                let ask = ask_neighbour(Arc::clone(&node), finished_tx.clone());
                node.ex.spawn(ask).detach();
            }
            ConfirmationStep::ReadStore => route_staleness::start_read(&node),
        }
    }
}

/// Records events when the bundle becomes stale and when it is confirmed again.
struct StalenessLog {
    started_at: Now,
    /// When a stale bundle was confirmed last.
    stale_since: Option<Now>,
}

impl StalenessLog {
    fn new(started_at: Now) -> Self {
        Self {
            started_at,
            stale_since: None,
        }
    }

    fn update(
        &mut self,
        node: &Node,
        confirmed_at: Option<Now>,
        rank: usize,
        has_unanswered: bool,
    ) {
        let now = node.now();
        if node.bundle_version() == 0 {
            return;
        }
        // A watch may have reported the bundle in force, which confirms nothing.
        let confirmed_at = confirmed_at.unwrap_or(self.started_at);
        let staleness = now.saturating_sub(confirmed_at);
        match self.stale_since {
            None if staleness > REPORTED_STALENESS => {
                self.stale_since = Some(confirmed_at);
                let failed_reads = node.route_staleness.failed_reads();
                let fields = vec![
                    Field::new("version", node.bundle_version()),
                    Field::new("knowledge_age_ms", staleness.as_millis()),
                    Field::new("rank", rank),
                    Field::new("unanswered", has_unanswered),
                    Field::new("failed_reads", failed_reads),
                ];
                node.record_event(&events::BUNDLE_STALE, fields);
            }
            Some(since) if staleness <= REPORTED_STALENESS => {
                self.stale_since = None;
                let stale = now.saturating_sub(since);
                let fields = vec![
                    Field::new("version", node.bundle_version()),
                    Field::new("stale_ms", stale.as_millis()),
                ];
                node.record_event(&events::BUNDLE_CONFIRMED, fields);
            }
            _ => {}
        }
    }
}

/// Compares versions with the next neighbour and reports whether it answered.
async fn ask_neighbour(node: Arc<Node>, finished_tx: Sender<bool>) {
    let has_answered = match gossip::next_neighbour(&node) {
        Some(peer) => compare_versions(&node, &peer, ASK_TIMEOUT).await.is_ok(),
        None => false,
    };
    // The receiver exists as long as the daemon.
    let _ = finished_tx.try_send(has_answered);
}

fn own_place(node: &Node) -> DomainPlace {
    let membership = lock(&node.membership);
    let ranked = ranked(membership.present(), &node.settings.failure_domain);
    DomainPlace {
        rank: rank_of(&ranked, &node.settings.instance),
        members: ranked.len(),
    }
}

/// Returns what this daemon knows of the bundle.
pub(crate) fn known_version(node: &Node) -> KnownVersion {
    // Read before the version, since a staleness must not be told with a version that was replaced meanwhile.
    let knowledge_age_ms = node.route_staleness.age_ms(node.now());
    KnownVersion {
        version: lock(&node.bundle_tracker).in_force(),
        knowledge_age_ms,
    }
}

/// Receives what another daemon knows of the bundle. The message may have been delayed, so the daemon is asked if that
/// would reduce the staleness.
pub(crate) fn receive_announcement(node: &Arc<Node>, from: String, known: KnownVersion) {
    fetch::fetch_if_newer(node, known.version, Source::Peer(from.clone()));
    let is_reduced = known.version == node.bundle_version()
        && known.knowledge_age_ms.is_some_and(|age_ms| {
            let age = Duration::from_millis(age_ms.into()) + MIN_IMPROVEMENT;
            let own_age = node.route_staleness.age(node.now());
            own_age.is_none_or(|own_age| age < own_age)
        });
    if !is_reduced || !node.route_staleness.try_start_asking() {
        return;
    }
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let ask = async move {
        let peer = lock(&node.membership).get(&from).cloned();
        if let Some(peer) = peer {
            // If it fails, the schedule asks another daemon.
            let _ = compare_versions(&node, &peer, ASK_TIMEOUT).await;
        }
        node.route_staleness.finish_asking();
    };
    ex.spawn(ask).detach();
}

/// Compares versions with a daemon in the background. A failure is ignored.
pub(crate) fn spawn_comparison(node: &Arc<Node>, peer: MemberRecord) {
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let comparison = async move {
        let _ = compare_versions(&node, &peer, control_client::CALL_TIMEOUT).await;
    };
    ex.spawn(comparison).detach();
}

/// Tells a daemon what is known here of the bundle, and learns what is known there.
async fn compare_versions(
    node: &Arc<Node>,
    peer: &MemberRecord,
    timeout: Duration,
) -> Result<(), ControlError> {
    let sent = node.now();
    let (from, own) = (node.settings.instance.clone(), known_version(node));
    let call = control_client::call_within(node, peer, timeout, |client, cx| async move {
        client.announce(cx, from, own).await
    });
    let theirs = call.await?;
    fetch::fetch_if_newer(node, theirs.version, Source::Peer(peer.instance.clone()));
    let before = node.route_staleness.confirmed_at();
    route_staleness::confirm_from_peer(node, sent, theirs.version, theirs.knowledge_age_ms);
    let after = node.route_staleness.confirmed_at();
    if after > before.map(|before| before + MIN_IMPROVEMENT) {
        gossip::announce_confirmation(node);
    }
    Ok(())
}
