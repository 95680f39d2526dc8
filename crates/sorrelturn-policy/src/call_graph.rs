//! Which kinds of requests call which, learnt beside the backend server that makes the calls.
//! See `docs/design/entry-admission.md`.
//!
//! A call names no parent. What is known are the requests that the backend server works on when it
//! makes the call, and that a call ends no later than its parent. Each call is credited to those
//! that could have made it, in proportion to how many calls their kinds are known to make in the time
//! that they are worked on; over many calls the credit goes where the calls come from. A kind that is
//! worked on for long is present by chance at many calls, and gets the less for each.

use std::{collections::HashMap, time::Duration};

/// A kind counts as a caller if it makes so many calls a request, or more.
const LEAST_RATE: f64 = 0.2;
/// And so many, as a part of what the kind with the most makes: the rest is credit gone astray.
const LEAST_SHARE: f64 = 0.3;
/// A kind needs what its requests call so often, in calls a request. Below it many get by without; some
/// credit goes astray, so that one call a request shows as a little less.
const NEEDED_RATE: f64 = 0.75;
/// How much likelier a request is the parent if it ends at the same time as the call. A call that
/// isn't cut short by a time limit of its own ends with its parent; the rest allows for those that are.
const SAME_END_WEIGHT: f64 = 1_000.0;
/// What is assumed of a pair of kinds before anything was seen, in calls a request, and how many
/// requests that assumption weighs.
const PRIOR_RATE: f64 = 0.5;
const PRIOR_REQUESTS: f64 = 5.0;
/// The time that such a request is assumed to take, in seconds.
const PRIOR_TIME_S: f64 = 0.1;
/// Before so many requests of a kind have ended, it is taken to call all that the backend server calls. Levels reach the
/// entries seconds sooner that way; a kind that calls nothing is refused with the others until then. By the figures
/// above, no call in so many requests leaves it below [`LEAST_RATE`].
const FIRST_WORKED_OUT: u32 = 8;
/// What a kind calls is worked out anew whenever so many of its requests have ended.
const WORKED_OUT_EVERY: u32 = 20;
/// When so many requests of a kind have ended, older ones begin to count less.
const MEMORY_REQUESTS: f64 = 500.0;

/// What one kind calls.
#[derive(Clone, Debug, Default)]
struct Caller {
    ended: f64,
    /// How long those that ended took, in seconds.
    took_s: f64,
    credit: HashMap<String, f64>,
    /// What it calls, in the order of their names, as last worked out.
    calls: Vec<String>,
    ended_since: u32,
    worked_out: bool,
}

/// Requests of one kind that may have made a call.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Their kind.
    pub kind: String,
    /// Whether their time ends when the call's does.
    pub same_end: bool,
    /// How many they are.
    pub count: u32,
}

/// The calls that kinds make, as learnt at one backend server.
#[derive(Clone, Debug, Default)]
pub struct CallGraph {
    callers: HashMap<String, Caller>,
    /// The kinds that the backend server has called, in the order of their names.
    called: Vec<String>,
}

impl CallGraph {
    /// The backend server made a call while it worked on `candidates`.
    pub fn record_call(&mut self, child: &str, candidates: &[Candidate]) {
        let weights: Vec<f64> = candidates
            .iter()
            .map(|candidate| self.weight(candidate, child))
            .collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return;
        }
        if let Err(place) = self
            .called
            .binary_search_by(|known| known.as_str().cmp(child))
        {
            self.called.insert(place, child.to_owned());
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
    }

    fn weight(&self, candidate: &Candidate, child: &str) -> f64 {
        let likelier = if candidate.same_end {
            SAME_END_WEIGHT
        } else {
            1.0
        };
        let rate = self.call_rate(&candidate.kind, child);
        rate / self.mean_time_s(&candidate.kind) * f64::from(candidate.count) * likelier
    }

    fn mean_time_s(&self, kind: &str) -> f64 {
        let (ended, took_s) = self
            .callers
            .get(kind)
            .map_or((0.0, 0.0), |caller| (caller.ended, caller.took_s));
        (took_s + PRIOR_TIME_S * PRIOR_REQUESTS) / (ended + PRIOR_REQUESTS)
    }

    /// The backend server has finished a request that took so long; returns what its kind calls, if
    /// that has changed.
    pub fn record_end(&mut self, kind: &str, took: Duration) -> Option<&[String]> {
        let caller = caller(&mut self.callers, kind);
        caller.ended += 1.0;
        caller.took_s += took.as_secs_f64();
        if caller.ended > MEMORY_REQUESTS {
            caller.ended /= 2.0;
            caller.took_s /= 2.0;
            for credit in caller.credit.values_mut() {
                *credit /= 2.0;
            }
        }
        caller.ended_since += 1;
        let wanted = if caller.worked_out {
            WORKED_OUT_EVERY
        } else {
            FIRST_WORKED_OUT
        };
        if caller.ended_since < wanted {
            return None;
        }
        caller.ended_since = 0;
        caller.worked_out = true;
        let calls = self.work_out(kind);
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

    /// The calls of a kind that one request of another kind makes.
    pub fn call_rate(&self, parent: &str, child: &str) -> f64 {
        let caller = self.callers.get(parent);
        let ended = caller.map_or(0.0, |caller| caller.ended);
        let credit = caller
            .and_then(|caller| caller.credit.get(child))
            .copied()
            .unwrap_or(0.0);
        (credit + PRIOR_RATE * PRIOR_REQUESTS) / (ended + PRIOR_REQUESTS)
    }

    /// The kinds that requests of a kind call, as far as is known.
    pub fn calls(&self, parent: &str) -> &[String] {
        match self.callers.get(parent) {
            Some(caller) if caller.worked_out => &caller.calls,
            Some(_) => &self.called,
            None => &[],
        }
    }

    /// Whether requests of a kind are known to call nothing.
    pub fn is_leaf(&self, kind: &str) -> bool {
        let caller = self.callers.get(kind);
        caller.is_some_and(|caller| {
            caller.ended >= f64::from(WORKED_OUT_EVERY) && caller.calls.is_empty()
        })
    }

    /// The kinds that nearly every request of a kind calls.
    pub fn required_calls<'a>(&'a self, parent: &'a str) -> impl Iterator<Item = &'a str> {
        let calls = self.calls(parent).iter().map(String::as_str);
        calls.filter(move |child| self.call_rate(parent, child) >= NEEDED_RATE)
    }

    fn work_out(&self, parent: &str) -> Vec<String> {
        let caller = self.callers.get(parent);
        let mut calls: Vec<String> = caller
            .into_iter()
            .flat_map(|caller| caller.credit.keys())
            .filter(|child| {
                let rate = self.call_rate(parent, child);
                rate >= LEAST_RATE && rate >= LEAST_SHARE * self.highest_rate(child)
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

/// What a kind calls; its name is copied once only.
fn caller<'a>(callers: &'a mut HashMap<String, Caller>, kind: &str) -> &'a mut Caller {
    if !callers.contains_key(kind) {
        callers.insert(kind.to_owned(), Caller::default());
    }
    callers.get_mut(kind).expect("it was just inserted")
}
