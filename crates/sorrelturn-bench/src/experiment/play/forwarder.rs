//! The daemon that forwards a call: which instance, and what follows from its answer.

use super::{Call, Ended, Event, FAILS_IN, Play, ms};
use crate::experiment::daemon::{Told, incarnation};
use crate::experiment::file::Mechanism;
use sorrelturn_policy::{Attempt, InstanceReport, Step, next_step, step_after_backend_refusal};
use sorrelturn_protocol::{Refusal, Verdict};

impl Play<'_> {
    /// A rank among those of root requests, as a daemon knows them.
    pub(super) fn rank(&self, daemon: usize, kind: usize) -> (usize, usize) {
        if self.experiment.learns_calls {
            self.daemons[daemon].known_rank(&self.importances, kind)
        } else {
            self.kinds[kind].rank
        }
    }

    /// A call of the backend server beside a daemon. Until its kind is known to be one, it is taken for a root
    /// request: it may be refused there, and tells nothing of who calls whom.
    pub(super) fn nested(&mut self, mut call: Call) {
        let (from, kind, now) = (call.from, call.kind, self.now);
        if self.experiment.learns_calls {
            if self.daemons[from].is_call(kind) {
                self.daemons[from].called(&self.names, kind, call.deadline);
            } else {
                let rank = self.rank(from, kind);
                let left = call.deadline.saturating_sub(now);
                let (experiment, bucket) = (self.experiment, call.bucket);
                if self.daemons[from].refuses(experiment, now, kind, rank, bucket, left) {
                    return self.over(call, Ended::NotRun(Refusal::Overload));
                }
                call.level = self.daemons[from].level(now, kind);
            }
        }
        self.forward(call);
    }

    /// Sends a call to the better of two instances.
    pub(super) fn forward(&mut self, mut call: Call) {
        let service = self.kinds[call.kind].service;
        let daemon = &mut self.daemons[call.from];
        if call.tries.sends == 0 {
            daemon.sends(self.now, service, call.for_repeat);
        }
        let (experiment, now) = (self.experiment, self.now);
        let mut others = call.tries.tried.clone();
        others.extend(call.tries.turned_away_by);
        let picked = daemon.pick(experiment, now, service, &others, &mut self.rng);
        let Some(at) = picked else {
            return self.over(call, Ended::NotRun(Refusal::NoInstance));
        };
        daemon.starts(service, at);
        call.tries.at = at;
        call.tries.sends += 1;
        let id = self.id();
        let hop = ms(self.experiment.hop_ms);
        let sent = self.works(call.from);
        let owner = self.first[service] + at;
        let lost = self.is_lost(owner);
        self.calls.insert(id, call);
        if lost {
            let refusal = Ended::NotRun(Refusal::BackendUnreachable);
            return self.at(sent + FAILS_IN, Event::Answer(id, refusal, None));
        }
        self.at(sent + hop, Event::Arrives(id));
    }

    /// An answer is back at the daemon that forwarded the call.
    pub(super) fn answer(&mut self, id: u64, ended: Ended, told: Option<Told>) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        self.works(call.from);
        let service = self.kinds[call.kind].service;
        let daemon = &mut self.daemons[call.from];
        let load = told.map_or(0, |told| told.load);
        let report = match ended {
            Ended::NotRun(Refusal::BackendRefused) => InstanceReport::BackendError,
            Ended::NotRun(Refusal::BackendUnreachable) => InstanceReport::Unreachable,
            Ended::TooLate | Ended::Crashed => InstanceReport::Failed,
            _ => InstanceReport::Answered { load },
        };
        daemon.ends(self.now, service, call.tries.at, report);
        if let Some(told) = told {
            daemon.learns(self.now, call.kind, &told);
        }
        let asked = incarnation(service, call.tries.at);
        if matches!(ended, Ended::NotRun(Refusal::BackendRefused)) {
            call.tries.turned_away += 1;
            call.tries.turned_away_by = Some(asked);
        } else {
            call.tries.tried.push(asked);
        }
        if self.goes_on(&mut call, ended) {
            return self.forward(call);
        }
        self.over(call, ended);
    }

    /// Whether another instance is asked, as the product decides it.
    pub(super) fn goes_on(&mut self, call: &mut Call, ended: Ended) -> bool {
        let refusal = match ended {
            Ended::Answered => return false,
            Ended::NotRun(refusal) => Some(refusal),
            Ended::FailedBelow | Ended::TooLate | Ended::Crashed => None,
        };
        call.tries.crashes += usize::from(matches!(ended, Ended::Crashed));
        let holds = self.experiment.is_on(Mechanism::Quarantine);
        let crashes_them = holds && call.tries.crashes >= self.experiment.crashes_to_hold;
        if crashes_them || self.is_held(call.caller.request) {
            return false;
        }
        let reached = refusal == Some(Refusal::BackendRefused);
        let time_left = self.now < call.deadline;
        let decided = next_step(&Attempt {
            verdict: match refusal {
                Some(_) => Verdict::NotRun,
                None => Verdict::Ran,
            },
            refusal,
            already_retried: matches!(ended, Ended::FailedBelow),
            repeatable: self.kinds[call.kind].repeatable,
            reroutes: call.tries.reroutes,
            attempts_left: call.tries.attempts_left,
            attempts_needed: 1,
            has_time_left: time_left,
        });
        let step = if reached {
            step_after_backend_refusal(call.tries.turned_away, time_left)
        } else {
            decided
        };
        if reached && !self.experiment.is_on(Mechanism::SendingAgain) {
            return false;
        }
        let service = self.kinds[call.kind].service;
        let mut paid = || self.daemons[call.from].pays_retry(self.now, service);
        match step {
            Step::Reroute if !reached => call.tries.reroutes += 1,
            Step::Reroute if paid() => {}
            Step::Retry if paid() => {
                call.tries.attempts_left = call.tries.attempts_left.saturating_sub(1);
                call.repeated = true;
            }
            _ => return false,
        }
        true
    }

    /// A call has its final answer.
    pub(super) fn over(&mut self, call: Call, ended: Ended) {
        let Some(run) = call.parent else {
            return self.root_over(&call, ended);
        };
        let Some(parent) = self.runs.get(&run) else {
            return;
        };
        match ended {
            Ended::Answered => {
                let piece = parent.piece;
                self.after(piece, Event::PieceDone(run));
            }
            _ => self.run_over(run, Ended::FailedBelow),
        }
    }
}
