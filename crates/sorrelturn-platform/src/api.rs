//! The object API's messages. `docs/design/platform.md` describes the calls.

use serde::{Deserialize, Serialize};

/// One object with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Where it lies.
    pub key: String,
    /// Rises with each update of any object; 0 never occurs.
    pub version: u64,
    /// Its content, at most a megabyte.
    pub value: String,
}

/// What a list or a watch answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The store's revision, from which the next watch goes on.
    pub revision: u64,
    /// The objects that changed.
    pub objects: Vec<Object>,
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
    /// Every call fails.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next writes take effect, and their answers are lost.
    pub lose_write_answers: u32,
    /// Watches never report anything.
    pub silent_watches: bool,
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
    use sorrelturn_protocol::{CallerId, Incarnation};

    /// The signed manifest of the bundle that was accepted last.
    pub const BUNDLE_HEAD: &str = "sorrelturn/bundle/head";
    /// The members' own records.
    pub const MEMBERS: &str = "sorrelturn/members/";

    /// The states of the failure domains.
    pub const STATUS: &str = "sorrelturn/status/";

    /// The state of one failure domain.
    pub fn status(failure_domain: &str) -> String {
        format!("{STATUS}{failure_domain}")
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
    pub fn closing(owner: Incarnation) -> String {
        format!("{}closing", outcomes_prefix(owner))
    }

    /// The token that a caller's key is bound to; the key goes in as its hash.
    pub fn binding(caller: CallerId, key_hash: &str) -> String {
        format!("sorrelturn/once/{:016x}/{key_hash}", caller.0)
    }
}
