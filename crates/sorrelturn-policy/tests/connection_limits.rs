//! The number of connections between daemons is bounded, however many daemons call one another.

use sorrelturn_policy::ConnectionLimits;
use std::time::Duration;

/// Half of the file descriptors of a process.
const MAX_CLIENTS: usize = 2_048;
const ALL_DESCRIPTORS: usize = 2 * MAX_CLIENTS;
/// Calls in progress at the same time that the memory of a small VM bears.
const CALLS_IN_PROGRESS: usize = 800;
const FLEET_SIZES: [usize; 3] = [300, 983, 2_700];

/// A callee whose callers keep the connections that it doesn't close.
#[derive(Default)]
struct Callee {
    open: usize,
    most_open: usize,
}

impl Callee {
    /// Plays calls that all callers have in progress in turn, a group at a time.
    fn play(callers: usize, keeps: impl Fn(usize) -> bool) -> Self {
        let mut callee = Self::default();
        let mut kept = vec![0_usize; callers];
        for start in 0..4 * callers {
            let group: Vec<usize> = (0..CALLS_IN_PROGRESS)
                .map(|call| (start * 7 + call) % callers)
                .collect();
            let mut in_progress = Vec::new();
            for caller in group {
                if kept[caller] > 0 {
                    kept[caller] -= 1;
                } else {
                    callee.open += 1;
                }
                in_progress.push(caller);
            }
            callee.most_open = callee.most_open.max(callee.open);
            for caller in in_progress {
                if keeps(callee.open) {
                    kept[caller] += 1;
                } else {
                    callee.open -= 1;
                }
            }
        }
        callee
    }
}

#[test]
fn connections_from_callers_leave_descriptors_for_clients_in_fleets_of_any_size() {
    let limits = ConnectionLimits::new(MAX_CLIENTS);
    for callers in FLEET_SIZES {
        let callee = Callee::play(callers, |open| limits.keeps_inbound(open));
        let others = callee.most_open + MAX_CLIENTS;
        assert!(
            others < ALL_DESCRIPTORS,
            "{callers} callers: {}",
            callee.most_open
        );
        assert!(limits.keeps_inbound(callee.open), "{callers} callers");
    }
}

#[test]
fn unused_connections_of_peers_leave_descriptors_for_clients() {
    let limits = ConnectionLimits::new(MAX_CLIENTS);
    let mut open = 0;
    while limits.accepts_inbound(open) {
        open += 1;
    }
    assert!(open + MAX_CLIENTS < ALL_DESCRIPTORS);
    // A surplus connection carries its one call before it is closed.
    assert!(!limits.keeps_inbound(open));
}

#[test]
fn without_a_limit_the_same_callers_take_the_descriptors_of_clients() {
    let callee = Callee::play(2_700, |_| true);
    assert!(callee.most_open + MAX_CLIENTS > ALL_DESCRIPTORS);
}

#[test]
fn in_a_fleet_of_a_hundred_all_connections_stay_open() {
    let limits = ConnectionLimits::new(MAX_CLIENTS);
    let callee = Callee::play(100, |open| limits.keeps_inbound(open));
    assert_eq!(callee.open, CALLS_IN_PROGRESS);
}

#[test]
fn idle_connections_to_peers_are_limited_over_all_peers() {
    let limits = ConnectionLimits::new(MAX_CLIENTS);
    let mut idle = 0;
    for _ in 0..10 * MAX_CLIENTS {
        idle += usize::from(limits.keeps_outbound(idle));
    }
    // With the limits of clients and of inbound connections, a part remains for those that carry requests.
    assert_eq!(idle, MAX_CLIENTS / 4);
}

#[test]
fn connections_to_rarely_called_peers_make_room_before_the_limit_is_reached() {
    let limits = ConnectionLimits::new(MAX_CLIENTS);
    let few = limits.idle_timeout(10);
    let many = limits.idle_timeout(MAX_CLIENTS / 4 - 1);
    assert!(many < few);
    // Longer than the time between two calls to a peer that is called each second.
    assert!(many > Duration::from_secs(1));
}

#[test]
fn a_daemon_with_few_descriptors_keeps_one_connection_each_way() {
    let limits = ConnectionLimits::new(1);
    assert!(limits.accepts_inbound(0));
    assert!(limits.keeps_inbound(1));
    assert!(limits.keeps_outbound(0));
}
