//! Detects requests that crash the backend servers running them. See `docs/design/quarantine.md`.

use crate::Now;
use sorrelturn_protocol::{ClearedRequest, CrashId, CrashReport, CrashUpdate, RequestFingerprint};
use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    time::Duration,
};

/// Number of crashes after which a request that was in progress in all of them is quarantined. A single crash also
/// implicates every request that ran beside its cause. Each further crash takes a VM with all its work for seconds.
pub const CRASHES_TO_QUARANTINE: usize = 2;
/// How long crashes and cleared requests are remembered: longer than callers retry, but short enough
/// to release a wrongly quarantined request within minutes.
const RETENTION_TIME: Duration = Duration::from_secs(600);
/// Maximum number of crashes that are remembered. Enough for a failure domain of the largest fleet within
/// [`RETENTION_TIME`].
const MAX_CRASHES: usize = 128;
/// Maximum number of requests recorded for one crash: two fingerprints for each request in progress. The largest known
/// backend server has 396 slots.
const MAX_REQUESTS_PER_CRASH: usize = 1_024;
/// Maximum number of cleared requests that are remembered.
const MAX_CLEARED: usize = 4_096;

/// Requests that were in progress when backend servers crashed.
///
/// Below capacity, entries are removed only on expiry, so daemons that receive the same updates in
/// any order reach the same state.
#[derive(Clone, Debug)]
pub struct Quarantine {
    crash_threshold: usize,
    crashes: VecDeque<Crash>,
    /// Number of crashes during which each request was in progress.
    crash_counts: HashMap<RequestFingerprint, usize>,
    cleared: HashMap<RequestFingerprint, Now>,
}

/// The changes caused by a received update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineUpdate {
    /// Part of the update that was new to this daemon and must be forwarded to others.
    pub new_reports: CrashUpdate,
    /// Requests that the update put into quarantine.
    pub quarantined: Vec<RequestFingerprint>,
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    at: Now,
    running: Vec<RequestFingerprint>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::with_crash_threshold(CRASHES_TO_QUARANTINE)
    }
}

impl Quarantine {
    /// Creates a quarantine that takes in a request after `crash_threshold` crashes.
    pub fn with_crash_threshold(crash_threshold: usize) -> Self {
        Self {
            crash_threshold,
            crashes: VecDeque::new(),
            crash_counts: HashMap::new(),
            cleared: HashMap::new(),
        }
    }

    /// Merges an update from another daemon or from this one.
    pub fn receive(&mut self, now: Now, update: &CrashUpdate) -> QuarantineUpdate {
        self.remove_expired(now);
        let mut new_reports = CrashUpdate::default();
        let mut quarantined = Vec::new();
        for cleared in &update.cleared {
            let age = Duration::from_millis(cleared.age_ms);
            if age < RETENTION_TIME && self.clear(now.saturating_sub(age), cleared.request) {
                new_reports.cleared.push(*cleared);
            }
        }
        for report in &update.crashes {
            let running = self.record_crash(now, report);
            let newly_quarantined = running
                .iter()
                .filter(|request| self.has_just_reached_threshold(**request));
            quarantined.extend(newly_quarantined);
            if !running.is_empty() {
                new_reports.crashes.push(CrashReport {
                    running,
                    ..report.clone()
                });
            }
        }
        QuarantineUpdate {
            new_reports,
            quarantined,
        }
    }

    /// Returns the crashes during which any of these requests was in progress, reduced to these
    /// requests.
    pub fn evidence_for(&self, now: Now, requests: &[RequestFingerprint]) -> Vec<CrashReport> {
        if requests.is_empty() {
            return Vec::new();
        }
        let mut crashes = self.snapshot(now).crashes;
        for crash in &mut crashes {
            crash.running.retain(|request| requests.contains(request));
        }
        crashes.retain(|crash| !crash.running.is_empty());
        crashes
    }

    /// Returns whether the crash recorded last is the one that quarantines a request.
    fn has_just_reached_threshold(&self, request: RequestFingerprint) -> bool {
        self.crash_counts.get(&request) == Some(&self.crash_threshold)
            && self.is_quarantined(request)
    }

    /// Records that a request finished and thus doesn't cause crashes. Returns whether this is new.
    pub fn clear(&mut self, at: Now, request: RequestFingerprint) -> bool {
        let is_new = !self.cleared.contains_key(&request) && self.cleared.len() < MAX_CLEARED;
        if is_new {
            self.cleared.insert(request, at);
        }
        is_new
    }

