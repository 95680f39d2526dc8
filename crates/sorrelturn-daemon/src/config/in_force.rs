//! The bundle in force, and the state that the daemon keeps for it: caller budgets, learned
//! thresholds and retry windows.

use crate::{
    node::{LastTime, lock},
    request::entry_queue::WaitingRequests,
};
use sorrelturn_bundle::{
    Bundle, CallerEntry, KindEntry, SectionBytes, SignedManifest, WorkspaceEntry,
};
use sorrelturn_policy::{
    LearnedThreshold, Now, RateBucket, RefusalStreak, RetryBucket, RetryDetector, RetryWindow,
    ShareTable,
};
use sorrelturn_protocol::{CallerId, Importance, Priority};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::Duration,
};

/// The retries allowed for each first attempt of a kind, without a route table.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// The retries of a kind allowed in addition, in each window, without a route table.
const DEFAULT_RETRY_SLACK: f64 = 10.0;
/// The window of the retry limits, without a route table.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// How long a service that a kind calls is assumed to have no instance after a refusal for that
/// reason. A restarting daemon is back within a second or two, and each time this ends the requests
/// of a few milliseconds fail.
const NO_INSTANCE_RETENTION: Duration = Duration::from_millis(200);

/// How long an owner is assumed to refuse repeated requests after its answer said so.
const REPEATS_REFUSED_RETENTION: Duration = Duration::from_secs(1);

/// The source of a bundle, to pass on to other daemons.
pub(crate) enum Origin {
    /// Sections and the manifest that an operator signed.
    Signed {
        manifest: SignedManifest,
        sections: Vec<SectionBytes>,
    },
    /// A route table, in the form that daemons exchange.
    Routes(String),
}

/// The limits for the retries of this daemon at one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryLimits {
    /// The retries for each first attempt.
    pub(crate) ratio: f64,
    /// The retries in addition, in each window.
    pub(crate) slack: f64,
    /// The window of `ratio` and `slack`.
    pub(crate) window: Duration,
}

impl RetryLimits {
    /// Returns an empty window with these limits.
    fn new_window(self) -> Arc<Mutex<RetryWindow>> {
        let window = RetryWindow::new(self.window, self.ratio, self.slack);
        Arc::new(Mutex::new(window))
    }
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: DEFAULT_RETRY_RATIO,
            slack: DEFAULT_RETRY_SLACK,
            window: DEFAULT_RETRY_WINDOW,
        }
    }
}

/// A bundle in force, with what is learned about its kinds and callers.
pub(crate) struct InForce {
    pub(crate) bundle: Bundle,
    /// The bundle's source, to pass on.
    pub(crate) origin: Origin,
    kinds: HashMap<String, Arc<KindState>>,
    callers: HashMap<CallerId, CallerState>,
    /// The lowest importance of a workspace.
    lowest_workspace_importance: Option<Importance>,
    /// Whether some workspace has a quota.
    has_quotas: bool,
    /// A bit set, by importance rank, of the kinds that have been answered and are not nested
    /// calls (root kinds).
    root_importances: AtomicU8,
    /// The same, only for kinds that may run more than once.
    repeatable_importances: AtomicU8,
}

/// The remaining request and retry budgets of a caller at this entry.
struct CallerState {
    rate: Mutex<RateBucket>,
    retries: Mutex<RetryBucket>,
}

/// What is learned about one kind of request.
pub(crate) struct KindState {
    /// The threshold announced in responses.
    pub(crate) threshold: LearnedThreshold,
    /// The first attempts and retries of the kind, or of its service if routes define the kinds.
    pub(crate) retries: Arc<Mutex<RetryWindow>>,
    /// Whether requests of this kind are calls of backend servers, according to the responses.
    pub(crate) is_call: AtomicBool,
    /// Whether a request of this kind was answered.
    was_answered: AtomicBool,
    /// When a request of this kind was refused last because a service that it calls had no
    /// instance.
    callee_unavailable_at: LastTime,
    /// When an answer to a request of this kind said last that its owner refuses repeats.
    repeats_refused_at: LastTime,
    /// Detects retries of callers by the remaining time of their requests.
    pub(crate) retry_detector: Mutex<RetryDetector>,
    /// The fair shares of workspaces, according to the responses.
    pub(crate) shares: Mutex<ShareTable>,
    /// How long this daemon has been refusing requests of this kind as the entry.
    pub(crate) refusal_streak: Mutex<RefusalStreak>,
    /// The requests of this kind that wait here for room.
    pub(crate) waiting: WaitingRequests,
}

