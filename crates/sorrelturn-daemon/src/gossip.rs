//! News between daemons: records of members and versions of bundles.
//! See `docs/design/spread.md` and `docs/design/membership.md`.

use crate::{
    control::{self, ControlError},
    node::{InForce, Node, lock},
};
use displaydoc::Display;
use smol::Timer;
use sorrelturn_bundle::{ContentHash, Manifest, ManifestError, SectionBytes, SignedManifest, join};
use sorrelturn_fleet::{
    Digest, Fetch, PUSH_FAN_OUT, Report, Source, WATCHERS, push_targets, ranked,
};
use sorrelturn_platform::{PlatformError, keys};
use sorrelturn_protocol::{MemberRecord, MemberState};
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// How often a daemon compares what it knows with a neighbour.
const EXCHANGE_EVERY: Duration = Duration::from_secs(2);
/// How many neighbours a daemon keeps connections to and sends news to.
const NEIGHBOURS: usize = PUSH_FAN_OUT;
/// So long a visitor is told of news: it comes round every ten seconds.
const VISITOR_TIME: Duration = Duration::from_secs(15);
/// The most visitors that are told of news.
const MOST_VISITORS: usize = 10;
/// After so many exchanges one neighbour is replaced, so that the graph keeps mixing.
const EXCHANGES_PER_NEIGHBOUR: u32 = 30;
/// How often a daemon reports to its watchers without a reason.
const REPORT_EVERY: Duration = Duration::from_secs(10);

/// Why a bundle could not be fetched.
#[derive(Debug, Display)]
pub(crate) enum FetchError {
    /// the peer doesn't answer: {0}
    Peer(ControlError),
    /// the peer is not a member any more
    UnknownPeer,
    /// the platform doesn't answer: {0}
    Platform(PlatformError),
    /// nobody has a bundle there
    Absent,
    /// it can't be read
    Unreadable,
    /// it is not taken: {0}
    Refused(ManifestError),
}

/// A record arrived from wherever; if it is news, it goes on.
pub(crate) fn heard_member(node: &Arc<Node>, record: MemberRecord) {
    if node.merge_member(record.clone()) {
        push_news(node, vec![record]);
    }
}

/// A daemon compared notes with this one, so this one is its neighbour.
pub(crate) fn visited_by(node: &Node, instance: &str) {
    let mut visitors = lock(&node.visitors);
    if visitors.len() < MOST_VISITORS || visitors.contains_key(instance) {
        visitors.insert(instance.to_owned(), node.now());
    }
}

/// Sends the own record out after it changed.
pub(crate) fn spread_own_record(node: &Arc<Node>) {
    push_news(node, vec![(**node.own_record.load()).clone()]);
    report_soon(node);
}

fn push_news(node: &Arc<Node>, records: Vec<MemberRecord>) {
    for target in targets(node) {
        let (node, records) = (Arc::clone(node), records.clone());
        let ex = Arc::clone(&node.ex);
        let push = async move {
            let _ = control::call(&node, &target, |client, cx| async move {
                client.news(cx, records).await
            })
            .await;
        };
        ex.spawn(push).detach();
    }
}

