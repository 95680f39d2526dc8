//! Fetches newer bundles and route tables from the store or from a peer. See
//! `docs/design/spread.md`.

use crate::{
    config::in_force::{InForce, Origin},
    config::route_staleness,
    fleet::control_client::{self as control, ControlError},
    fleet::gossip,
    fleet::reports,
    node::{Node, lock},
};
use displaydoc::Display;
use sorrelturn_bundle::{
    Bundle, ContentHash, Manifest, ManifestError, RouteError, RouteTable, SectionBytes,
    SignedManifest, join,
};
use sorrelturn_fleet::{Fetch, Source};
use sorrelturn_platform::{PlatformError, keys};
use sorrelturn_policy::Now;
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// The maximum number of rejected entries of one route table that are logged.
const MAX_LOGGED_REJECTIONS: usize = 20;

/// Short, so that after a silent connection there is still time to read the store.
const ROUTES_TIMEOUT: Duration = Duration::from_millis(500);

/// How a daemon learned of a bundle, for its events.
#[derive(Clone, Debug, Display)]
pub(crate) enum LearnedFrom {
    /// store-watch
    Watch,
    /// store-read
    Read,
    /// peer:{0}
    Peer(String),
    /// operator
    Operator,
}

impl LearnedFrom {
    /// The source of a fetch; `None` is the store.
    fn fetched_from(peer: Option<&MemberRecord>) -> Self {
        peer.map_or(Self::Read, |peer| Self::Peer(peer.instance.clone()))
    }
}

/// Why a bundle could not be fetched.
#[derive(Debug, Display)]
pub(crate) enum FetchError {
    /// the call to the peer failed: {0}
    Peer(ControlError),
    /// the peer is not a member any more
    UnknownPeer,
    /// reading from the platform failed: {0}
    Platform(PlatformError),
    /// the source has no bundle
    Absent,
    /// the manifest can't be parsed
    Unreadable,
    /// the bundle is invalid: {0}
    Refused(ManifestError),
    /// the route table is invalid: {0}
    RoutesRefused(String),
}

/// Starts a fetch if the announced version is higher than the one in force. Cheap enough for
/// every response.
pub(crate) fn fetch_if_newer(node: &Arc<Node>, version: u64, source: Source) {
    if version <= node.bundle_version() {
        return;
    }
    let fetch = lock(&node.bundle_tracker).version_announced(node.now(), version, source);
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
        let result = fetch_from(node, &fetch.source).await;
        let has_failed = result.is_err();
        if let Err(error) = result {
            let kind = match error {
                FetchError::Refused(_) | FetchError::RoutesRefused(_) => &events::BUNDLE_REFUSED,
                _ => &events::BUNDLE_FETCH_FAILED,
            };
            node.record_event(
                kind,
                vec![
                    Field::new("version", fetch.version),
                    Field::new("source", &fetch.source),
                    Field::new("error", error),
                ],
            );
        }
        let mut tracker = lock(&node.bundle_tracker);
        next = match has_failed {
            true => tracker.fetch_failed(node.now(), &fetch),
            false => tracker.fetch_finished(node.now(), &fetch),
        };
    }
}

/// Fetches the bundle or route table of a source and puts it in force if its version is higher.
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

/// Fetches the bundle or route table of a member, or that of the platform's store if `peer` is
/// `None`, and puts it in force if its version is higher.
pub(crate) async fn fetch_from_member(
    node: &Arc<Node>,
    peer: Option<&MemberRecord>,
) -> Result<(), FetchError> {
    if let Some(settings) = &node.settings.routes {
        let Some(peer) = peer else {
            return route_staleness::read_table(node, &settings.object).await;
        };
        let text = peer_routes(node, peer).await?;
        let learned_from = LearnedFrom::fetched_from(Some(peer));
        return accept_peer_routes(node, &text, learned_from).map_err(FetchError::RoutesRefused);
    }
    let sent = node.now();
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
    if manifest.version <= lock(&node.bundle_tracker).in_force() {
        confirm_from_store(node, sent, peer);
        return Ok(());
    }
    let before = node.in_force.load_full();
    let mut available = retained_sections(before.as_deref(), &manifest);
    let missing: Vec<ContentHash> = manifest
        .sections
        .values()
        .filter(|hash| !available.contains_key(hash))
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
    available.extend(
        fetched
            .into_iter()
            .map(|section| (ContentHash::of(&section.bytes), section)),
    );
    let learned_from = LearnedFrom::fetched_from(peer);
    put_bundle_in_force(node, signed, &manifest, &available, learned_from)
        .map_err(FetchError::Refused)?;
    confirm_from_store(node, sent, peer);
    Ok(())
}

