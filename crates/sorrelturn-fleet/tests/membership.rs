//! Membership and ranks converge whatever the order of updates, and wrong VM lists are rejected.

use proptest::prelude::*;
use sorrelturn_fleet::*;
use sorrelturn_protocol::{Announcement, BackendState, Incarnation, MemberRecord, MemberState};
use std::{collections::BTreeMap, time::Duration};

const NOW: Duration = Duration::ZERO;

fn record(number: u64, started_ms: u64, sequence: u32, state: MemberState) -> MemberRecord {
    MemberRecord {
        instance: format!("i{number}"),
        service: format!("s{}", number % 3),
        failure_domain: format!("d{}", number % 2),
        incarnation: Incarnation(number * 1_000 + started_ms),
        started_ms,
        sequence,
        state,
        peer_addr: ([127, 0, 0, 1], 1).into(),
        control_addr: ([127, 0, 0, 1], 2).into(),
        backend: None,
        rate_limit: None,
        left: Vec::new(),
    }
}

fn live(number: u64) -> MemberRecord {
    record(number, 1, 0, MemberState::Live)
}

fn membership(records: impl IntoIterator<Item = MemberRecord>) -> Membership {
    let mut membership = Membership::default();
    for record in records {
        membership.merge(NOW, record);
    }
    membership
}

/// Guards against a leave that is forgotten since the next incarnation knows its backend server by an answer alone, which
/// doesn't state the start.
#[test]
fn a_leave_is_remembered_if_the_next_incarnation_does_not_know_the_start_of_its_backend_server() {
    let started_at = |born, mut record: MemberRecord| {
        if let Some(backend) = &mut record.backend {
            backend.born = born;
        }
        record
    };
    let leave = with_backend(
        record(1, 1, 3, MemberState::Leaving),
        "b",
        BackendState::Draining,
    );
    let leave = started_at(Some(7), leave);
    let ready = with_backend(record(1, 2, 1, MemberState::Live), "b", BackendState::Ready);
    for (born, is_remembered) in [(None, true), (Some(7), true), (Some(8), false)] {
        let mut known = membership([leave.clone()]);
        assert!(known.merge(NOW, started_at(born, ready.clone())));
        let unknown = is_remembered.then_some(&leave);
        assert_eq!(known.unknown_leave("i1"), unknown, "started at {born:?}");
    }
}

#[test]
fn a_stale_update_of_an_earlier_incarnation_is_ignored() {
    let mut known = membership([record(1, 5, 0, MemberState::Live)]);
    assert!(!known.merge(NOW, record(1, 4, 9, MemberState::Gone)));
    assert!(!known.merge(NOW, record(1, 5, 0, MemberState::Live)));
    assert!(known.merge(NOW, record(1, 5, 1, MemberState::Leaving)));
    assert_eq!(known.live_of("s1").count(), 0);
}

fn with_backend(mut record: MemberRecord, id: &str, state: BackendState) -> MemberRecord {
    record.backend = Some(Announcement {
        id: id.to_owned(),
        born: None,
        state,
        sequence: 1,
    });
    record
}

/// Guards against a leave that its daemon's next incarnation overwrites at all who know it, before it has learned of it.
#[test]
fn a_leave_is_remembered_until_the_current_incarnation_knows_it_or_has_another_backend_server() {
    let leave = with_backend(
        record(1, 1, 3, MemberState::Leaving),
        "b",
        BackendState::Draining,
    );
    let mut known = membership([leave.clone()]);
    assert_eq!(known.unknown_leave("i1"), None, "its own record says it");
    // Two incarnations that know of no backend server, one that believes a late report, and one that is gone.
    for unaware in [
        record(1, 2, 0, MemberState::Leaving),
        record(1, 3, 0, MemberState::Leaving),
        with_backend(record(1, 3, 1, MemberState::Live), "b", BackendState::Ready),
        record(1, 3, 2, MemberState::Gone),
    ] {
        assert!(known.merge(NOW, unaware));
        assert_eq!(known.unknown_leave("i1"), Some(&leave));
    }
    for aware in [
        with_backend(
            record(1, 4, 0, MemberState::Leaving),
            "b",
            BackendState::Draining,
        ),
        with_backend(record(1, 4, 0, MemberState::Live), "c", BackendState::Ready),
    ] {
        let mut known = known.clone();
        assert!(known.merge(NOW, aware));
        assert_eq!(known.unknown_leave("i1"), None);
    }
    known.forget_gone(NOW + Duration::from_secs(3_600));
    assert_eq!(
        known.unknown_leave("i1"),
        None,
        "it is forgotten with its instance"
    );
}

