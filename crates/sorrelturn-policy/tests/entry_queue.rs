//! The queue at the entry: bursts and waves serve more in time with it than without, a lasting
//! overload loses nothing by it.

use sorrelturn_policy::{
    EntryQueue, EntryRequest, LEVEL_STEPS, LevelInForce, Now, Offer, SheddingLevel, WaitEnd,
    bucket_for_at_most_once, refuses,
};
use std::{collections::VecDeque, time::Duration};

const STEP: Duration = Duration::from_millis(5);
const SLOTS: u32 = 44;
const ENTRIES: usize = 6;
/// Steps until entries know a level of the server.
const LEVEL_DELAY_STEPS: usize = 20;
const GATE_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// A load as a multiple of the server's room, at a time.
type Load = fn(Duration) -> f64;

/// What callers see of a kind: its work, and the target of its answers.
#[derive(Clone, Copy)]
struct Work {
    mean: Duration,
    target: Duration,
}

const READ: Work = Work {
    mean: Duration::from_millis(220),
    target: Duration::from_millis(1_500),
};
const SEAT_CHECK: Work = Work {
    mean: Duration::from_millis(900),
    target: Duration::from_secs(5),
};

#[derive(Debug, Default)]
struct Counts {
    in_time: usize,
    held: usize,
    held_long_in_vain: usize,
}

impl Counts {
    fn plus(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            held: self.held + other.held,
            held_long_in_vain: self.held_long_in_vain + other.held_long_in_vain,
        }
    }
}

struct Request {
    arrived_at: Now,
    let_in_at: Now,
    entry: usize,
    level: u16,
    work: Duration,
}

/// Plays a load for some time against one server whose level the entries learn with a delay.
fn play(load: Load, kind: Work, duration: Duration, queues: bool, seed: u64) -> Counts {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut entries: Vec<EntryQueue> = (0..ENTRIES).map(|_| EntryQueue::default()).collect();
    let mut level = SheddingLevel::new(Duration::ZERO);
    let mut levels = VecDeque::from(vec![0; LEVEL_DELAY_STEPS]);
    let mut requests: Vec<Request> = Vec::new();
    let (mut gate, mut running) = (VecDeque::new(), Vec::new());
    let mut counts = Counts::default();
    let room = f64::from(SLOTS) / kind.mean.as_secs_f64();
    for step in 1..=(duration.as_millis() / STEP.as_millis()) as u32 {
        let now = STEP * step;
        let told = levels.pop_front().expect("a level");
        // The instances of a service tell different levels.
        let known = (f64::from(told) * (0.5 + rng.f64())) as u16;
        let in_force = LevelInForce {
            level: known,
            rank_count: 2,
            lowest_bucket: 0,
        };
        // Arrivals at random times with the mean of the load.
        let mean_arrivals = load(now) * room * STEP.as_secs_f64();
        let arrivals = (0..64).filter(|_| rng.f64() < mean_arrivals / 64.0).count();
        for _ in 0..arrivals {
            let (entry, bucket) = (rng.usize(0..ENTRIES), rng.u8(..));
            let work = kind.mean.mul_f64(0.7 + 0.6 * rng.f64());
            requests.push(Request {
                arrived_at: now,
                let_in_at: now,
                entry,
                level: known,
                work,
            });
            let id = requests.len() - 1;
            let request = EntryRequest {
                id: id as u64,
                rank: 0,
                is_refused: refuses(known, 0, 2, bucket),
                is_retry: false,
                may_wait: true,
                arrived_at: now,
                target: kind.target,
                deadline: now + kind.target * 2,
            };
            let offer = match queues {
                true => entries[entry].offer(now, in_force, &request),
                false if request.is_refused => Offer::Refuse,
                false => Offer::LetIn,
            };
            match offer {
                Offer::LetIn => gate.push_back(id),
                Offer::Wait(_) => counts.held += 1,
                Offer::Refuse => {}
            }
        }
        for entry in &mut entries {
            entry.release(now, in_force, |id, end| {
                let request = &mut requests[id as usize];
                request.let_in_at = now;
                request.level = known;
                match end {
                    WaitEnd::LetIn => gate.push_back(id as usize),
                    _ if now - request.arrived_at > kind.target / 8 => {
                        counts.held_long_in_vain += 1;
                    }
                    _ => {}
                }
            });
        }
        running.retain(|(id, ends_at): &(usize, Now)| {
            let request: &Request = &requests[*id];
            if *ends_at <= now {
                level.finished(request.work);
                entries[request.entry].record_duration(now - request.let_in_at);
                counts.in_time += usize::from(now - request.arrived_at <= kind.target);
            }
            *ends_at > now
        });
        for id in gate.iter().filter(|id| requests[**id].let_in_at == now) {
            level.arrived(requests[*id].level);
        }
        gate.retain(|id| now - requests[*id].let_in_at <= GATE_QUEUE_TIMEOUT);
        while running.len() < SLOTS as usize
            && let Some(id) = gate.pop_front()
        {
            running.push((id, now + requests[id].work));
        }
        level.update(now, gate.len(), SLOTS);
        levels.push_back(level.level());
    }
    counts
}

