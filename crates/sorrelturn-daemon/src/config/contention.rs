//! Which mechanisms for contention are on: what the settings say, else what the deployment calls for.

use crate::{
    config::{in_force::InForce, settings::ContentionSettings},
    node::lock,
};
use sorrelturn_telemetry::Field;
use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering},
};

/// The mechanisms for callers that compete for room and for uneven backend servers.
#[derive(Debug, Default)]
pub(crate) struct Contention {
    settings: ContentionSettings,
    /// Whether some backend server of the fleet reports its work time. Daemons tell one another with every call.
    work_times_reported: AtomicBool,
    last_logged: Mutex<Mechanisms>,
}

/// The mechanisms that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mechanisms {
    pooled_room: bool,
    entry_queue: bool,
    retry_order: bool,
    fair_shares: bool,
}

impl Contention {
    pub(crate) fn new(settings: ContentionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns whether some backend server of the fleet reports its work time.
    pub(crate) fn work_times_reported(&self) -> bool {
        self.work_times_reported.load(Ordering::Relaxed)
    }

    /// Records that some backend server reports its work time. Returns whether that wasn't known.
    pub(crate) fn record_work_times_reported(&self) -> bool {
        !self.work_times_reported() && !self.work_times_reported.swap(true, Ordering::Relaxed)
    }

    /// Returns the fields of the event that says which mechanisms are on, if that has changed since the last call.
    pub(crate) fn changed_fields(&self, in_force: &InForce) -> Option<Vec<Field>> {
        let mechanisms = Mechanisms {
            pooled_room: self.pools_room(),
            entry_queue: self.queues_at_entry(in_force),
            retry_order: self.orders_retries(in_force),
            fair_shares: self.shares_fairly(in_force),
        };
        let mut last_logged = lock(&self.last_logged);
        if *last_logged == mechanisms {
            return None;
        }
        *last_logged = mechanisms;
        Some(vec![
            Field::new("pooled_room", mechanisms.pooled_room),
            Field::new("entry_queue", mechanisms.entry_queue),
            Field::new("retry_order", mechanisms.retry_order),
            Field::new("fair_shares", mechanisms.fair_shares),
        ])
    }

    /// Returns whether refusals at the entry follow from the room of all instances of a service together.
    pub(crate) fn pools_room(&self) -> bool {
        let setting = self.settings.pooled_room;
        setting.unwrap_or_else(|| self.work_times_reported())
    }

    /// Returns whether root requests wait for room at their entry.
    pub(crate) fn queues_at_entry(&self, in_force: &InForce) -> bool {
        let setting = self.settings.entry_queue;
        setting.unwrap_or_else(|| self.work_times_reported() || in_force.has_quotas())
    }

    /// Returns whether scarce retries go to the calls of the root requests that come first.
    pub(crate) fn orders_retries(&self, in_force: &InForce) -> bool {
        let setting = self.settings.retry_order;
        setting.unwrap_or_else(|| self.work_times_reported() || in_force.has_quotas())
    }

    /// Returns whether workspaces are refused by their fair shares.
    pub(crate) fn shares_fairly(&self, in_force: &InForce) -> bool {
        let setting = self.settings.fair_shares;
        setting.unwrap_or_else(|| in_force.has_quotas())
    }
}
