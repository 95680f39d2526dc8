//! Guards against two executions with one token, after delays, duplicates or restarts.

use proptest::prelude::*;
use sorrelturn_once::*;
use sorrelturn_protocol::{ExecutionToken, Incarnation, Verdict};
use std::time::Duration;

const TTL: Duration = Duration::from_secs(60);
const FINGERPRINT: Fingerprint = Fingerprint(1);

fn ledger(owner: u64, capacity: usize) -> Ledger {
    let cfg = LedgerConfig {
        ttl: TTL,
        capacity,
        max_retained_bytes: 1_000_000,
    };
    Ledger::new(Incarnation(owner), cfg, [owner as u8; 32])
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn outcome(status: u16) -> Outcome {
    Outcome {
        verdict: Verdict::Ran,
        status,
        content_type: None,
        body: Some(b"seal 7".to_vec()),
    }
}

#[test]
fn a_repeat_gets_the_first_answer_and_runs_nothing() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut ledger = ledger(1, 10);
    let token = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(
        ledger.begin(ms(1), &token, FINGERPRINT),
        BeginResult::MayRun
    );
    assert_eq!(
        ledger.begin(ms(2), &token, FINGERPRINT),
        BeginResult::InProgress
    );
    ledger.end(&token, outcome(201));
    assert_eq!(
        ledger.begin(ms(3), &token, FINGERPRINT),
        BeginResult::Recorded(outcome(201))
    );
}

#[test]
fn a_delayed_copy_of_a_refused_request_stays_refused() {
    let mut rng = fastrand::Rng::with_seed(2);
    let mut ledger = ledger(1, 10);
    let token = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(
        ledger.begin(ms(1), &token, FINGERPRINT),
        BeginResult::MayRun
    );
    ledger.refuse(&token);
    assert_eq!(
        ledger.begin(ms(2), &token, FINGERPRINT),
        BeginResult::Refused
    );
}

#[test]
fn a_token_of_another_incarnation_of_the_same_instance_never_runs() {
    let mut rng = fastrand::Rng::with_seed(3);
    let token = ledger(1, 10)
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(
        ledger(2, 10).begin(ms(1), &token, FINGERPRINT),
        BeginResult::InvalidToken
    );
}

#[test]
fn a_forged_token_or_one_used_for_another_request_is_rejected() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut ledger = ledger(1, 10);
    let token = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    let forged = ExecutionToken {
        nonce: token.nonce ^ 1 << 80,
        ..token
    };
    let with_changed_issue_time = ExecutionToken {
        issued_ms: 50,
        ..token
    };
    assert_eq!(
        ledger.begin(ms(1), &forged, FINGERPRINT),
        BeginResult::InvalidToken
    );
    assert_eq!(
        ledger.begin(ms(1), &with_changed_issue_time, FINGERPRINT),
        BeginResult::InvalidToken
    );
    assert_eq!(
        ledger.begin(ms(1), &token, FINGERPRINT),
        BeginResult::MayRun
    );
    assert_eq!(
        ledger.begin(ms(2), &token, Fingerprint(2)),
        BeginResult::InvalidToken
    );
}

#[test]
fn an_expired_token_does_not_run_again() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut ledger = ledger(1, 10);
    let token = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(
        ledger.begin(ms(1), &token, FINGERPRINT),
        BeginResult::MayRun
    );
    ledger.end(&token, outcome(200));
    ledger.evict_expired(TTL);
    assert_eq!(ledger.begin(TTL, &token, FINGERPRINT), BeginResult::Expired);
}

#[test]
fn a_request_that_still_runs_doesnt_keep_the_outcomes_of_later_tokens() {
    let mut rng = fastrand::Rng::with_seed(6);
    let mut ledger = ledger(1, 10);
    let mut issue = |at| {
        let token = ledger.issue(ms(at), &mut rng);
        let token = token.expect("a token below the capacity limit");
        assert_eq!(
            ledger.begin(ms(at), &token, FINGERPRINT),
            BeginResult::MayRun
        );
        token
    };
    let (running, later) = (issue(0), issue(1));
    ledger.end(&later, outcome(200));
    ledger.evict_expired(TTL + ms(1));
    assert_eq!(ledger.retained_bytes(), 0);
    let repeat = ledger.begin(TTL + ms(1), &running, FINGERPRINT);
    assert_eq!(repeat, BeginResult::InProgress);
}

#[test]
fn at_the_limit_new_tokens_are_refused_and_none_evicted() {
    let mut rng = fastrand::Rng::with_seed(6);
    let mut ledger = ledger(1, 2);
    let first = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    let second = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(ledger.issue(ms(1), &mut rng), None);
    assert_eq!(
        ledger.begin(ms(1), &first, FINGERPRINT),
        BeginResult::MayRun
    );
    assert_eq!(
        ledger.begin(ms(1), &second, FINGERPRINT),
        BeginResult::MayRun
    );
    assert!(ledger.issue(TTL, &mut rng).is_some());
    assert_eq!(
        ledger.begin(TTL, &first, FINGERPRINT),
        BeginResult::InProgress
    );
}

