//! Fetching a higher bundle from the store or from a peer. See `docs/design/spread.md`.

use crate::{
    config::in_force::{InForce, Origin},
    config::knowledge,
    fleet::control_client::{self as control, ControlError},
    fleet::gossip,
    fleet::reports,
    node::{Node, lock},
};
use displaydoc::Display;
use sorrelturn_bundle::{
    Bundle, ContentHash, Manifest, ManifestError, RouteTable, SectionBytes, SignedManifest, join,
};
use sorrelturn_fleet::{Fetch, Source};
use sorrelturn_platform::{PlatformError, keys};
use sorrelturn_protocol::MemberRecord;
use sorrelturn_telemetry::{Field, events};
use std::{collections::BTreeMap, sync::Arc};

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
    /// the route table is not taken: {0}
    RoutesRefused(String),
}

/// Somebody has this version; if it is higher, it is fetched. Cheap enough for every answer.
pub(crate) fn heard_version(node: &Arc<Node>, version: u64, source: Source) {
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
        if let Err(error) = fetch_from(node, &fetch.source).await {
            let kind = match error {
                FetchError::Refused(_) | FetchError::RoutesRefused(_) => &events::BUNDLE_REFUSED,
                _ => &events::BUNDLE_FETCH_FAILED,
            };
            node.record_event(
                kind,
                vec![
                    Field::new("version", fetch.version),
                    Field::new("error", error),
                ],
            );
        }
        next = lock(&node.bundle_tracker).fetch_finished(node.now(), &fetch);
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
    if let Some(settings) = &node.settings.routes {
        let Some(peer) = peer else {
            return knowledge::read_table(node, &settings.object).await;
        };
        let text = peer_routes(node, peer).await?;
        return take_own_routes(node, &text).map_err(FetchError::RoutesRefused);
    }
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
    let origin = Origin::Signed {
        manifest: signed,
        sections,
    };
    if node.put_in_force(bundle, origin) {
        gossip::announce(node, manifest.version);
        reports::report_soon(node);
    }
    Ok(())
}

/// Reads a route table as operators wrote it, and puts it in force if its version is higher.
pub(crate) fn take_routes(node: &Arc<Node>, text: &str) -> Result<(), String> {
    let Some(routed) = &node.routed else {
        return Err("no route table is expected here".to_owned());
    };
    take_table(node, &(routed.dialect.read_routes)(text)?)
}

/// The same in the form in which daemons pass it on, which holds no credentials, only their hashes.
fn take_own_routes(node: &Arc<Node>, text: &str) -> Result<(), String> {
    let table: RouteTable = serde_json::from_str(text).map_err(|error| error.to_string())?;
    take_table(node, &table)
}

fn take_table(node: &Arc<Node>, table: &RouteTable) -> Result<(), String> {
    // Before its version is compared: one without a version would else be passed over without a word.
    table.check().map_err(|error| error.to_string())?;
    let version = table.version;
    if version <= node.bundle_version() {
        return Ok(());
    }
    let text = serde_json::to_string(table).map_err(|error| error.to_string())?;
    if node.put_in_force(Bundle::from_route_table(table), Origin::Routes(text)) {
        gossip::announce(node, version);
    }
    Ok(())
}

async fn peer_routes(node: &Arc<Node>, peer: &MemberRecord) -> Result<String, FetchError> {
    let call = control::call(
        node,
        peer,
        |client, cx| async move { client.routes(cx).await },
    );
    call.await
        .map_err(FetchError::Peer)?
        .ok_or(FetchError::Absent)
}

fn held(before: Option<&InForce>, manifest: &Manifest) -> BTreeMap<ContentHash, SectionBytes> {
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
            name: String::new(),
            bytes: object.value.into_bytes(),
        });
    }
    Ok(sections)
}
