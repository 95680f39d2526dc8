//! Searches orders of starts, reports, leaves, crashes and restarts of the daemon for a leave that was acknowledged and
//! didn't stay in force.

use proptest::prelude::*;
use sorrelturn_policy::{Presence, PresenceChange, Responder};
use sorrelturn_protocol::{Announcement, BackendState, LeftBackend};
use std::time::Duration;

/// A report arrives at most this much later than it was sent.
const MAX_DELAY: Duration = Duration::from_secs(12);
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longer than any backend server that is ready waits for requests.
const RECOVERY_DURATION: Duration = Duration::from_secs(40);

/// What backend servers say of their starts.
#[derive(Clone, Copy, Debug)]
struct Dialect {
    /// Reports carry the start time; ids may be used again.
    reports_start: bool,
    /// Deregistrations carry it too.
    deregisters_with_start: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Start {
        same_id: bool,
    },
    Crash,
    /// A report that arrives at once.
    Report,
    /// A report that arrives with [`Step::Deliver`], if at all.
    LateReport,
    Drain,
    Deregister,
    Deliver(usize),
    /// A request for the one that accepts work is answered by the one at the address.
    Answer,
    RestartDaemon {
        asks_health: bool,
    },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => any::<bool>().prop_map(|same_id| Step::Start { same_id }),
        1 => Just(Step::Crash),
        3 => Just(Step::Report),
        3 => Just(Step::LateReport),
        1 => Just(Step::Drain),
        2 => Just(Step::Deregister),
        4 => any::<usize>().prop_map(Step::Deliver),
        1 => Just(Step::Answer),
        2 => any::<bool>().prop_map(|asks_health| Step::RestartDaemon { asks_health }),
        3 => (100..6_000_u64).prop_map(Step::Wait),
    ]
}

/// One run of a backend server.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    born: u64,
    sequence: u64,
    /// Whether it has announced that it leaves.
    is_leaving: bool,
    has_acknowledgement: bool,
}

#[derive(Default)]
struct Stored {
    backend: Option<Announcement>,
    left: Vec<LeftBackend>,
}

struct World {
    dialect: Dialect,
    now: Duration,
    presence: Presence,
    /// What the platform's store has for the daemon's next incarnation.
    stored: Stored,
    /// The run at the address.
    run: Option<Run>,
    started: u64,
    late: Vec<(Duration, Announcement)>,
}

impl World {
    fn new(dialect: Dialect) -> Self {
        Self {
            dialect,
            now: Duration::from_secs(100),
            presence: Presence::default(),
            stored: Stored::default(),
            run: None,
            started: 0,
            late: Vec::new(),
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Start { same_id } => self.start(same_id),
            Step::Crash => self.run = None,
            Step::Report => {
                if let Some(report) = self.report() {
                    self.receive(report);
                }
            }
            Step::LateReport => {
                if let Some(report) = self.report() {
                    self.late.push((self.now, report));
                }
            }
            Step::Drain => self.leave(BackendState::Draining),
            Step::Deregister => self.leave(BackendState::Gone),
            Step::Deliver(which) => self.deliver(which),
            Step::Answer => self.answer(),
            Step::RestartDaemon { asks_health } => self.restart_daemon(asks_health),
            Step::Wait(ms) => self.now += Duration::from_millis(ms),
        }
        let now = self.now;
        self.late.retain(|(sent, _)| *sent + MAX_DELAY >= now);
    }

    fn unix_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    fn start(&mut self, same_id: bool) {
        let before = self.run.take();
        self.now += Duration::from_millis(1);
        self.started += 1;
        let has_same_id = same_id && self.dialect.reports_start;
        let id = match before.filter(|_| has_same_id) {
            Some(before) => before.id,
            None => format!("b-{}", self.started),
        };
        self.run = Some(Run {
            id,
            born: self.unix_ms(),
            sequence: 0,
            is_leaving: false,
            has_acknowledgement: false,
        });
    }

    /// Returns the next report of the run at the address; `None` once it is leaving.
    fn report(&mut self) -> Option<Announcement> {
        let run = self.run.as_mut().filter(|run| !run.is_leaving)?;
        run.sequence += 1;
        Some(Announcement {
            id: run.id.clone(),
            born: self.dialect.reports_start.then_some(run.born),
            state: BackendState::Ready,
            sequence: run.sequence,
        })
    }