#[test]
fn the_next_ranked_members_replace_watchers_that_are_gone() {
    let known = membership((0..20).map(live));
    let ranked_before: Vec<String> = ranked(known.present(), "d0")
        .iter()
        .map(|r| r.instance.clone())
        .collect();
    let without: Vec<MemberRecord> = known
        .present()
        .filter(|record| !ranked_before[..WATCHER_COUNT].contains(&record.instance))
        .cloned()
        .collect();
    let known = membership(without);
    let ranked_after: Vec<String> = ranked(known.present(), "d0")
        .iter()
        .map(|r| r.instance.clone())
        .collect();
    assert_eq!(ranked_after, ranked_before[WATCHER_COUNT..]);
}

#[test]
fn only_watchers_and_standbys_check_their_predecessors() {
    let known = membership((0..40).map(live));
    let ranked = ranked(known.present(), "d0");
    for (position, record) in ranked.iter().enumerate() {
        let predecessor_count = predecessors(&ranked, &record.instance).map(<[_]>::len);
        let is_watcher_or_standby = position < WATCHER_COUNT + STANDBY_WATCHER_COUNT;
        assert_eq!(predecessor_count, is_watcher_or_standby.then_some(position));
    }
}

#[test]
fn a_list_that_removes_too_much_of_a_service_is_rejected_for_it() {
    let known = membership((0..12).map(live));
    let mut listed: BTreeMap<&str, bool> = BTreeMap::new();
    let names: Vec<String> = (0..12).map(|number| format!("i{number}")).collect();
    // s0 has i0, i3, i6, i9, of which three are listed as leaving; s1 loses only i1; s2 loses none.
    for (number, name) in names.iter().enumerate() {
        listed.insert(name, matches!(number, 0 | 3 | 6 | 1));
    }
    let diff = diff_vm_list(&known, "d0", &listed);
    assert_eq!(diff.rejected_services, ["s0"]);
    assert!(diff.leaving.is_empty(), "i1 is in d1: {diff:?}");
    let diff = diff_vm_list(&known, "d1", &listed);
    assert_eq!(diff.leaving, ["i1"]);
    let empty = diff_vm_list(&known, "d0", &BTreeMap::new());
    assert_eq!(
        (empty.unlisted.len(), empty.rejected_services.len()),
        (0, 3)
    );
}

#[test]
fn pushes_go_to_both_the_own_and_other_failure_domains() {
    let known = membership((0..40).map(live));
    let own = live(0);
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..100 {
        let targets = sample_peers(known.present(), &own, PUSH_FAN_OUT, &mut rng);
        let same_domain_count = targets
            .iter()
            .filter(|t| t.failure_domain == own.failure_domain)
            .count();
        assert_eq!(targets.len(), PUSH_FAN_OUT);
        assert!(
            (2..PUSH_FAN_OUT).contains(&same_domain_count),
            "{same_domain_count}"
        );
        assert!(targets.iter().all(|target| target.instance != own.instance));
    }
}

#[test]
fn a_version_only_increases_and_a_second_source_is_tried() {
    let mut tracker = BundleTracker::default();
    let peer = |name: &str| Source::Peer(name.to_owned());
    let first = tracker
        .version_announced(NOW, 5, peer("a"))
        .expect("a fetch");
    assert_eq!(tracker.version_announced(NOW, 5, peer("b")), None);
    let second = tracker.fetch_finished(NOW, &first).expect("another fetch");
    assert_eq!(second.source, peer("b"));
    assert!(tracker.put_in_force(5));
    assert!(!tracker.put_in_force(4) && !tracker.put_in_force(5));
    assert_eq!(tracker.fetch_finished(NOW, &second), None);
    assert_eq!(tracker.version_announced(NOW, 5, peer("c")), None);
    assert_eq!(tracker.in_force(), 5);
    // A source that never answers blocks the next one only until the timeout.
    assert!(tracker.version_announced(NOW, 6, peer("d")).is_some());
    assert!(
        tracker
            .version_announced(Duration::from_secs(3), 6, peer("e"))
            .is_some()
    );
}