/// News goes to the neighbours and to those whose neighbour this daemon is, over connections that
/// stay open; a fresh one for each piece of news would cost a handshake and its memory. Without the
/// visitors, a daemon that nobody happens to have chosen would hear everything last.
fn targets(node: &Node) -> Vec<MemberRecord> {
    let mut neighbours = lock(&node.neighbours);
    refill(node, &mut neighbours);
    let mut visitors = lock(&node.visitors);
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

/// Somebody has this version; if it is higher, it is fetched. Cheap enough for every answer.
pub(crate) fn heard_version(node: &Arc<Node>, version: u64, source: Source) {
    let in_force = node
        .in_force
        .load()
        .as_ref()
        .map_or(0, |in_force| in_force.bundle.version);
    if version <= in_force {
        return;
    }
    let fetch = lock(&node.spread).heard(node.now(), version, source);
    if let Some(fetch) = fetch {
        let node = Arc::clone(node);
        let ex = Arc::clone(&node.ex);
        ex.spawn(async move { fetch_until_done(&node, fetch).await })
            .detach();
    }
}

async fn fetch_until_done(node: &Arc<Node>, first: Fetch) {
    let mut next = Some(first);
    while let Some(fetch) = next {
        if let Err(error) = fetch_from(node, &fetch.source).await {
            let kind = match error {
                FetchError::Refused(_) => &events::BUNDLE_REFUSED,
                _ => &events::BUNDLE_FETCH_FAILED,
            };
            node.note(
                kind,
                vec![
                    Field::new("version", fetch.version),
                    Field::new("error", error),
                ],
            );
        }
        next = lock(&node.spread).fetch_over(node.now(), &fetch);
    }
}

/// Fetches the bundle that a source has and puts it in force if it is higher.
pub(crate) async fn fetch_from(node: &Arc<Node>, source: &Source) -> Result<(), FetchError> {
    let peer = match source {
        Source::Store => None,
        Source::Peer(instance) => {
            let record = lock(&node.membership).get(instance).cloned();
            Some(record.ok_or(FetchError::UnknownPeer)?)
        }
    };
    fetch_from_member(node, peer.as_ref()).await
}

/// As [`fetch_from`], with the platform's store for no member.
pub(crate) async fn fetch_from_member(
    node: &Arc<Node>,
    peer: Option<&MemberRecord>,
) -> Result<(), FetchError> {
    let signed = match peer {
        None => store_manifest(node).await?,
        Some(peer) => control::call(
            node,
            peer,
            |client, cx| async move { client.manifest(cx).await },
        )
        .await
        .map_err(FetchError::Peer)?
        .ok_or(FetchError::Absent)?,
    };
    let manifest = signed.verify(&node.trusted).map_err(FetchError::Refused)?;
    if manifest.version <= lock(&node.spread).in_force() {
        return Ok(());
    }
    let before = node.in_force.load_full();
    let mut have = held(before.as_deref(), &manifest);
    let missing: Vec<ContentHash> = manifest
        .sections
        .values()
        .filter(|hash| !have.contains_key(hash))
        .cloned()
        .collect();
    let fetched = match peer {
        None => store_sections(node, &missing).await?,
        Some(peer) => control::call(node, peer, |client, cx| async move {
            client.sections(cx, missing).await
        })
        .await
        .map_err(FetchError::Peer)?,
    };
    have.extend(
        fetched
            .into_iter()
            .map(|section| (ContentHash::of(&section.bytes), section)),
    );
    take(node, signed, &manifest, &have).map_err(FetchError::Refused)
}

/// Puts a verified manifest in force with sections by content.
pub(crate) fn take(
    node: &Arc<Node>,
    signed: SignedManifest,
    manifest: &Manifest,
    have: &BTreeMap<ContentHash, SectionBytes>,
) -> Result<(), ManifestError> {
    let bundle = join(manifest, |hash| {
        have.get(hash).map(|section| section.bytes.as_slice())
    })?;
    let sections = manifest
        .sections
        .iter()
        .filter_map(|(name, hash)| {
            let bytes = have.get(hash)?.bytes.clone();
            let name = name.clone();
            Some(SectionBytes { name, bytes })
        })
        .collect();
    if node.put_in_force(bundle, signed, sections) {
        announce(node, manifest.version);
        report_soon(node);
    }
    Ok(())
}

fn held(before: Option<&InForce>, manifest: &Manifest) -> BTreeMap<ContentHash, SectionBytes> {
    before
        .into_iter()
        .flat_map(|in_force| &in_force.sections)
        .map(|section| (ContentHash::of(&section.bytes), section.clone()))
        .filter(|(hash, _)| manifest.sections.values().any(|wanted| wanted == hash))
        .collect()
}

async fn store_manifest(node: &Node) -> Result<SignedManifest, FetchError> {
    let head = node
        .platform
        .get(keys::BUNDLE_HEAD)
        .await
        .map_err(FetchError::Platform)?
        .ok_or(FetchError::Absent)?;
    serde_json::from_str(&head.value).map_err(|_| FetchError::Unreadable)
}

async fn store_sections(
    node: &Node,
    hashes: &[ContentHash],
) -> Result<Vec<SectionBytes>, FetchError> {
    let mut sections = Vec::new();
    for hash in hashes {
        let object = node
            .platform
            .get(&keys::section(&hash.0))
            .await
            .map_err(FetchError::Platform)?
            .ok_or(FetchError::Absent)?;
        sections.push(SectionBytes {
            name: String::new(),
            bytes: object.value.into_bytes(),
        });
    }
    Ok(sections)
}

/// Tells some peers of a version that just came in force here.
fn announce(node: &Arc<Node>, version: u64) {
    for target in targets(node) {
        let node = Arc::clone(node);
        let ex = Arc::clone(&node.ex);
        let push = async move {
            let from = node.settings.instance.clone();
            let _ = control::call(&node, &target, |client, cx| async move {
                client.announce(cx, from, version).await
            })
            .await;
        };
        ex.spawn(push).detach();
    }
}

/// Compares notes with neighbours, one after another.
pub(crate) async fn run_exchanges(node: Arc<Node>) {
    let mut exchanges = 0;
    loop {
        let jitter = 0.75 + fastrand::f64() / 2.0;
        Timer::after(EXCHANGE_EVERY.mul_f64(jitter)).await;
        lock(&node.membership).forget_gone(node.now());
        node.control_links.close_idle();
        let Some(record) = next_neighbour(&node) else {
            continue;
        };
        exchanges += 1;
        let answered = exchange(&node, &record).await.is_ok();
        if !answered || exchanges % EXCHANGES_PER_NEIGHBOUR == 0 {
            lock(&node.neighbours).retain(|instance| *instance != record.instance);
        }
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
    let own = lock(&node.membership).digest();
    let digest = Digest {
        from: (**node.own_record.load()).clone(),
        version: lock(&node.spread).in_force(),
        members: own.total(),
    };
    let reply = control::call(node, peer, |client, cx| async move {
        client.exchange(cx, digest).await
    })
    .await?;
    heard_version(node, reply.version, Source::Peer(peer.instance.clone()));
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
    let _news = node.merge_members(records);
    if !unknown_there.is_empty() {
        control::call(node, peer, |client, cx| async move {
            client.news(cx, unknown_there).await
        })
        .await?;
    }
    Ok(())
}

/// Reports to the watchers of the own failure domain now and then.
pub(crate) async fn run_reports(node: Arc<Node>) {
    loop {
        report(&node).await;
        let jitter = 0.75 + fastrand::f64() / 2.0;
        Timer::after(REPORT_EVERY.mul_f64(jitter)).await;
    }
}

fn report_soon(node: &Arc<Node>) {
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { report(&node).await }).detach();
}

async fn report(node: &Arc<Node>) {
    let report = Report {
        record: (**node.own_record.load()).clone(),
        version: lock(&node.spread).in_force(),
        trouble: None,
    };
    for watcher in watchers(node) {
        let report = report.clone();
        if watcher.instance == node.settings.instance {
            lock(&node.view).report(node.now(), report);
            continue;
        }
        let _ = control::call(node, &watcher, |client, cx| async move {
            client.report(cx, report).await
        })
        .await;
    }
}

fn watchers(node: &Node) -> Vec<MemberRecord> {
    let membership = lock(&node.membership);
    ranked(membership.present(), &node.settings.failure_domain)
        .into_iter()
        .take(WATCHERS)
        .cloned()
        .collect()
}