impl InForce {
    /// Builds the state of a bundle that replaces `before`; what was learned about the same kinds
    /// is retained.
    pub(crate) fn new(
        bundle: Bundle,
        origin: Origin,
        before: Option<&Self>,
        now: Now,
        limits: RetryLimits,
    ) -> Self {
        let source = bundle.source();
        let mut kinds: HashMap<String, Arc<KindState>> = source
            .services
            .values()
            .flat_map(|service| service.kinds.keys())
            .map(|name| {
                let known = before.and_then(|before| before.kinds.get(name));
                (
                    name.clone(),
                    known.map_or_else(|| KindState::with_own_retry_window(limits), Arc::clone),
                )
            })
            .collect();
        kinds.extend(route_kinds(&bundle, before, limits));
        let callers = source
            .callers
            .iter()
            .filter_map(|(name, caller)| {
                let state = CallerState {
                    rate: Mutex::new(RateBucket::new(caller.rate_per_second, now)),
                    retries: Mutex::new(RetryBucket::new(caller.retry_fraction)),
                };
                Some((bundle.caller_id(name)?, state))
            })
            .collect();
        let workspace_importances = bundle
            .workspaces()
            .filter_map(|workspace| workspace.importance);
        let lowest_workspace_importance = workspace_importances.min();
        let has_quotas = bundle
            .workspaces()
            .any(|workspace| workspace.quota.is_some());
        let in_force = Self {
            lowest_workspace_importance,
            has_quotas,
            bundle,
            origin,
            kinds,
            callers,
            root_importances: AtomicU8::new(0),
            repeatable_importances: AtomicU8::new(0),
        };
        in_force.update_root_importances();
        in_force
    }

    /// Records whether requests of a kind are calls, as a response states.
    pub(crate) fn record_kind_answer(&self, state: &KindState, is_call: bool) {
        let before = state.is_call.swap(is_call, Ordering::Relaxed);
        let known = state.was_answered.swap(true, Ordering::Relaxed);
        if before != is_call || !known {
            self.update_root_importances();
        }
    }

    fn update_root_importances(&self) {
        let (mut all, mut repeatable) = (0, 0);
        for kind in self.bundle.route_kinds() {
            let state = self.kinds.get(&kind.name);
            if !state.is_some_and(|state| state.is_root()) {
                continue;
            }
            let bit = 1 << kind.importance().rank();
            all |= bit;
            if !kind.at_most_once() {
                repeatable |= bit;
            }
        }
        self.root_importances.store(all, Ordering::Relaxed);
        self.repeatable_importances
            .store(repeatable, Ordering::Relaxed);
    }

    /// Returns whether a kind is at-most-once and some root kind of the same importance may run
    /// more than once.
    pub(crate) fn is_at_most_once_among_repeatable(&self, kind: &KindEntry) -> bool {
        let repeatable = self.repeatable_importances.load(Ordering::Relaxed);
        kind.at_most_once() && repeatable & (1 << kind.importance().rank()) != 0
    }

    /// Returns the rank of an importance among those of root kinds, and how many there are.
    pub(crate) fn root_rank(&self, importance: Importance) -> (usize, usize) {
        let lower = (1u8 << importance.rank()) - 1;
        let bits = self.root_importances.load(Ordering::Relaxed);
        let rank = (bits & lower).count_ones();
        (rank as usize, bits.count_ones() as usize)
    }

    /// Returns how many ranks of importance a workspace is above the least important one.
    pub(crate) fn rank_above_lowest(&self, workspace: Option<&WorkspaceEntry>) -> usize {
        let own = workspace.and_then(|workspace| workspace.importance);
        let own = own.map_or(0, Importance::rank);
        let lowest = self.lowest_workspace_importance.map_or(0, Importance::rank);
        usize::from(own.saturating_sub(lowest))
    }

    /// Returns whether some workspace has a quota.
    pub(crate) fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Returns the bundle's sections; none for a route table.
    pub(crate) fn sections(&self) -> &[SectionBytes] {
        match &self.origin {
            Origin::Signed { sections, .. } => sections,
            Origin::Routes(_) => &[],
        }
    }

    /// Returns what is learned about a kind of this bundle.
    pub(crate) fn kind_state(&self, kind: &KindEntry) -> Arc<KindState> {
        self.kinds.get(&kind.name).map_or_else(
            || KindState::with_own_retry_window(RetryLimits::default()),
            Arc::clone,
        )
    }

    /// Returns the highest demand of a workspace relative to its fair share over all kinds, in steps of
    /// 1/[`SHARE_STEPS`](sorrelturn_policy::SHARE_STEPS); `None` if no response stated any lately.
    pub(crate) fn share_used(&self, now: Now, workspace: CallerId) -> Option<u16> {
        let states = self.kinds.values();
        states
            .filter_map(|state| lock(&state.shares).share_used(now, workspace))
            .max()
    }

