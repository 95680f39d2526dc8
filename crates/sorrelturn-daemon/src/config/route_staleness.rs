//! Tracks the staleness of the bundle in force, a route table or a signed bundle, and reads the store. See
//! `docs/design/spread.md` and `docs/design/credentials.md`.

use crate::{
    config::fetch::{self, FetchError, LearnedFrom},
    fleet::gossip,
    node::{LastTime, Node, lock},
};
use smol::{
    channel::{self, Sender},
    future::FutureExt,
};
use sorrelturn_bundle::CredentialHash;
use sorrelturn_policy::{Freshness, Now, RateBucket};
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Subtracted from the revocation time, for differences between clock rates and the delay until a
/// request is checked.
const REVOCATION_MARGIN: Duration = Duration::from_millis(500);
/// The delay after a failed read; it doubles with each further failure.
const MIN_READ_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum delay after a failed read.
const MAX_READ_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum time that a request waits for a read of the table.
const MAX_READ_WAIT: Duration = Duration::from_millis(60);
/// The maximum staleness of a route table that refuses a request for good. Beyond it, a newer table may have to be in
/// force already.
const MAX_REFUSAL_STALENESS: Duration = Duration::from_millis(1_500);
/// The maximum number of remembered unknown credentials, 32 bytes each.
const MAX_UNKNOWN_CREDENTIALS: usize = 1_024;
/// Limits the reads that unknown credentials cause, so that a flood of them costs the platform
/// little.
const MAX_UNKNOWN_READS_PER_SECOND: f64 = 1.0;

/// The staleness of the route table of this daemon, and the reads that reduce it.
pub(crate) struct RouteStaleness {
    freshness: Mutex<Freshness>,
    /// The revision of the table's object that was accepted last; it needn't be parsed again.
    accepted_revision: AtomicU64,
    is_reading: AtomicBool,
    /// Whether a daemon is being asked that announced a confirmation.
    is_asking: AtomicBool,
    last_failure: LastTime,
    /// The number of consecutive failed reads.
    failures: AtomicU32,
    unknown_reads: Mutex<RateBucket>,
    /// Credentials that were looked up and not found.
    unknown: Mutex<HashSet<CredentialHash>>,
    waiters: Mutex<Vec<Sender<()>>>,
}

impl RouteStaleness {
    pub(crate) fn new(now: Now) -> Self {
        Self {
            freshness: Mutex::default(),
            accepted_revision: AtomicU64::new(0),
            is_reading: AtomicBool::new(false),
            is_asking: AtomicBool::new(false),
            last_failure: LastTime::default(),
            failures: AtomicU32::new(0),
            unknown_reads: Mutex::new(RateBucket::new(MAX_UNKNOWN_READS_PER_SECOND, now)),
            unknown: Mutex::default(),
            waiters: Mutex::default(),
        }
    }

    /// Returns whether the table with this revision was accepted already.
    pub(crate) fn has_accepted(&self, revision: u64) -> bool {
        self.accepted_revision.load(Ordering::Relaxed) == revision
    }

    /// Records that the table at this revision of its object was accepted: its version, or a higher
    /// one, is in force.
    pub(crate) fn record_accepted(&self, revision: u64) {
        self.accepted_revision
            .fetch_max(revision, Ordering::Relaxed);
    }

    /// Returns the staleness of the table; `None` if it is unknown.
    pub(crate) fn age(&self, now: Now) -> Option<Duration> {
        lock(&self.freshness).age(now)
    }

    /// Returns the latest time as of which the table is known to have been the newest; `None` if it is unknown.
    pub(crate) fn confirmed_at(&self) -> Option<Now> {
        lock(&self.freshness).confirmed_at()
    }

    /// Returns the staleness in whole milliseconds, rounded up, for other daemons.
    pub(crate) fn age_ms(&self, now: Now) -> Option<u32> {
        let age = self.age(now)?;
        u32::try_from(age.as_millis()).ok()?.checked_add(1)
    }

