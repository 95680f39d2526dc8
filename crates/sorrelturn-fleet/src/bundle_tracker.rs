//! The bundle version in force on one daemon, and the propagation of higher versions.
//! See `docs/design/spread.md`.

use crate::Now;
use displaydoc::Display;
use sorrelturn_protocol::MemberRecord;
use std::time::Duration;

/// How many neighbours each daemon pushes an update to, not counting peers that recently contacted it.
pub const PUSH_FAN_OUT: usize = 5;
/// After this a new fetch may replace an unfinished one.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The source of a bundle.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// store
    Store,
    /// peer:{0}
    Peer(String),
}

/// A fetch of a bundle of at least the given version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The announced version.
    pub version: u64,
    /// The source to fetch from.
    pub source: Source,
}

/// One daemon's bundle version in force, which only increases, and the fetches of higher ones.
#[derive(Clone, Debug, Default)]
pub struct BundleTracker {
    in_force: u64,
    fetching: Option<(Fetch, Now)>,
    queued: Option<Fetch>,
}

impl BundleTracker {
    /// The version in force; 0 before the first bundle.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Handles an announcement; returns a fetch to start now, if any.
    pub fn version_announced(&mut self, now: Now, version: u64, source: Source) -> Option<Fetch> {
        if version <= self.in_force {
            return None;
        }
        let fetch = Fetch { version, source };
        match &self.fetching {
            Some((running, started_at)) if now < *started_at + FETCH_TIMEOUT => {
                let is_other_source = running.source != fetch.source;
                if is_other_source || running.version < version {
                    self.queued = Some(fetch);
                }
                None
            }
            _ => Some(self.start(now, fetch)),
        }
    }

    /// Puts a validated version in force; returns whether it is higher than the previous one.
    pub fn put_in_force(&mut self, version: u64) -> bool {
        let is_higher = version > self.in_force;
        if is_higher {
            self.in_force = version;
        }
        is_higher
    }

    /// Handles the end of a fetch; returns the next one to start, if any.
    pub fn fetch_finished(&mut self, now: Now, fetch: &Fetch) -> Option<Fetch> {
        self.clear(fetch);
        self.start_queued(now)
    }

    /// Handles the failure of a fetch; returns the next one to start, if any.
    ///
    /// After a peer the store is tried, before other peers that have announced the version: whatever keeps one peer from
    /// delivering it may keep all of them.
    pub fn fetch_failed(&mut self, now: Now, fetch: &Fetch) -> Option<Fetch> {
        self.clear(fetch);
        let at_store = match &fetch.source {
            Source::Store => None,
            Source::Peer(_) => self.version_announced(now, fetch.version, Source::Store),
        };
        at_store.or_else(|| self.start_queued(now))
    }

    fn clear(&mut self, fetch: &Fetch) {
        let is_running = |(running, _): &(Fetch, Now)| running == fetch;
        if self.fetching.as_ref().is_some_and(is_running) {
            self.fetching = None;
        }
    }

    fn start_queued(&mut self, now: Now) -> Option<Fetch> {
        let next = self.queued.take()?;
        self.version_announced(now, next.version, next.source)
    }

    fn start(&mut self, now: Now, fetch: Fetch) -> Fetch {
        self.fetching = Some((fetch.clone(), now));
        fetch
    }
}

/// Chooses random peers, half in the daemon's own failure domain and half in others, so that a push reaches all failure
/// domains quickly and then spreads within each. If one half lacks members, the other is larger.
pub fn sample_peers<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own: &MemberRecord,
    count: usize,
    rng: &mut fastrand::Rng,
) -> Vec<&'a MemberRecord> {
    let (mut same_domain, mut other_domains): (Vec<_>, Vec<_>) = members
        .filter(|record| record.instance != own.instance)
        .partition(|record| record.failure_domain == own.failure_domain);
    rng.shuffle(&mut same_domain);
    rng.shuffle(&mut other_domains);
    let other_count = (count / 2).min(other_domains.len());
    let same_count = (count - other_count).min(same_domain.len());
    let extra_count = (count - other_count - same_count).min(other_domains.len() - other_count);
    same_domain.truncate(same_count);
    other_domains.truncate(other_count + extra_count);
    same_domain.append(&mut other_domains);
    same_domain
}