    /// Returns the highest known threshold of the kinds that a kind calls.
    pub(crate) fn threshold_below(&self, kind: &KindEntry, now: Now) -> Priority {
        self.max_threshold(kind.kind.calls.keys().map(String::as_str), now)
    }

    /// Returns the highest threshold of some kinds.
    pub(crate) fn max_threshold<'a>(
        &self,
        kinds: impl Iterator<Item = &'a str>,
        now: Now,
    ) -> Priority {
        kinds
            .filter_map(|kind| self.kinds.get(kind))
            .map(|state| state.threshold.current(now))
            .max()
            .unwrap_or_default()
    }

    /// Returns what is learned about the kind of this name.
    pub(crate) fn kind_state_by_name(&self, kind: &str) -> Option<&KindState> {
        self.kinds.get(kind).map(Arc::as_ref)
    }

    /// Takes one request from a caller's rate limit. Returns whether it is allowed.
    pub(crate) fn take_caller_rate(&self, caller: &CallerEntry, now: Now) -> bool {
        self.callers
            .get(&caller.id)
            .is_none_or(|state| lock(&state.rate).take(now))
    }

    /// Takes one retry from a caller's budget, which successes refill. Returns whether it is
    /// allowed.
    pub(crate) fn take_caller_retry(&self, caller: CallerId) -> bool {
        self.callers
            .get(&caller)
            .is_none_or(|state| lock(&state.retries).take())
    }

    /// Adds to a caller's retry budget after a success.
    pub(crate) fn caller_succeeded(&self, caller: CallerId) {
        if let Some(state) = self.callers.get(&caller) {
            lock(&state.retries).succeeded();
        }
    }
}

impl KindState {
    /// Records a refusal because a service that this kind calls has no instance.
    pub(crate) fn record_no_instance_below(&self, now: Now) {
        self.callee_unavailable_at.set(now);
    }

    /// Returns whether the next request would probably be refused for the same reason.
    pub(crate) fn had_no_instance_below_recently(&self, now: Now) -> bool {
        self.callee_unavailable_at
            .is_after(now.saturating_sub(NO_INSTANCE_RETENTION))
    }

    /// Records that an owner refuses repeated requests of this kind.
    pub(crate) fn record_repeats_refused(&self, now: Now) {
        self.repeats_refused_at.set(now);
    }

    /// Returns whether a repeated request would probably be refused.
    pub(crate) fn repeats_refused_recently(&self, now: Now) -> bool {
        self.repeats_refused_at
            .is_after(now.saturating_sub(REPEATS_REFUSED_RETENTION))
    }

    fn with_own_retry_window(limits: RetryLimits) -> Arc<Self> {
        Self::new(LearnedThreshold::default(), limits.new_window())
    }

    fn is_root(&self) -> bool {
        self.was_answered.load(Ordering::Relaxed) && !self.is_call.load(Ordering::Relaxed)
    }

    fn new(threshold: LearnedThreshold, retries: Arc<Mutex<RetryWindow>>) -> Arc<Self> {
        Arc::new(Self {
            threshold,
            retries,
            is_call: AtomicBool::new(false),
            was_answered: AtomicBool::new(false),
            callee_unavailable_at: LastTime::default(),
            repeats_refused_at: LastTime::default(),
            retry_detector: Mutex::default(),
            shares: Mutex::default(),
            refusal_streak: Mutex::default(),
            waiting: WaitingRequests::default(),
        })
    }
}

/// Builds the states of the kinds that routes define; those of one service share its retry
/// window.
fn route_kinds(
    bundle: &Bundle,
    before: Option<&InForce>,
    limits: RetryLimits,
) -> HashMap<String, Arc<KindState>> {
    let mut by_service: HashMap<&str, Arc<Mutex<RetryWindow>>> = HashMap::new();
    let mut kinds = HashMap::new();
    if let Some(before) = before {
        for kind in before.bundle.route_kinds() {
            let retries = Arc::clone(&before.kind_state(kind).retries);
            by_service.insert(&kind.service, retries);
        }
    }
    for kind in bundle.route_kinds() {
        let retries = by_service
            .entry(&kind.service)
            .or_insert_with(|| limits.new_window());
        let known = before.and_then(|before| before.kinds.get(&kind.name));
        let state = match known {
            Some(known) if Arc::ptr_eq(&known.retries, retries) => Arc::clone(known),
            _ => KindState::new(LearnedThreshold::for_shedding_level(), Arc::clone(retries)),
        };
        kinds.insert(kind.name.clone(), state);
    }
    kinds
}
