//! The bundle in force, with what is learnt under it.

use crate::node::{LastTime, lock};
use sorrelturn_bundle::{
    Bundle, CallerEntry, KindEntry, SectionBytes, SignedManifest, WorkspaceEntry,
};
use sorrelturn_policy::{
    LearnedThreshold, Now, RateBucket, RefusalStreak, RetryBucket, RetryDetector, RetryWindow,
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

/// The retries that are allowed for each sending of a kind.
const EDGE_RETRY_RATIO: f64 = 0.1;
/// The retries of a kind that are allowed besides.
const EDGE_RETRY_SLACK: f64 = 10.0;
/// The window in which both are window.
const EDGE_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// So long it is believed that something below a kind has no instance. A daemon that starts anew is back
/// in a second or two; each time this ends, the requests of a few milliseconds try in vain.
const LACK_RETENTION: Duration = Duration::from_millis(200);

/// What a bundle was read from.
pub(crate) enum Origin {
    /// Sections that an operator signed for.
    Signed {
        manifest: SignedManifest,
        sections: Vec<SectionBytes>,
    },
    /// A route table, in the form in which daemons pass it on.
    Routes(String),
}

/// The retries that this daemon may make at one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryLimits {
    /// For each first sending there.
    pub(crate) ratio: f64,
    /// Besides, in each window.
    pub(crate) slack: f64,
    /// The window in which both are window.
    pub(crate) window: Duration,
}

impl RetryLimits {
    /// A count on these limits.
    fn new_window(self) -> Arc<Mutex<RetryWindow>> {
        let window = RetryWindow::new(self.window, self.ratio, self.slack);
        Arc::new(Mutex::new(window))
    }
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: EDGE_RETRY_RATIO,
            slack: EDGE_RETRY_SLACK,
            window: EDGE_RETRY_WINDOW,
        }
    }
}

/// A bundle in force with what is learnt under it.
pub(crate) struct InForce {
    /// The bundle.
    pub(crate) bundle: Bundle,
    /// What it was read from, to pass on.
    pub(crate) origin: Origin,
    kinds: HashMap<String, Arc<KindState>>,
    callers: HashMap<CallerId, CallerState>,
    /// The lowest importance that a workspace has.
    lowest_workspace: Option<Importance>,
    /// One bit for each importance that root requests have, as far as they were answered.
    root_importances: AtomicU8,
    /// The same of those that may be repeated.
    repeatable_importances: AtomicU8,
}

/// What one caller may still ask for at this entry.
struct CallerState {
    rate: Mutex<RateBucket>,
    retries: Mutex<RetryBucket>,
}

/// What is learnt about one kind of request.
pub(crate) struct KindState {
    /// The threshold that answers announced.
    pub(crate) threshold: LearnedThreshold,
    /// What was sent and sent again: of the kind, or of its service where routes tell kinds.
    pub(crate) retries: Arc<Mutex<RetryWindow>>,
    /// Whether requests of this kind are calls of backend servers, as those who answer them learnt.
    pub(crate) is_call: AtomicBool,
    /// Whether anybody answered a request of this kind.
    was_answered: AtomicBool,
    /// When a request of this kind was refused last because something below it has no instance.
    lacked_below_at: LastTime,
    /// How much time callers begin with.
    pub(crate) retry_detector: Mutex<RetryDetector>,
    /// How long this daemon has been refusing them as the entry.
    pub(crate) refusal_streak: Mutex<RefusalStreak>,
}

