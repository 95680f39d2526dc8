//! The timed actions of a soak, generated from a seed.
//!
//! A seed gives the same plan on every machine. Thread scheduling varies, so a failed seed may need several runs to
//! fail again.

use super::other_writers::{self, ForeignEntry};
use crate::Script;
use fastrand::Rng;
use std::fmt;

/// Leaves time for the daemons to start and to discover each other.
const FIRST_ACTION_MS: u64 = 1_000;
/// The maximum pause between two bursts of actions.
const MAX_PAUSE_MS: u64 = 2_500;
const MAX_ACTION_MS: u64 = 4_000;
/// The duration of limits and leaves that backend servers name, most of it beyond the time from which they are checked.
const MIN_SIGNAL_MS: u64 = 4_000;
const MAX_SIGNAL_MS: u64 = 12_000;
/// The pause between two series of route tables, in which all daemons become undisturbed again.
const MIN_SERIES_PAUSE_MS: u64 = 4_000;
const MAX_SERIES_PAUSE_MS: u64 = 6_000;
/// The duration of the faults beside a series, most of it beyond the time in which a route table has to be in force.
const MIN_SERIES_FAULT_MS: u64 = 6_000;
const MAX_SERIES_FAULT_MS: u64 = 9_000;
/// The part of that duration in which the series begins.
const MAX_SERIES_DELAY_MS: u64 = 2_500;
const MAX_SERIES_LEN: u64 = 4;
/// The pause between two faults of single daemons beside series of route tables.
const MIN_FAULT_PAUSE_MS: u64 = 500;
const MAX_FAULT_PAUSE_MS: u64 = 4_000;
/// The duration of a period in which all backend servers refuse requests.
const MIN_OVERLOAD_MS: u64 = 2_000;
const MAX_OVERLOAD_MS: u64 = 6_000;
/// The limits of backend servers, in requests per second; without one, each gets several times as many.
const MAX_LIMIT: u64 = 20;
/// The first equals the deadline of the routes, so a daemon can't wait for requests that it accepts late; the second
/// is the deployment's.
const STOP_TIMEOUTS_MS: [u64; 2] = [3_000, 5_700];

/// A fault of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Every call fails.
    Down,
    /// Every call is refused.
    Busy,
    /// No call gets a response.
    Silent,
    /// Every call is delayed.
    Slow,
    /// Writes take effect, but their responses are lost.
    LosesAnswers,
    /// Watches report nothing.
    Deaf,
}

const STORE_FAULTS: [StoreFault; 6] = [
    StoreFault::Down,
    StoreFault::Busy,
    StoreFault::Silent,
    StoreFault::Slow,
    StoreFault::LosesAnswers,
    StoreFault::Deaf,
];

/// A fault of the path over which the other daemons reach a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Bytes are delayed.
    Delay,
    /// Bytes to the daemon are held back.
    CutThere,
    /// Bytes from the daemon are held back.
    CutBack,
    /// All open connections are reset.
    Reset,
    /// All open connections stop delivering bytes permanently; new ones work.
    Silence,
}

const PATH_FAULTS: [PathFault; 5] = [
    PathFault::Delay,
    PathFault::CutThere,
    PathFault::CutBack,
    PathFault::Reset,
    PathFault::Silence,
];
/// The scripts of misbehaving backend servers.
const SCRIPTS: [Script; 7] = [
    Script::SaysNotRun,
    Script::AnswersAnother,
    Script::BreaksOff,
    Script::CutsBody,
    Script::AnswersTwice,
    Script::Fails,
    Script::Hangs,
];

