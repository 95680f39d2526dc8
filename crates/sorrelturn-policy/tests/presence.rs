//! Presence of the backend server beside the daemon: delayed announcements, replacements and
//! leaving.

use proptest::prelude::*;
use sorrelturn_policy::{Now, Presence, PresenceChange, Responder};
use sorrelturn_protocol::{Announcement, BackendState};
use std::time::Duration;

/// The time in tests that don't depend on it.
const NOW: Now = Duration::ZERO;

fn announcement(id: &str, state: BackendState, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        born: None,
        state,
        sequence,
    }
}

#[test]
fn a_leaving_backend_server_never_becomes_ready_by_a_delayed_announcement() {
    let mut presence = Presence::default();
    assert_eq!(
        presence.receive(NOW, announcement("a", BackendState::Ready, 1)),
        PresenceChange::NowReady
    );
    assert_eq!(
        presence.receive(NOW, announcement("a", BackendState::Draining, 4)),
        PresenceChange::NowLeaving
    );
    assert_eq!(
        presence.receive(NOW, announcement("a", BackendState::Ready, 3)),
        PresenceChange::Outdated
    );
    assert_eq!(
        presence.receive(NOW, announcement("a", BackendState::Ready, 9)),
        PresenceChange::Outdated
    );
    assert_eq!(presence.serving(), None);
    assert_eq!(
        presence.receive(NOW, announcement("a", BackendState::Gone, 5)),
        PresenceChange::NoChange
    );
}

#[test]
fn a_new_incarnation_replaces_the_earlier_one_permanently() {
    let mut presence = Presence::default();
    presence.receive(NOW, announcement("a", BackendState::Ready, 7));
    assert_eq!(
        presence.receive(NOW, announcement("b", BackendState::Ready, 1)),
        PresenceChange::NowReady
    );
    assert_eq!(
        presence.receive(NOW, announcement("a", BackendState::Ready, 8)),
        PresenceChange::Outdated
    );
    assert_eq!(presence.serving(), Some("b"));
}

#[test]
fn leaving_takes_effect_even_if_announcements_are_reordered() {
    let mut presence = Presence::default();
    presence.receive(NOW, announcement("a", BackendState::Ready, 9));
    assert_eq!(
        presence.receive(NOW, announcement("a", BackendState::Draining, 8)),
        PresenceChange::NowLeaving
    );
}

/// Guards against requests for a backend server of another service that got the address of one that crashed: an answer
/// names no service.
#[test]
fn an_answer_under_another_id_ends_requests_until_an_announcement() {
    let mut presence = Presence::default();
    presence.receive(NOW, announcement("a", BackendState::Ready, 3));
    assert_eq!(presence.record_answer_from(NOW, "a"), Responder::Current);
    assert_eq!(presence.record_answer_from(NOW, "b"), Responder::Unknown);
    assert_eq!(presence.record_answer_from(NOW, "b"), Responder::Current);
    assert_eq!(presence.serving(), None);
    let mut replaced = presence.clone();
    let own = presence.receive(NOW, announcement("a", BackendState::Ready, 4));
    assert_eq!(own, PresenceChange::NowReady);
    assert_eq!(presence.serving(), Some("a"));
    let next = replaced.receive(NOW, announcement("b", BackendState::Ready, 1));
    assert_eq!(next, PresenceChange::NowReady);
    assert_eq!(replaced.serving(), Some("b"));
}

#[test]
fn a_health_check_makes_only_a_backend_server_ready_that_has_announced_itself_before() {
    let mut presence = Presence::default();
    assert!(!presence.record_health_of(NOW, "a"));
    presence.expect_backend("a");
    assert!(!presence.record_health_of(NOW, "b"));
    assert_eq!(presence.serving(), None);
    assert!(presence.record_health_of(NOW, "a"));
    assert!(!presence.record_health_of(NOW, "a"));
    assert_eq!(presence.serving(), Some("a"));
}

/// Returns an announcement of an incarnation that sends its start time.
fn with_start_time(born: u64, state: BackendState, sequence: u64) -> Announcement {
    Announcement {
        born: Some(born),
        ..announcement("a", state, sequence)
    }
}