    fn leave(&mut self, state: BackendState) {
        let Some(run) = &mut self.run else {
            return;
        };
        run.is_leaving = true;
        run.sequence += 1;
        let has_start = match state {
            BackendState::Gone => self.dialect.deregisters_with_start,
            _ => true,
        };
        let announcement = Announcement {
            id: run.id.clone(),
            born: (self.dialect.reports_start && has_start).then_some(run.born),
            state,
            sequence: match state {
                BackendState::Gone => u64::MAX,
                _ => run.sequence,
            },
        };
        let is_acknowledged = self.receive(announcement);
        if let Some(run) = &mut self.run {
            run.has_acknowledgement |= is_acknowledged;
        }
    }

    /// Returns whether the daemon acknowledges the announcement.
    fn receive(&mut self, announcement: Announcement) -> bool {
        let (id, born) = (announcement.id.clone(), announcement.born);
        let is_leave = announcement.state != BackendState::Ready;
        let unix_ms = self.unix_ms();
        let change = self
            .presence
            .receive_at(self.now, Some(unix_ms), announcement);
        let is_acknowledged = match change {
            PresenceChange::Foreign => false,
            PresenceChange::Unconfirmed if is_leave => false,
            PresenceChange::Outdated if is_leave => self.presence.has_left_for_good(&id, born),
            _ => true,
        };
        if is_acknowledged {
            self.store();
        }
        is_acknowledged
    }

    fn store(&mut self) {
        self.stored = Stored {
            backend: self.presence.current().cloned(),
            left: self.presence.left(),
        };
    }

    fn deliver(&mut self, which: usize) {
        if !self.late.is_empty() {
            let (_, report) = self.late.remove(which % self.late.len());
            self.receive(report);
        }
    }

    fn answer(&mut self) {
        if let Some(run) = &self.run
            && self.presence.serving().is_some()
            && self.presence.record_answer_from(self.now, &run.id) != Responder::Current
        {
            self.store();
        }
    }

    fn restart_daemon(&mut self, asks_health: bool) {
        self.presence = Presence::default();
        let leave = self.presence.restore_left(&self.stored.left);
        assert_eq!(leave, None, "none is current");
        match &self.stored.backend {
            Some(stored) if stored.state != BackendState::Ready => {
                self.presence.receive(self.now, stored.clone());
            }
            Some(stored) => self.presence.expect_backend(&stored.id),
            None => {}
        }
        if let Some(run) = self.run.as_ref().filter(|_| asks_health) {
            // The health check of one that deregistered may go on succeeding.
            self.presence.record_health_of(self.now, &run.id);
        }
    }

    fn breaks_a_leave(&self) -> bool {
        let left = self.run.as_ref().filter(|run| run.has_acknowledgement);
        left.is_some_and(|run| self.presence.serving() == Some(&run.id))
    }
}

fn dialects() -> impl Strategy<Value = Dialect> {
    (any::<bool>(), any::<bool>()).prop_map(|(reports_start, deregisters_with_start)| Dialect {
        reports_start,
        deregisters_with_start,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Guards against requests for a backend server whose leave was acknowledged, whatever arrives late or restarts.
    #[test]
    fn an_acknowledged_leave_stays_in_force_in_any_order(
        dialect in dialects(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut world = World::new(dialect);
        for (at, step) in steps.iter().enumerate() {
            world.play(*step);
            prop_assert!(!world.breaks_a_leave(), "after step {} of {:?}", at, steps);
        }
    }

    /// Guards against a leave that stays in force for a later backend server.
    #[test]
    fn a_backend_server_that_goes_on_reporting_is_served_after_any_order(
        dialect in dialects(),
        same_id in any::<bool>(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut world = World::new(dialect);
        for step in &steps {
            world.play(*step);
        }
        world.play(Step::Start { same_id });
        let end = world.now + RECOVERY_DURATION;
        while world.now < end {
            world.play(Step::Report);
            world.play(Step::Answer);
            world.now += REPORT_INTERVAL;
        }
        let id = world.run.map(|run| run.id);
        prop_assert_eq!(world.presence.serving().map(str::to_owned), id, "{:?}", steps);
    }
}
