//! Which refusals indicate the load of a service.

use sorrelturn_protocol::Refusal;

/// Guards against idle daemons without a working backend server lowering the shedding level at every entry daemon.
#[test]
fn refusals_of_a_daemon_without_a_ready_backend_server_do_not_indicate_service_load() {
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