/// One action of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a daemon the stop signal and restarts it once it has exited.
    Stop {
        /// The daemon's number.
        daemon: usize,
        /// Delay until a second stop signal.
        again_ms: Option<u64>,
        /// Delay until the daemon is killed.
        kill_ms: Option<u64>,
    },
    /// Kills and restarts a daemon.
    Kill {
        /// The daemon's number.
        daemon: usize,
    },
    /// Suspends a daemon for a while.
    Pause {
        /// The daemon's number.
        daemon: usize,
        /// The duration.
        ms: u64,
    },
    /// Makes a daemon reload its settings.
    Reread {
        /// The daemon's number.
        daemon: usize,
    },
    /// Publishes the next route table or the previous one.
    Publish {
        /// Whether the previous table replaces the newest one.
        older: bool,
    },
    /// Injects a fault into the store.
    Store {
        /// The fault.
        trouble: StoreFault,
        /// The duration.
        ms: u64,
    },
    /// Injects a fault into the path to a daemon.
    Path {
        /// The daemon's number.
        daemon: usize,
        /// The fault.
        harm: PathFault,
        /// The duration.
        ms: u64,
    },
    /// A backend server leaves and returns as another incarnation.
    Leave {
        /// Its daemon's number.
        daemon: usize,
        /// The duration of its absence.
        ms: u64,
    },
    /// A backend server names a limit on the requests that it accepts.
    Limit {
        /// Its daemon's number.
        daemon: usize,
        /// The limit.
        per_second: u64,
        /// The duration.
        ms: u64,
    },
    /// A backend server says only in its responses that it leaves, and returns as another incarnation.
    LeaveByResponse {
        /// Its daemon's number.
        daemon: usize,
        /// The time until it returns.
        ms: u64,
    },
    /// All backend servers refuse a part of the requests and copy a part of their responses.
    Overload {
        /// The duration.
        ms: u64,
        /// The copied part of the responses.
        copied_percent: u8,
    },
    /// Another client writes an entry into the store.
    WriteEntry(ForeignEntry),
    /// Makes a backend server misbehave.
    Misbehave {
        /// Its daemon's number.
        daemon: usize,
        /// The script that it plays.
        script: Script,
        /// The duration.
        ms: u64,
    },
}

/// An action and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedAction {
    /// The time since the start of the plan.
    pub at_ms: u64,
    /// The action.
    pub action: Action,
}

/// The plan of a soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// The seed that the plan was generated from.
    pub seed: u64,
    /// The period in which actions begin.
    pub seconds: u64,
    /// The number of daemons.
    pub instances: usize,
    /// The stop timeout of the daemons.
    pub stop_timeout_ms: u64,
    /// The actions, ordered by time.
    pub actions: Vec<TimedAction>,
    /// Whether a request that crashes backend servers is sent repeatedly.
    pub has_crashing_request: bool,
    /// Whether callers send uploads, send requests behind one another and go, and backend servers make calls.
    pub has_mixed_work: bool,
    /// Whether requests that show the route table in force are sent to each daemon all the time.
    pub has_table_probes: bool,
}

impl SoakPlan {
    /// Generates the plan of a seed.
    pub fn from_seed(seed: u64, seconds: u64, instances: usize) -> Self {
        let mut rng = Rng::with_seed(seed);
        let stop_timeout_ms = choose(&mut rng, &STOP_TIMEOUTS_MS);
        let mut actions = Vec::new();
        let mut at_ms = FIRST_ACTION_MS;
        while at_ms < seconds * 1_000 {
            add_burst(&mut rng, at_ms, instances, &mut actions);
            at_ms += rng.u64(50..MAX_PAUSE_MS);
        }
        actions.sort_by_key(|timed| timed.at_ms);
        Self {
            seed,
            seconds,
            instances,
            stop_timeout_ms,
            actions,
            has_crashing_request: false,
            has_mixed_work: false,
            has_table_probes: false,
        }
    }

    /// Generates a plan of nothing but series of route tables beside long faults that don't excuse a late one: the
    /// store's watches are silent, or other daemons are suspended.
    pub fn of_changes(seed: u64, seconds: u64, instances: usize) -> Self {
        let mut plan = Self::from_seed(seed, seconds, instances);
        plan.actions.clear();
        plan.has_table_probes = true;
        let mut rng = Rng::with_seed(seed.reverse_bits());
        add_changes(&mut rng, seconds, instances, &mut plan.actions);
        plan.actions.sort_by_key(|timed| timed.at_ms);
        plan
    }

