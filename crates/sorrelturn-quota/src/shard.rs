//! Shards: the workspaces that have one accountant in common.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::hash::{DefaultHasher, Hash, Hasher};

/// How many shards there are. Each daemon keeps in touch with as many accountants at most, and each accountant
/// with all daemons: more of them share the work of a fleet better and cost each daemon more messages.
pub const SHARDS: usize = 8;

/// The number of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard(pub u8);

impl Shard {
    /// The shard of a workspace.
    pub fn of(workspace: CallerId) -> Self {
        Self((workspace.0 % SHARDS as u64) as u8)
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS as u8).map(Self)
    }

    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Some of the shards.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ShardSet(u16);

impl ShardSet {
    /// Adds a shard.
    pub fn insert(&mut self, shard: Shard) {
        self.0 |= 1 << shard.0;
    }

    /// Whether a shard is among them.
    pub fn contains(self, shard: Shard) -> bool {
        self.0 & (1 << shard.0) != 0
    }

    /// Whether there are none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The shards.
    pub fn iter(self) -> impl Iterator<Item = Shard> {
        Shard::all().filter(move |shard| self.contains(*shard))
    }
}

impl FromIterator<Shard> for ShardSet {
    fn from_iter<T: IntoIterator<Item = Shard>>(shards: T) -> Self {
        let mut set = Self::default();
        shards.into_iter().for_each(|shard| set.insert(shard));
        set
    }
}

/// The member that all who know the same members take for a shard's accountant. When one comes or goes, only the
/// shards that fall to it or were its own move.
pub fn preferred_accountant<'a>(
    shard: Shard,
    members: impl Iterator<Item = (&'a str, Incarnation)>,
) -> Option<Incarnation> {
    let weight = |instance: &str| {
        let mut hasher = DefaultHasher::new();
        (shard.0, instance).hash(&mut hasher);
        hasher.finish()
    };
    let weighted = members.map(|(instance, incarnation)| (weight(instance), incarnation));
    weighted.max().map(|(_, incarnation)| incarnation)
}
