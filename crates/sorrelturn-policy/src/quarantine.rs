//! Which requests crash the backend servers that run them. See `docs/design/quarantine.md`.

use crate::Now;
use sorrelturn_protocol::{ClearedRequest, CrashId, CrashReport, CrashUpdate, RequestFingerprint};
use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    time::Duration,
};

/// A request that was at work in so many crashes is held. One proves nothing, since all that ran beside the cause is as
/// suspect; each further one takes a VM with all its work for seconds.
pub const CRASHES_TO_HOLD: usize = 2;
/// What was learnt of a crash counts for so long: many times what a caller goes on trying, and short enough
/// that a request that was held by mistake, or whose cause was mended, isn't lost for the day.
const KEPT_FOR: Duration = Duration::from_secs(600);
/// The most crashes that are remembered: those of a failure domain of the largest fleet within [`KEPT_FOR`].
const MOST_CRASHES: usize = 128;
/// The most names of one crash: two for each of what the largest backend server known has at work (396 slots).
const MOST_RUNNING: usize = 1_024;
/// The most requests that are remembered as cleared.
const MOST_CLEARED: usize = 4_096;

/// What is known of requests that were at work when backend servers crashed.
///
/// It only grows until it is forgotten with age, so daemons that have heard the same in any order know the same.
#[derive(Clone, Debug)]
pub struct Quarantine {
    crashes_to_hold: usize,
    crashes: VecDeque<Crash>,
    /// In how many of the crashes each request was at work.
    suspects: HashMap<RequestFingerprint, usize>,
    cleared: HashMap<RequestFingerprint, Now>,
}

/// What followed from what was heard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Learnt {
    /// What of it was unknown here, which others have to hear.
    pub unknown: CrashUpdate,
    /// The requests that are held from now on.
    pub held: Vec<RequestFingerprint>,
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    at: Now,
    running: Vec<RequestFingerprint>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::holding_after(CRASHES_TO_HOLD)
    }
}

impl Quarantine {
    /// One that holds a request after so many crashes.
    pub fn holding_after(crashes_to_hold: usize) -> Self {
        Self {
            crashes_to_hold,
            crashes: VecDeque::new(),
            suspects: HashMap::new(),
            cleared: HashMap::new(),
        }
    }

    /// Takes what somebody learnt.
    pub fn hear(&mut self, now: Now, news: &CrashUpdate) -> Learnt {
        self.forget_old(now);
        let mut unknown = CrashUpdate::default();
        let mut held = Vec::new();
        for cleared in &news.cleared {
            let age = Duration::from_millis(cleared.age_ms);
            if age < KEPT_FOR && self.clear(now.saturating_sub(age), cleared.request) {
                unknown.cleared.push(*cleared);
            }
        }
        for report in &news.crashes {
            let running = self.crashed(now, report);
            let now_held = running
                .iter()
                .filter(|request| self.is_held_by_last(**request));
            held.extend(now_held);
            if !running.is_empty() {
                unknown.crashes.push(CrashReport {
                    running,
                    ..report.clone()
                });
            }
        }
        Learnt { unknown, held }
    }

    /// The crashes in which any of these requests was at work, and of what was at work only these.
    pub fn proof(&self, now: Now, requests: &[RequestFingerprint]) -> Vec<CrashReport> {
        if requests.is_empty() {
            return Vec::new();
        }
        let mut crashes = self.news(now).crashes;
        for crash in &mut crashes {
            crash.running.retain(|request| requests.contains(request));
        }
        crashes.retain(|crash| !crash.running.is_empty());
        crashes
    }

    /// Whether the crash that was heard of last is the one by which a request is held.
    fn is_held_by_last(&self, request: RequestFingerprint) -> bool {
        self.suspects.get(&request) == Some(&self.crashes_to_hold) && self.holds(request)
    }

    /// A request ran to its end, and so isn't the cause of a crash. Returns whether that is news.
    pub fn clear(&mut self, at: Now, request: RequestFingerprint) -> bool {
        let is_news = !self.cleared.contains_key(&request) && self.cleared.len() < MOST_CLEARED;
        if is_news {
            self.cleared.insert(request, at);
        }
        is_news
    }

    /// Whether a request is kept from backend servers, as of the last time that what is old was forgotten.
    pub fn holds(&self, request: RequestFingerprint) -> bool {
        let crashes = self.suspects.get(&request).copied().unwrap_or_default();
        crashes >= self.crashes_to_hold && !self.cleared.contains_key(&request)
    }

    /// How long a request is held if nothing more is heard of it.
    pub fn held_for(&self, now: Now, request: RequestFingerprint) -> Option<Duration> {
        if !self.holds(request) {
            return None;
        }
        let crashes = self.crashes.iter();
        let mut ends: Vec<Now> = crashes
            .filter(|crash| crash.running.contains(&request))
            .map(|crash| crash.at + KEPT_FOR)
            .collect();
        ends.sort_unstable();
        // It is free when fewer than enough are left.
        let last = ends.len().checked_sub(self.crashes_to_hold)?;
        ends[last].checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// All that is known, for a daemon that knows something else.
    pub fn news(&self, now: Now) -> CrashUpdate {
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

    /// A sum over all that is known; daemons with equal sums know the same.
    pub fn sum(&self) -> u64 {
        let crashes = self.crashes.iter().flat_map(|crash| {
            let running = crash.running.iter();
            running.map(|request| mix(request.0 ^ mix(crash.id.0)))
        });
        let cleared = self.cleared.keys().map(|request| mix(!request.0));
        crashes.chain(cleared).fold(0, |sum, one| sum ^ one)
    }

    /// Returns the requests that weren't known to have been at work in this crash.
    fn crashed(&mut self, now: Now, report: &CrashReport) -> Vec<RequestFingerprint> {
        let age = Duration::from_millis(report.age_ms);
        if age >= KEPT_FOR {
            return Vec::new();
        }
        let known = self.crashes.iter().position(|crash| crash.id == report.id);
        let place = known.unwrap_or_else(|| self.add(now.saturating_sub(age), report.id));
        let Some(crash) = self.crashes.get_mut(place) else {
            return Vec::new();
        };
        let mut unknown = Vec::new();
        for request in &report.running {
            if crash.running.len() < MOST_RUNNING && !crash.running.contains(request) {
                crash.running.push(*request);
                *self.suspects.entry(*request).or_default() += 1;
                unknown.push(*request);
            }
        }
        unknown
    }

    /// Adds a crash in the order of time; returns its place.
    fn add(&mut self, at: Now, id: CrashId) -> usize {
        if self.crashes.len() >= MOST_CRASHES {
            self.forget_oldest();
        }
        let place = self.crashes.partition_point(|crash| crash.at <= at);
        let running = Vec::new();
        self.crashes.insert(place, Crash { id, at, running });
        place
    }

    /// Forgets what was learnt too long ago.
    pub fn forget_old(&mut self, now: Now) {
        let is_old = |crash: &Crash| crash.at + KEPT_FOR <= now;
        while self.crashes.front().is_some_and(is_old) {
            self.forget_oldest();
        }
        self.cleared.retain(|_, at| *at + KEPT_FOR > now);
    }

    fn forget_oldest(&mut self) {
        let Some(crash) = self.crashes.pop_front() else {
            return;
        };
        for request in crash.running {
            if let Entry::Occupied(mut crashes) = self.suspects.entry(request) {
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