#[test]
fn retained_bodies_stay_within_their_limit_and_outcomes_without_bodies_are_still_recorded() {
    let mut rng = fastrand::Rng::with_seed(13);
    let mut ledger = ledger(1, 1_000);
    let large = Outcome {
        body: Some(vec![0; 60_000]),
        ..outcome(200)
    };
    let tokens: Vec<_> = (0..30)
        .map(|_| {
            let token = ledger
                .issue(ms(0), &mut rng)
                .expect("a token below the capacity limit");
            assert_eq!(
                ledger.begin(ms(1), &token, FINGERPRINT),
                BeginResult::MayRun
            );
            ledger.end(&token, large.clone());
            token
        })
        .collect();
    assert!(ledger.retained_bytes() <= 1_000_000);
    let has_body = |begin| matches!(begin, BeginResult::Recorded(Outcome { body: Some(_), .. }));
    let results: Vec<BeginResult> = tokens
        .iter()
        .map(|token| ledger.begin(ms(2), token, FINGERPRINT))
        .collect();
    assert!(
        results
            .iter()
            .all(|begin| matches!(begin, BeginResult::Recorded(_)))
    );
    assert_eq!(
        results
            .into_iter()
            .filter(|begin| has_body(begin.clone()))
            .count(),
        16
    );
    ledger.evict_expired(TTL);
    assert_eq!(ledger.retained_bytes(), 0);
}

#[test]
fn only_a_closing_record_makes_a_token_without_a_recorded_outcome_not_run() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut ledger = ledger(1, 10);
    let used = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    let unused = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(ledger.begin(ms(1), &used, FINGERPRINT), BeginResult::MayRun);
    ledger.end(&used, outcome(200));
    assert_eq!(ledger.closing_record(), None);
    let segments_before_close = ledger.take_unsaved();
    let verdict = |token, closing_record| {
        verdict_of_lost_owner(token, closing_record, segments_before_close.first())
    };
    assert_eq!(verdict(&used, None), Verdict::Ran);
    assert_eq!(verdict(&unused, None), Verdict::MayHaveRun);

    ledger.close();
    assert_eq!(
        ledger.begin(ms(2), &unused, FINGERPRINT),
        BeginResult::Closed
    );
    let closing_record = ledger.closing_record().expect("all segments are taken");
    assert_eq!(verdict(&unused, Some(&closing_record)), Verdict::NotRun);
    assert_eq!(verdict(&used, Some(&closing_record)), Verdict::Ran);
    assert_eq!(ledger.take_unsaved(), []);
}

#[test]
fn there_is_no_closing_record_while_something_runs_or_is_unsaved() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut ledger = ledger(1, 10);
    let token = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(
        ledger.begin(ms(1), &token, FINGERPRINT),
        BeginResult::MayRun
    );
    ledger.close();
    assert_eq!(ledger.closing_record(), None);
    ledger.end(&token, outcome(200));
    assert_eq!(ledger.closing_record(), None);
    let unsaved = ledger.take_unsaved();
    ledger.mark_unsaved(unsaved[0].number);
    assert_eq!(ledger.closing_record(), None);
    assert_eq!(ledger.take_unsaved(), unsaved);
    assert!(ledger.closing_record().is_some());
}

#[test]
fn tokens_of_deleted_segments_may_have_run() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut ledger = ledger(1, 10);
    let expired = ledger
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    assert_eq!(
        ledger.begin(ms(0), &expired, FINGERPRINT),
        BeginResult::MayRun
    );
    ledger.end(&expired, outcome(200));
    // The last token of the first segment expires one segment duration plus one TTL after the segment's start.
    let deleted = SEGMENT_DURATION + TTL;
    assert!(ledger.remove_expired_segments(deleted - ms(1)).is_empty());
    assert_eq!(ledger.remove_expired_segments(deleted), vec![0_u64]);
    let newer = ledger
        .issue(deleted, &mut rng)
        .expect("a token below the capacity limit");
    ledger.close();
    assert_eq!(ledger.take_unsaved(), []);
    let closing_record = ledger.closing_record().expect("no segment is unsaved");
    let verdict = |token| verdict_of_lost_owner(token, Some(&closing_record), None);
    assert_eq!(verdict(&expired), Verdict::MayHaveRun);
    assert_eq!(verdict(&newer), Verdict::NotRun);
}

