//! Which backend server stands beside the daemon: late news, replacements and leaving.

use proptest::prelude::*;
use sorrelturn_policy::{Now, Presence, PresenceChange};
use sorrelturn_protocol::{Announcement, BackendState};
use std::time::Duration;

/// When nothing depends on the time.
const NOW: Now = Duration::ZERO;

fn news(id: &str, state: BackendState, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        born: None,
        state,
        sequence,
    }
}

#[test]
fn a_backend_server_that_leaves_never_comes_back_by_late_news() {
    let mut presence = Presence::default();
    assert_eq!(
        presence.receive(NOW, news("a", BackendState::Ready, 1)),
        PresenceChange::NowReady
    );
    assert_eq!(
        presence.receive(NOW, news("a", BackendState::Draining, 4)),
        PresenceChange::NowLeaving
    );
    assert_eq!(
        presence.receive(NOW, news("a", BackendState::Ready, 3)),
        PresenceChange::Outdated
    );
    assert_eq!(
        presence.receive(NOW, news("a", BackendState::Ready, 9)),
        PresenceChange::Outdated
    );
    assert_eq!(presence.serving(), None);
    assert_eq!(
        presence.receive(NOW, news("a", BackendState::Gone, 5)),
        PresenceChange::NoChange
    );
}

#[test]
fn a_new_run_takes_the_place_of_the_old_one_for_good() {
    let mut presence = Presence::default();
    presence.receive(NOW, news("a", BackendState::Ready, 7));
    assert_eq!(
        presence.receive(NOW, news("b", BackendState::Ready, 1)),
        PresenceChange::NowReady
    );
    assert_eq!(
        presence.receive(NOW, news("a", BackendState::Ready, 8)),
        PresenceChange::Outdated
    );
    assert_eq!(presence.serving(), Some("b"));
}

#[test]
fn leaving_counts_even_if_its_news_overtakes_or_is_overtaken() {
    let mut presence = Presence::default();
    presence.receive(NOW, news("a", BackendState::Ready, 9));
    assert_eq!(
        presence.receive(NOW, news("a", BackendState::Draining, 8)),
        PresenceChange::NowLeaving
    );
}

#[test]
fn an_answer_under_another_id_tells_of_a_new_run_once() {
    let mut presence = Presence::default();
    presence.receive(NOW, news("a", BackendState::Ready, 3));
    assert!(presence.record_answer_from(NOW, "b"));
    assert!(!presence.record_answer_from(NOW, "b"));
    assert!(!presence.record_answer_from(NOW, "a"));
    assert_eq!(presence.serving(), Some("b"));
}

/// News of a run that tells when it started.
fn of_run(born: u64, state: BackendState, sequence: u64) -> Announcement {
    Announcement {
        born: Some(born),
        ..news("a", state, sequence)
    }
}

fn at(seconds: u64) -> Now {
    Duration::from_secs(seconds)
}

#[test]
fn a_restart_under_the_same_id_after_a_crash_takes_work_and_counts_anew() {
    let mut presence = Presence::default();
    presence.receive(at(0), of_run(100, BackendState::Ready, 9));
    let heard = presence.receive(at(2), of_run(200, BackendState::Ready, 1));
    assert_eq!(heard, PresenceChange::NowReady);
    let heard = presence.receive(at(4), of_run(200, BackendState::Draining, 2));
    assert_eq!(heard, PresenceChange::NowLeaving);
}

#[test]
fn a_restart_under_the_same_id_after_a_planned_end_takes_work() {
    let mut presence = Presence::default();
    presence.receive(at(0), of_run(100, BackendState::Ready, 3));
    presence.receive(at(1), of_run(100, BackendState::Gone, u64::MAX));
    assert_eq!(presence.serving(), None);
    let heard = presence.receive(at(2), of_run(200, BackendState::Ready, 1));
    assert_eq!(heard, PresenceChange::NowReady);
    assert_eq!(presence.serving(), Some("a"));
}

#[test]
fn news_of_an_earlier_run_never_touches_the_later_one() {
    let mut presence = Presence::default();
    presence.receive(at(0), of_run(100, BackendState::Ready, 3));
    presence.receive(at(1), of_run(200, BackendState::Ready, 1));
    for state in [
        BackendState::Draining,
        BackendState::Gone,
        BackendState::Ready,
    ] {
        let heard = presence.receive(at(2), of_run(100, state, 50));
        assert_eq!(heard, PresenceChange::Outdated);
    }
    assert_eq!(
        presence.current(),
        Some(&of_run(200, BackendState::Ready, 1))
    );
    // The same where the earlier run was never heard of.
    let heard = presence.receive(at(2), of_run(150, BackendState::Draining, 50));
    assert_eq!(heard, PresenceChange::Unconfirmed);
    assert_eq!(presence.serving(), Some("a"));
}

