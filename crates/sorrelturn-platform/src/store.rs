//! The in-memory object store of the stand-in, without I/O.

use crate::{
    Counters, Faults, VmEntry,
    api::{RawJson, WireEvent, WireEvents, WireList, WireObject},
};
use std::collections::{BTreeMap, VecDeque};

/// Maximum size of a value, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1_048_576;
/// Maximum number of objects on a page of a list.
const PAGE_CAPACITY: usize = 500;
/// Number of changes retained for watches.
const HISTORY_CAPACITY: usize = 10_000;

/// The result of a write.
pub(crate) enum Written {
    /// The write took effect. Holds the new object.
    Done(WireObject),
    /// The condition of the write doesn't hold. Holds the current object.
    Conflict(WireObject),
    /// The object doesn't exist.
    Absent,
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) faults: Faults,
    pub(crate) counters: Counters,
    pub(crate) vms: Vec<VmEntry>,
    revision: u64,
    /// Watches since an earlier revision get 410, because the history up to here is discarded.
    discarded_revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, WireObject>>,
    history: VecDeque<(u64, String, WireEvent)>,
}

impl Store {
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&WireObject> {
        self.kinds.get(kind)?.get(name)
    }

    /// Creates an object if its name is free.
    pub(crate) fn create(&mut self, kind: &str, object: WireObject) -> Written {
        match self.get(kind, &object.metadata.name) {
            Some(existing) => Written::Conflict(existing.clone()),
            None => self.change(kind, object),
        }
    }

    /// Replaces an object's content if its condition holds.
    pub(crate) fn replace(&mut self, kind: &str, name: &str, new: WireObject) -> Written {
        let condition = new.metadata.revision;
        self.update(kind, name, condition, |object| {
            object.value = new.value;
            object.metadata.finalizers = new.metadata.finalizers;
        })
    }

    /// Replaces an object's status if its condition holds.
    pub(crate) fn replace_status(&mut self, kind: &str, name: &str, new: WireObject) -> Written {
        let condition = new.metadata.revision;
        self.update(kind, name, condition, |object| object.status = new.status)
    }

    /// Removes an object, or marks it as deleting if it has finalizers.
    pub(crate) fn delete(&mut self, kind: &str, name: &str, condition: u64) -> Written {
        let Some(object) = self.get(kind, name).cloned() else {
            return Written::Absent;
        };
        if condition != 0 && condition != object.metadata.revision {
            return Written::Conflict(object);
        }
        if object.metadata.finalizers.is_empty() {
            return self.remove(kind, object);
        }
        self.update(kind, name, 0, |object| object.metadata.deleting = true)
    }

    fn update(
        &mut self,
        kind: &str,
        name: &str,
        condition: u64,
        apply: impl FnOnce(&mut WireObject),
    ) -> Written {
        let Some(before) = self.get(kind, name).cloned() else {
            return Written::Absent;
        };
        if condition != 0 && condition != before.metadata.revision {
            return Written::Conflict(before);
        }
        let mut after = before.clone();
        apply(&mut after);
        if after == before {
            return Written::Done(before);
        }
        if after.metadata.deleting && after.metadata.finalizers.is_empty() {
            return self.remove(kind, after);
        }
        self.change(kind, after)
    }

    fn change(&mut self, kind: &str, mut object: WireObject) -> Written {
        self.revision += 1;
        object.metadata.revision = self.revision;
        self.kinds
            .entry(kind.to_owned())
            .or_default()
            .insert(object.metadata.name.clone(), object.clone());
        self.record_event(kind, false, object.clone());
        Written::Done(object)
    }

    fn remove(&mut self, kind: &str, object: WireObject) -> Written {
        self.revision += 1;
        if let Some(objects) = self.kinds.get_mut(kind) {
            objects.remove(&object.metadata.name);
        }
        self.record_event(kind, true, object.clone());
        Written::Done(object)
    }

    fn record_event(&mut self, kind: &str, removed: bool, object: WireObject) {
        let event = WireEvent { removed, object };
        self.history
            .push_back((self.revision, kind.to_owned(), event));
        while self.history.len() > HISTORY_CAPACITY {
            if let Some((revision, _, _)) = self.history.pop_front() {
                self.discarded_revision = revision;
            }
        }
    }

    /// Discards the history, so that watches from earlier revisions fail.
    pub(crate) fn forget_history(&mut self) {
        self.history.clear();
        self.discarded_revision = self.revision;
    }

    /// Returns a page of the objects of a kind, starting after a name.
    pub(crate) fn page(&self, kind: &str, after: &str) -> WireList {
        let objects_by_name = self.kinds.get(kind);
        let mut rest = objects_by_name
            .into_iter()
            .flat_map(|objects| objects.range(after.to_owned()..))
            .filter(|(name, _)| name.as_str() > after)
            .map(|(_, object)| object.clone());
        let page = rest.by_ref().take(PAGE_CAPACITY);
        let items = page.filter_map(|object| RawJson::of(&object).ok());
        WireList {
            items: items.collect(),
            has_more: rest.next().is_some(),
            store_revision: self.revision,
        }
    }

    /// Returns the changes of a kind since a revision, or `None` if that history was discarded.
    pub(crate) fn events(&self, kind: &str, since: u64) -> Option<WireEvents> {
        if since < self.discarded_revision {
            return None;
        }
        let events: Vec<WireEvent> = self
            .history
            .iter()
            .filter(|(revision, event_kind, _)| *revision > since && event_kind == kind)
            .map(|(_, _, event)| event.clone())
            .collect();
        Some(WireEvents {
            events: events.into(),
            store_revision: self.revision,
        })
    }
}
