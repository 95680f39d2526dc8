//! How old this daemon's knowledge of the route table is, and reading it anew. See `docs/design/credentials.md`.

use crate::{
    config::fetch::{self, FetchError},
    node::{LastTime, Node, lock},
};
use smol::{
    channel::{self, Sender},
    future::FutureExt,
};
use sorrelturn_bundle::CredentialHash;
use sorrelturn_policy::{Freshness, Now, RateBucket};
use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

/// A credential is honoured so much shorter than operators allow after it was taken away: clocks run unevenly, and
/// a request is looked at a little after it was sent.
const REVOCATION_MARGIN: Duration = Duration::from_millis(500);
/// A daemon that is asked with credentials reads the table itself when its knowledge is older than a time between
/// these: the first one to do so spares the others, who hear of it with the next answers.
const REFRESH_AGE_RANGE: (Duration, Duration) =
    (Duration::from_millis(2_500), Duration::from_millis(3_500));
/// After a read that failed, the next one follows so much later, and after each further one twice as late: each costs
/// the platform a call.
const MIN_READ_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The longest such pause: a VM whose way to the store is mended shall not wait for long.
const MAX_READ_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The longest time for which a request is held while the table is read, which takes some milliseconds as a rule.
const MAX_READ_WAIT: Duration = Duration::from_millis(60);
/// The most unknown credentials that are remembered; 32 bytes each.
const MAX_UNKNOWN_CREDENTIALS: usize = 1_024;
/// How many reads a second unknown credentials may cause here, so that a flood of them costs the platform little.
const MAX_UNKNOWN_READS_PER_SECOND: f64 = 1.0;

/// What a daemon knows of how old its route table is.
pub(crate) struct Knowledge {
    freshness: Mutex<Freshness>,
    /// The revision of the table's object that was taken last; the same one needn't be read again.
    accepted: AtomicU64,
    is_reading: AtomicBool,
    last_failure: LastTime,
    /// How many reads failed in a row.
    failures: AtomicU32,
    refresh_age: Mutex<Duration>,
    unknown_reads: Mutex<RateBucket>,
    /// Credentials that the newest table didn't hold at an earlier request.
    unknown: Mutex<HashSet<CredentialHash>>,
    waiters: Mutex<Vec<Sender<()>>>,
}

impl Knowledge {
    pub(crate) fn new(now: Now) -> Self {
        Self {
            freshness: Mutex::default(),
            accepted: AtomicU64::new(0),
            is_reading: AtomicBool::new(false),
            last_failure: LastTime::default(),
            failures: AtomicU32::new(0),
            refresh_age: Mutex::new(REFRESH_AGE_RANGE.0),
            unknown_reads: Mutex::new(RateBucket::new(MAX_UNKNOWN_READS_PER_SECOND, now)),
            unknown: Mutex::default(),
            waiters: Mutex::default(),
        }
    }

    /// Whether the table with this revision was taken already.
    pub(crate) fn has_accepted(&self, revision: u64) -> bool {
        self.accepted_revision() == revision
    }

