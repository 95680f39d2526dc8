//! Snapshot of the instances that calls can be routed to, which requests read without locking.

use crate::{clock::Clock, fleet::peers::PeerLink, net::pool::PoolTotals};
use sorrelturn_fleet::Membership;
use sorrelturn_policy::{Instance, Now, RoomSum, ServiceRoom};
use sorrelturn_protocol::{ContentionReport, Incarnation, MemberRecord, MemberState, Priority};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// An instance with its statistics and connections.
pub(crate) struct KnownInstance {
    /// Member record published by the instance.
    pub(crate) record: MemberRecord,
    /// Load and failures observed by this daemon.
    pub(crate) stats: Arc<Instance>,
    /// Connections to the instance.
    pub(crate) link: Arc<PeerLink>,
    /// Whether another incarnation answered and an exchange with it was started.
    pub(crate) is_incarnation_queried: AtomicBool,
}

impl KnownInstance {
    /// Returns the instance with a newer record that changes nothing for calls to it; `None` if it does.
    fn with_record(&self, record: &MemberRecord) -> Option<Self> {
        let backend_id = |record: &MemberRecord| {
            let backend = record.backend.as_ref();
            backend.map(|backend| backend.id.clone())
        };
        let is_same = self.record.state == record.state
            && self.record.peer_addr == record.peer_addr
            && self.record.service == record.service
            && self.record.failure_domain == record.failure_domain
            && backend_id(&self.record) == backend_id(record);
        is_same.then(|| Self {
            record: record.clone(),
            stats: Arc::clone(&self.stats),
            link: Arc::clone(&self.link),
            is_incarnation_queried: AtomicBool::new(
                self.is_incarnation_queried.load(Ordering::Relaxed),
            ),
        })
    }
}

/// The live instances of a service.
#[derive(Default)]
struct LiveInstances {
    instances: Vec<Arc<KnownInstance>>,
    room: ServiceRoom,
}

impl LiveInstances {
    fn stats(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter().map(|instance| &*instance.stats)
    }
}

/// Snapshot of the instances that are not gone, and of all services.
#[derive(Default)]
pub(crate) struct InstanceTable {
    by_service: HashMap<String, LiveInstances>,
    by_incarnation: HashMap<Incarnation, Arc<KnownInstance>>,
    /// All services that have or had members.
    services: BTreeSet<String>,
}

impl InstanceTable {
    /// Returns the number of services, including those without present instances.
    ///
    /// Deciding whether requests are nested calls (`are_calls`) needs a number that doesn't fall during a restart or an
    /// outage.
    pub(crate) fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the number of instances, whether or not they accept calls.
    pub(crate) fn member_count(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Returns the live instances of a service.
    pub(crate) fn live_of_service(&self, service: &str) -> &[Arc<KnownInstance>] {
        self.by_service
            .get(service)
            .map_or(&[], |live| live.instances.as_slice())
    }

    /// Returns the level that follows from an answer of an instance of a service: the pooled level of the service
    /// instead of what the instance announces for its own room, if enough instances have reported theirs.
    pub(crate) fn level_of_answer(
        &self,
        service: &str,
        now: Now,
        announced: Priority,
        report: &ContentionReport,
    ) -> Priority {
        let live = self.by_service.get(service);
        live.map_or(announced, |live| {
            let without_room = report.level_without_room;
            live.room
                .level_of_answer(now, live.stats(), announced, without_room)
        })
    }

    /// Returns the room of each service, as far as this daemon knows it.
    pub(crate) fn rooms(&self, now: Now) -> impl Iterator<Item = (&str, RoomSum)> {
        self.by_service
            .iter()
            .map(move |(service, live)| (service.as_str(), RoomSum::of(now, live.stats())))
    }

    /// Returns the shedding level that the limits of a service's backend servers call for: that of the instance with the
    /// most room, since the others leave their calls to it. 0 if any instance has no limit.
    pub(crate) fn limit_level(&self, service: &str, now: Now) -> u16 {
        let mut lowest = None;
        for instance in self.live_of_service(service) {
            let level = instance.stats.limit_level(now);
            if level == 0 {
                return 0;
            }
            lowest = Some(lowest.map_or(level, |lowest: u16| lowest.min(level)));
        }
        lowest.unwrap_or(0)
    }

    /// Returns the fraction of all live instances that belong to a service, or 1 if the service has none.
    pub(crate) fn instance_fraction(&self, service: &str) -> f64 {
        let all: usize = self
            .by_service
            .values()
            .map(|live| live.instances.len())
            .sum();
        let own = self.live_of_service(service).len();
        if own == 0 {
            return 1.0;
        }
        own as f64 / all as f64
    }

    /// Returns the instance with the given incarnation, whether or not it accepts new calls.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Arc<KnownInstance>> {
        self.by_incarnation.get(&incarnation)
    }

    /// Drops idle connections to all instances that are closed or that have been idle too long.
    pub(crate) fn drop_expired_connections(&self) {
        for instance in self.by_incarnation.values() {
            instance.link.drop_expired();
        }
    }

    /// Drops all idle connections to instances; calls in progress on others continue.
    pub(crate) fn drop_idle_connections(&self) {
        for instance in self.by_incarnation.values() {
            instance.link.drop_idle();
        }
    }

    /// Builds a new snapshot from the membership and reuses the entries of unchanged members.
    ///
    /// Instances in `evacuated` failure domains receive no calls. `warm_up_time` returns the warm-up time of a service.
    pub(crate) fn rebuild(
        &self,
        membership: &Membership,
        own_domain: &str,
        evacuated: &BTreeSet<String>,
        clock: Clock,
        peer_connections: &Arc<PoolTotals>,
        warm_up_time: impl Fn(&str) -> Duration,
    ) -> Self {
        let mut table = Self {
            services: self.services.clone(),
            ..Self::default()
        };
        let had_members = !self.by_incarnation.is_empty();
        for record in membership.present() {
            let known = self.by_incarnation.get(&record.incarnation);
            let instance = match known {
                Some(instance) if instance.record == *record => Arc::clone(instance),
                Some(instance) if let Some(updated) = instance.with_record(record) => {
                    Arc::new(updated)
                }
                _ => {
                    // For a daemon that has just started, all members are new but count as warmed up.
                    let is_new = known.is_none() && had_members;
                    let warm_up = if is_new {
                        warm_up_time(&record.service)
                    } else {
                        Duration::ZERO
                    };
                    let in_same_domain = record.failure_domain == own_domain;
                    Arc::new(KnownInstance {
                        stats: Arc::new(Instance::new(
                            record.incarnation,
                            in_same_domain,
                            warm_up,
                            clock.now(),
                        )),
                        link: Arc::new(PeerLink::new(record.peer_addr, clock, peer_connections)),
                        is_incarnation_queried: AtomicBool::new(false),
                        record: record.clone(),
                    })
                }
            };
            if !table.services.contains(&record.service) {
                table.services.insert(record.service.clone());
            }
            if record.state == MemberState::Live && !evacuated.contains(&record.failure_domain) {
                table
                    .by_service
                    .entry(record.service.clone())
                    .or_default()
                    .instances
                    .push(Arc::clone(&instance));
            }
            table.by_incarnation.insert(record.incarnation, instance);
        }
        table
    }
}
