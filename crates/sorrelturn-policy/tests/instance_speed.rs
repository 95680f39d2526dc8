//! Calls go where they are answered soonest while instances differ in speed and turn slow for moments.

use proptest::prelude::*;
use sorrelturn_policy::*;
use sorrelturn_protocol::Incarnation;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const SLOTS: u32 = 8;
const WORK_MS: f64 = 100.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How the load answers the question which instance gets a call.
#[derive(Clone, Copy, PartialEq)]
enum Routing {
    RoundRobin,
    /// The load alone.
    Slots,
    /// The lowest reported work time of two.
    Figure,
    Expected,
}

/// What an instance does and says at a time: the factor of its work time, and the figure that it reports.
type Behaviour = fn(instance: usize, at_ms: u64) -> (f64, Option<u32>);

struct Load {
    instances: usize,
    forwarders: usize,
    gap_ms: f64,
    end_ms: u64,
    behaviour: Behaviour,
    /// When the last instance joins.
    join_ms: u64,
}

struct Done {
    instance: usize,
    sent_ms: u64,
    took_ms: u64,
}

/// Plays calls of several forwarders to instances with slots, queues and the product's own structs.
fn play(load: &Load, routing: Routing) -> Vec<Done> {
    let mut rng = fastrand::Rng::with_seed(7);
    let new = |id| Instance::new(Incarnation(id as u64), true, Duration::ZERO, Duration::ZERO);
    let table = || (0..load.instances).map(new).collect::<Vec<_>>();
    let tables: Vec<Vec<Instance>> = (0..load.forwarders).map(|_| table()).collect();
    let mut times = vec![WorkTimes::default(); load.instances];
    let mut running = vec![0u32; load.instances];
    let mut queues = vec![std::collections::VecDeque::new(); load.instances];
    let mut ends = BinaryHeap::new();
    let (mut done, mut next_ms, mut sent) = (Vec::new(), 0.0, 0usize);
    for now_ms in 0..load.end_ms {
        let now = ms(now_ms);
        let known = load.instances - usize::from(now_ms < load.join_ms);
        let start = |at: usize, call: (usize, u64), rng: &mut fastrand::Rng| {
            let factor = (load.behaviour)(at, now_ms).0;
            let work = WORK_MS * factor * (0.8 + 0.4 * rng.f64());
            Reverse((now_ms + work as u64, at, call, now_ms))
        };
        while let Some(&Reverse((end, at, (by, sent_ms), started_ms))) = ends.peek()
            && end <= now_ms
        {
            ends.pop();
            let figure_at = |at_ms| (load.behaviour)(at, at_ms).1;
            if let Some(percent) = figure_at(now_ms) {
                times[at].report(now, percent);
            }
            let request = AnsweredRequest {
                kind: 1,
                duration: ms(now_ms - started_ms),
                percent_when_sent: figure_at(started_ms),
            };
            times[at].finished(now, &request);
            match queues[at].pop_front() {
                Some(call) => ends.push(start(at, call, &mut rng)),
                None => running[at] -= 1,
            }
            let percent = (running[at] + queues[at].len() as u32) * 100 / SLOTS;
            let answer = InstanceReport::Answered {
                load: percent as u16,
            };
            tables[by][at].finished(now, answer);
            if routing == Routing::Expected {
                let expected = times[at].expected(now, running[at], queues[at].len(), SLOTS);
                let expected_ms = expected.map_or(0, |expected| expected.as_millis() as u32);
                tables[by][at].record_expected(now, expected_ms);
            }
            let took_ms = now_ms - sent_ms;
            done.push(Done {
                instance: at,
                sent_ms,
                took_ms,
            });
        }
        while next_ms <= now_ms as f64 {
            next_ms += load.gap_ms;
            sent += 1;
            let by = rng.usize(..load.forwarders);
            let at = match routing {
                Routing::RoundRobin => sent % known,
                Routing::Figure => {
                    let figure = |at: &usize| times[*at].reported(now).unwrap_or(100);
                    let pair = [rng.usize(..known), rng.usize(..known)];
                    pair.into_iter().min_by_key(figure).expect("two")
                }
                _ => choose(tables[by][..known].iter(), now, &[], &mut rng).expect("one"),
            };
            tables[by][at].started();
            if running[at] < SLOTS {
                running[at] += 1;
                ends.push(start(at, (by, now_ms), &mut rng));
            } else {
                queues[at].push_back((by, now_ms));
            }
        }
    }
    done
}

fn share(done: &[Done], instance: usize, range_ms: std::ops::Range<u64>) -> f64 {
    let sent = done.iter().filter(|done| range_ms.contains(&done.sent_ms));
    let (own, all) = sent.fold((0, 0), |(own, all), done| {
        (own + usize::from(done.instance == instance), all + 1)
    });
    own as f64 / f64::from(all)
}

