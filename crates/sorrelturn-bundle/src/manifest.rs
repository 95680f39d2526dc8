//! Sections and the signed manifest that names them.

use crate::{Bundle, BundleSource, Caller, OperatorKey, Service, TrustedKeys};
use displaydoc::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

/// The largest section, in bytes: the platform holds values up to a megabyte.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// The section that holds the callers; a service can't have this name because of its sign.
const CALLERS_SECTION: &str = "@callers";

/// The BLAKE3 hash of a section, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentHash(pub String);

impl ContentHash {
    /// Hashes a section's bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(blake3::hash(bytes).to_hex().to_string())
    }
}

/// One section: a service, or the callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionBytes {
    /// The service's name, or `@callers`.
    pub name: String,
    /// Its JSON text.
    pub bytes: Vec<u8>,
}

/// What one publication consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version; each publication has a higher one than the publication before.
    pub version: u64,
    /// Random, by which a publisher recognises its own publication after a lost answer.
    pub publication: String,
    /// When it was published, in milliseconds since the Unix epoch; for people only.
    pub published_ms: u64,
    /// What the operator says about it.
    pub note: String,
    /// The sections by name.
    pub sections: BTreeMap<String, ContentHash>,
}

/// A manifest with its operator's signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedManifest {
    /// The manifest's JSON text, exactly as it was signed.
    pub manifest: String,
    /// The operator's name.
    pub operator: String,
    /// The Ed25519 signature in hexadecimal.
    pub signature: String,
}

/// Why a publication is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ManifestError {
    /// operator {0} is not trusted by this daemon's settings
    UnknownOperator(String),
    /// the signature of operator {0} doesn't fit
    BadSignature(String),
    /// the manifest can't be read
    Unreadable,
    /// section {0} is missing
    SectionMissing(String),
    /// section {0} doesn't have the content that the manifest names
    SectionHashMismatch(String),
}

impl std::error::Error for ManifestError {}

impl SignedManifest {
    /// Signs a manifest.
    pub fn sign(manifest: &Manifest, key: &OperatorKey) -> Self {
        let text = serde_json::to_string(manifest).unwrap_or_default();
        Self {
            operator: key.operator().to_owned(),
            signature: key.sign(text.as_bytes()),
            manifest: text,
        }
    }

    /// Checks the signature, then reads the manifest; nothing is read before it is trusted.
    pub fn verify(&self, trusted: &TrustedKeys) -> Result<Manifest, ManifestError> {
        trusted.verify(&self.operator, self.manifest.as_bytes(), &self.signature)?;
        serde_json::from_str(&self.manifest).map_err(|_| ManifestError::Unreadable)
    }
}

/// Cuts a bundle into its sections.
pub fn split(source: &BundleSource) -> Vec<SectionBytes> {
    let to_section = |name: &str, bytes: serde_json::Result<Vec<u8>>| SectionBytes {
        name: name.to_owned(),
        bytes: bytes.unwrap_or_default(),
    };
    let callers = to_section(CALLERS_SECTION, serde_json::to_vec(&source.callers));
    source
        .services
        .iter()
        .map(|(name, service)| to_section(name, serde_json::to_vec(service)))
        .chain([callers])
        .collect()
}

/// Puts a bundle together from the sections that its manifest names.
///
/// `section` finds a section's bytes by content; each is checked against its hash.
pub fn join<'a>(
    manifest: &Manifest,
    section: impl Fn(&ContentHash) -> Option<&'a [u8]>,
) -> Result<Bundle, ManifestError> {
    let mut source = BundleSource::default();
    for (name, hash) in &manifest.sections {
        let bytes = section(hash).ok_or_else(|| ManifestError::SectionMissing(name.clone()))?;
        if ContentHash::of(bytes) != *hash {
            return Err(ManifestError::SectionHashMismatch(name.clone()));
        }
        if name == CALLERS_SECTION {
            source.callers = read::<BTreeMap<String, Caller>>(bytes)?;
        } else {
            source
                .services
                .insert(name.clone(), read::<Service>(bytes)?);
        }
    }
    Ok(Bundle::new(manifest.version, source))
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ManifestError> {
    serde_json::from_slice(bytes).map_err(|_| ManifestError::Unreadable)
}