const SEEDS: std::ops::Range<u64> = 1..4;
const DURATION: Duration = Duration::from_secs(50);

/// Plays a load with all seeds, without and with queues.
fn compare(load: Load, kind: Work) -> (Counts, Counts) {
    let play_all = |queues| {
        let runs = SEEDS.map(|seed| play(load, kind, DURATION, queues, seed));
        runs.fold(Counts::default(), Counts::plus)
    };
    (play_all(false), play_all(true))
}

/// Asserts that queues serve more in time: at least a fifth of a second's room for each of `bursts`.
fn assert_more_in_time(load: Load, kind: Work, bursts: f64) {
    let (without, with) = compare(load, kind);
    let room = f64::from(SLOTS) / kind.mean.as_secs_f64();
    let min_gain = 0.2 * room * bursts * SEEDS.count() as f64;
    let gain = with.in_time as f64 - without.in_time as f64;
    assert!(
        gain >= min_gain,
        "{gain} of {min_gain}: {without:?}, {with:?}"
    );
    assert!(with.held_long_in_vain * 50 <= with.held, "{with:?}");
}

fn during(seconds: std::ops::Range<f64>, at: Now, load: f64) -> f64 {
    if seconds.contains(&at.as_secs_f64()) {
        load
    } else {
        0.7
    }
}

/// Load answered: bursts of three seconds at 1.7 times the room.
#[test]
fn a_burst_serves_more_in_time_with_a_queue() {
    assert_more_in_time(|at| during(20.0..23.0, at, 1.7), READ, 1.0);
    assert_more_in_time(|at| during(20.0..23.0, at, 1.7), SEAT_CHECK, 1.0);
}

/// Load answered: bursts of three seconds at 2.4 times the room.
#[test]
fn a_steep_burst_serves_more_in_time_with_a_queue() {
    assert_more_in_time(|at| during(20.0..23.0, at, 2.4), READ, 1.0);
    assert_more_in_time(|at| during(20.0..23.0, at, 2.4), SEAT_CHECK, 1.0);
}

/// Load answered: waves of twelve seconds that swing by 0.55.
#[test]
fn waves_serve_more_in_time_with_a_queue() {
    let wave: Load = |at| {
        let turns = at.as_secs_f64() / 12.0;
        0.85 * (1.0 + 0.55 * (turns * std::f64::consts::TAU).sin())
    };
    assert_more_in_time(wave, READ, 4.0);
    assert_more_in_time(wave, SEAT_CHECK, 4.0);
}

/// Load answered: an overload of 1.5 times the room that stays. Guards against waits that only delay.
#[test]
fn a_lasting_overload_loses_nothing_and_holds_hardly_any_in_vain() {
    for kind in [READ, SEAT_CHECK] {
        let (without, with) = compare(|at| during(10.0..40.0, at, 1.5), kind);
        assert!(with.in_time >= without.in_time, "{without:?}, {with:?}");
        assert!(with.held > 0, "{with:?}");
        assert!(with.held_long_in_vain * 50 <= with.held, "{with:?}");
    }
}

#[test]
fn without_overload_nothing_waits_and_nothing_changes() {
    let (without, with) = compare(|_| 0.5, READ);
    assert_eq!(with.held, 0, "{with:?}");
    assert_eq!(with.in_time, without.in_time);
}

