//! Messages of the object API. `docs/design/platform.md` describes the calls.

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use serde_json::value::{RawValue, to_raw_value};

/// An object of the platform's store: a text under a key, at a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The key, which holds its kind and its name. See [`keys::kind_and_name`].
    pub key: String,
    /// The revision of the store at the last change, never 0.
    pub version: u64,
    /// The content, at most a megabyte. Values other than JSON strings, and strings that can't be decoded, are kept as JSON
    /// text.
    pub value: String,
}

/// The result of a list or a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The revision of the store, from which the next watch continues.
    pub revision: u64,
    /// Objects that were listed, created or changed.
    pub objects: Vec<Object>,
    /// Keys of removed objects.
    pub removed: Vec<String>,
    /// Number of entries that were skipped because they could not be parsed.
    pub left_out: usize,
}

/// Metadata that the store keeps with an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Metadata {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of the last change. In a write it is the expected revision; 0 or absent sets no
    /// condition.
    #[serde(skip_serializing_if = "is_zero")]
    pub revision: u64,
    /// Finalizers that must be cleared before a deleted object is removed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub finalizers: Vec<RawJson>,
    /// Whether the object was deleted and its finalizers are pending.
    #[serde(skip_serializing_if = "is_false")]
    pub deleting: bool,
}

/// JSON that is kept as text, since other clients of the store may write numbers, escapes and depths that can't be parsed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RawJson(Box<RawValue>);

impl RawJson {
    /// Serializes a value.
    pub(crate) fn of(value: &impl Serialize) -> serde_json::Result<Self> {
        to_raw_value(value).map(Self)
    }

    /// Returns the JSON text.
    pub(crate) fn text(&self) -> &str {
        self.0.get()
    }
}

impl Default for RawJson {
    fn default() -> Self {
        Self(RawValue::NULL.to_owned())
    }
}

impl PartialEq for RawJson {
    fn eq(&self, other: &Self) -> bool {
        self.text() == other.text()
    }
}

impl Eq for RawJson {}

/// An object as sent over the wire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WireObject {
    /// The metadata.
    pub metadata: Metadata,
    /// The content.
    #[serde(default)]
    pub value: RawJson,
    /// The observed status, written separately from the content.
    #[serde(default)]
    pub status: RawJson,
}

/// A page of a list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WireList {
    /// Objects sorted by name, each a [`WireObject`] if it can be parsed.
    pub items: Vec<RawJson>,
    /// Whether there are more pages.
    #[serde(default)]
    pub has_more: bool,
    /// The revision of the store when the page was read.
    pub store_revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireEvent {
    /// Whether the change removed the object.
    pub removed: bool,
    /// The object after the change, or its last state if it was removed.
    pub object: WireObject,
}

/// The response to a watch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WireEvents {
    /// Changes, oldest first. Empty if the watch timed out.
    pub events: Readable<WireEvent>,
    /// The revision from which the next watch continues.
    pub store_revision: u64,
}

/// A list that skips entries that can't be parsed. Other clients write to the store too, and one
/// invalid entry must not hide the valid ones.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Readable<T> {
    /// The entries that could be parsed.
    pub entries: Vec<T>,
    /// Number of skipped entries.
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

impl<T: DeserializeOwned> Readable<T> {
    /// Parses each entry.
    pub(crate) fn parse(entries: &[RawJson]) -> Self {
        let parsed = entries
            .iter()
            .filter_map(|entry| serde_json::from_str(entry.text()).ok());
        let parsed: Vec<T> = parsed.collect();
        Self {
            left_out: entries.len() - parsed.len(),
            entries: parsed,
        }
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Readable<T> {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let entries = Vec::<RawJson>::deserialize(input)?;
        Ok(Self::parse(&entries))
    }
}

/// An object of which only the name is parsed.
#[derive(Deserialize)]
struct NamedObject {
    metadata: ObjectName,
}

#[derive(Deserialize)]
struct ObjectName {
    name: String,
}

impl WireList {
    /// Returns the last name on the page, also of an object that can't be parsed otherwise.
    pub(crate) fn last_name(&self) -> Option<String> {
        let name_of = |item: &RawJson| {
            let object = serde_json::from_str::<NamedObject>(item.text()).ok()?;
            Some(object.metadata.name)
        };
        self.items.iter().rev().find_map(name_of)
    }
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl WireObject {
    /// Creates an object for a write. A `revision` of 0 sets no condition.
    pub(crate) fn of(name: &str, value: &str, revision: u64) -> serde_json::Result<Self> {
        Ok(Self {
            metadata: Metadata {
                name: name.to_owned(),
                revision,
                ..Metadata::default()
            },
            value: RawJson::of(&value)?,
            status: RawJson::default(),
        })
    }

    /// Converts to an [`Object`] under `prefix`.
    pub(crate) fn into_object(self, prefix: &str) -> Object {
        let text = self.value.text();
        Object {
            key: format!("{prefix}{}", self.metadata.name),
            version: self.metadata.revision,
            value: serde_json::from_str(text).unwrap_or_else(|_| text.to_owned()),
        }
    }
}

/// Whether the platform keeps a VM in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// Scheduled for removal.
    Leaving,
}

/// An entry of the platform's list of VMs, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The id of the instance on the VM.
    pub instance: String,
    /// The state of the VM.
    pub state: VmState,
}