/// How many daemons a push alone reaches, if those below `cut_off` are unreachable.
fn push_to_all(count: usize, seed: u64, cut_off: usize) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let all = membership((0..count as u64).map(live));
    let records: Vec<MemberRecord> = all.present().cloned().collect();
    let mut knows = vec![false; count];
    let index_of =
        |record: &MemberRecord| records.iter().position(|r| r.instance == record.instance);
    let mut newly_reached = vec![cut_off];
    knows[cut_off] = true;
    let mut rounds = 0;
    while !newly_reached.is_empty() {
        rounds += 1;
        let mut next = Vec::new();
        for sender in newly_reached {
            for target in sample_peers(records.iter(), &records[sender], PUSH_FAN_OUT, &mut rng) {
                let target = index_of(target).expect("a member");
                if target >= cut_off && !knows[target] {
                    knows[target] = true;
                    next.push(target);
                }
            }
        }
        newly_reached = next;
    }
    assert!(rounds < 20);
    knows.iter().filter(|knows| **knows).count()
}

#[test]
fn a_push_alone_reaches_most_members_in_a_few_rounds() {
    for seed in 0..5 {
        let reached = push_to_all(2_700, seed, 0);
        assert!(reached > 2_600, "{reached} of 2700");
        // With a third unreachable, a push still reaches most of the others; periodic exchanges reach the rest.
        let reached = push_to_all(2_700, seed, 900);
        assert!(reached > 1_500, "{reached} of 1800");
    }
}

proptest! {
    #[test]
    fn merging_updates_in_any_order_gives_the_same_members_and_digest(
        updates in prop::collection::vec((0u64..10, 1u64..4, 0u32..4, 0u8..3), 1..60),
        seed: u64,
    ) {
        let states = [MemberState::Live, MemberState::Leaving, MemberState::Gone];
        let mut records: Vec<MemberRecord> = updates
            .into_iter()
            .map(|(number, started, sequence, state)| record(number, started, sequence, states[usize::from(state)]))
            .collect();
        let one = membership(records.clone());
        fastrand::Rng::with_seed(seed).shuffle(&mut records);
        let mut other = membership(records.clone());
        for record in records {
            other.merge(NOW, record);
        }
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert_eq!(one.digest().differing(&other.digest()), Vec::<u8>::new());
        let all_records = |m: &Membership| m.all().cloned().collect::<Vec<_>>();
        prop_assert_eq!(all_records(&one), all_records(&other));
    }

    #[test]
    fn an_exchange_of_differing_buckets_makes_two_daemons_agree(
        left in prop::collection::vec((0u64..200, 1u64..3), 0..100),
        right in prop::collection::vec((0u64..200, 1u64..3), 0..100),
    ) {
        let build = |list: Vec<(u64, u64)>| {
            membership(list.into_iter().map(|(n, s)| record(n, s, 0, MemberState::Live)))
        };
        let (mut left, mut right) = (build(left), build(right));
        let differing = left.digest().differing(&right.digest());
        let (from_left, from_right) = (left.in_buckets(&differing), right.in_buckets(&differing));
        for record in from_right { left.merge(NOW, record); }
        for record in from_left { right.merge(NOW, record); }
        prop_assert_eq!(left.digest(), right.digest());
    }
}

#[test]
fn all_members_choose_the_same_searchers() {
    let known = membership((0..8).map(live));
    let searchers = |own: u64, gone: &str| {
        let others = known.present().filter(|r| r.instance != format!("i{own}"));
        let own = live(own);
        let names = searchers_for(others, &own, gone, 3);
        names.into_iter().map(str::to_owned).collect::<Vec<_>>()
    };
    for own in 0..8 {
        assert_eq!(searchers(own, "i2"), ["i3", "i4", "i5"]);
        assert_eq!(searchers(own, "i6"), ["i7", "i0", "i1"]);
        // An instance that was never a member has searchers, too.
        assert_eq!(searchers(own, "i55"), ["i6", "i7", "i0"]);
    }
}

#[test]
fn in_a_fleet_of_two_the_other_member_is_the_only_searcher() {
    let own = live(1);
    assert_eq!(searchers_for([].into_iter(), &own, "i0", 3), ["i1"]);
}
