//! Snapshot of the instances that calls can be routed to, which requests read without locking.

use crate::{clock::Clock, fleet::peers::PeerLink};
use sorrelturn_fleet::Membership;
use sorrelturn_policy::Instance;
use sorrelturn_protocol::{Incarnation, MemberRecord, MemberState};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

/// An instance with its statistics and connections.
pub(crate) struct KnownInstance {
    /// Member record published by the instance.
    pub(crate) record: MemberRecord,
    /// Load and failures observed by this daemon.
    pub(crate) stats: Instance,
    /// Connections to the instance.
    pub(crate) link: PeerLink,
    /// Whether another incarnation answered and an exchange with it was started.
    pub(crate) is_incarnation_queried: AtomicBool,
}

/// Snapshot of all instances.
#[derive(Default)]
pub(crate) struct InstanceTable {
    by_service: HashMap<String, Vec<Arc<KnownInstance>>>,
    by_incarnation: HashMap<Incarnation, Arc<KnownInstance>>,
    /// All services that have or had members.
    services: BTreeSet<String>,
}

impl InstanceTable {
    /// Number of services, including those without present instances.
    ///
    /// The detection of request origins relies on a number that doesn't fall during a restart or an outage.
    pub(crate) fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Live instances of a service.
    pub(crate) fn live_of_service(&self, service: &str) -> &[Arc<KnownInstance>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Fraction of all live instances that belong to a service, or 1 if the service has none.
    pub(crate) fn instance_fraction(&self, service: &str) -> f64 {
        let all: usize = self.by_service.values().map(Vec::len).sum();
        let own = self.live_of_service(service).len();
        if own == 0 {
            return 1.0;
        }
        own as f64 / all as f64
    }

    /// Instance with the given incarnation, whether or not it accepts new calls.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Arc<KnownInstance>> {
        self.by_incarnation.get(&incarnation)
    }

    /// Builds a new snapshot from the membership and reuses the routes of unchanged members.
    ///
    /// `cold_start` returns the warm-up time of a service.
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
        let had_members = !self.by_incarnation.is_empty();
        for record in membership.present() {
            let known = self.by_incarnation.get(&record.incarnation);
            let route = match known {
                Some(route) if route.record == *record => Arc::clone(route),
                _ => {
                    // For a daemon that has just started, all members are new but count as warmed up.
                    let is_new = known.is_none() && had_members;
                    let warm_up = if is_new {
                        cold_start(&record.service)
                    } else {
                        Duration::ZERO
                    };
                    let is_near = record.failure_domain == own_domain;
                    Arc::new(KnownInstance {
                        stats: Instance::new(record.incarnation, is_near, warm_up, clock.now()),
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
