//! Long random schedules of three daemons with faulty networks, restarts and clock drift. Guards against leasing right
//! after a restart and without a clock margin; `model_check.rs` searches short schedules systematically.

use proptest::{prelude::*, sample::Index};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sorrelturn_protocol::{CallerId, Incarnation};
use sorrelturn_quota::{
    AcquireReply, AcquireRequest, Limit, Now, QuotaAllocator, QuotaClient, Shard, ValidityConfig,
};
use std::time::Duration;

const DAEMONS: u32 = 3;
const WORKSPACE: CallerId = CallerId(0);
const SHARD: Shard = Shard(0);
const VALIDITY: ValidityConfig = ValidityConfig {
    min_lease_duration: Duration::from_millis(250),
    grant_validity: Duration::from_millis(50),
};
const LIMIT: Limit = Limit {
    rate: 20.0,
    burst: 2.0,
};
const WINDOW: Duration = Duration::from_secs(1);
/// Per daemon; the clock margin tolerates a difference of 5 percent between two clocks.
const CLOCK_RATE_PERCENT: [u32; DAEMONS as usize] = [100, 102, 98];
const STEPS: usize = 600;

#[derive(Clone, Debug)]
enum Step {
    AdvanceMs(u64),
    /// The daemon and the number of requests that arrive at once.
    Request(usize, usize),
    Renew(usize),
    Deliver(Index),
    DeliverTwice(Index),
    Lose(Index),
    /// The daemon and the index of the one that it prefers from now on.
    SetPreferred(usize, usize),
    Restart(usize),
}

/// Schedules in which any step may follow any other.
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
            10 => (1..40u64).prop_map(Step::AdvanceMs),
            6 => (daemon(), 1..6usize).prop_map(|(index, requests)| Step::Request(index, requests)),
            24 => daemon().prop_map(Step::Renew),
            80 => any::<Index>().prop_map(Step::Deliver),
            2 => any::<Index>().prop_map(Step::DeliverTwice),
            1 => any::<Index>().prop_map(Step::Lose),
            1 => (daemon(), daemon()).prop_map(|(index, preferred)| Step::SetPreferred(index, preferred)),
            1 => daemon().prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        to: Incarnation,
        sent: Now,
        req: AcquireRequest,
    },
    Reply {
        to: Incarnation,
        sent: Now,
        reply: AcquireReply,
    },
}

struct Daemon {
    incarnation: Incarnation,
    client: QuotaClient,
    allocator: QuotaAllocator,
    preferred: usize,
    clock_rate_percent: u32,
}

impl Daemon {
    fn new(incarnation: Incarnation, clock_rate_percent: u32, now: Duration) -> Self {
        let mut daemon = Self {
            incarnation,
            client: QuotaClient::new(incarnation, VALIDITY, Now::ZERO),
            allocator: QuotaAllocator::new(incarnation, VALIDITY, Now::ZERO),
            preferred: 0,
            clock_rate_percent,
        };
        let now = daemon.clock_time(now);
        daemon.client = QuotaClient::new(incarnation, VALIDITY, now);
        daemon.allocator = QuotaAllocator::new(incarnation, VALIDITY, now);
        daemon
    }

    fn clock_time(&self, now: Duration) -> Now {
        now * self.clock_rate_percent / 100
    }
}

struct Fleet {
    now: Duration,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    last_incarnation: u64,
    ran: Vec<Duration>,
}