#[test]
fn a_run_after_a_step_back_of_the_clock_is_taken_once_the_known_one_is_silent() {
    let mut presence = Presence::default();
    presence.receive(at(0), of_run(200, BackendState::Ready, 9));
    let early = presence.receive(at(2), of_run(100, BackendState::Ready, 1));
    assert_eq!(early, PresenceChange::Unconfirmed);
    let later = presence.receive(at(5), of_run(100, BackendState::Ready, 3));
    assert_eq!(later, PresenceChange::NowReady);
    let own = presence.receive(at(6), of_run(100, BackendState::Draining, 4));
    assert_eq!(own, PresenceChange::NowLeaving);
}

#[test]
fn a_living_run_that_late_news_had_replaced_is_back_within_seconds() {
    let mut presence = Presence::default();
    presence.receive(at(0), of_run(200, BackendState::Ready, 1));
    // It is frozen, and what was held up of an earlier run comes in.
    presence.receive(at(10), of_run(100, BackendState::Ready, 7));
    for second in 11..14 {
        let heard = presence.receive(at(second), of_run(200, BackendState::Ready, second));
        assert_eq!(heard, PresenceChange::Outdated);
    }
    let heard = presence.receive(at(15), of_run(200, BackendState::Ready, 15));
    assert_eq!(heard, PresenceChange::NowReady);
}

#[test]
fn what_has_left_is_not_brought_back_by_an_earlier_run() {
    let mut presence = Presence::default();
    presence.receive(at(0), of_run(100, BackendState::Ready, 1));
    presence.receive(at(1), of_run(200, BackendState::Ready, 1));
    presence.receive(at(2), of_run(200, BackendState::Draining, 2));
    let heard = presence.receive(at(60), of_run(100, BackendState::Ready, 9));
    assert_eq!(heard, PresenceChange::Outdated);
    assert_eq!(presence.serving(), None);
}

#[test]
fn where_runs_tell_their_start_news_without_one_names_none() {
    let mut presence = Presence::default();
    presence.receive(at(0), of_run(100, BackendState::Ready, 1));
    let heard = presence.receive(at(1), news("a", BackendState::Gone, 7));
    assert_eq!(heard, PresenceChange::Foreign);
    let heard = presence.receive(at(1), news("b", BackendState::Ready, 7));
    assert_eq!(heard, PresenceChange::Foreign);
    assert_eq!(
        presence.current(),
        Some(&of_run(100, BackendState::Ready, 1))
    );
}

#[test]
fn a_run_that_was_known_by_an_answer_gets_its_start_from_its_first_announcement() {
    let mut presence = Presence::default();
    assert!(presence.record_answer_from(at(0), "a"));
    let heard = presence.receive(at(1), of_run(100, BackendState::Ready, 1));
    assert_eq!(heard, PresenceChange::NowReady);
    let heard = presence.receive(at(2), of_run(100, BackendState::Draining, 2));
    assert_eq!(heard, PresenceChange::NowLeaving);
}

proptest! {
    /// Runs announce themselves while they live, their clocks go on, and news comes in any order: in the end the
    /// last run is known, and no news of another one changes what it said.
    #[test]
    fn whatever_the_order_the_last_run_is_known_by_what_it_said_itself(
        mut order in Just((0..4u64).flat_map(|run| (1..5u64).map(move |sequence| (run, sequence))).collect::<Vec<_>>())
            .prop_shuffle(),
        leaves in any::<bool>(),
    ) {
        let last = 3;
        order.push((last, 5));
        let mut presence = Presence::default();
        for (run, sequence) in order {
            let state = match (run == last, sequence) {
                (false, 4) => BackendState::Gone,
                (true, 5) if leaves => BackendState::Draining,
                _ => BackendState::Ready,
            };
            presence.receive(NOW, of_run(100 + run, state, sequence));
        }
        prop_assert_eq!(presence.serving(), (!leaves).then_some("a"));
        let current = presence.current().expect("a run is known");
        prop_assert_eq!(current.born, Some(100 + last));
        prop_assert_eq!(current.sequence, 5);
    }
}