fn at(seconds: u64) -> Now {
    Duration::from_secs(seconds)
}

#[test]
fn a_restart_under_the_same_id_after_a_crash_becomes_ready_with_a_new_sequence() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(100, BackendState::Ready, 9));
    let change = presence.receive(at(2), with_start_time(200, BackendState::Ready, 1));
    assert_eq!(change, PresenceChange::NowReady);
    let change = presence.receive(at(4), with_start_time(200, BackendState::Draining, 2));
    assert_eq!(change, PresenceChange::NowLeaving);
}

#[test]
fn a_restart_under_the_same_id_after_a_planned_end_becomes_ready() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(100, BackendState::Ready, 3));
    presence.receive(at(1), with_start_time(100, BackendState::Gone, u64::MAX));
    assert_eq!(presence.serving(), None);
    let change = presence.receive(at(2), with_start_time(200, BackendState::Ready, 1));
    assert_eq!(change, PresenceChange::NowReady);
    assert_eq!(presence.serving(), Some("a"));
}

#[test]
fn announcements_of_an_earlier_incarnation_never_change_the_later_one() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(100, BackendState::Ready, 3));
    presence.receive(at(1), with_start_time(200, BackendState::Ready, 1));
    for state in [
        BackendState::Draining,
        BackendState::Gone,
        BackendState::Ready,
    ] {
        let change = presence.receive(at(2), with_start_time(100, state, 50));
        assert_eq!(change, PresenceChange::Outdated);
    }
    assert_eq!(
        presence.current(),
        Some(&with_start_time(200, BackendState::Ready, 1))
    );
    // The same holds for an earlier incarnation that was never seen before.
    let change = presence.receive(at(2), with_start_time(150, BackendState::Draining, 50));
    assert_eq!(change, PresenceChange::Unconfirmed);
    assert_eq!(presence.serving(), Some("a"));
}

#[test]
fn an_incarnation_after_a_clock_step_back_becomes_current_once_the_known_one_is_silent() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(200, BackendState::Ready, 9));
    let early = presence.receive(at(2), with_start_time(100, BackendState::Ready, 1));
    assert_eq!(early, PresenceChange::Unconfirmed);
    let later = presence.receive(at(5), with_start_time(100, BackendState::Ready, 3));
    assert_eq!(later, PresenceChange::NowReady);
    let own = presence.receive(at(6), with_start_time(100, BackendState::Draining, 4));
    assert_eq!(own, PresenceChange::NowLeaving);
}

#[test]
fn a_live_incarnation_replaced_by_a_delayed_announcement_is_current_again_within_seconds() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(200, BackendState::Ready, 1));
    // The incarnation is frozen, and a delayed announcement of an earlier one arrives.
    presence.receive(at(10), with_start_time(100, BackendState::Ready, 7));
    for second in 11..14 {
        let change = presence.receive(
            at(second),
            with_start_time(200, BackendState::Ready, second),
        );
        assert_eq!(change, PresenceChange::Outdated);
    }
    let change = presence.receive(at(15), with_start_time(200, BackendState::Ready, 15));
    assert_eq!(change, PresenceChange::NowReady);
}

/// Guards against a sender of one heartbeat with the highest sequence, after which all further heartbeats of the same run
/// are ignored, and one of an earlier run takes its place.
#[test]
fn a_run_is_heard_again_within_seconds_of_a_heartbeat_with_the_highest_sequence() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(100, BackendState::Ready, 7));
    presence.receive(at(1), with_start_time(200, BackendState::Ready, 1));
    presence.receive(at(2), with_start_time(200, BackendState::Ready, u64::MAX));
    let change = presence.receive(at(5), with_start_time(200, BackendState::Ready, 3));
    assert_eq!(change, PresenceChange::Outdated);
    for second in 6..20 {
        let own = presence.receive(
            at(second),
            with_start_time(200, BackendState::Ready, second),
        );
        assert_eq!(own, PresenceChange::NoChange);
        let earlier = presence.receive(at(second), with_start_time(100, BackendState::Ready, 8));
        assert_eq!(earlier, PresenceChange::Outdated);
    }
}

