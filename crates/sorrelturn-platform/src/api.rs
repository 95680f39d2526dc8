//! The object API's messages. `docs/design/platform.md` describes the calls.

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use serde_json::Value;

/// One object as the crate's users see it: a text under a key, at a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Where it lies: its kind and its name, see [`keys::kind_and_name`].
    pub key: String,
    /// The store's revision at its last change; 0 never occurs.
    pub version: u64,
    /// Its content, at most a megabyte: a text, or JSON where another party wrote it as such.
    pub value: String,
}

/// What a list or a watch answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The store's revision, from which the next watch goes on.
    pub revision: u64,
    /// The objects that changed and still exist.
    pub objects: Vec<Object>,
    /// The keys of objects that were removed.
    pub removed: Vec<String>,
    /// How many entries couldn't be read and were left out. Others than this client write to the store as well.
    pub left_out: usize,
}

/// What the store keeps about an object besides its content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Metadata {
    /// Unique within the kind.
    pub name: String,
    /// The revision of the last change. In a write it is a condition; absent, there is none.
    #[serde(skip_serializing_if = "is_zero")]
    pub revision: u64,
    /// Who still has to agree before a deleted object goes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub finalizers: Vec<String>,
    /// Whether it was deleted and waits for its finalizers.
    #[serde(skip_serializing_if = "is_false")]
    pub deleting: bool,
}

/// An object on the wire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WireObject {
    /// Name, revision and what else the store keeps.
    pub metadata: Metadata,
    /// The content.
    #[serde(default)]
    pub value: Value,
    /// What is observed of it; written apart from the content.
    #[serde(default)]
    pub status: Value,
}

/// One page of a list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WireList {
    /// The objects, in the order of their names.
    pub items: Readable<WireObject>,
    /// Whether the list goes on after the last name.
    #[serde(default)]
    pub has_more: bool,
    /// The store's revision when the page was read.
    pub store_revision: u64,
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireEvent {
    /// Whether the object was removed by it.
    pub removed: bool,
    /// The object after the change; the last state of one that was removed.
    pub object: WireObject,
}

/// The answer of a watch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WireEvents {
    /// What changed, oldest first; empty where the wait is over.
    pub events: Readable<WireEvent>,
    /// From where the next watch goes on.
    pub store_revision: u64,
}

/// The entries of a list that can be read, and how many can't. Others than this client write to the store as well: one bad
/// entry must not take the good ones with it.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Readable<T> {
    /// Those that can be read.
    pub entries: Vec<T>,
    /// How many can't.
    #[serde(skip)]
    pub left_out: usize,
}

impl<T> Default for Readable<T> {
    fn default() -> Self {
        Vec::new().into()
    }
}

impl<T> From<Vec<T>> for Readable<T> {
    fn from(entries: Vec<T>) -> Self {
        Self {
            entries,
            left_out: 0,
        }
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Readable<T> {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let written = Vec::<Value>::deserialize(input)?;
        let all = written.len();
        let read = written.into_iter().map(serde_json::from_value);
        let entries: Vec<T> = read.filter_map(Result::ok).collect();
        Ok(Self {
            left_out: all - entries.len(),
            entries,
        })
    }
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl WireObject {
    /// An object that is to be written; `revision` 0 sets no condition.
    pub(crate) fn of(name: &str, value: &str, revision: u64) -> Self {
        Self {
            metadata: Metadata {
                name: name.to_owned(),
                revision,
                ..Metadata::default()
            },
            value: Value::String(value.to_owned()),
            status: Value::Null,
        }
    }

    /// The object as the crate's users see it; texts are unpacked, other JSON stays as it is.
    pub(crate) fn into_object(self, prefix: &str) -> Object {
        Object {
            key: format!("{prefix}{}", self.metadata.name),
            version: self.metadata.revision,
            value: match self.value {
                Value::String(text) => text,
                other => other.to_string(),
            },
        }
    }
}

/// Whether a VM is meant to be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One line of the list of VMs, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The instance that runs on the VM.
    pub instance: String,
    /// Whether it stays.
    pub state: VmState,
}

/// Faults that the stand-in plays until it is told otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with 503, which says that nothing was done.
    pub down: bool,
    /// Every call is refused with 429, as when the rate is used up.
    pub busy: bool,
    /// Calls are read and never answered.
    pub silent: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next writes take effect, and their answers are lost.
    pub lose_write_answers: u32,
    /// Writes without an answer take effect this much later, in milliseconds, if their condition
    /// still holds then.
    pub late_write_ms: u64,
    /// Watches never report anything.
    pub silent_watches: bool,
    /// The store has just forgotten its history: older watches get 410.
    pub forget_history: bool,
}

