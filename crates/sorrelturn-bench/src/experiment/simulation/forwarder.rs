//! The daemon that forwards a call: chooses instances and handles their answers.

use super::{CONNECT_FAILURE_DURATION, Call, CallResult, Event, Simulation, ms};
use crate::experiment::daemon::{AnswerContext, incarnation};
use crate::experiment::file::Mechanism;
use sorrelturn_policy::{Attempt, InstanceReport, Step, next_step, step_after_backend_refusal};
use sorrelturn_protocol::{Refusal, Verdict};

impl Simulation<'_> {
    /// The rank among the importances of root requests that the daemon knows.
    pub(super) fn rank(&self, daemon: usize, kind: usize) -> (usize, usize) {
        if self.experiment.learns_calls {
            self.daemons[daemon].known_rank(&self.importances, kind)
        } else {
            self.kinds[kind].rank
        }
    }

    /// Forwards a nested call of the daemon's own backend server. Until its kind is known to be a nested call, it is
    /// treated as a root request: it may be refused, and isn't attributed to a parent.
    pub(super) fn forward_nested(&mut self, mut call: Call) {
        let (forwarder, kind, now) = (call.forwarder, call.kind, self.now);
        if self.experiment.learns_calls {
            if self.daemons[forwarder].is_reported_as_call(kind) {
                call.repeat_share = self.daemons[forwarder].repeat_share_of_call(
                    &self.kind_names,
                    kind,
                    call.deadline,
                );
            } else {
                let rank = self.rank(forwarder, kind);
                let left = call.deadline.saturating_sub(now);
                let (experiment, bucket) = (self.experiment, call.bucket);
                if self.daemons[forwarder]
                    .refuses_request(experiment, now, kind, rank, bucket, left)
                {
                    return self.finish_call(call, CallResult::NotRun(Refusal::Overload));
                }
                call.level = self.daemons[forwarder].shedding_level(now, kind);
            }
        }
        if !self.experiment.learns_calls {
            call.repeat_share =
                self.daemons[forwarder].repeat_share_of_call(&self.kind_names, kind, call.deadline);
        }
        self.forward(call);
    }

    /// Sends a call to an instance that hasn't been tried, or fails it if there is none.
    pub(super) fn forward(&mut self, mut call: Call) {
        let service = self.kinds[call.kind].service;
        let daemon = &mut self.daemons[call.forwarder];
        if call.attempts.sends == 0 {
            daemon.record_first_attempt(self.now, service, call.repeat_share);
        }
        let (experiment, now) = (self.experiment, self.now);
        let mut tried = call.attempts.tried.clone();
        tried.extend(call.attempts.refused_by);
        let chosen = daemon.choose_instance(experiment, now, service, &tried, &mut self.rng);
        let Some(index) = chosen else {
            return self.finish_call(call, CallResult::NotRun(Refusal::NoInstance));
        };
        daemon.begin_call(service, index);
        call.attempts.instance = index;
        call.attempts.sends += 1;
        let id = self.new_id();
        let hop = ms(self.experiment.hop_ms);
        let sent = self.occupy_processor(call.forwarder);
        let owner = self.first_daemons[service] + index;
        let is_lost = self.is_lost(owner);
        self.calls.insert(id, call);
        if is_lost {
            let refusal = CallResult::NotRun(Refusal::BackendUnreachable);
            return self.schedule_at(
                sent + CONNECT_FAILURE_DURATION,
                Event::Answer(id, refusal, None),
            );
        }
        self.schedule_at(sent + hop, Event::CallArrival(id));
    }

    pub(super) fn handle_answer(
        &mut self,
        id: u64,
        result: CallResult,
        context: Option<AnswerContext>,
    ) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        self.occupy_processor(call.forwarder);
        let service = self.kinds[call.kind].service;
        let daemon = &mut self.daemons[call.forwarder];
        let load = context.map_or(0, |context| context.load);
        let report = match result {
            CallResult::NotRun(Refusal::BackendRefused) => InstanceReport::BackendError,
            CallResult::NotRun(Refusal::BackendUnreachable) => InstanceReport::Unreachable,
            CallResult::DeadlineExceeded | CallResult::Crashed => InstanceReport::Failed,
            _ => InstanceReport::Answered { load },
        };
        daemon.end_call(self.now, service, call.attempts.instance, report);
        if let Some(context) = context {
            let indicates_load = match result {
                CallResult::NotRun(refusal) => refusal.indicates_service_load(),
                _ => true,
            };
            daemon.record_answer(self.now, call.kind, &context, indicates_load);
            daemon.record_limit(self.now, service, call.attempts.instance, &context);
            if context.refuses_repeats {
                daemon.record_repeats_refused(self.now, call.kind);
            }
        }
        let answered_by = incarnation(service, call.attempts.instance);
        if matches!(result, CallResult::NotRun(Refusal::BackendRefused)) {
            call.attempts.backend_refusals += 1;
            call.attempts.refused_by = Some(answered_by);
        } else {
            call.attempts.tried.push(answered_by);
        }
        if self.should_retry(&mut call, result) {
            return self.forward(call);
        }
        self.finish_call(call, result);
    }

    /// Whether the call is sent to another instance, decided by the product's policy. Updates the attempt state.
    pub(super) fn should_retry(&mut self, call: &mut Call, result: CallResult) -> bool {
        let refusal = match result {
            CallResult::Answered => return false,
            CallResult::NotRun(refusal) => Some(refusal),
            CallResult::NestedCallFailed | CallResult::DeadlineExceeded | CallResult::Crashed => {
                None
            }
        };
        call.attempts.crashes += usize::from(matches!(result, CallResult::Crashed));
        let quarantine_enabled = self.experiment.is_enabled(Mechanism::Quarantine);
        let crashed_too_often =
            quarantine_enabled && call.attempts.crashes >= self.experiment.crashes_to_hold;
        if crashed_too_often || self.is_quarantined(call.caller.request) {
            return false;
        }
        let backend_refused = refusal == Some(Refusal::BackendRefused);
        let in_time = self.now < call.deadline;
        let policy_step = next_step(&Attempt {
            verdict: match refusal {
                Some(_) => Verdict::NotRun,
                None => Verdict::Ran,
            },
            refusal,
            already_retried: matches!(result, CallResult::NestedCallFailed),
            repeatable: self.kinds[call.kind].repeatable,
            reroutes: call.attempts.reroutes,
            attempts_left: call.attempts.attempts_left,
            attempts_needed: 1,
            has_time_left: in_time,
        });
        let step = if backend_refused {
            step_after_backend_refusal(call.attempts.backend_refusals, in_time)
        } else {
            policy_step
        };
        if backend_refused && !self.experiment.is_enabled(Mechanism::SendingAgain) {
            return false;
        }
        let service = self.kinds[call.kind].service;
        let precedence = self.experiment.orders_retries.then_some(call.precedence);
        let daemon = &mut self.daemons[call.forwarder];
        let mut retry_allowed = || {
            !daemon.repeats_refused_recently(self.now, call.kind)
                && daemon.try_retry(self.now, service, precedence)
        };
        match step {
            Step::Reroute if !backend_refused => call.attempts.reroutes += 1,
            Step::Reroute if retry_allowed() => call.repeat_share = 1.0,
            Step::Retry if retry_allowed() => {
                call.attempts.attempts_left = call.attempts.attempts_left.saturating_sub(1);
                call.repeat_share = 1.0;
            }
            _ => return false,
        }
        true
    }

    /// Passes the final result to the caller or to the parent run.
    pub(super) fn finish_call(&mut self, call: Call, result: CallResult) {
        let Some(run) = call.parent else {
            return self.finish_root(&call, result);
        };
        let Some(parent) = self.runs.get(&run) else {
            return;
        };
        match result {
            CallResult::Answered => {
                let work_step = parent.work_step;
                self.schedule_after(work_step, Event::WorkStepDone(run));
            }
            _ => self.finish_run(run, CallResult::NestedCallFailed),
        }
    }
}