#[test]
fn an_earlier_incarnation_does_not_replace_one_that_is_leaving() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(100, BackendState::Ready, 1));
    presence.receive(at(1), with_start_time(200, BackendState::Ready, 1));
    presence.receive(at(2), with_start_time(200, BackendState::Draining, 2));
    let change = presence.receive(at(60), with_start_time(100, BackendState::Ready, 9));
    assert_eq!(change, PresenceChange::Outdated);
    assert_eq!(presence.serving(), None);
}

/// Guards against a backend server whose planned end is refused, and that goes on receiving requests, since its
/// deregistration has no body while its heartbeats have a start time.
#[test]
fn a_deregistration_without_a_start_time_is_a_leave_of_the_only_incarnation_with_its_id() {
    let gone = || announcement("a", BackendState::Gone, u64::MAX);
    let mut presence = Presence::default();
    presence.receive(NOW, with_start_time(1, BackendState::Ready, 1));
    let mut draining = presence.clone();
    assert_eq!(presence.receive(NOW, gone()), PresenceChange::NowLeaving);
    assert_eq!(presence.receive(NOW, gone()), PresenceChange::NoChange);
    let late = with_start_time(1, BackendState::Ready, 2);
    assert_eq!(presence.receive(at(60), late), PresenceChange::Outdated);
    draining.receive(NOW, with_start_time(1, BackendState::Draining, 2));
    assert_eq!(draining.receive(NOW, gone()), PresenceChange::NoChange);
    assert_eq!(draining.serving(), None);
}

/// Guards against a late deregistration of an earlier incarnation that takes the current one out.
#[test]
fn a_deregistration_without_a_start_time_changes_nothing_if_it_may_be_of_an_earlier_incarnation() {
    let gone = || announcement("a", BackendState::Gone, u64::MAX);
    let mut restarted = Presence::default();
    restarted.receive(NOW, with_start_time(1, BackendState::Ready, 1));
    restarted.receive(NOW, with_start_time(2, BackendState::Ready, 1));
    assert_eq!(restarted.receive(NOW, gone()), PresenceChange::Unconfirmed);
    assert_eq!(restarted.serving(), Some("a"));
    let mut replaced = Presence::default();
    replaced.receive(NOW, with_start_time(1, BackendState::Ready, 1));
    let successor = Announcement {
        id: "b".to_owned(),
        ..with_start_time(2, BackendState::Ready, 1)
    };
    replaced.receive(NOW, successor);
    assert_eq!(replaced.receive(NOW, gone()), PresenceChange::Outdated);
    assert_eq!(replaced.serving(), Some("b"));
}

#[test]
fn announcements_without_a_start_time_are_foreign_if_others_have_one() {
    let mut presence = Presence::default();
    presence.receive(at(0), with_start_time(100, BackendState::Ready, 1));
    for foreign in [
        announcement("a", BackendState::Ready, 7),
        announcement("a", BackendState::Draining, 7),
        announcement("b", BackendState::Ready, 7),
        announcement("b", BackendState::Draining, 7),
        announcement("b", BackendState::Gone, 7),
    ] {
        let change = presence.receive(at(1), foreign);
        assert_eq!(change, PresenceChange::Foreign);
    }
    assert_eq!(
        presence.current(),
        Some(&with_start_time(100, BackendState::Ready, 1))
    );
}

#[test]
fn an_incarnation_known_by_an_answer_gets_its_start_time_from_its_first_announcement() {
    let mut presence = Presence::default();
    presence.expect_backend("a");
    assert!(presence.record_health_of(at(0), "a"));
    let change = presence.receive(at(1), with_start_time(100, BackendState::Ready, 1));
    assert_eq!(change, PresenceChange::NowReady);
    let change = presence.receive(at(2), with_start_time(100, BackendState::Draining, 2));
    assert_eq!(change, PresenceChange::NowLeaving);
}