/// How often each call came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of one object, lists and reads of the VM list.
    pub reads: u64,
    /// Writes, those that lost a race among them.
    pub writes: u64,
    /// Watches; each time one is renewed counts.
    pub watches: u64,
    /// Watches that wait now.
    pub watches_waiting: u64,
}

/// Where objects of sorrelturn's own kinds lie.
pub mod keys {
    use sorrelturn_protocol::{CallerId, CrashId, Incarnation};

    /// The signed manifest of the bundle that was accepted last.
    pub const BUNDLE_HEAD: &str = "sorrelturn/bundle/head";
    /// The members' own records.
    pub const MEMBERS: &str = "sorrelturn/members/";

    /// Proofs against requests that crash backend servers.
    pub const QUARANTINE: &str = "sorrelturn/quarantine/";

    /// The states of the failure domains.
    pub const STATUS: &str = "sorrelturn/status/";

    /// The kind of keys that have no slash.
    const PLAIN_KIND: &str = "sorrelturn";

    /// The kind and the name that a key stands for: the name is what follows the last slash, and
    /// the kind is what stands before it, with hyphens for slashes.
    pub fn kind_and_name(key: &str) -> (String, &str) {
        match key.rsplit_once('/') {
            Some((kind, name)) => (kind.replace('/', "-"), name),
            None => (PLAIN_KIND.to_owned(), key),
        }
    }

    /// What stands before the names of a key's kind, the last slash included.
    pub(crate) fn prefix(key: &str) -> &str {
        key.rfind('/').map_or("", |slash| &key[..=slash])
    }

    /// The state of one failure domain.
    pub fn status(failure_domain: &str) -> String {
        format!("{STATUS}{failure_domain}")
    }

    /// What one crash proved.
    pub fn quarantine(by: CrashId) -> String {
        format!("{QUARANTINE}{:016x}", by.0)
    }

    /// A section of a bundle, by its content.
    pub fn section(hash: &str) -> String {
        format!("sorrelturn/bundle/sections/{hash}")
    }

    /// An earlier signed manifest.
    pub fn history(version: u64) -> String {
        format!("{}{version:016}", history_prefix())
    }

    /// Where the earlier manifests lie.
    pub fn history_prefix() -> String {
        "sorrelturn/bundle/history/".to_owned()
    }

    /// A daemon's own record.
    pub fn member(instance: &str) -> String {
        format!("{MEMBERS}{instance}")
    }

    /// Where all that one incarnation recorded of its tokens lies.
    pub fn outcomes_prefix(owner: Incarnation) -> String {
        format!("sorrelturn/outcomes/{owner}/")
    }

    /// The outcomes of one segment of an incarnation's tokens.
    pub fn outcomes(owner: Incarnation, segment: u64) -> String {
        format!("{}{segment}", outcomes_prefix(owner))
    }

    /// The last word of an incarnation.
    pub fn closing_record(owner: Incarnation) -> String {
        format!("{}closing", outcomes_prefix(owner))
    }

    /// The token that a caller's key is bound to; the key goes in as its hash.
    pub fn binding(caller: CallerId, key_hash: &str) -> String {
        format!("sorrelturn/once/{:016x}/{key_hash}", caller.0)
    }
}
