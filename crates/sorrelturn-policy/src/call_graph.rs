//! Learns which request kinds call which, at the daemon of the backend server that makes the calls.
//! See `docs/design/entry-admission.md`.
//!
//! A call doesn't name its parent, but the daemon knows the requests in progress at the backend server when the
//! call is made, and a call ends no later than its parent. Each call is credited to the requests that could have
//! made it, in proportion to the estimated call rate of their kinds per time in progress. Over many calls, the
//! credit converges to the actual callers. Kinds with long requests receive less credit per call because they are
//! often in progress by chance.

use std::{collections::HashMap, time::Duration};

/// The minimum number of calls per request at which a kind counts as a caller.
const MIN_CALL_RATE: f64 = 0.2;
/// The minimum call rate of a caller, as a fraction of the highest rate among all kinds; less is misattributed credit.
const MIN_CALL_RATE_FRACTION: f64 = 0.3;
/// Calls per request at which a kind requires the called kind; below 1 because some credit is misattributed.
const REQUIRED_CALL_RATE: f64 = 0.75;
/// Weight of a candidate with the deadline of the call; most calls inherit the deadline of their parent.
const SAME_DEADLINE_WEIGHT: f64 = 1_000.0;
/// The prior call rate of a pair of kinds, in calls per request.
const PRIOR_CALL_RATE: f64 = 0.5;
/// The weight of the priors, in requests.
const PRIOR_REQUESTS: f64 = 5.0;
/// The prior duration of a request, in seconds.
const PRIOR_DURATION_S: f64 = 0.1;
/// Until this many requests of a kind have ended, the kind is assumed to make all calls of the backend server. Levels
/// reach the entries seconds sooner that way; until then, a kind that calls nothing is refused with the others.
const FIRST_EVALUATION_REQUESTS: u32 = 8;
/// The number of ended requests of a kind after which its calls are evaluated again.
const EVALUATION_INTERVAL_REQUESTS: u32 = 20;
/// The number of ended requests of a kind above which its counts are halved.
const MAX_COUNTED_REQUESTS: f64 = 500.0;

/// The statistics of one kind as a caller.
#[derive(Clone, Debug, Default)]
struct Caller {
    ended: f64,
    /// The total duration of ended requests, in seconds.
    total_duration_s: f64,
    credit: HashMap<String, f64>,
    /// The called kinds as last evaluated, sorted by name.
    calls: Vec<String>,
    ended_since_evaluation: u32,
    evaluated: bool,
}

/// The requests in progress of one kind that may have made a call.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The kind of the requests.
    pub kind: String,
    /// Whether the requests have the same deadline as the call.
    pub has_same_deadline: bool,
    /// The number of requests.
    pub count: u32,
    /// The mean probability that one of the requests is a repeat.
    pub repeat_share: f64,
}

/// The call graph between request kinds, as learned at one backend server.
#[derive(Clone, Debug, Default)]
pub struct CallGraph {
    callers: HashMap<String, Caller>,
    /// The kinds that the backend server has called, sorted by name.
    called: Vec<String>,
}