/// A deregistration without a body.
fn deregistration(id: &str) -> Announcement {
    announcement(id, BackendState::Gone, u64::MAX)
}

/// Guards against a report from before an acknowledged leave that undoes it after a restart of the daemon.
#[test]
fn a_late_report_does_not_undo_the_leave_of_a_backend_server_known_by_its_health_check() {
    let mut presence = Presence::default();
    presence.expect_backend("a");
    assert!(presence.record_health_of(at(1), "a"));
    let change = presence.receive_at(at(2), Some(2_000), deregistration("a"));
    assert_eq!(change, PresenceChange::NowLeaving);
    let late = with_start_time(500, BackendState::Ready, 7);
    assert_eq!(presence.receive(at(3), late), PresenceChange::Outdated);
    assert_eq!(presence.serving(), None);
    let next = with_start_time(2_500, BackendState::Ready, 1);
    assert_eq!(presence.receive(at(4), next), PresenceChange::NowReady);
}

/// Guards against a report of a crashed incarnation that undoes the acknowledged leave of the next one with its id.
#[test]
fn a_late_report_of_the_incarnation_before_does_not_undo_a_leave_under_the_same_id() {
    for has_start in [true, false] {
        let mut presence = Presence::default();
        presence.receive(at(1), with_start_time(200, BackendState::Ready, 1));
        let leave = match has_start {
            true => with_start_time(200, BackendState::Gone, u64::MAX),
            false => deregistration("a"),
        };
        let change = presence.receive_at(at(2), Some(2_000), leave);
        assert_eq!(change, PresenceChange::NowLeaving);
        let late = with_start_time(100, BackendState::Ready, 9);
        assert_eq!(presence.receive(at(7), late), PresenceChange::Outdated);
        assert_eq!(presence.serving(), None);
    }
}

/// Guards against a report of a crashed incarnation that takes the place of the live one, whose leave then counts for
/// nothing.
#[test]
fn a_late_report_of_a_crashed_incarnation_with_another_id_does_not_replace_a_live_one() {
    let crashed = Announcement {
        born: Some(100),
        ..announcement("crashed", BackendState::Ready, 3)
    };
    let mut presence = Presence::default();
    presence.receive(at(1), with_start_time(200, BackendState::Ready, 1));
    let change = presence.receive(at(2), crashed.clone());
    assert_eq!(change, PresenceChange::Unconfirmed);
    assert_eq!(presence.serving(), Some("a"));
    // The live one is suspended, so it seems to be gone.
    assert_eq!(presence.receive(at(6), crashed), PresenceChange::NowReady);
    let leave = with_start_time(200, BackendState::Draining, 2);
    assert_eq!(presence.receive(at(7), leave), PresenceChange::Outdated);
    assert!(
        !presence.has_left_for_good("a", Some(200)),
        "after a restart of the daemon"
    );
    let late = with_start_time(200, BackendState::Ready, 1);
    assert_eq!(presence.receive(at(20), late), PresenceChange::Outdated);
}

#[test]
fn a_backend_server_that_was_replaced_by_mistake_is_current_again_when_it_answers() {
    let mut presence = Presence::default();
    presence.receive(at(1), announcement("a", BackendState::Ready, 1));
    presence.receive(at(2), announcement("late", BackendState::Ready, 9));
    assert_eq!(presence.record_answer_from(at(3), "a"), Responder::Returned);
    assert_eq!(presence.serving(), Some("a"));
    presence.receive(at(4), announcement("a", BackendState::Draining, 2));
    presence.receive(at(5), announcement("late", BackendState::Ready, 10));
    assert_eq!(presence.record_answer_from(at(6), "a"), Responder::Unknown);
    assert_eq!(presence.serving(), None);
}

