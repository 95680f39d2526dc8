//! The failure domains that operators evacuate.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The evacuated failure domains as of a revision of the platform's store. Of two, the one with the
/// higher revision is newer, whichever daemon read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The revision of the store; 0 if nothing was read yet.
    pub revision: u64,
    /// The evacuated failure domains.
    pub domains: BTreeSet<String>,
}

impl Evacuations {
    /// Takes over `other` if it is newer. Returns whether that changed the evacuated domains.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        self.revision = other.revision;
        let has_changed = self.domains != other.domains;
        if has_changed {
            self.domains.clone_from(&other.domains);
        }
        has_changed
    }
}