    /// The same plan with daemons that restart, or whose path is disturbed, one after another. The others have to keep to
    /// the route table.
    pub fn with_restarts(mut self) -> Self {
        let mut rng = Rng::with_seed(self.seed.rotate_right(16));
        add_restarts(&mut rng, self.seconds, self.instances, &mut self.actions);
        self.actions.sort_by_key(|timed| timed.at_ms);
        self
    }

    /// The same plan with backend servers that name limits and leaves in their responses.
    pub fn with_signals(mut self) -> Self {
        let mut rng = Rng::with_seed(!self.seed);
        add_signals(&mut rng, self.seconds, self.instances, &mut self.actions);
        self.actions.sort_by_key(|timed| timed.at_ms);
        self
    }

    /// The same plan with the work of a mesh: uploads, requests behind one another, callers that go and calls, beside
    /// backend servers that are overloaded at the same time and copy a part of their responses.
    pub fn with_mixed_work(mut self, copied_percent: u8) -> Self {
        let mut rng = Rng::with_seed(self.seed.rotate_left(32));
        add_overload(&mut rng, self.seconds, copied_percent, &mut self.actions);
        self.actions.sort_by_key(|timed| timed.at_ms);
        self.has_mixed_work = true;
        self
    }

    /// The same plan with entries of other clients in the store: JSON that can't be parsed, copies of the route table, and,
    /// if the plan is one of changes, records of live daemons with other numbers.
    pub fn with_other_writers(mut self) -> Self {
        let mut rng = Rng::with_seed(!self.seed.reverse_bits());
        let replaces_records = self.has_table_probes;
        let actions = &mut self.actions;
        other_writers::add_entries(
            &mut rng,
            self.seconds,
            self.instances,
            replaces_records,
            actions,
        );
        actions.sort_by_key(|timed| timed.at_ms);
        self
    }

    /// The same plan with a request that crashes backend servers.
    pub fn with_crashes(self) -> Self {
        Self {
            has_crashing_request: true,
            ..self
        }
    }
}

/// Adds limits and leaves that backend servers name in their responses, of at most one backend server of a service at a
/// time.
fn add_signals(rng: &mut Rng, seconds: u64, instances: usize, actions: &mut Vec<TimedAction>) {
    let mut at_ms = FIRST_ACTION_MS;
    while at_ms < seconds * 1_000 {
        let daemon = rng.usize(..instances);
        let ms = rng.u64(MIN_SIGNAL_MS..MAX_SIGNAL_MS);
        let action = match rng.u8(..3) {
            0 => Action::LeaveByResponse { daemon, ms },
            _ => Action::Limit {
                daemon,
                per_second: rng.u64(..MAX_LIMIT),
                ms,
            },
        };
        actions.push(TimedAction { at_ms, action });
        at_ms += ms + rng.u64(50..MAX_PAUSE_MS);
    }
}

/// Adds periods of overload with pauses, in which the retry budget fills again.
fn add_overload(rng: &mut Rng, seconds: u64, copied_percent: u8, actions: &mut Vec<TimedAction>) {
    let mut at_ms = FIRST_ACTION_MS;
    while at_ms < seconds * 1_000 {
        let ms = rng.u64(MIN_OVERLOAD_MS..MAX_OVERLOAD_MS);
        let action = Action::Overload { ms, copied_percent };
        actions.push(TimedAction { at_ms, action });
        at_ms += ms + rng.u64(50..MAX_PAUSE_MS);
    }
}