    /// Returns whether a request is quarantined, as of the last removal of expired entries.
    pub fn is_quarantined(&self, request: RequestFingerprint) -> bool {
        let crashes = self.crash_counts.get(&request).copied().unwrap_or_default();
        crashes >= self.crash_threshold && !self.cleared.contains_key(&request)
    }

    /// Returns how long a request stays quarantined if no further crash is reported.
    pub fn remaining_quarantine(&self, now: Now, request: RequestFingerprint) -> Option<Duration> {
        if !self.is_quarantined(request) {
            return None;
        }
        let crashes = self.crashes.iter();
        let mut expiry_times: Vec<Now> = crashes
            .filter(|crash| crash.running.contains(&request))
            .map(|crash| crash.at + RETENTION_TIME)
            .collect();
        expiry_times.sort_unstable();
        // The request is released once fewer crashes than the threshold remain.
        let releasing_index = expiry_times.len().checked_sub(self.crash_threshold)?;
        expiry_times[releasing_index]
            .checked_sub(now)
            .filter(|remaining| !remaining.is_zero())
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.crash_counts.is_empty()
    }

    /// Returns the whole state, for a daemon whose state differs.
    pub fn snapshot(&self, now: Now) -> CrashUpdate {
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            id: crash.id,
            age_ms: now.saturating_sub(crash.at).as_millis() as u64,
            running: crash.running.clone(),
        });
        let cleared = self.cleared.iter().map(|(request, at)| ClearedRequest {
            request: *request,
            age_ms: now.saturating_sub(*at).as_millis() as u64,
        });
        CrashUpdate {
            crashes: crashes.collect(),
            cleared: cleared.collect(),
        }
    }

    /// Returns a checksum of the crashes and cleared requests, without their ages. It is equal for daemons
    /// that know the same ones.
    pub fn checksum(&self) -> u64 {
        let crashes = self.crashes.iter().flat_map(|crash| {
            let running = crash.running.iter();
            running.map(|request| mix(request.0 ^ mix(crash.id.0)))
        });
        let cleared = self.cleared.keys().map(|request| mix(!request.0));
        crashes.chain(cleared).fold(0, |sum, value| sum ^ value)
    }

    /// Records a crash. Returns the requests that weren't yet recorded for it.
    fn record_crash(&mut self, now: Now, report: &CrashReport) -> Vec<RequestFingerprint> {
        let age = Duration::from_millis(report.age_ms);
        if age >= RETENTION_TIME {
            return Vec::new();
        }
        let position = self.crashes.iter().position(|crash| crash.id == report.id);
        let index =
            position.unwrap_or_else(|| self.insert_crash(now.saturating_sub(age), report.id));
        let Some(crash) = self.crashes.get_mut(index) else {
            return Vec::new();
        };
        let mut unknown = Vec::new();
        for request in &report.running {
            if crash.running.len() < MAX_REQUESTS_PER_CRASH && !crash.running.contains(request) {
                crash.running.push(*request);
                *self.crash_counts.entry(*request).or_default() += 1;
                unknown.push(*request);
            }
        }
        unknown
    }

    /// Inserts a crash in chronological order and returns its index.
    fn insert_crash(&mut self, at: Now, id: CrashId) -> usize {
        if self.crashes.len() >= MAX_CRASHES {
            self.remove_oldest_crash();
        }
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        let running = Vec::new();
        self.crashes.insert(index, Crash { id, at, running });
        index
    }

    /// Removes crashes and cleared requests older than the retention time.
    pub fn remove_expired(&mut self, now: Now) {
        let is_expired = |crash: &Crash| crash.at + RETENTION_TIME <= now;
        while self.crashes.front().is_some_and(is_expired) {
            self.remove_oldest_crash();
        }
        self.cleared.retain(|_, at| *at + RETENTION_TIME > now);
    }

    fn remove_oldest_crash(&mut self) {
        let Some(crash) = self.crashes.pop_front() else {
            return;
        };
        for request in crash.running {
            if let Entry::Occupied(mut crashes) = self.crash_counts.entry(request) {
                *crashes.get_mut() -= 1;
                if *crashes.get() == 0 {
                    crashes.remove();
                }
            }
        }
    }
}

/// Spreads a number over all bits (the finalizer of SplitMix64), so that checksums of similar
/// numbers differ.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