/// A level that refuses 0.4 of the lowest of two ranks.
const OVERLOADED: LevelInForce = LevelInForce {
    level: LEVEL_STEPS / 2,
    rank_count: 2,
    lowest_bucket: 0,
};
const TARGET: Duration = Duration::from_secs(2);
const START: Now = Duration::from_secs(10);

/// Returns a queue that knows a usual duration of 100 ms and a room of about 60 a second.
fn queue_under_load() -> EntryQueue {
    let mut queue = EntryQueue::default();
    for number in 0..200 {
        let now = START - Duration::from_millis(10) * (200 - number);
        queue.offer(now, OVERLOADED, &admitted(u64::MAX, now));
        queue.record_duration(Duration::from_millis(100));
    }
    queue
}

fn admitted(id: u64, now: Now) -> EntryRequest {
    EntryRequest {
        id,
        rank: 0,
        is_refused: false,
        is_retry: false,
        may_wait: true,
        arrived_at: now,
        target: TARGET,
        deadline: now + TARGET * 2,
    }
}

fn refused(id: u64, now: Now) -> EntryRequest {
    EntryRequest {
        is_refused: true,
        ..admitted(id, now)
    }
}

/// Ends waits at a time, and returns the ids with the ends.
fn ends(queue: &mut EntryQueue, now: Now, level: LevelInForce) -> Vec<(u64, WaitEnd)> {
    let mut ends = Vec::new();
    queue.release(now, level, |id, end| ends.push((id, end)));
    ends
}

fn waits(queue: &mut EntryQueue, now: Now, request: &EntryRequest) -> bool {
    matches!(queue.offer(now, OVERLOADED, request), Offer::Wait(_))
}