/// The mean time of the slowest tenth, after a time to learn.
fn slowest_tenth_ms(done: &[Done]) -> u64 {
    let settled = done.iter().filter(|done| done.sent_ms >= 2_000);
    let mut took: Vec<u64> = settled.map(|done| done.took_ms).collect();
    took.sort_unstable();
    let slowest = &took[took.len() * 9 / 10..];
    slowest.iter().sum::<u64>() / slowest.len() as u64
}

fn own_speed(instance: usize) -> f64 {
    0.5 + 1.1 * (instance % 8) as f64 / 7.0
}

/// Whether an instance shares its VM with others now: 600 ms at a time, 15 in 100 of the time.
fn is_disturbed(instance: usize, at_ms: u64) -> bool {
    let block = at_ms / 600;
    fastrand::Rng::with_seed(block * 1_000 + instance as u64).u32(..100) < 15
}

fn uneven(instance: usize, at_ms: u64) -> (f64, Option<u32>) {
    let disturbance = if is_disturbed(instance, at_ms) {
        2.5
    } else {
        1.0
    };
    let figure = (disturbance * 100.0) as u32;
    (own_speed(instance) * disturbance, Some(figure))
}

fn uneven_load() -> Load {
    Load {
        instances: 8,
        forwarders: 6,
        gap_ms: 2.6,
        end_ms: 20_000,
        behaviour: uneven,
        join_ms: 0,
    }
}

// Guards against calls that miss their deadline at an instance that is slow just now.
#[test]
fn the_slowest_tenth_is_faster_than_by_turns_by_load_and_by_the_figure_alone() {
    // With many forwarding daemons, each hears from an instance less than once a second.
    for forwarders in [6, 64] {
        let load = Load {
            forwarders,
            ..uneven_load()
        };
        let took = |routing| slowest_tenth_ms(&play(&load, routing));
        let expected = took(Routing::Expected);
        for other in [Routing::RoundRobin, Routing::Slots, Routing::Figure] {
            let other = took(other);
            assert!(expected < other, "{expected} ms, {other} ms");
        }
    }
}

// Guards against a fast instance that all forwarders choose at once and flood.
#[test]
fn no_instance_is_flooded_while_the_figure_changes_many_times_a_second() {
    let restless = |instance: usize, at_ms: u64| {
        let seed = at_ms / 50 * 1_000 + instance as u64;
        let factor = 0.5 + fastrand::Rng::with_seed(seed).f64();
        (factor, Some((factor * 100.0) as u32))
    };
    let load = Load {
        behaviour: restless,
        gap_ms: 3.0,
        ..uneven_load()
    };
    let busiest_to_mean = |routing| {
        let done = play(&load, routing);
        let busiest_from = |start_ms| {
            let share_of = |instance| share(&done, instance, start_ms..start_ms + 100);
            (0..load.instances).map(share_of).fold(0.0, f64::max) * load.instances as f64
        };
        let starts = (2_000..19_000).step_by(100).map(busiest_from);
        starts.clone().sum::<f64>() / starts.count() as f64
    };
    let by_expected = busiest_to_mean(Routing::Expected);
    let by_figure = busiest_to_mean(Routing::Figure);
    assert!(by_expected < 2.0, "{by_expected}");
    assert!(by_expected < by_figure, "{by_expected}, {by_figure}");
}

/// Instance 0 is slow for 2 s out of 5.
fn slow_at_times(instance: usize, at_ms: u64) -> (f64, Option<u32>) {
    let is_slow = instance == 0 && at_ms % 5_000 >= 3_000;
    if is_slow {
        (4.0, Some(400))
    } else {
        (1.0, Some(100))
    }
}

/// The share of instance 0 in this range of all periods of [`slow_at_times`] but the first.
fn share_in_periods(done: &[Done], range_ms: std::ops::Range<u64>) -> f64 {
    let in_range =
        |done: &&Done| done.sent_ms > 5_000 && range_ms.contains(&(done.sent_ms % 5_000));
    let (own, all) = done
        .iter()
        .filter(in_range)
        .fold((0, 0), |(own, all), done| {
            (own + u32::from(done.instance == 0), all + 1)
        });
    f64::from(own) / f64::from(all)
}

