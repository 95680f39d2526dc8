//! Shards: groups of workspaces whose requests one allocator grants.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Also the maximum number of allocators that a quota client prefers at a time. More shards spread the load over more
/// allocators but cost each quota client more messages.
pub const SHARD_COUNT: usize = 8;

/// The number of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard(pub u8);

impl Shard {
    /// The shard of a workspace.
    pub fn of(workspace: CallerId) -> Self {
        Self((workspace.0 % SHARD_COUNT as u64) as u8)
    }

    /// Iterates over all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT as u8).map(Self)
    }

    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// A set of shards.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ShardSet(u16);

impl ShardSet {
    /// Adds a shard.
    pub fn insert(&mut self, shard: Shard) {
        self.0 |= 1 << shard.0;
    }

    /// Whether the set contains a shard.
    pub fn contains(self, shard: Shard) -> bool {
        self.0 & (1 << shard.0) != 0
    }

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the shards of the set.
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

/// Selects a shard's allocator by rendezvous hashing: clients with the same members select the same one, and a joining
/// or leaving member moves only its own shards.
pub fn preferred_allocator<'a>(
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
