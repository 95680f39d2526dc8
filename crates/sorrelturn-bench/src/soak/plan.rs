//! What a soak does at which time, drawn from a seed.
//!
//! The same seed gives the same list on every machine; what the daemons make of it still depends on how
//! their threads run, so a seed that failed once may need several runs to fail again.

use crate::Script;
use fastrand::Rng;
use std::fmt;

/// Daemons have started and know each other before the first act.
const FIRST_MS: u64 = 1_000;
/// The longest pause between two bursts of acts.
const LONGEST_PAUSE_MS: u64 = 2_500;
/// The longest time that something lasts.
const LONGEST_MS: u64 = 4_000;
/// The longest times of a stop that a plan chooses from. The first is as long as requests may take, so
/// that what is taken late can't be waited for; the second is that of the deployment.
const STOP_MOST_MS: [u64; 2] = [3_000, 5_700];

/// A trouble of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Every call fails.
    Down,
    /// Every call is refused.
    Busy,
    /// No call is answered.
    Silent,
    /// Every call takes longer.
    Slow,
    /// Writes take effect and their answers are lost.
    LosesAnswers,
    /// Watches report nothing.
    Deaf,
}

const TROUBLES: [StoreFault; 6] = [
    StoreFault::Down,
    StoreFault::Busy,
    StoreFault::Silent,
    StoreFault::Slow,
    StoreFault::LosesAnswers,
    StoreFault::Deaf,
];

/// What is done to the path on which the others reach a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Bytes take longer.
    Delay,
    /// Bytes to the daemon are held up.
    CutThere,
    /// Bytes from the daemon are held up.
    CutBack,
    /// All open connections are reset.
    Reset,
    /// All open connections fall silent for good; new ones work.
    Silence,
}

const HARMS: [PathFault; 5] = [
    PathFault::Delay,
    PathFault::CutThere,
    PathFault::CutBack,
    PathFault::Reset,
    PathFault::Silence,
];
/// How backend servers misbehave.
const SCRIPTS: [Script; 7] = [
    Script::SaysNotRun,
    Script::AnswersAnother,
    Script::BreaksOff,
    Script::CutsBody,
    Script::AnswersTwice,
    Script::Fails,
    Script::Hangs,
];

/// One act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A daemon is told to stop, and started anew when it has ended.
    Stop {
        /// Which one.
        daemon: usize,
        /// It is told once more after so long.
        again_ms: Option<u64>,
        /// It is killed after so long.
        kill_ms: Option<u64>,
    },
    /// A daemon is killed and started anew.
    Kill {
        /// Which one.
        daemon: usize,
    },
    /// A daemon stands still for a while.
    Pause {
        /// Which one.
        daemon: usize,
        /// How long.
        ms: u64,
    },
    /// A daemon is told to read its settings again.
    Reread {
        /// Which one.
        daemon: usize,
    },
    /// The next route table, or the one before the last.
    Publish {
        /// Whether an older one takes the place of the newest.
        older: bool,
    },
    /// The store is in trouble.
    Store {
        /// Which trouble.
        trouble: StoreFault,
        /// How long.
        ms: u64,
    },
    /// The path to a daemon is harmed.
    Path {
        /// To which one.
        daemon: usize,
        /// How.
        harm: PathFault,
        /// How long.
        ms: u64,
    },
    /// A backend server leaves, and comes back as another run.
    Leave {
        /// Beside which daemon.
        daemon: usize,
        /// How long it is away.
        ms: u64,
    },
    /// A backend server misbehaves.
    Misbehave {
        /// Beside which daemon.
        daemon: usize,
        /// How.
        script: Script,
        /// How long.
        ms: u64,
    },
}

/// An act and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedAction {
    /// The time from the beginning.
    pub at_ms: u64,
    /// What is done.
    pub action: Action,
}

/// A whole soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// What it was drawn from.
    pub seed: u64,
    /// How long acts begin.
    pub seconds: u64,
    /// How many daemons there are.
    pub instances: usize,
    /// The longest time of a stop.
    pub stop_timeout_ms: u64,
    /// What is done, in the order of time.
    pub actions: Vec<TimedAction>,
    /// Whether a request that crashes backend servers is sent again and again.
    pub has_crashing_request: bool,
}

impl SoakPlan {
    /// The plan of a seed.
    pub fn from_seed(seed: u64, seconds: u64, instances: usize) -> Self {
        let mut rng = Rng::with_seed(seed);
        let stop_timeout_ms = one_of(&mut rng, &STOP_MOST_MS);
        let mut actions = Vec::new();
        let mut at_ms = FIRST_MS;
        while at_ms < seconds * 1_000 {
            burst(&mut rng, at_ms, instances, &mut actions);
            at_ms += rng.u64(50..LONGEST_PAUSE_MS);
        }
        actions.sort_by_key(|timed| timed.at_ms);
        Self {
            seed,
            seconds,
            instances,
            stop_timeout_ms,
            actions,
            has_crashing_request: false,
        }
    }

    /// The same, with a request that crashes backend servers.
    pub fn with_crashes(self) -> Self {
        Self {
            has_crashing_request: true,
            ..self
        }
    }
}

/// One act, one that several daemons meet in series, or two that overlap.
fn burst(rng: &mut Rng, at_ms: u64, instances: usize, actions: &mut Vec<TimedAction>) {
    let series = rng.u8(..10) == 0;
    if !series {
        let overlapping = 1 + usize::from(rng.u8(..3) == 0);
        for _ in 0..overlapping {
            let action = action(rng, instances);
            actions.push(TimedAction { at_ms, action });
        }
        return;
    }
    let gap_ms = rng.u64(0..1_500);
    for daemon in 0..instances {
        let at_ms = at_ms + gap_ms * daemon as u64;
        let action = stop(rng, daemon);
        actions.push(TimedAction { at_ms, action });
    }
}

fn action(rng: &mut Rng, instances: usize) -> Action {
    let daemon = rng.usize(..instances);
    let ms = rng.u64(100..LONGEST_MS);
    match rng.u8(..20) {
        0..5 => stop(rng, daemon),
        5..7 => Action::Kill { daemon },
        7..9 => Action::Pause { daemon, ms },
        9 => Action::Reread { daemon },
        10..13 => Action::Publish {
            older: rng.u8(..4) == 0,
        },
        13..15 => Action::Store {
            trouble: one_of(rng, &TROUBLES),
            ms,
        },
        15..17 => Action::Path {
            daemon,
            harm: one_of(rng, &HARMS),
            ms,
        },
        17 => Action::Leave { daemon, ms },
        _ => Action::Misbehave {
            daemon,
            script: one_of(rng, &SCRIPTS),
            ms,
        },
    }
}

fn stop(rng: &mut Rng, daemon: usize) -> Action {
    let mut sometimes = |one_in: u8| (rng.u8(..one_in) == 0).then(|| rng.u64(0..LONGEST_MS));
    Action::Stop {
        daemon,
        again_ms: sometimes(4),
        kill_ms: sometimes(6),
    }
}

fn one_of<T: Copy>(rng: &mut Rng, all: &[T]) -> T {
    all[rng.usize(..all.len())]
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} daemons, {} s, a stop takes {} ms at most",
            self.seed, self.instances, self.seconds, self.stop_timeout_ms
        )?;
        if self.has_crashing_request {
            writeln!(
                f,
                "a request that crashes backend servers is sent all the time"
            )?;
        }
        for TimedAction { at_ms, action } in &self.actions {
            writeln!(f, "{at_ms:>7} ms  {action:?}")?;
        }
        Ok(())
    }
}
