//! Whether requests of a kind begin with callers or are calls of backend servers, learnt at the
//! service that answers them. See `docs/design/entry-admission.md`.
//!
//! Callers send requests on every VM; a backend server makes its calls on its own. So requests
//! that come from the VMs of few services only are calls.

use std::collections::HashMap;

/// Before so many requests of a kind, nothing is concluded.
const MIN_REQUESTS: u32 = 40;
/// A service from whose VMs fewer come, in percent, doesn't count: a few requests go astray.
const MIN_SHARE_PERCENT: u32 = 3;
/// Fewer are enough where callers on all VMs would hardly send them all from these few: once in so many times by chance.
/// A service of half of the VMs is known by ten requests instead of forty, which an instance among many has within a
/// second of a start.
const CHANCE_FACTOR: f64 = 1_000.0;
/// When so many have come, older ones begin to count less.
const MAX_COUNTED_REQUESTS: u32 = 2_000;

/// Where the requests of each kind come from.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    by_kind: HashMap<String, HashMap<String, u32>>,
}

impl Origins {
    /// A request of a kind came from a VM of a service.
    pub fn record(&mut self, kind: &str, caller_service: &str) {
        let origins = match self.by_kind.get_mut(kind) {
            Some(origins) => origins,
            None => self.by_kind.entry(kind.to_owned()).or_default(),
        };
        match origins.get_mut(caller_service) {
            Some(count) => *count += 1,
            None => {
                origins.insert(caller_service.to_owned(), 1);
            }
        }
        if origins.values().sum::<u32>() > MAX_COUNTED_REQUESTS {
            origins.values_mut().for_each(|count| *count /= 2);
        }
    }

    /// Forgets kinds that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.by_kind.retain(|kind, _| exists(kind));
    }

    /// Whether requests of a kind are calls of backend servers, in a fleet of so many services; `share_of` tells the
    /// part of all VMs that a service has.
    pub fn are_calls(&self, kind: &str, services: usize, share_of: impl Fn(&str) -> f64) -> bool {
        let Some(origins) = self.by_kind.get(kind) else {
            return false;
        };
        let total: u32 = origins.values().sum();
        if total < MIN_REQUESTS {
            let share: f64 = origins.keys().map(|service| share_of(service)).sum();
            let chance = share.min(1.0).powi(total as i32);
            return origins.len() * 2 <= services && chance * CHANCE_FACTOR < 1.0;
        }
        let count = origins
            .values()
            .filter(|count| **count * 100 >= total * MIN_SHARE_PERCENT)
            .count();
        count * 2 <= services
    }
}
