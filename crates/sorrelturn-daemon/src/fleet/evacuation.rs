//! Evacuations of failure domains, whose backend servers receive no requests until operators take
//! the evacuation back. See `docs/design/evacuations.md`.

use crate::{
    backend::state,
    fleet::gossip,
    node::{Node, lock},
};
use sorrelturn_fleet::Evacuations;
use sorrelturn_platform::Changes;
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

/// The evacuated failure domains that this daemon knows.
#[derive(Default)]
pub(crate) struct EvacuationState {
    current: Mutex<Evacuations>,
    includes_own_domain: AtomicBool,
}

impl EvacuationState {
    /// Returns the newest known evacuations.
    pub(crate) fn current(&self) -> Evacuations {
        lock(&self.current).clone()
    }

    /// Returns the evacuated failure domains.
    pub(crate) fn domains(&self) -> BTreeSet<String> {
        lock(&self.current).domains.clone()
    }

    /// Returns whether the failure domain of this daemon is evacuated.
    pub(crate) fn includes_own_domain(&self) -> bool {
        self.includes_own_domain.load(Ordering::Relaxed)
    }
}

/// Applies evacuations that were read from the store or received from a peer, and passes them on if
/// they changed anything.
pub(crate) fn receive(node: &Arc<Node>, update: &Evacuations) {
    let evacuation = &node.evacuation;
    let own_domain = &node.settings.failure_domain;
    let (was_own, is_own) = {
        let mut current = lock(&evacuation.current);
        if !current.merge(update) {
            return;
        }
        let is_own = current.domains.contains(own_domain);
        let was_own = evacuation
            .includes_own_domain
            .swap(is_own, Ordering::Relaxed);
        (was_own, is_own)
    };
    if was_own && !is_own {
        state::assume_cold(node);
    }
    node.apply_evacuations();
    let domains: Vec<&str> = update.domains.iter().map(String::as_str).collect();
    let fields = vec![
        Field::new("revision", update.revision),
        Field::new("domains", domains.join(",")),
    ];
    node.record_event(&events::EVACUATION_CHANGED, fields);
    gossip::push_evacuations(node, update.clone());
}

/// Returns the evacuations in a list of the objects under `prefix`, which are named after the
/// evacuated failure domains.
pub(crate) fn from_list(prefix: &str, listed: &Changes) -> Evacuations {
    let keys = listed.objects.iter().map(|object| object.key.as_str());
    Evacuations {
        revision: listed.revision,
        domains: keys
            .map(|key| key.strip_prefix(prefix).unwrap_or(key).to_owned())
            .collect(),
    }
}
