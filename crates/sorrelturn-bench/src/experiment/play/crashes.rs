//! Backend servers that crash by a request, and what the daemons tell one another of it.

use super::{Caller, Ended, Event, Play, seconds};
use crate::experiment::file::{FaultSpec, Mechanism};
use sorrelturn_protocol::{CrashId, CrashReport, CrashUpdate, RequestFingerprint};
use std::time::Duration;

/// All daemons have heard of a crash after this time: it is noticed within 5 ms, and news takes a few hops.
const HEARD_AFTER: Duration = Duration::from_millis(15);
/// The fingerprints of requests that crash backend servers; all others have numbers from 1 on.
const DEADLY: u64 = u64::MAX;

impl Play<'_> {
    /// The request that crashes backend servers is sent once more, by another caller.
    pub(super) fn crash_due(&mut self, number: usize) {
        let Some(FaultSpec::Crashes {
            kind,
            per_second,
            to_s,
            ..
        }) = self.experiment.faults.get(number)
        else {
            return;
        };
        if self.now >= seconds(*to_s) {
            return;
        }
        let wait = -(1.0 - self.rng.f64()).ln() / per_second.max(1e-6);
        self.after(seconds(wait), Event::CrashDue(number));
        let Ok(kind) = self.names.binary_search(kind) else {
            return;
        };
        let caller = Caller {
            first_sent: self.now,
            tries: 0,
            most_tries: 1 + self.kinds[kind].returns,
            impatient: false,
            request: RequestFingerprint(DEADLY - number as u64),
            crashes: true,
        };
        self.root(kind, caller);
    }

    /// Whether a request is held by all who have heard of the crashes.
    pub(super) fn is_held(&self, request: RequestFingerprint) -> bool {
        self.experiment.is_on(Mechanism::Quarantine) && self.quarantine.is_quarantined(request)
    }

    pub(super) fn is_away(&self, daemon: usize) -> bool {
        self.now < self.away_until[daemon]
    }

    /// A backend server ends with all that it has at work.
    pub(super) fn crash(&mut self, daemon: usize) {
        let away = self.experiment.faults.iter().find_map(|fault| match fault {
            FaultSpec::Crashes { away_s, .. } => Some(seconds(*away_s)),
            _ => None,
        });
        self.away_until[daemon] = self.now + away.unwrap_or_default();
        self.outcome.services[self.service_of[daemon]].crashes += 1;
        let at_work = self.runs.iter().filter(|(_, run)| run.daemon == daemon);
        let mut runs: Vec<u64> = at_work.map(|(id, _)| *id).collect();
        // A map's order isn't the same in every run.
        runs.sort_unstable();
        let calls = runs
            .iter()
            .filter_map(|run| self.calls.get(&self.runs[run].call));
        let report = CrashReport {
            id: CrashId(self.next_id),
            age_ms: 0,
            running: calls.map(|call| call.caller.request).collect(),
        };
        let news = CrashUpdate {
            crashes: vec![report],
            cleared: Vec::new(),
        };
        self.after(HEARD_AFTER, Event::Heard(news));
        for run in runs {
            self.run_over(run, Ended::Crashed);
        }
    }

    pub(super) fn heard(&mut self, news: &CrashUpdate) {
        self.quarantine.receive(self.now, news);
    }
}