/// Faults that the stand-in injects until they are replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with 503 and has no effect.
    pub down: bool,
    /// Every call is rejected with 429, as under a rate limit.
    pub busy: bool,
    /// Calls never get a response.
    pub silent: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose responses are lost.
    pub lose_write_answers: u32,
    /// Delay of writes whose response is lost, in milliseconds. Their condition is checked after the
    /// delay.
    pub late_write_ms: u64,
    /// Watches never report changes.
    pub silent_watches: bool,
    /// The store discards its history, so that watches from older revisions get 410.
    pub forget_history: bool,
}

/// Counts of calls by type.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of objects, lists and the VM list.
    pub reads: u64,
    /// Writes, including those that failed with a conflict.
    pub writes: u64,
    /// Watches, including renewals.
    pub watches: u64,
    /// Watches that are currently open.
    pub watches_waiting: u64,
}

/// Keys of the objects that daemons store on the platform.
pub mod keys {
    use sorrelturn_protocol::{CallerId, CrashId, Incarnation};

    /// The signed manifest of the current bundle.
    pub const BUNDLE_HEAD: &str = "sorrelturn/bundle/head";
    /// The prefix of the members' records.
    pub const MEMBERS: &str = "sorrelturn/members/";

    /// The prefix of crash records for the quarantine of requests.
    pub const QUARANTINE: &str = "sorrelturn/quarantine/";

    /// The prefix of the states of failure domains.
    pub const STATUS: &str = "sorrelturn/status/";

    /// The kind of keys without a slash.
    const PLAIN_KIND: &str = "sorrelturn";

    /// Splits a key at its last slash into the kind, with hyphens in place of slashes, and the name.
    pub fn kind_and_name(key: &str) -> (String, &str) {
        match key.rsplit_once('/') {
            Some((kind, name)) => (kind.replace('/', "-"), name),
            None => (PLAIN_KIND.to_owned(), key),
        }
    }

    /// Returns the part of a key up to and including its last slash.
    pub(crate) fn prefix(key: &str) -> &str {
        key.rfind('/').map_or("", |slash| &key[..=slash])
    }

    /// Returns the key of the state of a failure domain.
    pub fn status(failure_domain: &str) -> String {
        format!("{STATUS}{failure_domain}")
    }

    /// Returns the key of the record of a crash.
    pub fn quarantine(by: CrashId) -> String {
        format!("{QUARANTINE}{:016x}", by.0)
    }

    /// Returns the key of a bundle section, by its content hash.
    pub fn section(hash: &str) -> String {
        format!("sorrelturn/bundle/sections/{hash}")
    }

    /// Returns the key of the signed manifest of an earlier version.
    pub fn history(version: u64) -> String {
        format!("{}{version:016}", history_prefix())
    }

    /// Returns the prefix of the keys of earlier manifests.
    pub fn history_prefix() -> String {
        "sorrelturn/bundle/history/".to_owned()
    }

    /// Returns the key of the member record of a daemon.
    pub fn member(instance: &str) -> String {
        format!("{MEMBERS}{instance}")
    }

    /// Returns the prefix of all token outcomes of an incarnation.
    pub fn outcomes_prefix(owner: Incarnation) -> String {
        format!("sorrelturn/outcomes/{owner}/")
    }

    /// Returns the key of the outcomes of one segment of an incarnation's tokens.
    pub fn outcomes(owner: Incarnation, segment: u64) -> String {
        format!("{}{segment}", outcomes_prefix(owner))
    }

    /// Returns the key of the record that an incarnation writes on a planned stop.
    pub fn closing_record(owner: Incarnation) -> String {
        format!("{}closing", outcomes_prefix(owner))
    }

    /// Returns the key of the token that is bound to a caller's idempotency key, given as its hash.
    pub fn binding(caller: CallerId, key_hash: &str) -> String {
        format!("sorrelturn/once/{:016x}/{key_hash}", caller.0)
    }
}
