//! Sections of a bundle and the signed manifest that lists them.

use crate::{Bundle, BundleSource, Caller, OperatorKey, Service, TrustedKeys};
use displaydoc::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

/// Maximum size of a section, in bytes. The platform stores values of up to a megabyte.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// The section that holds the callers. The `@` keeps it apart from names of services.
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

/// A serialized section: a service or the callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionBytes {
    /// The service's name, or `@callers`.
    pub name: String,
    /// The section as JSON.
    pub bytes: Vec<u8>,
}

/// The list of sections of one published version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version, which increases with each publication.
    pub version: u64,
    /// A random id by which the publisher recognises its own publication after a lost response.
    pub publication: String,
    /// The time of publication, in milliseconds since the Unix epoch. Informational only.
    pub published_ms: u64,
    /// A comment by the operator.
    pub note: String,
    /// Content hashes of the sections by name.
    pub sections: BTreeMap<String, ContentHash>,
}

/// A manifest with the signature of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedManifest {
    /// The JSON text of the manifest, byte for byte as signed.
    pub manifest: String,
    /// The name of the operator.
    pub operator: String,
    /// The Ed25519 signature, in hexadecimal.
    pub signature: String,
}

/// The reason why a publication is rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ManifestError {
    /// operator {0} is not trusted by this daemon's settings
    UnknownOperator(String),
    /// the signature of operator {0} is invalid
    BadSignature(String),
    /// the manifest or one of its sections can't be parsed
    Unreadable,
    /// section {0} is missing
    SectionMissing(String),
    /// section {0} doesn't match its hash in the manifest
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

    /// Verifies the signature and parses the manifest, in that order.
    pub fn verify(&self, trusted: &TrustedKeys) -> Result<Manifest, ManifestError> {
        trusted.verify(&self.operator, self.manifest.as_bytes(), &self.signature)?;
        serde_json::from_str(&self.manifest).map_err(|_| ManifestError::Unreadable)
    }
}

/// Splits a bundle into its sections.
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

/// Assembles a bundle from the sections that its manifest lists.
///
/// `section` returns the bytes of a section by hash. Each section is verified against its hash.
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
            source.callers = parse_section::<BTreeMap<String, Caller>>(bytes)?;
        } else {
            source
                .services
                .insert(name.clone(), parse_section::<Service>(bytes)?);
        }
    }
    Ok(Bundle::new(manifest.version, source))
}

fn parse_section<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ManifestError> {
    serde_json::from_slice(bytes).map_err(|_| ManifestError::Unreadable)
}