/// Adds series of route tables, each beside silent watches or suspended daemons or both.
fn add_changes(rng: &mut Rng, seconds: u64, instances: usize, actions: &mut Vec<TimedAction>) {
    let mut at_ms = FIRST_ACTION_MS;
    while at_ms < seconds * 1_000 {
        let ms = rng.u64(MIN_SERIES_FAULT_MS..MAX_SERIES_FAULT_MS);
        let mut add = |at_ms, action| actions.push(TimedAction { at_ms, action });
        let has_silent_watches = rng.u8(..4) > 0;
        if has_silent_watches {
            let trouble = StoreFault::Deaf;
            add(at_ms, Action::Store { trouble, ms });
        }
        if !has_silent_watches || rng.bool() {
            let count = rng.usize(1..instances);
            for daemon in rng.choose_multiple(0..instances, count) {
                add(at_ms, Action::Pause { daemon, ms });
            }
        }
        let mut publish_at_ms = at_ms + rng.u64(..MAX_SERIES_DELAY_MS);
        for _ in 0..rng.u64(1..=MAX_SERIES_LEN) {
            add(publish_at_ms, Action::Publish { older: false });
            publish_at_ms += rng.u64(100..1_000);
        }
        at_ms += ms + rng.u64(MIN_SERIES_PAUSE_MS..MAX_SERIES_PAUSE_MS);
    }
}

/// Adds stops, kills and faults of paths, of one daemon at a time.
fn add_restarts(rng: &mut Rng, seconds: u64, instances: usize, actions: &mut Vec<TimedAction>) {
    let mut at_ms = 0;
    while at_ms < seconds * 1_000 {
        let daemon = rng.usize(..instances);
        let action = match rng.u8(..5) {
            0 => random_stop(rng, daemon),
            1 => Action::Kill { daemon },
            2 => Action::Reread { daemon },
            _ => Action::Path {
                daemon,
                harm: choose(rng, &PATH_FAULTS),
                ms: rng.u64(100..MAX_ACTION_MS),
            },
        };
        actions.push(TimedAction { at_ms, action });
        at_ms += rng.u64(MIN_FAULT_PAUSE_MS..MAX_FAULT_PAUSE_MS);
    }
}

/// Adds one action, two that overlap, or a stop of every daemon in turn.
fn add_burst(rng: &mut Rng, at_ms: u64, instances: usize, actions: &mut Vec<TimedAction>) {
    let is_series = rng.u8(..10) == 0;
    if !is_series {
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
        let action = random_stop(rng, daemon);
        actions.push(TimedAction { at_ms, action });
    }
}

fn action(rng: &mut Rng, instances: usize) -> Action {
    let daemon = rng.usize(..instances);
    let ms = rng.u64(100..MAX_ACTION_MS);
    match rng.u8(..20) {
        0..5 => random_stop(rng, daemon),
        5..7 => Action::Kill { daemon },
        7..9 => Action::Pause { daemon, ms },
        9 => Action::Reread { daemon },
        10..13 => Action::Publish {
            older: rng.u8(..4) == 0,
        },
        13..15 => Action::Store {
            trouble: choose(rng, &STORE_FAULTS),
            ms,
        },
        15..17 => Action::Path {
            daemon,
            harm: choose(rng, &PATH_FAULTS),
            ms,
        },
        17 => Action::Leave { daemon, ms },
        _ => Action::Misbehave {
            daemon,
            script: choose(rng, &SCRIPTS),
            ms,
        },
    }
}

fn random_stop(rng: &mut Rng, daemon: usize) -> Action {
    let mut maybe_ms = |one_in: u8| (rng.u8(..one_in) == 0).then(|| rng.u64(0..MAX_ACTION_MS));
    Action::Stop {
        daemon,
        again_ms: maybe_ms(4),
        kill_ms: maybe_ms(6),
    }
}

fn choose<T: Copy>(rng: &mut Rng, all: &[T]) -> T {
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
        if self.has_mixed_work {
            writeln!(
                f,
                "callers send uploads and requests behind one another, and go; backend servers make calls"
            )?;
        }
        for TimedAction { at_ms, action } in &self.actions {
            writeln!(f, "{at_ms:>7} ms  {action:?}")?;
        }
        Ok(())
    }
}
