//! The bundle in force, with what is learnt under it.

use crate::node::lock;
use sorrelturn_bundle::{Bundle, CallerEntry, KindEntry, SectionBytes, SignedManifest};
use sorrelturn_policy::{LearnedThreshold, Now, RateBucket, RetryBucket};
use sorrelturn_protocol::{CallerId, Priority};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

/// The retries that each success of a kind pays for.
const EDGE_RETRY_FRACTION: f64 = 0.1;

/// A bundle in force with what is learnt under it.
pub(crate) struct InForce {
    /// The bundle.
    pub(crate) bundle: Bundle,
    /// The signed manifest, to pass on.
    pub(crate) manifest: SignedManifest,
    /// The sections, to pass on.
    pub(crate) sections: Vec<SectionBytes>,
    kinds: HashMap<String, Arc<KindState>>,
    callers: HashMap<CallerId, CallerState>,
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
    /// The retries that its successes pay for.
    pub(crate) retries: Mutex<RetryBucket>,
}

impl InForce {
    /// Puts a bundle in the place of `before`; what was learnt stays.
    pub(crate) fn new(
        bundle: Bundle,
        manifest: SignedManifest,
        sections: Vec<SectionBytes>,
        before: Option<&Self>,
        now: Now,
    ) -> Self {
        let source = bundle.source();
        let kinds = source
            .services
            .values()
            .flat_map(|service| service.kinds.keys())
            .map(|name| {
                let known = before.and_then(|before| before.kinds.get(name));
                (
                    name.clone(),
                    known.map_or_else(KindState::fresh, Arc::clone),
                )
            })
            .collect();
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
        Self {
            bundle,
            manifest,
            sections,
            kinds,
            callers,
        }
    }

    /// What is learnt about a kind of this bundle.
    pub(crate) fn kind_state(&self, kind: &KindEntry) -> Arc<KindState> {
        self.kinds
            .get(&kind.name)
            .map_or_else(KindState::fresh, Arc::clone)
    }

    /// The threshold over everything that a kind calls, as far as it is known here.
    pub(crate) fn threshold_below(&self, kind: &KindEntry, now: Now) -> Priority {
        kind.kind
            .calls
            .keys()
            .filter_map(|child| self.kinds.get(child))
            .map(|state| state.threshold.current(now))
            .max()
            .unwrap_or_default()
    }

    /// Takes one request out of a caller's rate.
    pub(crate) fn caller_may_ask(&self, caller: &CallerEntry, now: Now) -> bool {
        self.callers
            .get(&caller.id)
            .is_none_or(|state| lock(&state.rate).take(now))
    }

    /// Takes the price of a retry that is made for a caller's request; its successes pay for it.
    pub(crate) fn caller_pays_retry(&self, caller: CallerId) -> bool {
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
    fn fresh() -> Arc<Self> {
        Arc::new(Self {
            threshold: LearnedThreshold::default(),
            retries: Mutex::new(RetryBucket::new(EDGE_RETRY_FRACTION)),
        })
    }
}
