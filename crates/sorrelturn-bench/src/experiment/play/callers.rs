//! Callers: when they send, when they come back, and what came of their requests.

use super::{Call, Caller, Ended, Event, PATIENCE, Play, Tries, ms, seconds};
use crate::experiment::outcome::Counts;
use sorrelturn_policy::bucket_for_at_most_once;
use sorrelturn_protocol::RequestFingerprint;
use std::time::Duration;

impl Play<'_> {
    pub(super) fn next_due(&mut self, kind: usize) {
        let spec = self.experiment.kinds.values().nth(kind);
        let usual = spec.map_or(0.0, |spec| spec.per_second);
        let (times, clumps_of) = self.load();
        let per_second = usual * times / f64::from(clumps_of);
        let wait = -(1.0 - self.rng.f64()).ln() / per_second.max(1e-6);
        let at = self.now + seconds(wait);
        if at < seconds(self.experiment.seconds) {
            self.at(at, Event::NextDue(kind));
        }
    }

    pub(super) fn arrives_from_callers(&mut self, kind: usize) {
        self.next_due(kind);
        let (_, clumps_of) = self.load();
        for _ in 0..clumps_of {
            let repeats = self.repeats();
            let impatient = repeats.is_some_and(|(share, _)| self.rng.f64() < share);
            let more = repeats.filter(|_| impatient).map_or(0, |(_, tries)| tries);
            let caller = Caller {
                first_sent: self.now,
                tries: 0,
                most_tries: 1 + self.kinds[kind].returns + more,
                impatient,
                request: RequestFingerprint(self.id()),
                crashes: false,
            };
            self.count(kind, &caller, |counts| counts.asked += 1);
            self.root(kind, caller);
        }
    }

    pub(super) fn count(&mut self, kind: usize, caller: &Caller, f: impl FnOnce(&mut Counts)) {
        if caller.crashes {
            // Nobody misses its answer.
            return;
        }
        let second = caller.first_sent.as_secs() as usize;
        let outcome = self.kinds[kind].outcome;
        let counts = outcome.and_then(|at| self.outcome.kinds[at].by_second.get_mut(second));
        if let Some(counts) = counts {
            f(counts);
        }
    }

    /// A try of a caller reaches a daemon.
    pub(super) fn root(&mut self, kind: usize, mut caller: Caller) {
        caller.tries += 1;
        // Each try has an id of its own, and with it its own place in the order of shedding.
        let mut bucket = self.rng.u8(..);
        if self.kinds[kind].once_among_repeatable {
            bucket = bucket_for_at_most_once(bucket);
        }
        let left = (caller.first_sent + self.kinds[kind].deadline).saturating_sub(self.now);
        if left.is_zero() {
            return self.count(kind, &caller, |counts| counts.failed += 1);
        }
        let live: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| !self.is_lost(*daemon))
            .collect();
        let Some(from) = self.rng.choice(live) else {
            return self.failed(kind, caller);
        };
        if self.now < self.taken_from {
            return self.failed(kind, caller);
        }
        if self.is_held(caller.request) {
            // It is told to come back after more time than its caller has.
            return self.given_up(kind, caller);
        }
        let rank = self.rank(from, kind);
        let (experiment, now) = (self.experiment, self.now);
        if self.daemons[from].refuses(experiment, now, kind, rank, bucket, left) {
            let told = self.daemons[from].come_back(experiment, now, kind, &mut self.rng);
            return self.refused(kind, caller, told);
        }
        let call = Call {
            kind,
            from,
            parent: None,
            caller,
            bucket,
            level: self.daemons[from].level(now, kind),
            repeated: false,
            for_repeat: 0.0,
            deadline: self.now + left.min(self.kinds[kind].timeout),
            tries: Tries::default(),
        };
        self.forward(call);
    }

    /// A caller is refused and doesn't come back.
    fn given_up(&mut self, kind: usize, caller: Caller) {
        self.count(kind, &caller, |counts| {
            counts.refused += 1;
            counts.refused_again += u32::from(caller.tries > 1);
        });
    }

    /// A caller is refused: it comes back as told, if it still may.
    pub(super) fn refused(&mut self, kind: usize, caller: Caller, told: Duration) {
        if caller.tries >= caller.most_tries {
            return self.given_up(kind, caller);
        }
        let left = (caller.first_sent + self.kinds[kind].deadline).saturating_sub(self.now);
        let wait = if caller.impatient {
            ms(20.0)
        } else {
            told.min(left / PATIENCE)
        };
        self.after(wait, Event::Root(kind, caller));
    }

    /// A caller's request failed: it tries again where that harms nobody.
    pub(super) fn failed(&mut self, kind: usize, caller: Caller) {
        if caller.tries >= caller.most_tries || !self.kinds[kind].repeatable {
            return self.count(kind, &caller, |counts| counts.failed += 1);
        }
        self.after(ms(50.0), Event::Root(kind, caller));
    }

    pub(super) fn root_over(&mut self, call: &Call, ended: Ended) {
        let (kind, caller) = (call.kind, call.caller);
        match ended {
            Ended::Answered => {
                let good = self.now - caller.first_sent <= self.kinds[kind].target;
                self.count(kind, &caller, |counts| {
                    counts.good += u32::from(good);
                    counts.late += u32::from(!good);
                });
            }
            Ended::NotRun(_) => {
                let (experiment, now) = (self.experiment, self.now);
                let daemon = &mut self.daemons[call.from];
                let told = daemon.come_back(experiment, now, kind, &mut self.rng);
                self.refused(kind, caller, told);
            }
            Ended::FailedBelow | Ended::TooLate | Ended::Crashed => self.failed(kind, caller),
        }
    }
}
