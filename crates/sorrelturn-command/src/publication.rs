//! Publishes bundles: uploads the sections, then accepts the bundle by one conditional update of the head.
//! See `docs/design/spread.md`.

use crate::{Failure, exit};
use serde::{Deserialize, Serialize};
use sorrelturn_bundle::{
    BundleSource, ContentHash, Manifest, OperatorKey, SectionBytes, SignedManifest, split,
};
use sorrelturn_platform::{Expected, Object, Platform, PlatformError, keys};
use std::time::{SystemTime, UNIX_EPOCH};

/// A signed bundle with its sections, in the format that `bundle sign` writes and daemons accept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// The signed manifest.
    pub manifest: SignedManifest,
    /// The sections that the manifest lists, or none if the store already has them.
    pub sections: Vec<SectionBytes>,
}

/// The head object of the store: the currently accepted manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The version of the object, for the conditional update.
    pub object_version: u64,
    /// The manifest, with its signature unverified. Daemons verify it.
    pub manifest: Manifest,
    signed: SignedManifest,
}

/// An accepted publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// The version of the bundle.
    pub version: u64,
    /// The number of sections that were not yet in the store.
    pub new_sections: usize,
}

impl Publication {
    /// Signs a bundle as `version`. Fails if the system's random number source does.
    pub fn sign(
        source: &BundleSource,
        version: u64,
        note: &str,
        key: &OperatorKey,
    ) -> Result<Self, Failure> {
        let sections = split(source);
        let manifest = Manifest {
            version,
            publication: random_id()?,
            published_ms: unix_ms(),
            note: note.to_owned(),
            sections: sections
                .iter()
                .map(|section| (section.name.clone(), ContentHash::of(&section.bytes)))
                .collect(),
        };
        Ok(Self {
            manifest: SignedManifest::sign(&manifest, key),
            sections,
        })
    }

    /// Signs the sections of an earlier manifest as a new version. Fails if the system's random number source does.
    pub fn sign_rollback(
        earlier: &Manifest,
        version: u64,
        note: &str,
        key: &OperatorKey,
    ) -> Result<Self, Failure> {
        let manifest = Manifest {
            version,
            publication: random_id()?,
            published_ms: unix_ms(),
            note: note.to_owned(),
            sections: earlier.sections.clone(),
        };
        Ok(Self {
            manifest: SignedManifest::sign(&manifest, key),
            sections: Vec::new(),
        })
    }
}

/// Reads the head. Returns `None` before the first publication.
pub async fn read_head(platform: &Platform) -> Result<Option<Head>, Failure> {
    let Some(object) = platform.get(keys::BUNDLE_HEAD).await? else {
        return Ok(None);
    };
    let (signed, manifest) = read_manifest(&object)?;
    Ok(Some(Head {
        object_version: object.version,
        manifest,
        signed,
    }))
}

/// All accepted manifests, the newest first.
pub async fn history(platform: &Platform) -> Result<Vec<Manifest>, Failure> {
    let earlier = platform.list(&keys::history_prefix()).await?;
    let mut manifests = Vec::new();
    for object in &earlier.objects {
        manifests.push(read_manifest(object)?.1);
    }
    manifests.extend(read_head(platform).await?.map(|head| head.manifest));
    manifests.sort_by_key(|manifest| std::cmp::Reverse(manifest.version));
    manifests.dedup_by_key(|manifest| manifest.version);
    Ok(manifests)
}

/// Publishes on top of `head`. Fails with [`exit::CONFLICT`] if the publication isn't the next version or the head has
/// changed.
pub async fn publish(
    platform: &Platform,
    head: Option<&Head>,
    publication: &Publication,
) -> Result<Accepted, Failure> {
    let signed = &publication.manifest;
    let manifest: Manifest =
        serde_json::from_str(&signed.manifest).map_err(|_| invalid_manifest())?;
    let expected_version = head.map_or(1, |head| head.manifest.version + 1);
    if manifest.version != expected_version {
        return Err(Failure::new(
            exit::CONFLICT,
            format!(
                "the publication is signed as version {}, but the next version is {expected_version}",
                manifest.version
            ),
            "sign it again on top of the head; `sorrelctl bundle diff` shows what changed",
        ));
    }
    if let Some(head) = head {
        add_to_history(platform, head).await?;
    }
    let mut new_sections = 0;
    for section in &publication.sections {
        new_sections += usize::from(upload_section(platform, section).await?);
    }
    let value = serde_json::to_string(signed).unwrap_or_default();
    let expected = head.map_or(Expected::Absent, |head| {
        Expected::Version(head.object_version)
    });
    let is_this_publication = |value: &str| {
        serde_json::from_str::<SignedManifest>(value).is_ok_and(|stored| stored == *signed)
    };
    platform
        .put_resolved(keys::BUNDLE_HEAD, &value, expected, is_this_publication)
        .await?;
    Ok(Accepted {
        version: manifest.version,
        new_sections,
    })
}

/// Copies the head into the history before it is replaced, so that the history has no gaps.
async fn add_to_history(platform: &Platform, head: &Head) -> Result<(), Failure> {
    let value = serde_json::to_string(&head.signed).unwrap_or_default();
    let key = keys::history(head.manifest.version);
    create_immutable(platform, &key, &value).await.map(|_| ())
}

async fn upload_section(platform: &Platform, section: &SectionBytes) -> Result<bool, Failure> {
    let key = keys::section(&ContentHash::of(&section.bytes).0);
    let value = String::from_utf8_lossy(&section.bytes);
    create_immutable(platform, &key, &value).await
}

/// Returns whether the object is new.
async fn create_immutable(platform: &Platform, key: &str, value: &str) -> Result<bool, Failure> {
    let created = platform.put_resolved(key, value, Expected::Absent, |stored| stored == value);
    match created.await {
        Ok(_) => Ok(true),
        Err(PlatformError::Conflict(_)) => Ok(false),
        Err(error) => Err(error.into()),
    }
}

fn read_manifest(object: &Object) -> Result<(SignedManifest, Manifest), Failure> {
    let signed: SignedManifest =
        serde_json::from_str(&object.value).map_err(|_| invalid_manifest())?;
    let manifest = serde_json::from_str(&signed.manifest).map_err(|_| invalid_manifest())?;
    Ok((signed, manifest))
}

fn invalid_manifest() -> Failure {
    Failure::new(
        exit::FINDINGS,
        "can't parse a manifest",
        "use the version of sorrelctl that wrote it, or a later one",
    )
}

fn random_id() -> Result<String, Failure> {
    let mut id = [0; 16];
    getrandom::fill(&mut id).map_err(|_| {
        let help = "check the system's random number source";
        Failure::new(
            exit::FINDINGS,
            "the system's random number source failed",
            help,
        )
    })?;
    Ok(id.iter().map(|byte| format!("{byte:02x}")).collect())
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
