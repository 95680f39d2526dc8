//! The daemon beside the backend server that runs a call, and the run.

use super::{Call, Ended, Event, Play, Run, TURNS_AWAY_IN, Tries, ms};
use crate::experiment::daemon::Told;
use crate::experiment::file::Mechanism;
use sorrelturn_policy::{Arrival, Decision, Outcome as GateOutcome, TuningSample};
use sorrelturn_protocol::{Priority, Refusal};
use std::time::Duration;

impl Play<'_> {
    /// A call arrives at the daemon beside its instance.
    pub(super) fn arrives(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let kind = &self.kinds[call.kind];
        let owner = self.first[kind.service] + call.tries.at;
        let crosses = self.domain_of(call.from) != self.domain_of(owner);
        let services = &mut self.outcome.services[kind.service];
        services.crossed += u64::from(crosses);
        services.arrived += 1;
        services.repeated += u64::from(call.tries.sends > 1 || call.repeated);
        let is_call = self.experiment.learns_calls.then(|| {
            let from = &self.services[self.service_of[call.from]];
            let daemon = &mut self.daemons[owner];
            daemon.comes_from(&self.names[call.kind], from);
            daemon.are_calls(&self.names[call.kind], &self.shares)
        });
        let arrival = Arrival {
            id,
            priority: Priority::new(kind.importance, call.bucket),
            is_nested_call: is_call.unwrap_or(call.parent.is_some()),
            deadline: call.deadline,
            level: call.level,
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.tries.arrival = Some(arrival);
        }
        self.works(owner);
        let gate = &mut self.daemons[owner].gate;
        let (decision, pushed_out) = gate.arrive(self.now, &arrival);
        let wait = gate.queue_timeout(&arrival);
        if let Some(id) = pushed_out {
            self.ends_at_owner(id, Ended::NotRun(Refusal::Overload));
        }
        match decision {
            Decision::Admit => {
                let began = self.daemons[owner].gate.last_sample();
                self.begins(id, began);
            }
            Decision::Queue => self.after(wait, Event::WaitOver(id)),
            Decision::Refuse(refusal) => self.ends_at_owner(id, Ended::NotRun(refusal)),
        }
    }

    pub(super) fn wait_over(&mut self, id: u64) {
        let Some((owner, arrival)) = self.at_gate(id) else {
            return;
        };
        if self.daemons[owner].gate.remove_queued(&arrival, true) {
            self.ends_at_owner(id, Ended::NotRun(Refusal::Overload));
        }
    }

    pub(super) fn at_gate(&self, id: u64) -> Option<(usize, Arrival)> {
        let call = self.calls.get(&id)?;
        let owner = self.first[self.kinds[call.kind].service] + call.tries.at;
        Some((owner, call.tries.arrival?))
    }

    /// The backend server is handed a call.
    pub(super) fn begins(&mut self, id: u64, began: TuningSample) {
        let Some((daemon, _)) = self.at_gate(id) else {
            return;
        };
        if self.is_away(daemon) {
            let refusal = Refusal::BackendUnreachable;
            return self.after(TURNS_AWAY_IN, Event::NotBegun(id, refusal));
        }
        let (slower, turned_away) = self.faults_of(daemon);
        if turned_away > 0.0 && self.rng.f64() < turned_away {
            let refusal = Refusal::BackendRefused;
            return self.after(TURNS_AWAY_IN, Event::NotBegun(id, refusal));
        }
        let call = &self.calls[&id];
        let kind = &self.kinds[call.kind];
        let spec = self.experiment.services.values().nth(kind.service);
        let at = daemon - self.first[kind.service];
        let speeds = spec.map_or(&[][..], |spec| &spec.speeds);
        let speed = match speeds.len() {
            0 => 1.0,
            count => speeds[at % count],
        };
        let taken = f64::from(self.daemons[daemon].gate.in_flight())
            / f64::from(self.site.slots[kind.service]);
        let beyond = spec.filter(|spec| taken > spec.knee);
        let knee = beyond.map_or(1.0, |spec| spec.knee_times);
        // The part that varies is distributed exponentially.
        let varies = kind.spread.min(1.0);
        let random = 1.0 - varies - varies * (1.0 - self.rng.f64()).ln();
        let work = kind.work.mul_f64(random * slower * knee / speed);
        let piece = work / (kind.calls.len() as u32 + 1);
        let (level, repeated) = (call.level, call.repeated);
        let (asked, deadline) = (call.kind, call.deadline);
        let run = self.id();
        self.runs.insert(
            run,
            Run {
                call: id,
                daemon,
                started: self.now,
                piece,
                next_call: 0,
                level,
                repeated,
                began,
            },
        );
        self.daemons[daemon].begins(run, asked, deadline, level, repeated);
        self.after(piece, Event::PieceDone(run));
    }

    /// The backend server turned a call away, or isn't there.
    pub(super) fn not_begun(&mut self, id: u64, refusal: Refusal) {
        let Some((owner, _)) = self.at_gate(id) else {
            return;
        };
        let outcome = match refusal {
            Refusal::BackendUnreachable => GateOutcome::Failed,
            _ => GateOutcome::Overloaded,
        };
        self.slot_free(owner, outcome, TURNS_AWAY_IN);
        self.ends_at_owner(id, Ended::NotRun(refusal));
    }

    pub(super) fn slot_free(&mut self, owner: usize, outcome: GateOutcome, took: Duration) {
        let gate = &mut self.daemons[owner].gate;
        let released = gate.finish(self.now, outcome, took);
        for (id, began) in released.admitted.into_iter().zip(released.samples) {
            self.begins(id, began);
        }
        for (id, refusal) in released.refused {
            self.ends_at_owner(id, Ended::NotRun(refusal));
        }
    }

    /// A piece of a run's work is done: the next call follows, or the answer.
    pub(super) fn piece_done(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(call) = self.calls.get(&run.call) else {
            if let Some(run) = self.runs.remove(&id) {
                self.daemons[run.daemon].is_done(id, run.level, run.repeated);
            }
            return;
        };
        if self.now >= call.deadline {
            return self.run_over(id, Ended::TooLate);
        }
        if call.caller.crashes && call.parent.is_none() {
            let daemon = run.daemon;
            return self.crash(daemon);
        }
        let kind = &self.kinds[call.kind];
        let Some(next) = kind.calls.get(run.next_call).copied() else {
            return self.run_over(id, Ended::Answered);
        };
        run.next_call += 1;
        let nested = Call {
            kind: next,
            from: run.daemon,
            parent: Some(id),
            caller: call.caller,
            bucket: self.rng.u8(..),
            level: self.daemons[run.daemon].worked_on.mean_level(),
            repeated: run.repeated,
            for_repeat: self.daemons[run.daemon].worked_on.repeated_fraction(),
            deadline: call.deadline.min(self.now + self.kinds[next].deadline),
            tries: Tries::default(),
        };
        self.nested(nested);
    }

    /// A run ends; its slot is free.
    pub(super) fn run_over(&mut self, id: u64, ended: Ended) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        self.daemons[run.daemon].is_done(id, run.level, run.repeated);
        let took = self.now - run.started;
        let kind = self.calls.get(&run.call).map(|call| call.kind);
        if let Some(kind) = kind {
            self.daemons[run.daemon].learns_calls_of(&self.names[kind], took);
        }
        let leaf = kind.filter(|kind| self.calls_nothing(run.daemon, *kind));
        if self.experiment.is_on(Mechanism::BestSlots) {
            let gate = &mut self.daemons[run.daemon].gate;
            gate.end_sample(self.now, run.began, leaf.map(|kind| kind as u64), took);
        }
        let outcome = match ended {
            Ended::Crashed => GateOutcome::Failed,
            _ => GateOutcome::Answered,
        };
        self.slot_free(run.daemon, outcome, took);
        self.ends_at_owner(run.call, ended);
    }

    pub(super) fn calls_nothing(&self, daemon: usize, kind: usize) -> bool {
        if self.experiment.learns_calls {
            self.daemons[daemon].calls_nothing(&self.names[kind])
        } else {
            self.kinds[kind].calls.is_empty()
        }
    }

    /// What a kind calls, as far as the daemon beside its backend server knows.
    pub(super) fn called_by(&self, daemon: usize, kind: usize) -> Vec<usize> {
        if !self.experiment.learns_calls {
            return self.kinds[kind].called.clone();
        }
        let called = self.daemons[daemon].calls_of(&self.names[kind]);
        let places = called
            .iter()
            .filter_map(|name| self.names.binary_search(name).ok());
        places.collect()
    }

    /// The owner's answer goes back.
    pub(super) fn ends_at_owner(&mut self, id: u64, ended: Ended) {
        let Some((owner, _)) = self.at_gate(id) else {
            return;
        };
        let kind = self.calls[&id].kind;
        let below = match ended {
            Ended::NotRun(_) => Priority::default(),
            _ => self.daemons[owner].level_of(self.now, &self.called_by(owner, kind)),
        };
        let is_call = self.daemons[owner].are_calls(&self.names[kind], &self.shares);
        let gate = &mut self.daemons[owner].gate;
        let own = gate.threshold(self.now);
        let told = Told {
            threshold: own.max(below),
            load: gate.load_percent(self.now),
            is_call,
        };
        let sent = self.works(owner);
        let hop = ms(self.experiment.hop_ms);
        self.at(sent + hop, Event::Answer(id, ended, Some(told)));
    }
}
