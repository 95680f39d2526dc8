//! The calculated maximum goodput, with which measured goodput is compared.

use sorrelturn_bench::Workload;
use sorrelturn_protocol::Importance;

/// The relative error of filling in steps of one percent.
const STEP_TOLERANCE: f64 = 0.03;

#[test]
fn below_the_capacity_everything_fits() {
    for name in ["protokols-riga", "dalaqyz-soft"] {
        let workload = Workload::for_deployment(name);
        let rate = workload.capacity * 0.9;
        let max_goodput: f64 = workload.max_goodput(rate, 1.0).values().sum();
        assert!(
            (max_goodput - rate).abs() < rate * 0.001,
            "{max_goodput} of {rate}"
        );
    }
}

#[test]
fn above_the_capacity_important_requests_fit_first_and_others_use_the_rest() {
    let workload = Workload::for_deployment("dalaqyz-soft");
    let rate = workload.capacity * 2.1;
    let max_goodput = workload.max_goodput(rate, 1.0);
    let offered = |importance| -> f64 {
        let parts = workload.mix.iter();
        let parts = parts.filter(|part| part.importance == importance);
        parts.map(|part| part.share * rate).sum()
    };
    let critical = max_goodput[&Importance::Critical];
    assert!((critical - offered(Importance::Critical)).abs() < 1.0);
    // The portal has 185 slots: a payment holds one for 190 ms, a balance request for 120 ms.
    let free_slots = 185.0 - 0.15 * rate * 0.190;
    let balances = free_slots / 0.120;
    let normal = max_goodput[&Importance::Normal];
    assert!(
        normal >= balances * (1.0 - STEP_TOLERANCE),
        "{normal} of {balances}"
    );
    assert!(normal < offered(Importance::Normal) * 0.5, "{normal}");
}