// Guards against calls that go on to an instance that has turned slow, and against one that is avoided for good.
#[test]
fn an_instance_that_turns_slow_loses_its_share_and_has_it_back_after_its_recovery() {
    let load = Load {
        behaviour: slow_at_times,
        end_ms: 100_000,
        ..uneven_load()
    };
    let fair = 1.0 / load.instances as f64;
    let done = play(&load, Routing::Expected);
    let at_first = share_in_periods(&done, 3_100..3_400);
    let while_slow = share_in_periods(&done, 3_300..5_000);
    let after = share_in_periods(&done, 1_000..3_000);
    let by_load = share_in_periods(&play(&load, Routing::Slots), 3_100..3_400);
    assert!(at_first < by_load * 0.75, "{at_first}, {by_load}");
    assert!(while_slow < fair * 0.4, "{while_slow}");
    assert!(after > fair * 0.9, "{after}");
}

// Guards against a figure that misleads: instance 0 is fast and 7 is slow whatever the figure says.
#[test]
fn a_frozen_absurd_or_absent_figure_falls_back_to_what_durations_say() {
    let frozen = |instance: usize, _: u64| (own_speed(instance), Some(100));
    let opposite = |instance: usize, _: u64| {
        let figure = if instance < 4 { 10_000 } else { 10 };
        (own_speed(instance), Some(figure))
    };
    let random = |instance: usize, at_ms: u64| {
        let mut rng = fastrand::Rng::with_seed(at_ms / 20 * 1_000 + instance as u64);
        (own_speed(instance), Some(rng.u32(10..1_000)))
    };
    let absent_later =
        |instance: usize, at_ms: u64| (own_speed(instance), (at_ms < 1_000).then_some(100));
    let figures: [(&str, Behaviour); 4] = [
        ("frozen", frozen),
        ("opposite", opposite),
        ("random", random),
        ("absent later", absent_later),
    ];
    for (name, behaviour) in figures {
        let load = Load {
            behaviour,
            ..uneven_load()
        };
        let expected = slowest_tenth_ms(&play(&load, Routing::Expected));
        let by_load = slowest_tenth_ms(&play(&load, Routing::Slots));
        assert!(expected <= by_load, "{name}: {expected} ms, {by_load} ms");
    }
}

fn expected_ms(times: &WorkTimes, now: Duration) -> u128 {
    let expected = times.expected(now, 0, 0, SLOTS);
    expected.map_or(0, |expected| expected.as_millis())
}

fn finish(times: &mut WorkTimes, now: Duration, took_ms: u64) {
    let request = AnsweredRequest {
        kind: 1,
        duration: ms(took_ms),
        percent_when_sent: times.reported(now),
    };
    times.finished(now, &request);
}

// Guards against a figure that outweighs what requests really take.
#[test]
fn durations_win_over_a_figure_that_says_otherwise() {
    let mut times = WorkTimes::default();
    for at in 0..100 {
        times.report(ms(at * 10), 100);
        finish(&mut times, ms(at * 10), 100);
    }
    for at in 100..150 {
        times.report(ms(at * 10), 100);
        finish(&mut times, ms(at * 10), 200);
    }
    assert!(expected_ms(&times, ms(1_500)) > 180);
    times.report(ms(1_500), 10_000);
    assert!(expected_ms(&times, ms(1_500)) <= 800);
    times.report(ms(1_500), 10);
    assert!(expected_ms(&times, ms(1_500)) >= 45);
}

#[test]
fn a_report_scales_the_mean_at_once_and_ages() {
    let mut times = WorkTimes::default();
    times.report(ms(0), 100);
    finish(&mut times, ms(0), 100);
    times.report(ms(10), 250);
    assert_eq!(expected_ms(&times, ms(10)), 250);
    assert_eq!(expected_ms(&times, ms(1_000)), 100);
    times.reset();
    assert_eq!(times.expected(ms(1_000), 0, 0, SLOTS), None);
}

// Guards against a change of routing where no backend server reports its work time.
#[test]
fn nothing_is_expected_of_a_backend_server_that_reports_no_work_times() {
    let mut times = WorkTimes::default();
    finish(&mut times, ms(0), 100);
    assert_eq!(times.expected(ms(0), 100, 100, SLOTS), None);
}

#[test]
fn a_queue_and_a_timeout_raise_the_expected_time() {
    let mut times = WorkTimes::default();
    times.report(ms(0), 100);
    finish(&mut times, ms(0), 100);
    let queued = times.expected(ms(0), SLOTS, SLOTS as usize, SLOTS);
    assert!(queued > Some(ms(200)), "{queued:?}");
    let late = AnsweredRequest {
        kind: 1,
        duration: ms(1_000),
        percent_when_sent: None,
    };
    times.timed_out(ms(10), &late);
    assert!(expected_ms(&times, ms(10)) > 140);
}

// Guards against an instance that joins and is neither tried nor left alone.
#[test]
fn an_instance_that_joins_gets_its_share() {
    let load = Load {
        join_ms: 5_000,
        behaviour: |_, _| (1.0, Some(100)),
        ..uneven_load()
    };
    let done = play(&load, Routing::Expected);
    let joined = share(&done, load.instances - 1, 5_500..7_000) * load.instances as f64;
    assert!((0.7..1.5).contains(&joined), "{joined}");
}

