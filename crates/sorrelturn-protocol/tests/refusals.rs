//! What a refusal says besides that nothing ran.

use sorrelturn_protocol::Refusal;

/// On a day with one instance left of three, the two whose backend servers had crashed were asked
/// again and again, and their idle gates pulled the level of load down at every entry.
#[test]
fn a_daemon_whose_backend_server_takes_no_work_tells_nothing_of_the_load_of_its_service() {
    let idle = [
        Refusal::BackendUnreachable,
        Refusal::Leaving,
        Refusal::NoBundle,
        Refusal::OtherService,
    ];
    for refusal in idle {
        assert!(!refusal.tells_load(), "{refusal}");
    }
    for refusal in [
        Refusal::Overload,
        Refusal::Deadline,
        Refusal::BackendRefused,
    ] {
        assert!(refusal.tells_load(), "{refusal}");
    }
}
