//! The faults and the load of the experiment file at the current time.

use super::{Call, Simulation, seconds};
use crate::experiment::file::FaultSpec;
use sorrelturn_policy::NamedLimit;
use sorrelturn_protocol::RequestRate;

impl Simulation<'_> {
    /// The current load as a multiple of the normal load, and the number of requests that arrive at once.
    pub(super) fn current_load(&self) -> (f64, u32) {
        let now = self.now.as_secs_f64();
        let mut load = (1.0, 1);
        for interval in &self.experiment.load {
            if (interval.from_s..interval.to_s).contains(&now) {
                load.0 *= interval.times;
                load.1 = load.1.max(interval.clumps_of);
            }
        }
        load
    }

    /// The current share of impatient callers and their additional attempts.
    pub(super) fn impatience(&self) -> Option<(f64, u32)> {
        let now = self.now.as_secs_f64();
        self.experiment.faults.iter().find_map(|fault| match fault {
            FaultSpec::Repeats {
                share,
                tries,
                from_s,
                to_s,
            } if (*from_s..*to_s).contains(&now) => Some((*share, *tries)),
            _ => None,
        })
    }

    pub(super) fn is_lost(&self, daemon: usize) -> bool {
        let service = self.service_by_daemon[daemon];
        let index = daemon - self.first_daemons[service];
        let name = &self.outcome.services[service].service;
        let now = self.now.as_secs_f64();
        self.experiment.faults.iter().any(|fault| {
            matches!(fault, FaultSpec::Lost { service, instances, from_s, to_s }
                if service == name && index < *instances && (*from_s..*to_s).contains(&now))
        })
    }

    /// The slowdown factor of a backend server and the share of requests that it refuses.
    pub(super) fn backend_faults(&self, daemon: usize) -> (f64, f64) {
        let service = self.service_by_daemon[daemon];
        let index = daemon - self.first_daemons[service];
        let name = &self.outcome.services[service].service;
        let now = self.now.as_secs_f64();
        let (mut slowdown, mut refused_share) = (1.0, 0.0);
        for fault in &self.experiment.faults {
            match fault {
                FaultSpec::Slow {
                    service,
                    instances,
                    times,
                    from_s,
                    to_s,
                } if service == name && index < *instances && (*from_s..*to_s).contains(&now) => {
                    slowdown *= times;
                }
                FaultSpec::TurnsAway {
                    service,
                    share,
                    from_s,
                    to_s,
                } if service == name && (*from_s..*to_s).contains(&now) => refused_share = *share,
                FaultSpec::RestartAll {
                    at_s,
                    for_s,
                    cold_s,
                    cold_times,
                } if (*at_s..at_s + for_s + cold_s).contains(&now) => slowdown *= cold_times,
                _ => {}
            }
        }
        (slowdown, refused_share)
    }

    /// What a response of a backend server says of its limit.
    pub(super) fn named_limit(&self, daemon: usize) -> NamedLimit {
        let service = self.service_by_daemon[daemon];
        let index = daemon - self.first_daemons[service];
        let name = &self.outcome.services[service].service;
        let now = self.now.as_secs_f64();
        let limit = self.experiment.faults.iter().find_map(|fault| match fault {
            FaultSpec::Limits {
                service,
                instances,
                per_second,
                from_s,
                to_s,
            } if service == name && index < *instances && (*from_s..*to_s).contains(&now) => {
                RequestRate::new(*per_second)
            }
            _ => None,
        });
        limit.map_or(NamedLimit::Absent, NamedLimit::Rate)
    }

    /// Restarts all daemons. Calls in flight fail and learned state is lost.
    pub(super) fn restart(&mut self) {
        let now = self.now.as_secs_f64();
        for fault in &self.experiment.faults {
            if let FaultSpec::RestartAll { at_s, for_s, .. } = fault
                && *at_s <= now
            {
                self.accepts_from = self.accepts_from.max(seconds(at_s + for_s));
            }
        }
        self.runs.clear();
        let calls = std::mem::take(&mut self.calls);
        let mut roots: Vec<(u64, Call)> = calls
            .into_iter()
            .filter(|(_, call)| call.parent.is_none())
            .collect();
        // The iteration order of a map differs between executions.
        roots.sort_unstable_by_key(|(id, _)| *id);
        for (_, call) in roots {
            self.retry_failed(call.kind, call.caller);
        }
        self.start_daemons();
    }
}
