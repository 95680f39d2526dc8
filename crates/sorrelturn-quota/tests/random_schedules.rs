//! Long random schedules of a small fleet, in virtual time: messages that are late, lost, sent twice or out of order, runs that
//! end, daemons that disagree on the accountant, clocks that run unevenly.
//!
//! `model_check` sees all short schedules of two daemons; here three go on for many leases. It finds a run that lends as soon as
//! it starts, and leases without a margin for the clocks.

use proptest::{prelude::*, sample::Index};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sorrelturn_protocol::{CallerId, Incarnation};
use sorrelturn_quota::{Accountant, Draw, Drawn, Entry, Limit, Now, Shard, Terms};
use std::time::Duration;

const DAEMONS: u32 = 3;
const WORKSPACE: CallerId = CallerId(0);
const SHARD: Shard = Shard(0);
const TERMS: Terms = Terms {
    lease: Duration::from_millis(250),
    grant: Duration::from_millis(50),
};
const LIMIT: Limit = Limit {
    rate: 20.0,
    burst: 2.0,
};
/// What runs is counted in windows of this length.
const WINDOW: Duration = Duration::from_secs(1);
/// By how much clocks run unevenly, in parts of a hundred; the lease's margin bears 5 between two of them.
const UNEVEN_PERCENT: [u32; DAEMONS as usize] = [100, 102, 98];
/// Steps of one schedule: some ten leases.
const STEPS: usize = 600;

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    /// So many requests at once.
    Ask(usize, usize),
    Renew(usize),
    Deliver(Index),
    DeliverTwice(Index),
    Lose(Index),
    Prefer(usize, usize),
    Restart(usize),
}

/// Any step may follow any other.
struct AnySchedule;

impl ReferenceStateMachine for AnySchedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let daemon = || 0..DAEMONS as usize;
        prop_oneof![
            10 => (1..40u64).prop_map(Step::Pass),
            6 => (daemon(), 1..6usize).prop_map(|(at, requests)| Step::Ask(at, requests)),
            24 => daemon().prop_map(Step::Renew),
            80 => any::<Index>().prop_map(Step::Deliver),
            2 => any::<Index>().prop_map(Step::DeliverTwice),
            1 => any::<Index>().prop_map(Step::Lose),
            1 => (daemon(), daemon()).prop_map(|(at, prefers)| Step::Prefer(at, prefers)),
            1 => daemon().prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone, Debug)]
enum Message {
    Asks {
        to: Incarnation,
        sent: Now,
        draw: Draw,
    },
    Answers {
        to: Incarnation,
        sent: Now,
        drawn: Drawn,
    },
}

struct Daemon {
    run: Incarnation,
    entry: Entry,
    accountant: Accountant,
    /// Which daemon it takes for the accountant.
    prefers: usize,
    uneven_percent: u32,
}

impl Daemon {
    fn new(run: Incarnation, uneven_percent: u32, now: Duration) -> Self {
        let mut daemon = Self {
            run,
            entry: Entry::new(run, TERMS, Now::ZERO),
            accountant: Accountant::new(run, TERMS, Now::ZERO),
            prefers: 0,
            uneven_percent,
        };
        let now = daemon.reads(now);
        daemon.entry = Entry::new(run, TERMS, now);
        daemon.accountant = Accountant::new(run, TERMS, now);
        daemon
    }

    /// What its clock says.
    fn reads(&self, now: Duration) -> Now {
        now * self.uneven_percent / 100
    }
}

struct Fleet {
    now: Duration,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    last_run: u64,
    /// When requests ran.
    ran: Vec<Duration>,
}

