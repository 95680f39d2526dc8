//! The instances that calls can go to, as one snapshot that requests read without a lock.

use crate::{clock::Clock, fleet::peers::PeerLink};
use sorrelturn_fleet::Membership;
use sorrelturn_policy::Instance;
use sorrelturn_protocol::{Incarnation, MemberRecord, MemberState};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

/// One instance with its statistics and its connection.
pub(crate) struct Route {
    /// What it says of itself.
    pub(crate) record: MemberRecord,
    /// What is known here of its load and failures.
    pub(crate) stats: Instance,
    /// The connection to it.
    pub(crate) link: PeerLink,
    /// Another run has answered in its place and is asked who it is.
    pub(crate) is_incarnation_queried: AtomicBool,
}

/// A snapshot of all instances.
#[derive(Default)]
pub(crate) struct Routes {
    by_service: HashMap<String, Vec<Arc<Route>>>,
    by_incarnation: HashMap<Incarnation, Arc<Route>>,
    /// The services that members belong to or belonged to.
    services: BTreeSet<String>,
}

impl Routes {
    /// How many services there are. One whose last instance stops or is away still counts: where requests
    /// come from is told by it, and that doesn't change meanwhile.
    pub(crate) fn service_count(&self) -> usize {
        self.services.len()
    }

    /// The instances of a service that take calls.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<Route>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The part of all VMs with instances that take calls that a service has; all of them where none is known.
    pub(crate) fn share_of(&self, service: &str) -> f64 {
        let all: usize = self.by_service.values().map(Vec::len).sum();
        let own = self.of_service(service).len();
        if own == 0 {
            return 1.0;
        }
        own as f64 / all as f64
    }

    /// The instance of an incarnation, whether it takes new calls or not.
    pub(crate) fn of_incarnation(&self, incarnation: Incarnation) -> Option<&Arc<Route>> {
        self.by_incarnation.get(&incarnation)
    }

    /// A snapshot of changed members; what is known of unchanged ones stays.
    ///
    /// `cold_start` gives the warm-up time of a service.
    pub(crate) fn rebuild(
        &self,
        membership: &Membership,
        own_domain: &str,
        clock: Clock,
        cold_start: impl Fn(&str) -> Duration,
    ) -> Self {
        let mut routes = Self {
            services: self.services.clone(),
            ..Self::default()
        };
        let known_before = !self.by_incarnation.is_empty();
        for record in membership.present() {
            let known = self.by_incarnation.get(&record.incarnation);
            let route = match known {
                Some(route) if route.record == *record => Arc::clone(route),
                _ => {
                    // A daemon that just started knows nobody; all others are warm to it.
                    let fresh = known.is_none() && known_before;
                    let warm_up = if fresh {
                        cold_start(&record.service)
                    } else {
                        Duration::ZERO
                    };
                    let near = record.failure_domain == own_domain;
                    Arc::new(Route {
                        stats: Instance::new(record.incarnation, near, warm_up, clock.now()),
                        link: PeerLink::new(record.peer_addr, clock),
                        is_incarnation_queried: AtomicBool::new(false),
                        record: record.clone(),
                    })
                }
            };
            if !routes.services.contains(&record.service) {
                routes.services.insert(record.service.clone());
            }
            if record.state == MemberState::Live {
                routes
                    .by_service
                    .entry(record.service.clone())
                    .or_default()
                    .push(Arc::clone(&route));
            }
            routes.by_incarnation.insert(record.incarnation, route);
        }
        routes
    }
}
