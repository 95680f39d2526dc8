//! Workspaces: the credentials, importance and quota of a group of callers.
//!
//! Requests carry a credential. The route table holds the hashes of valid credentials.
//! See `docs/design/credentials.md`.

use data_encoding::HEXLOWER_PERMISSIVE;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sorrelturn_protocol::{CallerId, Importance};
use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::Arc,
};

/// The BLAKE3 hash of a credential. Credentials themselves are neither stored nor logged.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CredentialHash([u8; 32]);

impl CredentialHash {
    /// Hashes a credential.
    pub fn of(credential: &[u8]) -> Self {
        Self(*blake3::hash(credential).as_bytes())
    }

    /// Returns a short fingerprint for logs, which doesn't reveal the credential.
    pub fn short(&self) -> String {
        HEXLOWER_PERMISSIVE.encode(&self.0[..4])
    }
}

impl fmt::Debug for CredentialHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CredentialHash({})", self.short())
    }
}

impl Serialize for CredentialHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&HEXLOWER_PERMISSIVE.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for CredentialHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = HEXLOWER_PERMISSIVE.decode(text.as_bytes());
        let bytes = bytes.ok().and_then(|bytes| bytes.try_into().ok());
        bytes.map(Self).ok_or_else(|| {
            D::Error::custom("a credential must be a BLAKE3 hash of 64 hexadecimal digits")
        })
    }
}

/// The source form of a workspace, as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Workspace {
    /// Hashes of its credentials.
    pub credentials_blake3: Vec<CredentialHash>,
    /// The importance of its requests, which overrides that of the route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub importance: Option<Importance>,
    /// Maximum request rate over all daemons, in requests per second. 0 sets no limit.
    pub rate_per_second: f64,
    /// Number of requests allowed above the rate at once.
    pub burst: f64,
}

/// The quota of a workspace over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second.
    pub rate: f64,
    /// Number of requests allowed above the rate at once.
    pub burst: f64,
}

/// An indexed workspace, without its credentials.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// The id of the workspace. It identifies the caller if requests carry credentials.
    pub id: CallerId,
    /// The name of the workspace.
    pub name: String,
    /// The importance of its requests, if it overrides that of the route.
    pub importance: Option<Importance>,
    /// The quota, if there is one.
    pub quota: Option<QuotaLimit>,
}

/// Workspaces by credential and by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceIndex {
    by_credential: HashMap<CredentialHash, Arc<WorkspaceEntry>>,
    by_id: HashMap<CallerId, Arc<WorkspaceEntry>>,
}

impl WorkspaceIndex {
    pub(crate) fn new(workspaces: &BTreeMap<String, Workspace>) -> Self {
        let mut index = Self::default();
        for (name, workspace) in workspaces {
            let entry = Arc::new(workspace_entry(name, workspace));
            for credential in &workspace.credentials_blake3 {
                index.by_credential.insert(*credential, Arc::clone(&entry));
            }
            index.by_id.insert(entry.id, entry);
        }
        index
    }

    pub(crate) fn of_credential(&self, hash: &CredentialHash) -> Option<&Arc<WorkspaceEntry>> {
        self.by_credential.get(hash)
    }

    pub(crate) fn of_id(&self, id: CallerId) -> Option<&Arc<WorkspaceEntry>> {
        self.by_id.get(&id)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<WorkspaceEntry>> {
        self.by_id.values()
    }
}

fn workspace_entry(name: &str, workspace: &Workspace) -> WorkspaceEntry {
    let limit = QuotaLimit {
        rate: workspace.rate_per_second,
        burst: workspace.burst,
    };
    WorkspaceEntry {
        id: caller_id(name),
        name: name.to_owned(),
        importance: workspace.importance,
        quota: (limit.rate > 0.0).then_some(limit),
    }
}

/// Derives the id of a caller or workspace from its name, so that it is the same on all daemons and
/// in all versions.
pub(crate) fn caller_id(name: &str) -> CallerId {
    let hash = blake3::hash(name.as_bytes());
    let mut id = [0; 8];
    id.copy_from_slice(&hash.as_bytes()[..8]);
    CallerId(u64::from_be_bytes(id))
}
