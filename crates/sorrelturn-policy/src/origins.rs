//! Detects whether requests of a kind come from callers or are calls of backend servers, as seen by
//! the service that serves them. See `docs/design/entry-admission.md`.
//!
//! Callers send requests from every VM, while a backend server makes calls only from its own VM. So
//! requests that come from the VMs of at most half of the services are calls.

use std::collections::HashMap;

/// Minimum number of requests of a kind for a decision by the number of services.
const MIN_REQUESTS: u32 = 40;
/// Services that send a smaller percentage of the requests are ignored, as a few requests are
/// misattributed.
const MIN_SHARE_PERCENT: u32 = 3;
/// With fewer than [`MIN_REQUESTS`], requests count as calls only if the probability that callers
/// spread over all VMs would use only the observed services is below 1 / this value. A service with
/// half of the VMs is recognized after ten requests instead of forty, which an instance gets within
/// a second of its start.
const MIN_ODDS_AGAINST_CHANCE: f64 = 1_000.0;
/// Number of requests of a kind above which the counts are halved, so that older requests weigh
/// less.
const MAX_COUNTED_REQUESTS: u32 = 2_000;

/// Counts the requests of each kind by the service whose VMs they come from, and detects kinds that
/// are calls of backend servers.
#[derive(Clone, Debug, Default)]
pub struct RequestOrigins {
    by_kind: HashMap<String, HashMap<String, u32>>,
}

impl RequestOrigins {
    /// Records a request of a kind that came from a VM of `caller_service`.
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

    /// Removes kinds that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.by_kind.retain(|kind, _| exists(kind));
    }

    /// Returns whether requests of a kind are calls of backend servers, in a fleet with this number
    /// of services. `share_of` returns a service's share of all VMs.
    pub fn are_calls(&self, kind: &str, services: usize, share_of: impl Fn(&str) -> f64) -> bool {
        let Some(origins) = self.by_kind.get(kind) else {
            return false;
        };
        let total: u32 = origins.values().sum();
        if total < MIN_REQUESTS {
            let share: f64 = origins.keys().map(|service| share_of(service)).sum();
            let chance = share.min(1.0).powi(total as i32);
            return origins.len() * 2 <= services && chance * MIN_ODDS_AGAINST_CHANCE < 1.0;
        }
        let count = origins
            .values()
            .filter(|count| **count * 100 >= total * MIN_SHARE_PERCENT)
            .count();
        count * 2 <= services
    }
}
