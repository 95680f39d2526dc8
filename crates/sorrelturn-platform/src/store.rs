//! The stand-in's objects, without any I/O.

use crate::{Changes, Counters, Faults, Object, VmEntry};
use std::collections::BTreeMap;

/// The largest value, in bytes.
pub(crate) const VALUE_LIMIT_BYTES: usize = 1_000_000;

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) revision: u64,
    pub(crate) faults: Faults,
    pub(crate) counters: Counters,
    pub(crate) vms: Vec<VmEntry>,
    objects: BTreeMap<String, Object>,
}

impl Store {
    pub(crate) fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Updates an object if it is at the version that the writer expects; else says where it is.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: String,
        expected: Option<u64>,
    ) -> Result<u64, u64> {
        let current = self.objects.get(key).map_or(0, |object| object.version);
        if expected.is_some_and(|expected| expected != current) {
            return Err(current);
        }
        self.revision += 1;
        let object = Object {
            key: key.to_owned(),
            version: self.revision,
            value,
        };
        self.objects.insert(key.to_owned(), object);
        Ok(self.revision)
    }

    /// Deletes an object; no watch tells of it.
    pub(crate) fn delete(&mut self, key: &str) {
        self.objects.remove(key);
    }

    pub(crate) fn changes(&self, prefix: &str, since: u64) -> Changes {
        let objects = self
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, object)| object.version > since)
            .map(|(_, object)| object.clone())
            .collect();
        Changes {
            revision: self.revision,
            objects,
        }
    }
}
