//! Requests that crash backend servers, and the crash updates between daemons.

use super::{CallResult, Caller, Event, Simulation, seconds};
use crate::experiment::file::{FaultSpec, Mechanism};
use sorrelturn_protocol::{CrashId, CrashReport, CrashUpdate, RequestFingerprint};
use std::time::Duration;

/// The time until all daemons have received the update on a crash.
const CRASH_UPDATE_DELAY: Duration = Duration::from_millis(15);
/// Fingerprints of crashing requests count down from here; those of other requests count up from 1.
const MAX_CRASHING_FINGERPRINT: u64 = u64::MAX;

impl Simulation<'_> {
    /// Sends it from a new caller and schedules the next one.
    pub(super) fn send_crashing_request(&mut self, number: usize) {
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
        self.schedule_after(seconds(wait), Event::CrashingRequest(number));
        let Ok(kind) = self.kind_names.binary_search(kind) else {
            return;
        };
        let caller = Caller {
            first_sent: self.now,
            attempts: 0,
            max_attempts: 1 + self.kinds[kind].max_retries,
            is_impatient: false,
            request: RequestFingerprint(MAX_CRASHING_FINGERPRINT - number as u64),
            crashes_backends: true,
        };
        self.handle_root_request(kind, caller);
    }

    pub(super) fn is_quarantined(&self, request: RequestFingerprint) -> bool {
        self.experiment.is_enabled(Mechanism::Quarantine) && self.quarantine.is_quarantined(request)
    }

    pub(super) fn is_backend_down(&self, daemon: usize) -> bool {
        self.now < self.backend_down_until[daemon]
    }

    pub(super) fn crash_backend(&mut self, daemon: usize) {
        let down_duration = self.experiment.faults.iter().find_map(|fault| match fault {
            FaultSpec::Crashes { away_s, .. } => Some(seconds(*away_s)),
            _ => None,
        });
        self.backend_down_until[daemon] = self.now + down_duration.unwrap_or_default();
        self.outcome.services[self.service_by_daemon[daemon]].crashes += 1;
        let runs_of_daemon = self.runs.iter().filter(|(_, run)| run.daemon == daemon);
        let mut runs: Vec<u64> = runs_of_daemon.map(|(id, _)| *id).collect();
        // The iteration order of a map differs between executions.
        runs.sort_unstable();
        let calls = runs
            .iter()
            .filter_map(|run| self.calls.get(&self.runs[run].call));
        let report = CrashReport {
            id: CrashId(self.next_id),
            age_ms: 0,
            running: calls.map(|call| call.caller.request).collect(),
        };
        let update = CrashUpdate {
            crashes: vec![report],
            cleared: Vec::new(),
        };
        self.schedule_after(CRASH_UPDATE_DELAY, Event::CrashUpdateReceived(update));
        for run in runs {
            self.finish_run(run, CallResult::Crashed);
        }
    }

    pub(super) fn receive_crash_update(&mut self, update: &CrashUpdate) {
        self.quarantine.receive(self.now, update);
    }
}