    /// The revision of the table that was taken last.
    pub(crate) fn accepted_revision(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// The table with this revision is in force, or a higher version.
    pub(crate) fn record_accepted(&self, revision: u64) {
        self.accepted.fetch_max(revision, Ordering::Relaxed);
    }

    /// How old the knowledge is.
    pub(crate) fn age(&self, now: Now) -> Option<Duration> {
        lock(&self.freshness).age(now)
    }

    /// The same in whole milliseconds, rounded up, for other daemons.
    pub(crate) fn age_ms(&self, now: Now) -> Option<u32> {
        let age = self.age(now)?;
        u32::try_from(age.as_millis()).ok()?.checked_add(1)
    }

    /// Whether an unknown credential may cause a read.
    pub(crate) fn may_read_for_unknown(&self, now: Now) -> bool {
        lock(&self.unknown_reads).take(now)
    }

    /// Whether it is known that no newer table existed at `at`.
    pub(crate) fn covers(&self, at: Now) -> bool {
        lock(&self.freshness).covers(at)
    }

    /// Whether a credential that the table in force doesn't hold was unknown to the newest one at an earlier request.
    /// Whoever goes on with a credential that was taken away costs no further read, also when tables follow.
    pub(crate) fn is_unknown(&self, credential: CredentialHash) -> bool {
        lock(&self.unknown).contains(&credential)
    }

    /// The newest table doesn't hold a credential.
    pub(crate) fn remember_unknown(&self, credential: CredentialHash) {
        let mut unknown = lock(&self.unknown);
        if unknown.len() >= MAX_UNKNOWN_CREDENTIALS {
            unknown.clear();
        }
        unknown.insert(credential);
    }

    fn confirm(&self, at: Now) {
        lock(&self.freshness).confirm(at);
        self.failures.store(0, Ordering::Relaxed);
        let (minimum, maximum) = REFRESH_AGE_RANGE;
        let jitter = (maximum - minimum).mul_f64(fastrand::f64());
        *lock(&self.refresh_age) = minimum + jitter;
        self.wake_waiters();
    }

    /// Whoever waits looks again; one that has gone needs no word.
    fn wake_waiters(&self) {
        for waiter in lock(&self.waiters).drain(..) {
            let _ = waiter.try_send(());
        }
    }
}

/// Another daemon answered what was sent at `sent`, with this version in force and knowledge of this age.
pub(crate) fn confirm_from_peer(node: &Node, sent: Now, version: u64, age_ms: Option<u32>) {
    // What holds for its version says nothing of a lower one.
    if let Some(age_ms) = age_ms.filter(|_| version <= node.bundle_version()) {
        let age = Duration::from_millis(age_ms.into());
        lock(&node.knowledge.freshness).confirm_from_peer(sent, age);
    }
}

/// Reads the route table from the store; what it proves counts from the moment at which it was asked for.
pub(crate) async fn read_table(node: &Arc<Node>, object: &str) -> Result<(), FetchError> {
    let sent = node.now();
    let found = node.platform.get(object).await;
    let found = found.map_err(FetchError::Platform)?;
    let found = found.ok_or(FetchError::Absent)?;
    if !node.knowledge.has_accepted(found.version) {
        fetch::accept_routes(node, &found.value).map_err(FetchError::RoutesRefused)?;
        node.knowledge.record_accepted(found.version);
    }
    node.knowledge.confirm(sent);
    Ok(())
}

/// Whether a credential that the table holds may be honoured now: none is for longer than operators allow after it
/// was taken away, also where nobody tells this daemon.
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
    lock(&node.knowledge.freshness).is_within(now, max_age)
}

/// Reads the table in the background if the knowledge of it has aged.
pub(crate) fn refresh(node: &Arc<Node>) {
    let refresh_age = *lock(&node.knowledge.refresh_age);
    let age = node.knowledge.age(node.now());
    if age.is_none_or(|age| age > refresh_age) {
        start_read(node);
    }
}

/// Waits for a little while until something holds of the knowledge, with one read for all who wait.
pub(crate) async fn wait_until(node: &Arc<Node>, holds: impl Fn() -> bool) -> bool {
    let until = node.now() + MAX_READ_WAIT;
    loop {
        let (tx, rx) = channel::bounded(1);
        lock(&node.knowledge.waiters).push(tx);
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

fn start_read(node: &Arc<Node>) {
    let Some(routes) = &node.settings.routes else {
        return;
    };
    let knowledge = &node.knowledge;
    let failures = knowledge.failures.load(Ordering::Relaxed);
    let interval = MIN_READ_RETRY_INTERVAL * 2u32.pow(failures.saturating_sub(1).min(8));
    let interval = interval.min(MAX_READ_RETRY_INTERVAL);
    let failed_recently = knowledge.last_failure.elapsed_since(node.now()) < interval;
    if failed_recently || knowledge.is_reading.swap(true, Ordering::Relaxed) {
        return;
    }
    let (node, object) = (Arc::clone(node), routes.object.clone());
    let ex = Arc::clone(&node.ex);
    let read = async move {
        // Why it failed is told by the watchers; what follows here is that credentials are refused.
        if read_table(&node, &object).await.is_err() {
            node.knowledge.last_failure.set(node.now());
            node.knowledge.failures.fetch_add(1, Ordering::Relaxed);
        }
        node.knowledge.is_reading.store(false, Ordering::Relaxed);
        // A request that came while this read was under way may need another one.
        node.knowledge.wake_waiters();
    };
    ex.spawn(read).detach();
}
