//! Which bundle is in force here, and how news of a higher one goes on.
//! See `docs/design/spread.md`.

use crate::Now;
use sorrelturn_protocol::MemberRecord;
use std::time::Duration;

/// How many neighbours hear of news from each daemon.
pub const PUSH_FAN_OUT: usize = 5;
/// A fetch that has taken longer is given up for another source.
const FETCH_TIME: Duration = Duration::from_secs(2);

/// Where a bundle can be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// The daemon of this instance.
    Peer(String),
}

/// An order to fetch the bundle of a version or a higher one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The version that was announced.
    pub version: u64,
    /// Where to fetch it.
    pub source: Source,
}

/// The versions that one daemon knows of. What is in force only rises.
#[derive(Clone, Debug, Default)]
pub struct BundleTracker {
    in_force: u64,
    fetching: Option<(Fetch, Now)>,
    waiting: Option<Fetch>,
}

impl BundleTracker {
    /// The version in force; 0 before the first.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Somebody has this version. Returns a fetch to start now.
    pub fn version_announced(&mut self, now: Now, version: u64, source: Source) -> Option<Fetch> {
        if version <= self.in_force {
            return None;
        }
        let fetch = Fetch { version, source };
        match &self.fetching {
            Some((running, since)) if now < *since + FETCH_TIME => {
                let other_source = running.source != fetch.source;
                if other_source || running.version < version {
                    self.waiting = Some(fetch);
                }
                None
            }
            _ => Some(self.start(now, fetch)),
        }
    }

    /// A fetched bundle passed all checks. Returns whether it goes in force.
    pub fn put_in_force(&mut self, version: u64) -> bool {
        let rises = version > self.in_force;
        if rises {
            self.in_force = version;
        }
        rises
    }

    /// A fetch is over, well or badly. Returns the next one to start, if one is due.
    pub fn fetch_finished(&mut self, now: Now, fetch: &Fetch) -> Option<Fetch> {
        if self
            .fetching
            .as_ref()
            .is_some_and(|(running, _)| running == fetch)
        {
            self.fetching = None;
        }
        let next = self.waiting.take()?;
        self.version_announced(now, next.version, next.source)
    }

    fn start(&mut self, now: Now, fetch: Fetch) -> Fetch {
        self.fetching = Some((fetch.clone(), now));
        fetch
    }
}

/// The peers to tell of something new: half in the own failure domain, half anywhere else, so
/// that news crosses failure domains at once and fills each of them quickly.
pub fn push_targets<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own: &MemberRecord,
    count: usize,
    rng: &mut fastrand::Rng,
) -> Vec<&'a MemberRecord> {
    let (mut near, mut far): (Vec<_>, Vec<_>) = members
        .filter(|record| record.instance != own.instance)
        .partition(|record| record.failure_domain == own.failure_domain);
    rng.shuffle(&mut near);
    rng.shuffle(&mut far);
    let from_far = (count / 2).min(far.len());
    let from_near = (count - from_far).min(near.len());
    let more_far = (count - from_far - from_near).min(far.len() - from_far);
    near.truncate(from_near);
    far.truncate(from_far + more_far);
    near.append(&mut far);
    near
}
