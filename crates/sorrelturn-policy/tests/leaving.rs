//! Leaving: causes, taking them back, and when a process may exit.

use sorrelturn_policy::{Leaving, LeavingCause};
use std::time::Duration;

const MOST: Duration = Duration::from_secs(60);

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn a_wrong_vm_list_is_taken_back_but_a_signal_is_not() {
    let mut leaving = Leaving::default();
    assert!(leaving.leave(s(0), LeavingCause::VmList));
    assert!(!leaving.leave(s(1), LeavingCause::VmList));
    assert!(leaving.revoke(LeavingCause::VmList));
    assert_eq!(leaving.cause(), None);
    assert!(leaving.leave(s(2), LeavingCause::Signal));
    assert!(!leaving.revoke(LeavingCause::VmList));
    assert!(!leaving.revoke(LeavingCause::Signal));
}

#[test]
fn a_process_exits_when_everything_is_carried_or_the_time_is_over() {
    let mut leaving = Leaving::default();
    leaving.leave(s(0), LeavingCause::Signal);
    assert!(!leaving.may_exit(s(1), 3, MOST));
    assert!(leaving.may_exit(s(1), 0, MOST));
    assert!(leaving.may_exit(s(60), 3, MOST));
}