    /// Returns the number of reads of the store that have failed since the last confirmation by it.
    pub(crate) fn failed_reads(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Returns whether no announced confirmation is being verified, and starts one if so.
    pub(crate) fn try_start_asking(&self) -> bool {
        !self.is_asking.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn finish_asking(&self) {
        self.is_asking.store(false, Ordering::Relaxed);
    }

    /// Returns the staleness for an event, if it is known.
    pub(crate) fn age_field(&self, now: Now) -> Option<Field> {
        let age_ms = self.age_ms(now)?;
        Some(Field::new("knowledge_age_ms", age_ms))
    }

    /// Takes one read from the rate limit for unknown credentials. Returns whether it is allowed.
    pub(crate) fn try_take_read_for_unknown(&self, now: Now) -> bool {
        lock(&self.unknown_reads).take(now)
    }

    /// Returns whether it is certain that no newer table existed at `at`.
    pub(crate) fn is_confirmed_since(&self, at: Now) -> bool {
        lock(&self.freshness).is_confirmed_since(at)
    }

    /// Returns whether a credential was looked up before and not found. While the
    /// table is valid, repeated use of such a credential causes no further read.
    pub(crate) fn is_unknown(&self, credential: CredentialHash) -> bool {
        lock(&self.unknown).contains(&credential)
    }

    /// Records that the newest table lacks a credential.
    pub(crate) fn remember_unknown(&self, credential: CredentialHash) {
        let mut unknown = lock(&self.unknown);
        if unknown.len() >= MAX_UNKNOWN_CREDENTIALS {
            unknown.clear();
        }
        unknown.insert(credential);
    }

    /// Records that no newer version existed at `at`, according to the store.
    pub(crate) fn confirm(&self, at: Now) {
        lock(&self.freshness).confirm(at);
        self.failures.store(0, Ordering::Relaxed);
        self.wake_waiters();
    }

    /// Wakes all requests that wait; those that were cancelled are ignored.
    fn wake_waiters(&self) {
        for waiter in lock(&self.waiters).drain(..) {
            let _ = waiter.try_send(());
        }
    }
}

/// Applies the staleness that another daemon reported in the response to a message sent at
/// `sent`, with `version` in force.
pub(crate) fn confirm_from_peer(node: &Node, sent: Now, version: u64, age_ms: Option<u32>) {
    // The staleness of a higher version doesn't hold for the one in force here.
    if let Some(age_ms) = age_ms.filter(|_| version <= node.bundle_version()) {
        let age = Duration::from_millis(age_ms.into());
        lock(&node.route_staleness.freshness).confirm_from_peer(sent, age);
    }
}

/// Reads the route table from the store. The table counts as confirmed from the time when the
/// read was sent.
pub(crate) async fn read_table(node: &Arc<Node>, object: &str) -> Result<(), FetchError> {
    let sent = node.now();
    let found = node.platform.get(object).await;
    let found = found.map_err(FetchError::Platform)?;
    let found = found.ok_or(FetchError::Absent)?;
    // The version of the object is its revision in the store, not the version of the table.
    if !node.route_staleness.has_accepted(found.version) {
        fetch::accept_routes(node, &found.value, LearnedFrom::Read)
            .map_err(FetchError::RoutesRefused)?;
        node.route_staleness.record_accepted(found.version);
    }
    node.route_staleness.confirm(sent);
    Ok(())
}

/// Returns whether the table was confirmed recently enough, given the revocation time, to accept
/// the credentials in it.
pub(crate) fn is_valid(node: &Node, now: Now) -> bool {
    let max_age = node
        .settings
        .routes
        .as_ref()
        .and_then(|routes| routes.revocation());
    let Some(max_age) = max_age else {
        return true;
    };
    let max_age = max_age.saturating_sub(REVOCATION_MARGIN);
    lock(&node.route_staleness.freshness).is_within(now, max_age)
}

/// Whether a route table may refuse a request for good.
pub(crate) enum RefusalCheck {
    /// It may.
    Final,
    /// Another table may be in force by now, which has to be looked at.
    Repeat,
    /// The newest table isn't known.
    Unknown,
}

/// Checks a refusal by the table of this version, which is final to callers. Waits up to [`MAX_READ_WAIT`] if the
/// table is too stale.
pub(crate) async fn check_refusal(node: &Arc<Node>, version: u64) -> RefusalCheck {
    // The staleness comes first: once it is low, the table that made it so is in force.
    if is_recent(node) && node.bundle_version() == version {
        return RefusalCheck::Final;
    }
    match wait_until(node, || is_recent(node)).await {
        true => RefusalCheck::Repeat,
        false => RefusalCheck::Unknown,
    }
}

fn is_recent(node: &Node) -> bool {
    lock(&node.route_staleness.freshness).is_within(node.now(), MAX_REFUSAL_STALENESS)
}

/// Waits up to [`MAX_READ_WAIT`] until `holds` returns true. All requests that wait share one
/// read.
pub(crate) async fn wait_until(node: &Arc<Node>, holds: impl Fn() -> bool) -> bool {
    let until = node.now() + MAX_READ_WAIT;
    loop {
        let (tx, rx) = channel::bounded(1);
        lock(&node.route_staleness.waiters).push(tx);
        if holds() {
            return true;
        }
        start_read(node);
        let confirmed = async { rx.recv().await.is_ok() };
        let timed_out = async {
            node.timers.at(until).await;
            false
        };
        if !confirmed.or(timed_out).await {
            return holds();
        }
    }
}

/// Reads the store in the background, unless a read is in progress or failed recently.
pub(crate) fn start_read(node: &Arc<Node>) {
    let staleness = &node.route_staleness;
    let failures = staleness.failures.load(Ordering::Relaxed);
    let interval = MIN_READ_RETRY_INTERVAL * 2u32.pow(failures.saturating_sub(1).min(8));
    let interval = interval.min(MAX_READ_RETRY_INTERVAL);
    let failed_recently = staleness.last_failure.elapsed_since(node.now()) < interval;
    if failed_recently || staleness.is_reading.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    let read = async move {
        match fetch::fetch_from_member(&node, None).await {
            Ok(()) => gossip::announce_confirmation(&node),
            Err(error) => record_failed_read(&node, &error),
        }
        node.route_staleness
            .is_reading
            .store(false, Ordering::Relaxed);
        // A request that arrived during this read may need another one.
        node.route_staleness.wake_waiters();
    };
    ex.spawn(read).detach();
}

fn record_failed_read(node: &Node, error: &FetchError) {
    let staleness = &node.route_staleness;
    staleness.last_failure.set(node.now());
    staleness.failures.fetch_add(1, Ordering::Relaxed);
    if matches!(
        error,
        FetchError::Refused(_) | FetchError::RoutesRefused(_) | FetchError::Unreadable
    ) {
        node.record_event(&events::BUNDLE_REFUSED, vec![Field::new("error", error)]);
    }
}