fn table_without_expected_times() -> Vec<Instance> {
    let new = |at: u64| {
        let cold_start = ms(if at.is_multiple_of(5) { 3_000 } else { 0 });
        let instance = Instance::new(Incarnation(at), at < 4, cold_start, Duration::ZERO);
        let load = (at * 37 % 150) as u16;
        for report in [
            InstanceReport::BackendError,
            InstanceReport::Answered { load },
        ] {
            instance.started();
            instance.finished(ms(900 + 20 * at), report);
        }
        instance
    };
    (0..10).map(new).collect()
}

fn digest_of_choices(table: &[Instance]) -> u64 {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut digest = 0u64;
    for call in 0..2_000 {
        let tried = [Incarnation(call % 10)];
        let at = choose(table.iter(), ms(1_100 + call), &tried, &mut rng);
        digest = digest
            .wrapping_mul(31)
            .wrapping_add(at.expect("one of nine") as u64);
    }
    digest
}

// Guards against a change of routing where no backend server reports its work time. The digest is that of routing by
// load alone.
#[test]
fn without_expected_times_every_choice_is_by_load_with_the_same_random_numbers() {
    let digest_by_load = 5_206_657_558_869_340_019;
    let table = table_without_expected_times();
    assert_eq!(digest_of_choices(&table), digest_by_load);
    for instance in &table {
        instance.record_expected(ms(1_000), instance.incarnation.0 as u32 * 40 + 1);
    }
    assert_ne!(digest_of_choices(&table), digest_by_load);
    for instance in &table {
        instance.record_expected(ms(1_050), 0);
    }
    assert_eq!(digest_of_choices(&table), digest_by_load);
}

proptest! {
    #[test]
    fn an_instance_that_leaves_or_is_excluded_is_never_chosen(
        states in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>(), 0u32..100_000, 0u16..300), 1..12),
        age in 0u64..6_000,
        seed: u64,
    ) {
        let mut excluded = Vec::new();
        let mut instances = Vec::new();
        for (at, (near, leaves, is_excluded, expected_ms, load)) in states.iter().enumerate() {
            let id = Incarnation(at as u64);
            let instance = Instance::new(id, *near, Duration::ZERO, Duration::ZERO);
            instance.started();
            instance.finished(ms(10), InstanceReport::Answered { load: *load });
            instance.record_expected(ms(10), *expected_ms);
            if *leaves {
                instance.started();
                instance.finished(ms(10), InstanceReport::Leaving);
            }
            if *is_excluded {
                excluded.push(id);
            }
            instances.push(instance);
        }
        let is_available = |at: usize| !states[at].1 && !states[at].2;
        let mut rng = fastrand::Rng::with_seed(seed);
        let chosen = choose(instances.iter(), ms(10 + age), &excluded, &mut rng);
        prop_assert_eq!(chosen.is_some(), (0..states.len()).any(is_available));
        prop_assert!(chosen.is_none_or(is_available));
    }
}

// Guards against an instance that looks fast because its last requests were of a short kind.
#[test]
fn the_mixture_of_the_last_requests_does_not_change_the_expected_time() {
    let mut times = WorkTimes::default();
    let add = |times: &mut WorkTimes, at_ms: u64, kind: u64| {
        times.report(ms(at_ms), 100);
        let request = AnsweredRequest {
            kind,
            duration: ms(if kind == 1 { 20 } else { 200 }),
            percent_when_sent: Some(100),
        };
        times.finished(ms(at_ms), &request);
    };
    for at in 0..2_000 {
        add(&mut times, at, at % 2);
    }
    let mixed = expected_ms(&times, ms(2_000));
    for at in 2_000..2_020 {
        add(&mut times, at, 1);
    }
    let after_short_ones = expected_ms(&times, ms(2_020));
    assert!((100..120).contains(&mixed), "{mixed}");
    assert!(
        after_short_ones > mixed * 9 / 10,
        "{after_short_ones}, {mixed}"
    );
    // One mean over all requests would lie near 20 ms by now.
}

#[test]
fn kinds_beyond_the_bound_replace_the_rarest() {
    let mut times = WorkTimes::default();
    times.report(ms(0), 100);
    for at in 0..10_000 {
        let kind = if at % 2 == 0 { 0 } else { at };
        let request = AnsweredRequest {
            kind,
            duration: ms(100),
            percent_when_sent: None,
        };
        times.finished(ms(at), &request);
    }
    assert_eq!(expected_ms(&times, ms(10_000)), 100);
}
