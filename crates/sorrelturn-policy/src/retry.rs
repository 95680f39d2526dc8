//! What to do after one attempt at an instance. See `docs/design/retries.md`.

use sorrelturn_protocol::{Refusal, Verdict};

/// How many other instances are asked after refusals that ran nothing.
const MAX_REROUTES: u32 = 2;
/// How many after a refusal for overload: its neighbours are likely to be loaded as well.
const MAX_OVERLOAD_REROUTES: u32 = 1;

/// How often a call is sent again that backend servers turn away although their daemons had slots for it. Where
/// they turn 55 in 100 away, 1 in 120 calls is still turned away the eighth time: a tree of eight calls comes
/// through 93 times in 100, and 20 times with two. What it costs is bounded by the retries that are allowed.
pub const MAX_BACKEND_REFUSALS: u32 = 7;

/// One attempt that didn't bring a good answer, and what is left for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it was refused, if it was.
    pub refusal: Option<Refusal>,
    /// Whether the failure lies deeper and was retried there.
    pub already_retried: bool,
    /// Whether a second run harms nobody.
    pub repeatable: bool,
    /// Refusals elsewhere so far.
    pub reroutes: u32,
    /// The attempts left for this call.
    pub attempts_left: u32,
    /// The attempts that another try needs.
    pub attempts_needed: u32,
    /// Whether the deadline leaves time for another try.
    pub has_time_left: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing ran: ask another instance, at no cost.
    Reroute,
    /// Something may have run: try again, if the retry bucket pays for it.
    Retry,
    /// Answer what there is.
    Answer,
}

/// Decides what follows after a backend server turned a call away so many times. It is not full, since its daemon
/// had a slot, so another try may well be taken, also by the same one.
pub fn step_after_backend_refusal(refusals: u32, has_time_left: bool) -> Step {
    if refusals <= MAX_BACKEND_REFUSALS && has_time_left {
        Step::Reroute
    } else {
        Step::Answer
    }
}

/// Decides what follows an attempt.
pub fn next_step(attempt: &Attempt) -> Step {
    if !attempt.has_time_left {
        return Step::Answer;
    }
    match attempt.verdict {
        Verdict::NotRun if may_reroute(attempt) => Step::Reroute,
        Verdict::NotRun => Step::Answer,
        Verdict::MayHaveRun | Verdict::Ran if may_retry(attempt) => Step::Retry,
        Verdict::MayHaveRun | Verdict::Ran => Step::Answer,
    }
}

fn may_reroute(attempt: &Attempt) -> bool {
    let Some(refusal) = attempt.refusal else {
        return false;
    };
    let max_reroutes = match refusal {
        Refusal::Overload => MAX_OVERLOAD_REROUTES,
        _ => MAX_REROUTES,
    };
    refusal.elsewhere_may_differ() && attempt.reroutes < max_reroutes
}

fn may_retry(attempt: &Attempt) -> bool {
    attempt.repeatable
        && !attempt.already_retried
        && attempt.attempts_left >= attempt.attempts_needed
}