#[test]
fn requests_go_by_rank_and_then_by_the_time_left() {
    let mut queue = queue_under_load();
    let less_time = EntryRequest {
        deadline: START + TARGET / 2,
        ..refused(2, START)
    };
    let higher_rank = EntryRequest {
        rank: 1,
        ..refused(3, START)
    };
    for request in [refused(1, START), less_time, higher_rank] {
        assert!(waits(&mut queue, START, &request));
    }
    let mut order = Vec::new();
    for step in 0..100 {
        let ends = ends(&mut queue, START + STEP * step, OVERLOADED);
        order.extend(ends.iter().map(|(id, _)| *id));
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_newcomer_that_the_level_admits_cedes_its_place_unless_it_has_less_time_left() {
    let mut queue = queue_under_load();
    assert!(waits(&mut queue, START, &refused(1, START)));
    let newcomer_at = START + STEP;
    assert!(waits(&mut queue, newcomer_at, &admitted(2, newcomer_at)));
    assert_eq!(
        ends(&mut queue, newcomer_at, OVERLOADED),
        [(1, WaitEnd::LetIn)]
    );
    let urgent = EntryRequest {
        deadline: newcomer_at + TARGET / 4,
        ..admitted(3, newcomer_at)
    };
    assert_eq!(queue.offer(newcomer_at, OVERLOADED, &urgent), Offer::LetIn);
}

#[test]
fn a_request_that_was_tried_before_does_not_wait() {
    let mut queue = queue_under_load();
    let retry = EntryRequest {
        is_retry: true,
        ..refused(1, START)
    };
    assert_eq!(queue.offer(START, OVERLOADED, &retry), Offer::Refuse);
}

// Guards against returns that are served late in the room for which first attempts wait.
#[test]
fn a_request_that_was_tried_before_does_not_pass_those_that_wait() {
    let mut queue = queue_under_load();
    let retry = EntryRequest {
        is_retry: true,
        ..admitted(2, START)
    };
    assert_eq!(queue.offer(START, OVERLOADED, &retry), Offer::LetIn);
    assert!(waits(&mut queue, START, &refused(1, START)));
    assert_eq!(queue.offer(START, OVERLOADED, &retry), Offer::Refuse);
    let higher = EntryRequest { rank: 1, ..retry };
    assert_eq!(queue.offer(START, OVERLOADED, &higher), Offer::LetIn);
}

#[test]
fn nothing_waits_until_the_usual_duration_is_known_or_if_it_leaves_no_time() {
    let mut queue = EntryQueue::default();
    queue.offer(START, OVERLOADED, &admitted(1, START));
    assert_eq!(
        queue.offer(START, OVERLOADED, &refused(2, START)),
        Offer::Refuse
    );
    let mut queue = queue_under_load();
    let short = EntryRequest {
        target: Duration::from_millis(90),
        ..refused(1, START)
    };
    assert_eq!(queue.offer(START, OVERLOADED, &short), Offer::Refuse);
}

#[test]
fn a_request_whose_caller_leaves_is_never_let_in() {
    let mut queue = queue_under_load();
    assert!(waits(&mut queue, START, &refused(1, START)));
    assert!(queue.cancel(1));
    assert!(!queue.cancel(1));
    assert!(queue.is_empty());
    assert_eq!(ends(&mut queue, START + TARGET, OVERLOADED), []);
}

#[test]
fn a_stop_ends_all_waits() {
    let mut queue = queue_under_load();
    for id in 0..3 {
        assert!(waits(&mut queue, START, &refused(id, START)));
    }
    let mut ends = Vec::new();
    queue.drain(|id, end| ends.push((id, end)));
    assert_eq!(ends, [0, 1, 2].map(|id| (id, WaitEnd::Stopped)));
    assert!(queue.is_empty());
}

/// Guards against a refusal only when the target has passed, though the level told it before.
#[test]
fn when_the_level_rises_those_that_are_no_longer_in_time_are_refused_long_before() {
    let mut queue = queue_under_load();
    let arrival_at = |id| START + Duration::from_millis(10) * id as u32;
    let held = (0..100).filter(|id| {
        let now = arrival_at(*id);
        waits(&mut queue, now, &refused(*id, now))
    });
    assert!(held.count() > 20);
    let risen_at = arrival_at(100);
    let highest = LevelInForce {
        level: LEVEL_STEPS * 3,
        rank_count: 2,
        lowest_bucket: 0,
    };
    let mut late = 0;
    // Within half of the target.
    for step in 1..=200 {
        let ends = ends(&mut queue, risen_at + STEP * step, highest);
        late += ends
            .iter()
            .filter(|(_, end)| *end == WaitEnd::TooLate)
            .count();
    }
    assert!(late >= 5, "{late}");
    assert!(!queue.is_empty(), "the first ones are still in time");
}

/// Guards against refusals of those that wait because nobody else arrives any more.
#[test]
fn when_arrivals_end_those_that_wait_are_let_in() {
    let mut queue = queue_under_load();
    let arrival_at = |id| START + Duration::from_millis(10) * id as u32;
    let held = (0..250).filter(|id| {
        let now = arrival_at(*id);
        let patient = EntryRequest {
            target: TARGET * 10,
            deadline: now + TARGET * 10,
            ..refused(*id, now)
        };
        waits(&mut queue, now, &patient)
    });
    let held = held.count();
    let mut let_in = 0;
    for step in 0..4_000 {
        let now = arrival_at(250) + STEP * step;
        // The level of an entry without answers falls to zero after a while.
        let level = LevelInForce {
            level: if step < 400 { OVERLOADED.level } else { 0 },
            ..OVERLOADED
        };
        let ends = ends(&mut queue, now, level);
        let_in += ends
            .iter()
            .filter(|(_, end)| *end == WaitEnd::LetIn)
            .count();
    }
    assert_eq!(let_in, held);
}

#[test]
fn the_number_that_waits_is_bounded() {
    let mut queue = EntryQueue::default();
    let day = Duration::from_secs(86_400);
    for id in 0..10_000 {
        let now = START + Duration::from_micros(100) * id;
        let patient = EntryRequest {
            target: day,
            deadline: now + day,
            is_refused: id > 100,
            ..refused(id.into(), now)
        };
        queue.offer(now, OVERLOADED, &patient);
        queue.record_duration(Duration::from_millis(100));
    }
    assert!((100..=256).contains(&queue.len()), "{}", queue.len());
}

/// Guards against rates that are no numbers, and against requests let in without any time passing.
#[test]
fn a_clock_that_stands_still_or_goes_back_lets_nothing_in_and_loses_nothing() {
    let mut queue = queue_under_load();
    let held = (0..1_000).filter(|id| waits(&mut queue, START, &refused(*id, START)));
    let held = held.count();
    let mut ended = 0;
    for _ in 0..1_000 {
        ended += ends(&mut queue, START, OVERLOADED).len();
        ended += ends(&mut queue, START - STEP, OVERLOADED).len();
    }
    assert!(ended <= 2, "{ended} of {held}");
    assert_eq!(queue.len(), held - ended);
    let all = (0..4_000).map(|step| ends(&mut queue, START + STEP * step, OVERLOADED).len());
    assert_eq!(ended + all.sum::<usize>(), held);
}

/// Plays 100 arrivals a second for 10 s under alternating levels, then returns the expected wait of the last of 40.
fn expected_wait_under(levels: [u16; 2], in_force: LevelInForce) -> Duration {
    let mut queue = EntryQueue::default();
    let mut now = Duration::ZERO;
    for id in 0..1_000 {
        now += Duration::from_millis(10);
        let level = levels[id as usize % 2];
        let in_force = LevelInForce { level, ..in_force };
        // Nothing waits as long as the usual duration isn't known.
        let request = EntryRequest {
            may_wait: id % 4 < 2,
            ..refused(id, now)
        };
        assert_eq!(queue.offer(now, in_force, &request), Offer::Refuse);
        queue.release(now, in_force, |_, _| {});
    }
    for _ in 0..8 {
        queue.record_duration(Duration::from_millis(10));
    }
    let mut last = Duration::ZERO;
    for id in 1_000..1_040 {
        let request = EntryRequest {
            target: Duration::from_secs(60),
            deadline: now + Duration::from_secs(60),
            ..refused(id, now)
        };
        match queue.offer(now, in_force, &request) {
            Offer::Wait(expected_wait) => last = expected_wait,
            other => panic!("{other:?}"),
        }
    }
    last
}

/// Guards against a known room that sinks wherever instances tell different levels.
#[test]
fn levels_that_alternate_give_the_room_of_their_mean() {
    let steady = expected_wait_under([OVERLOADED.level; 2], OVERLOADED);
    for difference in [7, 40] {
        let levels = [OVERLOADED.level - difference, OVERLOADED.level + difference];
        let alternating = expected_wait_under(levels, OVERLOADED);
        let ratio = alternating.as_secs_f64() / steady.as_secs_f64();
        assert!((0.9..1.1).contains(&ratio), "{difference}: {ratio}");
    }
}

/// Guards against a room of kinds at most once that is reckoned from all buckets, though theirs are the upper half.
#[test]
fn the_room_of_a_kind_follows_from_the_shedding_buckets_of_its_requests() {
    let in_force = LevelInForce {
        level: LEVEL_STEPS * 3 / 4,
        rank_count: 2,
        lowest_bucket: bucket_for_at_most_once(0),
    };
    let admitted_buckets = (0..=255).filter(|bucket| {
        let bucket = bucket_for_at_most_once(*bucket);
        !refuses(in_force.level, 0, in_force.rank_count, bucket)
    });
    let admitted_fraction = admitted_buckets.count() as f64 / 256.0;
    let expected_wait = expected_wait_under([in_force.level; 2], in_force);
    let expected_rate = 40.0 / expected_wait.as_secs_f64();
    let ratio = expected_rate / (100.0 * admitted_fraction);
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
}

/// Guards against requests that take room without being counted, because they may not wait.
#[test]
fn requests_that_may_not_wait_count_as_arrivals_and_take_room() {
    let may_not_wait = |request| EntryRequest {
        may_wait: false,
        ..request
    };
    let mut queue = queue_under_load();
    let late = may_not_wait(refused(1, START));
    assert_eq!(queue.offer(START, OVERLOADED, &late), Offer::Refuse);
    assert!(waits(&mut queue, START, &refused(2, START)));
    assert_eq!(
        queue.offer(START, OVERLOADED, &may_not_wait(admitted(3, START))),
        Offer::LetIn
    );
    assert_eq!(queue.len(), 1, "it doesn't cede its place");
    let wait_after = |taken: u64| {
        let mut queue = queue_under_load();
        let now = START + Duration::from_millis(500);
        for id in 0..taken {
            queue.offer(now, OVERLOADED, &may_not_wait(admitted(id, now)));
        }
        ends(&mut queue, now, OVERLOADED);
        match queue.offer(now, OVERLOADED, &refused(100, now)) {
            Offer::Wait(expected_wait) => expected_wait,
            other => panic!("{other:?}"),
        }
    };
    assert!(wait_after(10) > wait_after(0), "they take no room");
}