impl Fleet {
    fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        self.daemons
            .iter()
            .position(|daemon| daemon.incarnation == incarnation)
    }

    fn update_preferred(&mut self) {
        let incarnations: Vec<Incarnation> = self
            .daemons
            .iter()
            .map(|daemon| daemon.incarnation)
            .collect();
        for daemon in &mut self.daemons {
            let preferred = incarnations[daemon.preferred];
            let of_shard = |shard| (shard == SHARD).then_some(preferred);
            daemon.client.set_preferred(DAEMONS, of_shard);
        }
    }

    fn request(&mut self, index: usize, workspace: Option<CallerId>) {
        let daemon = &mut self.daemons[index];
        let sent = daemon.clock_time(self.now);
        if workspace.is_some() && daemon.client.use_grant(sent, WORKSPACE) {
            self.ran.push(self.now);
            return;
        }
        if let Some(target) = daemon.client.target(sent, SHARD) {
            let req = daemon.client.acquire_request(target, DAEMONS, workspace);
            let to = target.allocator;
            self.messages.push(Message::Request { to, sent, req });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { to, sent, req } => {
                // An incarnation that has ended doesn't reply.
                let Some(i) = self.index_of(to) else { return };
                let daemon = &mut self.daemons[i];
                let now = daemon.clock_time(self.now);
                let reply = daemon.allocator.acquire(now, &req, Some(LIMIT), DAEMONS);
                let to = req.from;
                self.messages.push(Message::Reply { to, sent, reply });
            }
            Message::Reply { to, sent, reply } => {
                let Some(i) = self.index_of(to) else { return };
                let daemon = &mut self.daemons[i];
                let now = daemon.clock_time(self.now);
                if daemon.client.accept_reply(now, sent, WORKSPACE, &reply) {
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
        let daemons = (1u64..).zip(CLOCK_RATE_PERCENT);
        let daemon = |(incarnation, clock_rate)| {
            Daemon::new(Incarnation(incarnation), clock_rate, Duration::ZERO)
        };
        let mut fleet = Self {
            now: Duration::ZERO,
            daemons: daemons.map(daemon).collect(),
            messages: Vec::new(),
            last_incarnation: DAEMONS.into(),
            ran: Vec::new(),
        };
        fleet.update_preferred();
        fleet
    }

    fn apply(mut fleet: Self, _: &(), step: Step) -> Self {
        match step {
            Step::AdvanceMs(ms) => fleet.now += Duration::from_millis(ms),
            Step::Request(index, requests) => {
                (0..requests).for_each(|_| fleet.request(index, Some(WORKSPACE)));
            }
            Step::Renew(index) => fleet.request(index, None),
            Step::Deliver(index) => {
                if let Some(position) = fleet.any_message(&index) {
                    let message = fleet.messages.remove(position);
                    fleet.deliver(message);
                }
            }
            // Only requests are duplicated. A reply isn't, because connections between daemons are streams.
            Step::DeliverTwice(index) => {
                let message = fleet
                    .any_message(&index)
                    .map(|position| &fleet.messages[position]);
                if let Some(message @ Message::Request { .. }) = message.cloned() {
                    fleet.deliver(message);
                }
            }
            Step::Lose(index) => {
                if let Some(position) = fleet.any_message(&index) {
                    fleet.messages.remove(position);
                }
            }
            Step::SetPreferred(index, preferred) => {
                fleet.daemons[index].preferred = preferred;
                fleet.update_preferred();
            }
            Step::Restart(index) => {
                fleet.last_incarnation += 1;
                let (incarnation, before) =
                    (Incarnation(fleet.last_incarnation), &fleet.daemons[index]);
                let mut daemon = Daemon::new(incarnation, before.clock_rate_percent, fleet.now);
                daemon.preferred = before.preferred;
                fleet.daemons[index] = daemon;
                fleet.update_preferred();
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Self, _: &()) {
        let leased = |daemon: &Daemon| {
            let mut allocator = daemon.allocator.clone();
            allocator.leased_fraction(daemon.clock_time(fleet.now), SHARD, DAEMONS)
        };
        let leased: f64 = fleet.daemons.iter().map(leased).sum();
        assert!(leased <= 1.0 + 1e-9, "{leased} of the shares are leased");

        let ran = fleet.ran.iter().rev();
        let in_window = ran.take_while(|at| fleet.now - **at <= WINDOW).count();
        let max_clock_factor =
            f64::from(CLOCK_RATE_PERCENT.into_iter().max().unwrap_or(100)) / 100.0;
        let earned =
            LIMIT.rate * max_clock_factor * (WINDOW + VALIDITY.grant_validity).as_secs_f64();
        // Each fragment of the fleet beyond the first can grant one request, however small its share of the burst is.
        let max_count = earned + LIMIT.burst + f64::from(DAEMONS - 1);
        assert!(
            in_window as f64 <= max_count,
            "{in_window} requests ran; at most {max_count} are allowed"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_leases_more_than_all_shares_or_runs_more_than_the_limit(sequential STEPS..STEPS + 1 => Fleet);
}
