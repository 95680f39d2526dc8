//! Guards against a daemon that keeps leaving after a revoked cause, or that exits with requests in flight.

use sorrelturn_policy::{Leaving, LeavingCause};
use std::time::Duration;

const EXIT_TIMEOUT: Duration = Duration::from_secs(60);

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn a_wrong_vm_list_is_revoked_but_a_signal_is_not() {
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
fn a_process_exits_when_no_request_is_in_flight_or_after_the_timeout() {
    let mut leaving = Leaving::default();
    leaving.leave(s(0), LeavingCause::Signal);
    assert!(!leaving.may_exit(s(1), 3, EXIT_TIMEOUT));
    assert!(leaving.may_exit(s(1), 0, EXIT_TIMEOUT));
    assert!(leaving.may_exit(s(60), 3, EXIT_TIMEOUT));
}