impl CallGraph {
    /// Records a call that the backend server made while `candidates` were in progress. Returns the probability that
    /// a repeated request made it.
    pub fn record_call(&mut self, child: &str, candidates: &[Candidate]) -> f64 {
        let weights: Vec<f64> = candidates
            .iter()
            .map(|candidate| self.weight(candidate, child))
            .collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return 0.0;
        }
        let pairs = candidates.iter().zip(&weights);
        let repeat_share = pairs.map(|(candidate, weight)| candidate.repeat_share * weight);
        let repeat_share = repeat_share.sum::<f64>() / total;
        if let Err(position) = self
            .called
            .binary_search_by(|known| known.as_str().cmp(child))
        {
            self.called.insert(position, child.to_owned());
        }
        for (candidate, weight) in candidates.iter().zip(weights) {
            let caller = caller(&mut self.callers, &candidate.kind);
            match caller.credit.get_mut(child) {
                Some(credit) => *credit += weight / total,
                None => {
                    caller.credit.insert(child.to_owned(), weight / total);
                }
            }
        }
        repeat_share
    }

    fn weight(&self, candidate: &Candidate, child: &str) -> f64 {
        let deadline_weight = if candidate.has_same_deadline {
            SAME_DEADLINE_WEIGHT
        } else {
            1.0
        };
        let rate = self.call_rate(&candidate.kind, child);
        rate / self.mean_duration_s(&candidate.kind) * f64::from(candidate.count) * deadline_weight
    }

    fn mean_duration_s(&self, kind: &str) -> f64 {
        let (ended, total_duration_s) = self
            .callers
            .get(kind)
            .map_or((0.0, 0.0), |caller| (caller.ended, caller.total_duration_s));
        (total_duration_s + PRIOR_DURATION_S * PRIOR_REQUESTS) / (ended + PRIOR_REQUESTS)
    }

    /// Records the end of a request; returns the calls of its kind if they have changed.
    pub fn record_end(&mut self, kind: &str, took: Duration) -> Option<&[String]> {
        let caller = caller(&mut self.callers, kind);
        caller.ended += 1.0;
        caller.total_duration_s += took.as_secs_f64();
        if caller.ended > MAX_COUNTED_REQUESTS {
            caller.ended /= 2.0;
            caller.total_duration_s /= 2.0;
            for credit in caller.credit.values_mut() {
                *credit /= 2.0;
            }
        }
        caller.ended_since_evaluation += 1;
        let interval = if caller.evaluated {
            EVALUATION_INTERVAL_REQUESTS
        } else {
            FIRST_EVALUATION_REQUESTS
        };
        if caller.ended_since_evaluation < interval {
            return None;
        }
        caller.ended_since_evaluation = 0;
        caller.evaluated = true;
        let calls = self.evaluate_calls(kind);
        let caller = self.callers.get_mut(kind)?;
        let changed = caller.calls != calls;
        caller.calls = calls;
        changed.then_some(caller.calls.as_slice())
    }

    /// Forgets kinds that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.called.retain(|kind| exists(kind));
        self.callers.retain(|kind, _| exists(kind));
        for caller in self.callers.values_mut() {
            caller.credit.retain(|kind, _| exists(kind));
            caller.calls.retain(|kind| exists(kind));
        }
    }

    /// The estimated number of calls to kind `child` per request of kind `parent`.
    pub fn call_rate(&self, parent: &str, child: &str) -> f64 {
        let caller = self.callers.get(parent);
        let ended = caller.map_or(0.0, |caller| caller.ended);
        let credit = caller
            .and_then(|caller| caller.credit.get(child))
            .copied()
            .unwrap_or(0.0);
        (credit + PRIOR_CALL_RATE * PRIOR_REQUESTS) / (ended + PRIOR_REQUESTS)
    }

    /// The kinds that requests of kind `parent` call, as far as known.
    pub fn calls(&self, parent: &str) -> &[String] {
        match self.callers.get(parent) {
            Some(caller) if caller.evaluated => &caller.calls,
            Some(_) => &self.called,
            None => &[],
        }
    }

    /// Whether requests of a kind are known to make no calls.
    pub fn is_leaf(&self, kind: &str) -> bool {
        let caller = self.callers.get(kind);
        caller.is_some_and(|caller| {
            caller.ended >= f64::from(EVALUATION_INTERVAL_REQUESTS) && caller.calls.is_empty()
        })
    }

    /// The kinds that nearly every request of kind `parent` calls.
    pub fn required_calls<'a>(&'a self, parent: &'a str) -> impl Iterator<Item = &'a str> {
        let calls = self.calls(parent).iter().map(String::as_str);
        calls.filter(move |child| self.call_rate(parent, child) >= REQUIRED_CALL_RATE)
    }

    fn evaluate_calls(&self, parent: &str) -> Vec<String> {
        let caller = self.callers.get(parent);
        let mut calls: Vec<String> = caller
            .into_iter()
            .flat_map(|caller| caller.credit.keys())
            .filter(|child| {
                let rate = self.call_rate(parent, child);
                rate >= MIN_CALL_RATE && rate >= MIN_CALL_RATE_FRACTION * self.highest_rate(child)
            })
            .cloned()
            .collect();
        calls.sort_unstable();
        calls
    }

    fn highest_rate(&self, child: &str) -> f64 {
        self.callers
            .keys()
            .map(|parent| self.call_rate(parent, child))
            .fold(0.0, f64::max)
    }
}

/// Returns the statistics of a kind; allocates its name only on insertion.
fn caller<'a>(callers: &'a mut HashMap<String, Caller>, kind: &str) -> &'a mut Caller {
    if !callers.contains_key(kind) {
        callers.insert(kind.to_owned(), Caller::default());
    }
    callers.get_mut(kind).expect("it was just inserted")
}
