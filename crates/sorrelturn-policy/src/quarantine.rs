//! Which requests crash the backend servers that run them. See `docs/design/quarantine.md`.

use crate::Now;
use sorrelturn_protocol::{Cleared, CrashId, CrashNews, CrashReport, RequestFingerprint};
use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    time::Duration,
};

/// A request that was at work in so many crashes is held. One proves nothing, since all that ran beside the cause is as
/// suspect; each further one takes a VM with all its work for seconds.
pub const CRASHES_TO_QUARANTINE: usize = 2;
/// What was learnt of a crash counts for so long: many times what a caller goes on trying, and short enough
/// that a request that was held by mistake, or whose cause was mended, isn't lost for the day.
const RETENTION_TIME: Duration = Duration::from_secs(600);
/// The most crashes that are remembered: those of a failure domain of the largest fleet within [`RETENTION_TIME`].
const MAX_CRASHES: usize = 128;
/// The most names of one crash: two for each of what the largest backend server known has at work (396 slots).
const MAX_REQUESTS_PER_CRASH: usize = 1_024;
/// The most requests that are remembered as cleared.
const MAX_CLEARED: usize = 4_096;

/// What is known of requests that were at work when backend servers crashed.
///
/// It only grows until it is forgotten with age, so daemons that have heard the same in any order know the same.
#[derive(Clone, Debug)]
pub struct Quarantine {
    crash_threshold: usize,
    crashes: VecDeque<Crash>,
    /// In how many of the crashes each request was at work.
    crash_counts: HashMap<RequestFingerprint, usize>,
    cleared: HashMap<RequestFingerprint, Now>,
}

/// What followed from what was heard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineUpdate {
    /// What of it was unknown here, which others have to hear.
    pub new_reports: CrashNews,
    /// The requests that are held from now on.
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
    /// One that holds a request after so many crashes.
    pub fn with_crash_threshold(crash_threshold: usize) -> Self {
        Self {
            crash_threshold,
            crashes: VecDeque::new(),
            crash_counts: HashMap::new(),
            cleared: HashMap::new(),
        }
    }

    /// Takes what somebody learnt.
    pub fn receive(&mut self, now: Now, update: &CrashNews) -> QuarantineUpdate {
        self.remove_expired(now);
        let mut new_reports = CrashNews::default();
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

    /// The crashes in which any of these requests was at work, and of what was at work only these.
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

    /// Whether the crash that was heard of last is the one by which a request is held.
    fn has_just_reached_threshold(&self, request: RequestFingerprint) -> bool {
        self.crash_counts.get(&request) == Some(&self.crash_threshold)
            && self.is_quarantined(request)
    }

    /// A request ran to its end, and so isn't the cause of a crash. Returns whether that is news.
    pub fn clear(&mut self, at: Now, request: RequestFingerprint) -> bool {
        let is_new = !self.cleared.contains_key(&request) && self.cleared.len() < MAX_CLEARED;
        if is_new {
            self.cleared.insert(request, at);
        }
        is_new
    }

    /// Whether a request is kept from backend servers, as of the last time that what is old was forgotten.
    pub fn is_quarantined(&self, request: RequestFingerprint) -> bool {
        let crashes = self.crash_counts.get(&request).copied().unwrap_or_default();
        crashes >= self.crash_threshold && !self.cleared.contains_key(&request)
    }

    /// How long a request is held if nothing more is heard of it.
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
        // It is free when fewer than enough are left.
        let last = expiry_times.len().checked_sub(self.crash_threshold)?;
        expiry_times[last]
            .checked_sub(now)
            .filter(|remaining| !remaining.is_zero())
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.crash_counts.is_empty()
    }

    /// All that is known, for a daemon that knows something else.
    pub fn snapshot(&self, now: Now) -> CrashNews {
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            id: crash.id,
            age_ms: now.saturating_sub(crash.at).as_millis() as u64,
            running: crash.running.clone(),
        });
        let cleared = self.cleared.iter().map(|(request, at)| Cleared {
            request: *request,
            age_ms: now.saturating_sub(*at).as_millis() as u64,
        });
        CrashNews {
            crashes: crashes.collect(),
            cleared: cleared.collect(),
        }
    }

    /// A sum over all that is known; daemons with equal sums know the same.
    pub fn checksum(&self) -> u64 {
        let crashes = self.crashes.iter().flat_map(|crash| {
            let running = crash.running.iter();
            running.map(|request| mix(request.0 ^ mix(crash.id.0)))
        });
        let cleared = self.cleared.keys().map(|request| mix(!request.0));
        crashes.chain(cleared).fold(0, |sum, value| sum ^ value)
    }

    /// Returns the requests that weren't known to have been at work in this crash.
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

    /// Adds a crash in the order of time; returns its index.
    fn insert_crash(&mut self, at: Now, id: CrashId) -> usize {
        if self.crashes.len() >= MAX_CRASHES {
            self.remove_oldest_crash();
        }
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        let running = Vec::new();
        self.crashes.insert(index, Crash { id, at, running });
        index
    }

    /// Forgets what was learnt too long ago.
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

/// Spreads a number over all bits, so that sums of numbers that differ little differ (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