impl InForce {
    /// Puts a bundle in the place of `before`; what was learnt stays.
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
                    known.map_or_else(|| KindState::fresh(limits), Arc::clone),
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
        let lowest_workspace = workspace_importances.min();
        let in_force = Self {
            lowest_workspace,
            bundle,
            origin,
            kinds,
            callers,
            root_importances: AtomicU8::new(0),
            repeatable_importances: AtomicU8::new(0),
        };
        in_force.count_root_importances();
        in_force
    }

    /// Learns from an answer whether requests of a kind are calls.
    pub(crate) fn record_kind_answer(&self, state: &KindState, is_call: bool) {
        let before = state.is_call.swap(is_call, Ordering::Relaxed);
        let known = state.was_answered.swap(true, Ordering::Relaxed);
        if before != is_call || !known {
            self.count_root_importances();
        }
    }

    fn count_root_importances(&self) {
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

    /// Whether a kind must not run twice while root requests of the same importance may.
    pub(crate) fn is_once_among_repeatable(&self, kind: &KindEntry) -> bool {
        let repeatable = self.repeatable_importances.load(Ordering::Relaxed);
        kind.at_most_once() && repeatable & (1 << kind.importance().rank()) != 0
    }

    /// How many lower importances root requests have, and how many they have in all.
    pub(crate) fn root_rank(&self, importance: Importance) -> (usize, usize) {
        let lower = (1u8 << importance.rank()) - 1;
        let bits = self.root_importances.load(Ordering::Relaxed);
        let rank = (bits & lower).count_ones();
        (rank as usize, bits.count_ones() as usize)
    }

    /// How many steps of importance a workspace stands above the least important one.
    pub(crate) fn rank_above_lowest(&self, workspace: Option<&WorkspaceEntry>) -> usize {
        let own = workspace.and_then(|workspace| workspace.importance);
        let own = own.map_or(0, Importance::rank);
        let lowest = self.lowest_workspace.map_or(0, Importance::rank);
        usize::from(own.saturating_sub(lowest))
    }

    /// The sections that it was put together from; none for a route table.
    pub(crate) fn sections(&self) -> &[SectionBytes] {
        match &self.origin {
            Origin::Signed { sections, .. } => sections,
            Origin::Routes(_) => &[],
        }
    }

    /// What is learnt about a kind of this bundle.
    pub(crate) fn kind_state(&self, kind: &KindEntry) -> Arc<KindState> {
        self.kinds
            .get(&kind.name)
            .map_or_else(|| KindState::fresh(RetryLimits::default()), Arc::clone)
    }

    /// The threshold over everything that a kind calls, as far as it is known here.
    pub(crate) fn threshold_below(&self, kind: &KindEntry, now: Now) -> Priority {
        self.max_threshold(kind.kind.calls.keys().map(String::as_str), now)
    }

    /// The highest threshold of some kinds.
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

    /// What is learnt about a kind of this name.
    pub(crate) fn kind_state_by_name(&self, kind: &str) -> Option<&KindState> {
        self.kinds.get(kind).map(Arc::as_ref)
    }

    /// Takes one request out of a caller's rate.
    pub(crate) fn take_caller_rate(&self, caller: &CallerEntry, now: Now) -> bool {
        self.callers
            .get(&caller.id)
            .is_none_or(|state| lock(&state.rate).take(now))
    }

    /// Takes the price of a retry that is made for a caller's request; its successes pay for it.
    pub(crate) fn take_caller_retry(&self, caller: CallerId) -> bool {
        self.callers
            .get(&caller)
            .is_none_or(|state| lock(&state.retries).take())
    }

    /// A caller's request succeeded.
    pub(crate) fn caller_succeeded(&self, caller: CallerId) {
        if let Some(state) = self.callers.get(&caller) {
            lock(&state.retries).succeeded();
        }
    }
}

impl KindState {
    /// A request of this kind was refused because something below it has no instance.
    pub(crate) fn record_lack_below(&self, now: Now) {
        self.lacked_below_at.set(now);
    }

    /// Whether the next one would probably be refused for the same reason.
    pub(crate) fn recently_lacked_instance_below(&self, now: Now) -> bool {
        self.lacked_below_at
            .is_after(now.saturating_sub(LACK_RETENTION))
    }

    fn fresh(limits: RetryLimits) -> Arc<Self> {
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
            lacked_below_at: LastTime::default(),
            retry_detector: Mutex::default(),
            refusal_streak: Mutex::default(),
        })
    }
}

/// The kinds of routes share the retries of the service that they lead to.
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
