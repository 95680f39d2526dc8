//! Which backend server stands beside the daemon: late news, replacements and leaving.

use sorrelturn_policy::{Heard, Presence};
use sorrelturn_protocol::{Announcement, BackendState};

fn news(id: &str, state: BackendState, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        state,
        sequence,
    }
}

#[test]
fn a_backend_server_that_leaves_never_comes_back_by_late_news() {
    let mut presence = Presence::default();
    assert_eq!(
        presence.hear(news("a", BackendState::Ready, 1)),
        Heard::NowReady
    );
    assert_eq!(
        presence.hear(news("a", BackendState::Draining, 4)),
        Heard::NowLeaving
    );
    assert_eq!(
        presence.hear(news("a", BackendState::Ready, 3)),
        Heard::Late
    );
    assert_eq!(
        presence.hear(news("a", BackendState::Ready, 9)),
        Heard::Late
    );
    assert_eq!(presence.serving(), None);
    assert_eq!(
        presence.hear(news("a", BackendState::Gone, 5)),
        Heard::Known
    );
}

#[test]
fn a_new_run_takes_the_place_of_the_old_one_for_good() {
    let mut presence = Presence::default();
    presence.hear(news("a", BackendState::Ready, 7));
    assert_eq!(
        presence.hear(news("b", BackendState::Ready, 1)),
        Heard::NowReady
    );
    assert_eq!(
        presence.hear(news("a", BackendState::Ready, 8)),
        Heard::Late
    );
    assert_eq!(presence.serving(), Some("b"));
}

#[test]
fn leaving_counts_even_if_its_news_overtakes_or_is_overtaken() {
    let mut presence = Presence::default();
    presence.hear(news("a", BackendState::Ready, 9));
    assert_eq!(
        presence.hear(news("a", BackendState::Draining, 8)),
        Heard::NowLeaving
    );
}

#[test]
fn an_answer_under_another_id_tells_of_a_new_run_once() {
    let mut presence = Presence::default();
    presence.hear(news("a", BackendState::Ready, 3));
    assert!(presence.answered_as("b"));
    assert!(!presence.answered_as("b"));
    assert!(!presence.answered_as("a"));
    assert_eq!(presence.serving(), Some("b"));
}
