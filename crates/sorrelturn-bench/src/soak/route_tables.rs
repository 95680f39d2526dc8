//! Checks of the promises about route tables: which versions may be in force, where a route that each version moves leads
//! to, which part of the requests each service of a route gets, and whether the routes that versions add are served.

use std::{collections::BTreeMap, ops::RangeInclusive, time::Duration};

/// The time in which a confirmed route table has to be in force.
pub(super) const APPLY_TIME: Duration = Duration::from_secs(2);
/// The requests on the routes of a version from which on they are compared with those on the routes of all versions.
const MIN_COMPARED: u32 = 20;
/// An added route is served at least this part as often.
const MIN_SERVED_PART: f64 = 0.25;
/// The requests on a route that services share from which on the shares are compared with the weights.
const MIN_SHARED: u32 = 200;
const MAX_SHARE_ERROR: f64 = 0.2;
/// The weights of the services on the shared route, in the order of their daemons' numbers.
pub(super) const SHARE_WEIGHTS: [u32; 2] = [3, 1];

/// The requests on a route, and those of them that succeeded.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCount {
    asked: u32,
    served: u32,
}

impl ServedCount {
    fn record(&mut self, is_served: bool) {
        self.asked += 1;
        self.served += u32::from(is_served);
    }

    fn part(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// What was observed while one version had to be in force at daemons that nothing disturbed.
#[derive(Clone, Copy, Debug, Default)]
struct VersionCounts {
    /// On the route that only this version has.
    added: ServedCount,
    /// On a route that all versions have, which leads to the same service.
    steady: ServedCount,
}

/// What was observed of route tables.
#[derive(Default)]
pub(super) struct RouteTables {
    newest_published: u64,
    /// The versions that the store confirmed, and when, unless an earlier one was written afterwards.
    confirmed: Vec<(u64, Duration)>,
    counts: BTreeMap<u64, VersionCounts>,
    shared: [u32; SHARE_WEIGHTS.len()],
}

impl RouteTables {
    /// Records that a version may be in force from now on.
    pub(super) fn published(&mut self, version: u64) {
        self.newest_published = self.newest_published.max(version);
    }

    /// Records that the store confirmed a version.
    pub(super) fn confirmed(&mut self, at: Duration, version: u64) {
        self.confirmed.push((version, at));
    }

    /// Records that an earlier version is about to be written again; daemons that start from now on may begin with it.
    pub(super) fn reverting(&mut self) {
        self.confirmed.clear();
    }

    /// Returns the newest version that may be in force.
    pub(super) fn newest_published(&self) -> u64 {
        self.newest_published
    }

    /// Returns the versions that may be in force for a request that is sent now; `None` if none has to be.
    pub(super) fn possible(&self, sent_at: Duration, lag: Duration) -> Option<RangeInclusive<u64>> {
        let confirmed = self.confirmed.iter();
        let has_to_be = confirmed.filter(|(_, at)| *at + APPLY_TIME + lag < sent_at);
        let oldest = has_to_be.map(|(version, _)| *version).max()?;
        Some(oldest..=self.newest_published)
    }

    /// Counts a response to a request on the route that only one version has, or on a route of all versions.
    pub(super) fn record_answer(
        &mut self,
        possible: &RangeInclusive<u64>,
        added_by: Option<u64>,
        is_served: bool,
    ) {
        let (oldest, newest) = (*possible.start(), *possible.end());
        if oldest != newest || added_by.is_some_and(|version| version != oldest) {
            return;
        }
        let counts = self.counts.entry(oldest).or_default();
        match added_by {
            Some(_) => counts.added.record(is_served),
            None => counts.steady.record(is_served),
        }
    }

    /// Counts a request on the shared route that reaches a daemon's backend server.
    pub(super) fn record_shared(&mut self, daemon: usize) {
        self.shared[daemon % SHARE_WEIGHTS.len()] += 1;
    }

    /// Returns what is wrong in the totals.
    pub(super) fn wrong_totals(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        for (version, counts) in &self.counts {
            let (added, steady) = (counts.added, counts.steady);
            let is_enough = added.asked >= MIN_COMPARED && steady.asked >= MIN_COMPARED;
            if is_enough && added.part() < MIN_SERVED_PART * steady.part() {
                wrong.push(format!(
                    "of {} requests on the route of version {version}, {} are served, of {} on other routes {}",
                    added.asked, added.served, steady.asked, steady.served
                ));
            }
        }
        let total: u32 = self.shared.iter().sum();
        let weights: u32 = SHARE_WEIGHTS.iter().sum();
        for (count, weight) in self.shared.iter().zip(SHARE_WEIGHTS) {
            let part = f64::from(*count) / f64::from(total.max(1));
            let due = f64::from(weight) / f64::from(weights);
            if total >= MIN_SHARED && (part - due).abs() > MAX_SHARE_ERROR {
                wrong.push(format!(
                    "a share of weight {weight} in {weights} gets {count} of {total} requests"
                ));
            }
        }
        wrong
    }
}

/// Returns the deadline of the timed route in a version.
pub fn timed_deadline(version: u64) -> Duration {
    const DEADLINES_MS: [u64; 2] = [1_200, 400];
    Duration::from_millis(DEADLINES_MS[(version % 2) as usize])
}

/// Returns whether a version of the moved route leads to the service of this daemon; each version leads to the next one.
pub(super) fn leads_to(version: u64, daemon: usize) -> bool {
    let services = SHARE_WEIGHTS.len();
    version % services as u64 == (daemon % services) as u64
}
