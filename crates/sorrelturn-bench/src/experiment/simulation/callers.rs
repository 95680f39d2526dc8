//! Callers: new requests, retries, and the results that are counted.

use super::{
    AttemptState, Call, CallResult, Caller, Event, MAX_WAIT_DIVISOR, Simulation, ms, seconds,
};
use crate::experiment::outcome::Counts;
use sorrelturn_policy::bucket_for_at_most_once;
use sorrelturn_protocol::{Precedence, RequestFingerprint};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn schedule_next_arrival(&mut self, kind: usize) {
        let spec = self.experiment.kinds.values().nth(kind);
        let normal_rate = spec.map_or(0.0, |spec| spec.per_second);
        let (times, clumps_of) = self.current_load();
        let per_second = normal_rate * times / f64::from(clumps_of);
        let wait = -(1.0 - self.rng.f64()).ln() / per_second.max(1e-6);
        let at = self.now + seconds(wait);
        if at < seconds(self.experiment.seconds) {
            self.schedule_at(at, Event::NextArrival(kind));
        }
    }

    pub(super) fn send_new_requests(&mut self, kind: usize) {
        self.schedule_next_arrival(kind);
        let (_, clumps_of) = self.current_load();
        for _ in 0..clumps_of {
            let impatience = self.impatience();
            let is_impatient = impatience.is_some_and(|(share, _)| self.rng.f64() < share);
            let extra_attempts = impatience
                .filter(|_| is_impatient)
                .map_or(0, |(_, tries)| tries);
            let caller = Caller {
                first_sent: self.now,
                attempts: 0,
                max_attempts: 1 + self.kinds[kind].max_retries + extra_attempts,
                is_impatient,
                request: RequestFingerprint(self.new_id()),
                crashes_backends: false,
            };
            self.count(kind, &caller, |counts| counts.requested += 1);
            self.handle_root_request(kind, caller);
        }
    }

    pub(super) fn count(&mut self, kind: usize, caller: &Caller, f: impl FnOnce(&mut Counts)) {
        if caller.crashes_backends {
            // Its results aren't part of the outcome.
            return;
        }
        let second = caller.first_sent.as_secs() as usize;
        let outcome_index = self.kinds[kind].outcome_index;
        let counts =
            outcome_index.and_then(|index| self.outcome.kinds[index].by_second.get_mut(second));
        if let Some(counts) = counts {
            f(counts);
        }
    }

    pub(super) fn handle_root_request(&mut self, kind: usize, mut caller: Caller) {
        caller.attempts += 1;
        // Each attempt has its own request id, and so its own shedding bucket.
        let mut bucket = self.rng.u8(..);
        if self.kinds[kind].at_most_once_among_repeatable {
            bucket = bucket_for_at_most_once(bucket);
        }
        self.count_request(kind);
        let left = (caller.first_sent + self.kinds[kind].deadline).saturating_sub(self.now);
        if left.is_zero() {
            return self.count(kind, &caller, |counts| counts.failed += 1);
        }
        let live: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| !self.is_lost(*daemon))
            .collect();
        let Some(forwarder) = self.rng.choice(live) else {
            return self.retry_failed(kind, caller);
        };
        if self.now < self.accepts_from {
            return self.retry_failed(kind, caller);
        }
        if self.is_quarantined(caller.request) {
            // The Retry-After time of a quarantined request exceeds the caller's deadline.
            return self.count_final_refusal(kind, caller);
        }
        let rank = self.rank(forwarder, kind);
        let (experiment, now) = (self.experiment, self.now);
        if self.daemons[forwarder].refuses_request(experiment, now, kind, rank, bucket, left) {
            let retry_after =
                self.daemons[forwarder].retry_after(experiment, now, kind, &mut self.rng);
            return self.retry_refused(kind, caller, retry_after);
        }
        let call = Call {
            kind,
            forwarder,
            parent: None,
            caller,
            bucket,
            level: self.daemons[forwarder].shedding_level(now, kind),
            precedence: Precedence::new(self.kinds[kind].importance, !self.kinds[kind].repeatable),
            is_of_repeat: false,
            repeat_share: 0.0,
            deadline: self.now + left.min(self.kinds[kind].timeout),
            attempts: AttemptState::default(),
        };
        self.forward(call);
    }

    fn count_final_refusal(&mut self, kind: usize, caller: Caller) {
        self.count(kind, &caller, |counts| {
            counts.refused += 1;
            counts.refused_again += u32::from(caller.attempts > 1);
        });
    }

    /// Schedules a retry if the caller has attempts left.
    pub(super) fn retry_refused(&mut self, kind: usize, caller: Caller, retry_after: Duration) {
        if caller.attempts >= caller.max_attempts {
            return self.count_final_refusal(kind, caller);
        }
        let left = (caller.first_sent + self.kinds[kind].deadline).saturating_sub(self.now);
        let wait = if caller.is_impatient {
            ms(20.0)
        } else {
            retry_after.min(left / MAX_WAIT_DIVISOR)
        };
        self.schedule_after(wait, Event::RootRequest(kind, caller));
    }

    /// Schedules a retry if the kind is repeatable and the caller has attempts left.
    pub(super) fn retry_failed(&mut self, kind: usize, caller: Caller) {
        if caller.attempts >= caller.max_attempts || !self.kinds[kind].repeatable {
            return self.count(kind, &caller, |counts| counts.failed += 1);
        }
        self.schedule_after(ms(50.0), Event::RootRequest(kind, caller));
    }

    pub(super) fn finish_root(&mut self, call: &Call, result: CallResult) {
        let (kind, caller) = (call.kind, call.caller);
        match result {
            CallResult::Answered => {
                let good = self.now - caller.first_sent <= self.kinds[kind].target;
                self.count(kind, &caller, |counts| {
                    counts.good += u32::from(good);
                    counts.late += u32::from(!good);
                });
            }
            CallResult::NotRun(_) => {
                let (experiment, now) = (self.experiment, self.now);
                let daemon = &mut self.daemons[call.forwarder];
                let retry_after = daemon.retry_after(experiment, now, kind, &mut self.rng);
                self.retry_refused(kind, caller, retry_after);
            }
            CallResult::NestedCallFailed | CallResult::DeadlineExceeded | CallResult::Crashed => {
                self.retry_failed(kind, caller)
            }
        }
    }
}