#[test]
fn bytes_written_grow_with_the_rate_of_outcomes_and_not_with_their_number() {
    // The load and write interval of one daemon in a large fleet, see docs/CAPACITY.md.
    const OUTCOMES_PER_SECOND: u64 = 28;
    const WRITE_INTERVAL_S: u64 = 54;
    const MAX_BYTES_PER_SECOND: usize = 3_000;
    let mut rng = fastrand::Rng::with_seed(12);
    let cfg = LedgerConfig {
        ttl: Duration::from_secs(600),
        capacity: 20_000,
        max_retained_bytes: 0,
    };
    let mut ledger = Ledger::new(Incarnation(1), cfg, [1; 32]);
    let mut written = Vec::new();
    for second in 0..3_600 {
        let now = Duration::from_secs(second);
        for _ in 0..OUTCOMES_PER_SECOND {
            let token = ledger
                .issue(now, &mut rng)
                .expect("a token below the capacity limit");
            assert_eq!(ledger.begin(now, &token, FINGERPRINT), BeginResult::MayRun);
            ledger.end(&token, outcome(200));
        }
        if second % WRITE_INTERVAL_S == 0 {
            let segments = ledger.take_unsaved();
            let bytes = segments.iter().map(|segment| {
                serde_json::to_string(segment)
                    .expect("the segment serializes")
                    .len()
            });
            written.push(bytes.sum::<usize>() / WRITE_INTERVAL_S as usize);
            ledger.remove_expired_segments(now);
        }
    }
    let max_bytes_per_second = written.iter().max().expect("at least one write");
    assert!(
        *max_bytes_per_second < MAX_BYTES_PER_SECOND,
        "{max_bytes_per_second} bytes/s"
    );
    println!("{max_bytes_per_second} bytes/s at most");
}

#[test]
fn a_key_gives_its_token_to_the_request_that_it_was_bound_for_and_no_other() {
    let mut rng = fastrand::Rng::with_seed(10);
    let token = ledger(1, 10)
        .issue(ms(0), &mut rng)
        .expect("a token below the capacity limit");
    let bound = Binding {
        token: token.to_string(),
        fingerprint: 5,
        write_nonce: 1,
    };
    assert_eq!(bound.token_for(Fingerprint(5)), Ok(token));
    assert_eq!(bound.token_for(Fingerprint(6)), Err(BindingError::Mismatch));
    let broken = Binding {
        token: "x".to_owned(),
        ..bound
    };
    assert_eq!(
        broken.token_for(Fingerprint(5)),
        Err(BindingError::Unreadable)
    );
}

#[test]
fn a_repeated_nested_call_carries_the_token_of_the_first() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut owner = ledger(1, 10);
    let mut issue = || {
        owner
            .issue(ms(0), &mut rng)
            .expect("a token below the capacity limit")
    };
    let (first, second) = (issue(), issue());
    let mut nested = NestedTokens::default();
    let key = CallKey("POST /bookings/3".to_owned());
    assert_eq!(nested.get_or_insert(key.clone(), first), first);
    assert_eq!(nested.get_or_insert(key.clone(), second), first);
    nested.remove_refused(&key, &first);
    assert_eq!(nested.get(&key), None);
}

#[derive(Clone, Debug)]
enum Event {
    Issue,
    Deliver(prop::sample::Index),
    End(prop::sample::Index),
    Refuse(prop::sample::Index),
    Restart,
    AdvanceMs(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Issue),
        any::<prop::sample::Index>().prop_map(Event::Deliver),
        any::<prop::sample::Index>().prop_map(Event::Deliver),
        any::<prop::sample::Index>().prop_map(Event::End),
        any::<prop::sample::Index>().prop_map(Event::Refuse),
        Just(Event::Restart),
        (0u64..40_000).prop_map(Event::AdvanceMs),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn in_no_schedule_does_a_token_run_twice(events in prop::collection::vec(event(), 1..80)) {
        let mut rng = fastrand::Rng::with_seed(12);
        let (mut owner, mut owner_started, mut now) = (1, ms(0), ms(0));
        let mut current = ledger(owner, 8);
        let mut tokens = Vec::new();
        let mut run_counts = std::collections::HashMap::new();
        let mut reported_not_run = std::collections::HashSet::new();
        for event in events {
            let owner_now = now - owner_started;
            match event {
                Event::Issue => tokens.extend(current.issue(owner_now, &mut rng)),
                Event::Deliver(index) if !tokens.is_empty() => {
                    let token: ExecutionToken = tokens[index.index(tokens.len())];
                    if current.begin(owner_now, &token, FINGERPRINT) == BeginResult::MayRun {
                        prop_assert!(!reported_not_run.contains(&token), "ran after a refusal");
                        *run_counts.entry(token).or_insert(0) += 1;
                    }
                }
                Event::End(index) if !tokens.is_empty() => {
                    let token = tokens[index.index(tokens.len())];
                    if current.begin(owner_now, &token, FINGERPRINT) == BeginResult::InProgress {
                        current.end(&token, outcome(200));
                    }
                }
                Event::Refuse(index) if !tokens.is_empty() => {
                    let token = tokens[index.index(tokens.len())];
                    if !run_counts.contains_key(&token)
                        && current.begin(owner_now, &token, FINGERPRINT) == BeginResult::MayRun
                    {
                        current.refuse(&token);
                        reported_not_run.insert(token);
                    }
                }
                Event::Restart => {
                    owner += 1;
                    owner_started = now;
                    current = ledger(owner, 8);
                }
                Event::AdvanceMs(elapsed_ms) => now += ms(elapsed_ms),
                _ => {}
            }
            current.evict_expired(now - owner_started);
        }
        prop_assert!(run_counts.values().all(|count| *count == 1));
    }
}
