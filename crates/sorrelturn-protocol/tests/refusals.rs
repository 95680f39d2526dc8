//! Which refusals report the load of a service.

use sorrelturn_protocol::Refusal;

/// Guards against idle daemons without a working backend server lowering the shedding level at every entry daemon.
#[test]
fn a_daemon_whose_backend_server_takes_no_work_tells_nothing_of_the_load_of_its_service() {
    let idle = [
        Refusal::BackendUnreachable,
        Refusal::Leaving,
        Refusal::NoBundle,
        Refusal::OtherService,
    ];
    for refusal in idle {
        assert!(!refusal.indicates_service_load(), "{refusal}");
    }
    for refusal in [
        Refusal::Overload,
        Refusal::Deadline,
        Refusal::BackendRefused,
    ] {
        assert!(refusal.indicates_service_load(), "{refusal}");
    }
}
