//! What the slots can carry at most, against which measured goodput is held.

use sorrelturn_bench::Workload;
use sorrelturn_protocol::Importance;

/// What filling in steps of one in a hundred may miss.
const STEP_TOLERANCE: f64 = 0.03;

#[test]
fn below_the_capacity_everything_fits() {
    for name in ["protokols-riga", "dalaqyz-soft"] {
        let workload = Workload::for_deployment(name);
        let rate = workload.capacity * 0.9;
        let best: f64 = workload.max_goodput(rate, 1.0).values().sum();
        assert!((best - rate).abs() < rate * 0.001, "{best} of {rate}");
    }
}

#[test]
fn above_it_the_most_important_fits_first_and_the_rest_takes_what_is_left() {
    let workload = Workload::for_deployment("dalaqyz-soft");
    let rate = workload.capacity * 2.1;
    let best = workload.max_goodput(rate, 1.0);
    let offered = |importance| -> f64 {
        let parts = workload.mix.iter();
        let parts = parts.filter(|part| part.importance == importance);
        parts.map(|part| part.share * rate).sum()
    };
    let critical = best[&Importance::Critical];
    assert!((critical - offered(Importance::Critical)).abs() < 1.0);
    // The portal's 185 slots: payments hold one for 190 ms, balances for 120 ms.
    let left = 185.0 - 0.15 * rate * 0.190;
    let balances = left / 0.120;
    let normal = best[&Importance::Normal];
    assert!(
        normal >= balances * (1.0 - STEP_TOLERANCE),
        "{normal} of {balances}"
    );
    assert!(normal < offered(Importance::Normal) * 0.5, "{normal}");
}