/// Guards against a clock that stepped back, by which a later incarnation with the id of one that left looks earlier.
#[test]
fn an_id_that_left_is_served_again_once_its_reports_have_gone_on_for_long() {
    let mut presence = Presence::default();
    presence.receive(at(1), with_start_time(200, BackendState::Ready, 1));
    presence.receive(at(2), with_start_time(200, BackendState::Gone, u64::MAX));
    for second in 3..18 {
        let report = with_start_time(100, BackendState::Ready, second);
        assert_eq!(
            presence.receive(at(second), report),
            PresenceChange::Outdated
        );
    }
    let report = with_start_time(100, BackendState::Ready, 18);
    assert_eq!(presence.receive(at(18), report), PresenceChange::NowReady);
    let left = with_start_time(200, BackendState::Gone, u64::MAX);
    assert_eq!(presence.receive(at(19), left), PresenceChange::NowLeaving);
}

#[test]
fn a_leave_binds_the_next_incarnation_of_the_daemon_though_another_backend_server_reported_since() {
    let mut before = Presence::default();
    before.receive(at(1), announcement("a", BackendState::Ready, 1));
    before.receive(at(2), announcement("a", BackendState::Gone, u64::MAX));
    before.receive(at(3), announcement("late", BackendState::Ready, 1));
    let mut presence = Presence::default();
    assert_eq!(presence.restore_left(&before.left()), None);
    let late = announcement("a", BackendState::Ready, 1);
    assert_eq!(
        presence.receive(at(4), late.clone()),
        PresenceChange::Outdated
    );
    // The store was away when this one started.
    let mut presence = Presence::default();
    assert_eq!(presence.receive(at(4), late), PresenceChange::NowReady);
    let leave = presence.restore_left(&before.left()).expect("it has left");
    assert_eq!(presence.receive(at(5), leave), PresenceChange::NowLeaving);
    assert_eq!(presence.serving(), None);
}

/// Guards against a write to the store for each announcement of a backend server that is draining.
#[test]
fn what_the_next_incarnation_is_told_does_not_change_with_each_announcement_of_a_leave() {
    let mut presence = Presence::default();
    presence.receive_at(at(0), Some(0), announcement("a", BackendState::Ready, 1));
    let mut told = Vec::new();
    for second in 1..10 {
        let state = match second {
            9 => BackendState::Gone,
            _ => BackendState::Draining,
        };
        let leave = announcement("a", state, second);
        presence.receive_at(at(second), Some(second * 1_000), leave);
        told.push(presence.left());
    }
    told.dedup();
    assert_eq!(told.len(), 1, "{told:?}");
}

/// Guards against member records that grow with each backend server that ever left.
#[test]
fn the_next_incarnation_of_the_daemon_is_told_of_the_last_few_that_left() {
    let mut presence = Presence::default();
    for number in 0..100 {
        let id = format!("b-{number}");
        presence.receive(at(number), announcement(&id, BackendState::Ready, 1));
        presence.receive(at(number), announcement(&id, BackendState::Gone, u64::MAX));
    }
    let ids: Vec<_> = presence.left().into_iter().map(|left| left.id).collect();
    assert_eq!(ids, ["b-96", "b-97", "b-98", "b-99"]);
}

proptest! {
    /// Guards against announcements of an earlier incarnation that change the state of the last
    /// one, in any order of arrival.
    #[test]
    fn the_last_incarnation_is_current_whatever_the_order_of_announcements(
        mut order in Just((0..4u64).flat_map(|incarnation| (1..5u64).map(move |sequence| (incarnation, sequence))).collect::<Vec<_>>())
            .prop_shuffle(),
        leaves in any::<bool>(),
    ) {
        let last = 3;
        order.push((last, 5));
        let mut presence = Presence::default();
        for (incarnation, sequence) in order {
            let state = match (incarnation == last, sequence) {
                (false, 4) => BackendState::Gone,
                (true, 5) if leaves => BackendState::Draining,
                _ => BackendState::Ready,
            };
            presence.receive(NOW, with_start_time(100 + incarnation, state, sequence));
        }
        prop_assert_eq!(presence.serving(), (!leaves).then_some("a"));
        let current = presence.current().expect("an incarnation is known");
        prop_assert_eq!(current.born, Some(100 + last));
        prop_assert_eq!(current.sequence, 5);
    }
}
