//! The owner: the daemon in front of the backend server that runs a call.

use super::{AttemptState, BACKEND_REFUSAL_DURATION, Call, CallResult, Event, Run, Simulation, ms};
use crate::experiment::daemon::{AnswerContext, CallRate};
use crate::experiment::file::Mechanism;
use sorrelturn_policy::{Arrival, Decision, Outcome as GateOutcome, TuningSample};
use sorrelturn_protocol::{Precedence, Priority, Refusal};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let kind = &self.kinds[call.kind];
        let owner = self.first_daemons[kind.service] + call.attempts.instance;
        let is_cross_domain = self.domain_of(call.forwarder) != self.domain_of(owner);
        let service_outcome = &mut self.outcome.services[kind.service];
        service_outcome.cross_domain += u64::from(is_cross_domain);
        service_outcome.arrived += 1;
        service_outcome.repeated += u64::from(call.attempts.sends > 1 || call.is_of_repeat);
        let is_call = self.experiment.learns_calls.then(|| {
            let origin = &self.service_names[self.service_by_daemon[call.forwarder]];
            let daemon = &mut self.daemons[owner];
            daemon.record_origin(&self.kind_names[call.kind], origin);
            daemon.is_called_kind(&self.kind_names[call.kind], &self.vm_shares)
        });
        let arrival = Arrival {
            id,
            priority: Priority::new(kind.importance, call.bucket),
            is_nested_call: is_call.unwrap_or(call.parent.is_some()),
            deadline: call.deadline,
            level: call.level,
        };
        let is_sent_again = call.repeat_share >= 1.0;
        let known_calls = self.call_rates(owner, call.kind);
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempts.arrival = Some(arrival);
            call.attempts.expects_calls = is_sent_again;
        }
        self.occupy_processor(owner);
        if is_sent_again && !self.daemons[owner].let_in_repeat(self.now, &known_calls) {
            if let Some(call) = self.calls.get_mut(&id) {
                call.attempts.expects_calls = false;
            }
            return self.send_answer(id, CallResult::NotRun(Refusal::NoRetriesBelow));
        }
        let gate = &mut self.daemons[owner].gate;
        let (decision, evicted) = gate.arrive(self.now, &arrival);
        let wait = gate.queue_timeout(&arrival);
        if let Some(id) = evicted {
            self.send_answer(id, CallResult::NotRun(Refusal::Overload));
        }
        match decision {
            Decision::Admit => {
                let sample = self.daemons[owner].gate.last_sample();
                self.begin_execution(id, sample);
            }
            Decision::Queue => self.schedule_after(wait, Event::QueueTimeout(id)),
            Decision::Refuse(refusal) => self.send_answer(id, CallResult::NotRun(refusal)),
        }
    }

    pub(super) fn queue_timed_out(&mut self, id: u64) {
        let Some((owner, arrival)) = self.owner_and_arrival(id) else {
            return;
        };
        if self.daemons[owner].gate.remove_queued(&arrival, true) {
            self.send_answer(id, CallResult::NotRun(Refusal::Overload));
        }
    }

    pub(super) fn owner_and_arrival(&self, id: u64) -> Option<(usize, Arrival)> {
        let call = self.calls.get(&id)?;
        let owner = self.first_daemons[self.kinds[call.kind].service] + call.attempts.instance;
        Some((owner, call.attempts.arrival?))
    }

    /// Passes a call to the backend server, which refuses or starts it.
    pub(super) fn begin_execution(&mut self, id: u64, sample: TuningSample) {
        let Some((daemon, _)) = self.owner_and_arrival(id) else {
            return;
        };
        if self.is_backend_down(daemon) {
            let refusal = Refusal::BackendUnreachable;
            return self
                .schedule_after(BACKEND_REFUSAL_DURATION, Event::BackendRefusal(id, refusal));
        }
        let is_repeat = self.count_arrival(id);
        let (slowdown, refused_share) = self.backend_faults(daemon);
        if refused_share > 0.0 && self.rng.f64() < refused_share {
            let refusal = Refusal::BackendRefused;
            return self
                .schedule_after(BACKEND_REFUSAL_DURATION, Event::BackendRefusal(id, refusal));
        }
        let call = &self.calls[&id];
        let kind = &self.kinds[call.kind];
        let spec = self.experiment.services.values().nth(kind.service);
        let index = daemon - self.first_daemons[kind.service];
        let speeds = spec.map_or(&[][..], |spec| &spec.speeds);
        let speed = match speeds.len() {
            0 => 1.0,
            count => speeds[index % count],
        };
        let usage = f64::from(self.daemons[daemon].gate.in_flight())
            / f64::from(self.topology.slots[kind.service]);
        let above_knee = spec.filter(|spec| usage > spec.knee);
        let knee_slowdown = above_knee.map_or(1.0, |spec| spec.knee_times);
        // The variable part of the execution time is exponentially distributed.
        let variation = kind.spread.min(1.0);
        let random = 1.0 - variation - variation * (1.0 - self.rng.f64()).ln();
        let work = kind.work.mul_f64(random * slowdown * knee_slowdown / speed);
        let work_step = work / (kind.calls.len() as u32 + 1);
        let (level, repeat_share) = (call.level, call.repeat_share);
        let (kind_index, deadline) = (call.kind, call.deadline);
        let run = self.new_id();
        self.runs.insert(
            run,
            Run {
                call: id,
                daemon,
                started: self.now,
                work_step,
                next_call: 0,
                level,
                is_repeat,
                sample,
            },
        );
        self.daemons[daemon].begin_execution(run, kind_index, deadline, level, repeat_share);
        self.schedule_after(work_step, Event::WorkStepDone(run));
    }

    /// Handles a call that the backend server refused, or that didn't reach it.
    pub(super) fn backend_refused(&mut self, id: u64, refusal: Refusal) {
        let Some((owner, _)) = self.owner_and_arrival(id) else {
            return;
        };
        let outcome = match refusal {
            Refusal::BackendUnreachable => GateOutcome::Failed,
            _ => GateOutcome::Overloaded,
        };
        self.release_slot(owner, outcome, BACKEND_REFUSAL_DURATION);
        self.send_answer(id, CallResult::NotRun(refusal));
    }

    pub(super) fn release_slot(&mut self, owner: usize, outcome: GateOutcome, took: Duration) {
        let gate = &mut self.daemons[owner].gate;
        let released = gate.finish(self.now, outcome, took);
        for (id, sample) in released.admitted.into_iter().zip(released.samples) {
            self.begin_execution(id, sample);
        }
        for (id, refusal) in released.refused {
            self.send_answer(id, CallResult::NotRun(refusal));
        }
    }

    /// Ends a step of a run's work. The next nested call or the answer follows.
    pub(super) fn work_step_done(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(call) = self.calls.get(&run.call) else {
            if let Some(run) = self.runs.remove(&id) {
                self.daemons[run.daemon].end_execution(id, run.level);
            }
            return;
        };
        if self.now >= call.deadline {
            return self.finish_run(id, CallResult::DeadlineExceeded);
        }
        if call.caller.crashes_backends && call.parent.is_none() {
            let daemon = run.daemon;
            return self.crash_backend(daemon);
        }
        let kind = &self.kinds[call.kind];
        let Some(next) = kind.calls.get(run.next_call).copied() else {
            return self.finish_run(id, CallResult::Answered);
        };
        run.next_call += 1;
        let deadline = call.deadline.min(self.now + self.kinds[next].deadline);
        // A daemon knows the parent of a call by the deadline that it inherits.
        let precedence = if deadline == call.deadline {
            call.precedence
        } else {
            Precedence::default()
        };
        let nested_call = Call {
            kind: next,
            forwarder: run.daemon,
            parent: Some(id),
            caller: call.caller,
            bucket: self.rng.u8(..),
            level: self.daemons[run.daemon].in_progress.mean_level(),
            precedence,
            is_of_repeat: run.is_repeat,
            repeat_share: 0.0,
            deadline,
            attempts: AttemptState::default(),
        };
        self.count_request(next);
        self.forward_nested(nested_call);
    }

    /// Counts a request of a caller or of a backend server for the limit on retries.
    pub(super) fn count_request(&mut self, kind: usize) {
        let service = &mut self.outcome.services[self.kinds[kind].service];
        service.retry_counts_at(self.now).requests += 1;
    }

    /// Counts an arrival at a backend server for the limit on retries; returns whether it is a repeat.
    fn count_arrival(&mut self, id: u64) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        call.attempts.arrivals += 1;
        let is_repeat = call.is_of_repeat || call.attempts.arrivals > 1;
        let service = &mut self.outcome.services[self.kinds[call.kind].service];
        service.retry_counts_at(self.now).repeats += u32::from(is_repeat);
        is_repeat
    }

    pub(super) fn finish_run(&mut self, id: u64, result: CallResult) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        self.daemons[run.daemon].end_execution(id, run.level);
        let took = self.now - run.started;
        let named = self.named_limit(run.daemon);
        let gate = &mut self.daemons[run.daemon].gate;
        gate.announced_limit()
            .record_answer(self.now, run.started, named);
        let kind = self.calls.get(&run.call).map(|call| call.kind);
        if let Some(kind) = kind {
            self.daemons[run.daemon].learn_calls(&self.kind_names[kind], took);
        }
        let leaf_kind = kind.filter(|kind| self.is_leaf(run.daemon, *kind));
        if self.experiment.is_enabled(Mechanism::BestSlots) {
            let gate = &mut self.daemons[run.daemon].gate;
            gate.end_sample(
                self.now,
                run.sample,
                leaf_kind.map(|kind| kind as u64),
                took,
            );
        }
        let outcome = match result {
            CallResult::Crashed => GateOutcome::Failed,
            _ => GateOutcome::Answered,
        };
        self.release_slot(run.daemon, outcome, took);
        self.send_answer(run.call, result);
    }

    pub(super) fn is_leaf(&self, daemon: usize, kind: usize) -> bool {
        if self.experiment.learns_calls {
            self.daemons[daemon].is_leaf(&self.kind_names[kind])
        } else {
            self.kinds[kind].calls.is_empty()
        }
    }

    /// The calls of a kind that its owner knows.
    pub(super) fn known_calls(&self, daemon: usize, kind: usize) -> Vec<usize> {
        if !self.experiment.learns_calls {
            return self.kinds[kind].distinct_calls.clone();
        }
        let known = self.daemons[daemon].known_calls(&self.kind_names[kind]);
        let indexes = known
            .iter()
            .filter_map(|name| self.kind_names.binary_search(name).ok());
        indexes.collect()
    }

    /// The calls of a kind that its owner knows, each with its service and the number of calls of one request.
    fn call_rates(&self, daemon: usize, kind: usize) -> Vec<CallRate> {
        let calls = self.known_calls(daemon, kind);
        let rates = calls.iter().map(|call| CallRate {
            kind: *call,
            service: self.kinds[*call].service,
            calls: self.call_rate(daemon, kind, *call),
        });
        rates.collect()
    }

    fn call_rate(&self, daemon: usize, kind: usize, call: usize) -> f64 {
        if self.experiment.learns_calls {
            let names = &self.kind_names;
            return self.daemons[daemon].call_rate(&names[kind], &names[call]);
        }
        let calls = self.kinds[kind].calls.iter();
        calls.filter(|other| **other == call).count() as f64
    }

    pub(super) fn send_answer(&mut self, id: u64, result: CallResult) {
        let Some((owner, _)) = self.owner_and_arrival(id) else {
            return;
        };
        let kind = self.calls[&id].kind;
        let call_rates = self.call_rates(owner, kind);
        let refuses_repeats = !self.daemons[owner].has_room_below(self.now, &call_rates);
        if self.calls[&id].attempts.expects_calls && matches!(result, CallResult::NotRun(_)) {
            self.daemons[owner].forget_expected_calls(self.now, &call_rates);
        }
        let max_called_level = match result {
            CallResult::NotRun(_) => Priority::default(),
            _ => self.daemons[owner].max_shedding_level(self.now, &self.known_calls(owner, kind)),
        };
        let is_call = self.daemons[owner].is_called_kind(&self.kind_names[kind], &self.vm_shares);
        let gate = &mut self.daemons[owner].gate;
        let own_threshold = gate.threshold(self.now);
        let is_limited = matches!(result, CallResult::NotRun(Refusal::BackendLimit));
        let pause = gate.announced_limit().pause(self.topology.daemon_count);
        let jitter = 0.75 + self.rng.f64() / 2.0;
        let context = AnswerContext {
            threshold: own_threshold.max(max_called_level),
            load: gate.load_percent(self.now),
            is_call,
            refuses_repeats,
            limit_level: gate.announced_limit().level(self.now),
            pause: pause
                .filter(|_| is_limited)
                .map(|pause| pause.mul_f64(jitter)),
        };
        let sent = self.occupy_processor(owner);
        let hop = ms(self.experiment.hop_ms);
        self.schedule_at(sent + hop, Event::Answer(id, result, Some(context)));
    }
}