impl Fleet {
    fn at_run(&self, run: Incarnation) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.run == run)
    }

    fn prefer_anew(&mut self) {
        let runs: Vec<Incarnation> = self.daemons.iter().map(|daemon| daemon.run).collect();
        for daemon in &mut self.daemons {
            let prefers = runs[daemon.prefers];
            let of_shard = |shard| (shard == SHARD).then_some(prefers);
            daemon.entry.prefer(DAEMONS, of_shard);
        }
    }

    fn ask(&mut self, at: usize, workspace: Option<CallerId>) {
        let daemon = &mut self.daemons[at];
        let sent = daemon.reads(self.now);
        if workspace.is_some() && daemon.entry.take(sent, WORKSPACE) {
            self.ran.push(self.now);
            return;
        }
        if let Some(target) = daemon.entry.target(sent, SHARD) {
            let draw = daemon.entry.draw(target, DAEMONS, workspace);
            let to = target.accountant;
            self.messages.push(Message::Asks { to, sent, draw });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Asks { to, sent, draw } => {
                // A run that is over answers nothing.
                let Some(at) = self.at_run(to) else { return };
                let daemon = &mut self.daemons[at];
                let now = daemon.reads(self.now);
                let drawn = daemon.accountant.draw(now, &draw, Some(LIMIT), DAEMONS);
                let to = draw.from;
                self.messages.push(Message::Answers { to, sent, drawn });
            }
            Message::Answers { to, sent, drawn } => {
                let Some(at) = self.at_run(to) else { return };
                let daemon = &mut self.daemons[at];
                let now = daemon.reads(self.now);
                if daemon.entry.drawn(now, sent, WORKSPACE, &drawn) {
                    self.ran.push(self.now);
                }
            }
        }
    }

    fn any_message(&self, index: &Index) -> Option<usize> {
        (!self.messages.is_empty()).then(|| index.index(self.messages.len()))
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = AnySchedule;

    fn init_test(_: &()) -> Self {
        let daemons = (1u64..).zip(UNEVEN_PERCENT);
        let daemon = |(run, uneven)| Daemon::new(Incarnation(run), uneven, Duration::ZERO);
        let mut fleet = Self {
            now: Duration::ZERO,
            daemons: daemons.map(daemon).collect(),
            messages: Vec::new(),
            last_run: DAEMONS.into(),
            ran: Vec::new(),
        };
        fleet.prefer_anew();
        fleet
    }

    fn apply(mut fleet: Self, _: &(), step: Step) -> Self {
        match step {
            Step::Pass(ms) => fleet.now += Duration::from_millis(ms),
            Step::Ask(at, requests) => {
                (0..requests).for_each(|_| fleet.ask(at, Some(WORKSPACE)));
            }
            Step::Renew(at) => fleet.ask(at, None),
            Step::Deliver(index) => {
                if let Some(at) = fleet.any_message(&index) {
                    let message = fleet.messages.remove(at);
                    fleet.deliver(message);
                }
            }
            // An answer comes once: connections between daemons are streams.
            Step::DeliverTwice(index) => {
                let message = fleet.any_message(&index).map(|at| &fleet.messages[at]);
                if let Some(message @ Message::Asks { .. }) = message.cloned() {
                    fleet.deliver(message);
                }
            }
            Step::Lose(index) => {
                if let Some(at) = fleet.any_message(&index) {
                    fleet.messages.remove(at);
                }
            }
            Step::Prefer(at, prefers) => {
                fleet.daemons[at].prefers = prefers;
                fleet.prefer_anew();
            }
            Step::Restart(at) => {
                fleet.last_run += 1;
                let (run, before) = (Incarnation(fleet.last_run), &fleet.daemons[at]);
                let mut daemon = Daemon::new(run, before.uneven_percent, fleet.now);
                daemon.prefers = before.prefers;
                fleet.daemons[at] = daemon;
                fleet.prefer_anew();
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Self, _: &()) {
        let lent = |daemon: &Daemon| {
            let mut accountant = daemon.accountant.clone();
            accountant.part_lent(daemon.reads(fleet.now), SHARD, DAEMONS)
        };
        let lent: f64 = fleet.daemons.iter().map(lent).sum();
        assert!(lent <= 1.0 + 1e-9, "{lent} of the shares are lent");

        let ran = fleet.ran.iter().rev();
        let in_window = ran.take_while(|at| fleet.now - **at <= WINDOW).count();
        let most_uneven = f64::from(UNEVEN_PERCENT.into_iter().max().unwrap_or(100)) / 100.0;
        let earned = LIMIT.rate * most_uneven * (WINDOW + TERMS.grant).as_secs_f64();
        // A request fits into each fragment of the fleet, however small its part of the burst is.
        let most = earned + LIMIT.burst + f64::from(DAEMONS - 1);
        assert!(in_window as f64 <= most, "{in_window} ran where {most} may");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_lends_more_than_all_shares_or_runs_more_than_the_limit(sequential STEPS..STEPS + 1 => Fleet);
}