/// Records that a bundle was the newest one at `sent`, if it was fetched from the store.
fn confirm_from_store(node: &Node, sent: Now, peer: Option<&MemberRecord>) {
    if peer.is_none() {
        node.route_staleness.confirm(sent);
    }
}

/// Joins the sections that a verified manifest lists, and puts the bundle in force.
pub(crate) fn put_bundle_in_force(
    node: &Arc<Node>,
    signed: SignedManifest,
    manifest: &Manifest,
    available: &BTreeMap<ContentHash, SectionBytes>,
    learned_from: LearnedFrom,
) -> Result<(), ManifestError> {
    let bundle = join(manifest, |hash| {
        available.get(hash).map(|section| section.bytes.as_slice())
    })?;
    let sections = manifest
        .sections
        .iter()
        .filter_map(|(name, hash)| {
            let bytes = available.get(hash)?.bytes.clone();
            let name = name.clone();
            Some(SectionBytes { name, bytes })
        })
        .collect();
    let origin = Origin::Signed {
        manifest: signed,
        sections,
    };
    if node.put_in_force(bundle, origin, learned_from) {
        gossip::announce(node);
        reports::spawn_report(node);
    }
    Ok(())
}

/// Parses a route table in the form that operators write, and puts it in force if its version is
/// higher. Returns its version.
pub(crate) fn accept_routes(
    node: &Arc<Node>,
    text: &str,
    learned_from: LearnedFrom,
) -> Result<u64, String> {
    let Some(routed) = &node.routed else {
        return Err("this daemon doesn't use a route table".to_owned());
    };
    accept_table(node, (routed.dialect.read_routes)(text)?, learned_from)
}

/// Puts a route table in force if its version is higher, given in the form that daemons exchange,
/// which has hashes in place of credentials.
fn accept_peer_routes(
    node: &Arc<Node>,
    text: &str,
    learned_from: LearnedFrom,
) -> Result<(), String> {
    accept_table(node, RouteTable::parse(text)?, learned_from).map(drop)
}

fn accept_table(
    node: &Arc<Node>,
    mut table: RouteTable,
    learned_from: LearnedFrom,
) -> Result<u64, String> {
    // Checked before the version is compared, since a table without a version would be skipped
    // without an error.
    if table.version == 0 {
        return Err(RouteError::NoVersion.to_string());
    }
    let version = table.version;
    let before = node.in_force.load_full();
    if version <= node.bundle_version() {
        return Ok(version);
    }
    table.reject_invalid(
        before
            .as_deref()
            .map(|in_force| in_force.bundle.routed_services()),
    );
    let text = serde_json::to_string(&table).map_err(|error| error.to_string())?;
    let bundle = Bundle::from_route_table(&table);
    if node.put_in_force(bundle, Origin::Routes(text), learned_from) {
        log_rejected_entries(node, &table);
        gossip::announce(node);
    }
    Ok(version)
}

fn log_rejected_entries(node: &Node, table: &RouteTable) {
    for entry in table.rejected.iter().take(MAX_LOGGED_REJECTIONS) {
        node.record_event(
            &events::TABLE_ENTRY_REJECTED,
            vec![
                Field::new("version", table.version),
                Field::new("section", entry.section.name()),
                Field::new("entry", &entry.name),
                Field::new("reason", &entry.reason),
                Field::new("rejected", table.rejected.len()),
            ],
        );
    }
}

async fn peer_routes(node: &Arc<Node>, peer: &MemberRecord) -> Result<String, FetchError> {
    let call = control::call_within(node, peer, ROUTES_TIMEOUT, |client, cx| async move {
        client.routes(cx).await
    });
    call.await
        .map_err(FetchError::Peer)?
        .ok_or(FetchError::Absent)
}

fn retained_sections(
    before: Option<&InForce>,
    manifest: &Manifest,
) -> BTreeMap<ContentHash, SectionBytes> {
    before
        .into_iter()
        .flat_map(|in_force| in_force.sections())
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
            // `put_bundle_in_force` takes the name from the manifest.
            name: String::new(),
            bytes: object.value.into_bytes(),
        });
    }
    Ok(sections)
}
