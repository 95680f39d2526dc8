//! Experiments: guard the effect of the product's mechanisms under load and faults, and the errors on invalid
//! files. Bounds lie between the results with and without a mechanism.

use sorrelturn_bench::experiment::{
    Experiment, Mechanism, Outcome, plot, simulate_experiment, table,
};
use std::{
    path::{Path, PathBuf},
    sync::OnceLock,
};

const SEEDS: u64 = 4;

fn shipped(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    root.join(name)
}

fn experiment(name: &str) -> Experiment {
    Experiment::read(&shipped(name)).expect("a shipped experiment")
}

fn simulate(experiment: &Experiment) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        sum.add(&simulate_experiment(experiment, seed));
    }
    sum
}

fn simulate_without(name: &str, mechanism: Mechanism) -> Outcome {
    let mut experiment = experiment(name);
    experiment.without.push(mechanism);
    simulate(&experiment)
}

fn served(outcome: &Outcome, kind: &str, from: usize, to: usize) -> f64 {
    let kind = outcome.kinds.iter().find(|known| known.kind == kind);
    let counts = kind.expect("a kind").between(from, to);
    f64::from(counts.good + counts.late) / f64::from(counts.requested)
}

/// A service refuses 55 % of its requests for eight seconds although it has free slots.
#[test]
fn requests_refused_with_free_slots_are_sent_again_within_the_retry_limit() {
    let outcome = simulate(&experiment("wide-rejection.jsonc"));
    let worth = outcome.worth_between(12, 20);
    assert!(worth > 0.36, "{worth}");
    let bare = simulate_without("wide-rejection.jsonc", Mechanism::SendingAgain);
    let bare = bare.worth_between(12, 20);
    assert!(worth > bare + 0.03, "{worth} with, {bare} without");
}

/// Guards the retry limit itself, over all daemons and the whole time.
#[test]
fn retries_stay_within_the_limit_while_a_service_refuses_most_requests() {
    let experiment = experiment("wide-rejection.jsonc");
    for seed in 0..SEEDS {
        let outcome = simulate_experiment(&experiment, seed);
        for service in &outcome.services {
            let first_arrivals = (service.arrived - service.repeated) as f64;
            let max_repeated =
                experiment.retries.ratio * first_arrivals + 3.0 * experiment.retries.slack;
            assert!(service.repeated as f64 <= max_repeated, "{service:?}");
        }
    }
}

/// Guards against a shedding level that oscillates after one of three instances of a service is lost. Only slots
/// within the tuned limits of the others count.
#[test]
fn the_remaining_slots_stay_in_use_after_an_instance_is_lost() {
    let outcome = simulate(&experiment("lost-instance.jsonc"));
    let (slot_usage, spread) = outcome.slot_usage_between("devices", 34, 50);
    assert!(slot_usage > 0.88, "{slot_usage}");
    assert!(spread < 0.26, "{spread}");
    // During an additional burst with a steady load.
    let (slot_usage, spread) = outcome.slot_usage_between("devices", 23, 28);
    assert!(slot_usage > 0.92, "{slot_usage}");
    assert!(spread < 0.2, "{spread}");
}

/// All daemons restart during a burst and lose what they learned; the shedding level recovers in a few seconds.
#[test]
fn a_burst_is_tolerated_again_soon_after_all_daemons_restarted() {
    let outcome = simulate(&experiment("burst-and-restart.jsonc"));
    let before = outcome.worth_between(8, 14);
    let after = outcome.worth_between(23, 30);
    assert!(after > before - 0.03, "{after} after, {before} before");
    assert!(served(&outcome, "refund", 23, 30) > 0.98);
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let experiment = experiment("slow-instance.jsonc");
    assert_eq!(
        simulate_experiment(&experiment, 7),
        simulate_experiment(&experiment, 7)
    );
    assert_ne!(
        simulate_experiment(&experiment, 7),
        simulate_experiment(&experiment, 8)
    );
}

#[test]
fn the_table_and_the_chart_show_each_kind() {
    let outcome = simulate_experiment(&experiment("slow-instance.jsonc"), 1);
    let outcomes = [("as it is", &outcome)];
    let (text, chart) = (table(&outcomes, &[(8, 18)]), plot(&outcomes));
    for kind in &outcome.kinds {
        assert!(text.contains(&format!("| {} |", kind.kind)), "{text}");
        assert!(chart.contains(&kind.kind));
    }
    assert!(chart.starts_with("<svg") && chart.ends_with("</svg>\n"));
}

/// The error of a text that isn't a valid experiment.
fn parse_error(text: &str) -> String {
    let parsed = Experiment::parse("it.jsonc", text);
    parsed.expect_err("the text is invalid").to_string()
}

const VALID: &str = r#"{
  "about": "", "seconds": 1,
  "services": { "a": { "instances": 1, "slots": 2 } },
  "kinds": { "k": { "service": "a", "work_ms": 5, "deadline_ms": 100, "per_second": 10 } }
}"#;

#[test]
fn an_invalid_file_is_rejected_with_the_place_and_what_to_write_instead() {
    assert!(Experiment::parse("it.jsonc", VALID).is_ok());
    let cases = [
        (
            r#""slots": 2"#,
            r#""slot": 2"#,
            "it.jsonc, line 3: unknown field `slot`",
        ),
        (
            r#""slots": 2"#,
            r#""slots": 0"#,
            "service a has no instances or no slots",
        ),
        (
            r#""service": "a""#,
            r#""service": "b""#,
            "names service b, which is not defined; write one of: a",
        ),
        (
            r#""work_ms": 5"#,
            r#""work_ms": -5"#,
            "work_ms of kind k is -5; write a number above 0",
        ),
        (
            r#""per_second": 10"#,
            r#""calls": [{ "kind": "x" }]"#,
            "kind k calls x, which is not defined; write one of: k",
        ),
        (
            r#""per_second": 10"#,
            r#""calls": [{ "kind": "k" }]"#,
            "the calls of kind k form a cycle",
        ),
        (
            r#""seconds": 1"#,
            r#""seconds": 0"#,
            "seconds is 0; write a number above 0",
        ),
    ];
    for (part, invalid, expected) in cases {
        let error = parse_error(&VALID.replace(part, invalid));
        assert!(error.contains(expected), "{error}");
    }
    let missing = Experiment::read(Path::new("nowhere.jsonc")).expect_err("no such file");
    assert!(
        missing
            .to_string()
            .starts_with("nowhere.jsonc can't be read")
    );
}

/// The outcome of the large fleet, simulated once for all tests since it takes seconds.
fn large_fleet() -> &'static Outcome {
    static OUTCOME: OnceLock<Outcome> = OnceLock::new();
    OUTCOME.get_or_init(|| simulate_two_seeds(&experiment("large-fleet.jsonc")))
}

fn simulate_two_seeds(experiment: &Experiment) -> Outcome {
    let mut sum = simulate_experiment(experiment, 0);
    sum.add(&simulate_experiment(experiment, 1));
    sum
}

/// The smallest service of a fleet of 95 VMs is the bottleneck and slows down with its last two slots in use. Guards
/// the tuning of its limit.
#[test]
fn a_bottleneck_service_is_not_kept_at_a_limit_where_it_slows_down() {
    let worth = large_fleet().worth();
    let mut bare = experiment("large-fleet.jsonc");
    bare.without.push(Mechanism::BestSlots);
    let bare = simulate_two_seeds(&bare).worth();
    assert!(worth > 0.69, "{worth}");
    assert!(worth > bare + 0.04, "{worth} with, {bare} without");
}

/// The same fleet without the slowdown: tuning the limit must cost little.
#[test]
fn tuning_the_limit_costs_little_where_there_is_no_better_one() {
    let mut experiment = experiment("large-fleet.jsonc");
    for service in experiment.services.values_mut() {
        service.knee_times = 1.0;
    }
    let worth = simulate_two_seeds(&experiment).worth();
    experiment.without.push(Mechanism::BestSlots);
    let bare = simulate_two_seeds(&experiment).worth();
    assert!(worth > bare - 0.02, "{worth} with, {bare} without");
}

/// Daemons start without a call graph. Guards against critical requests that fail in nested calls because the graph
/// is learned too slowly.
#[test]
fn a_fleet_that_starts_under_load_learns_the_call_graph_within_two_seconds() {
    let outcome = large_fleet();
    let critical = outcome.kinds.iter().find(|kind| kind.kind == "certify");
    let counts = critical.expect("a kind").between(2, 4);
    let failed = f64::from(counts.failed) / f64::from(counts.requested);
    assert!(failed < 0.06, "{failed}");
}

/// Guards against critical requests that fail after work was done for them. Bookings, which the bottleneck service
/// answers itself, are served more often than reads of their importance.
#[test]
fn most_requests_are_refused_at_the_entry_and_reads_before_bookings() {
    let outcome = large_fleet();
    let critical = outcome.kinds.iter().find(|kind| kind.kind == "certify");
    let counts = critical.expect("a kind").total();
    let failed = f64::from(counts.failed) / f64::from(counts.requested);
    assert!(failed < 0.07, "{failed}");
    let (books, reads) = (
        served(outcome, "book", 0, 40),
        served(outcome, "read", 0, 40),
    );
    assert!(
        books > reads,
        "{books} of the bookings, {reads} of the reads"
    );
}

/// A request that crashes each backend server that runs it is sent ten times a second for half a minute. At most six
/// crashes are allowed for each of the two seeds.
#[test]
fn a_request_that_crashes_backend_servers_crashes_only_a_few_before_it_is_quarantined() {
    let mut experiment = experiment("crashing-request.jsonc");
    let crashes = |outcome: &Outcome| {
        outcome
            .services
            .iter()
            .map(|service| service.crashes)
            .sum::<u64>()
    };
    let quarantined = simulate_two_seeds(&experiment);
    assert!(
        crashes(&quarantined) <= 2 * 6,
        "{} crashes",
        crashes(&quarantined)
    );
    assert!(quarantined.worth() > 0.95, "{}", quarantined.worth());
    experiment.without.push(Mechanism::Quarantine);
    let bare = simulate_two_seeds(&experiment);
    assert!(crashes(&bare) > 10 * crashes(&quarantined));
    assert!(bare.worth() < quarantined.worth() - 0.1, "{}", bare.worth());
}

/// Guards against limits of all instances of a service that its callers learn only from refusals deep in the call tree.
#[test]
fn requests_beyond_the_limits_of_a_service_are_refused_at_their_entry_least_important_first() {
    let outcome = simulate(&experiment("named-limits.jsonc"));
    let failed = |outcome: &Outcome, kind: &str| {
        let kind = outcome.kinds.iter().find(|known| known.kind == kind);
        let counts = kind.expect("a kind").between(12, 25);
        f64::from(counts.failed) / f64::from(counts.requested)
    };
    assert!(failed(&outcome, "report") < 0.01);
    let (critical, normal) = (
        served(&outcome, "refund", 12, 25),
        served(&outcome, "report", 12, 25),
    );
    assert!(
        critical > 2.0 * normal,
        "{critical} critical, {normal} normal"
    );
    let bare = simulate_without("named-limits.jsonc", Mechanism::LimitLevels);
    let (with, without) = (failed(&outcome, "refund"), failed(&bare, "refund"));
    assert!(with < without / 4.0, "{with} with, {without} without");
    let others = served(&outcome, "report", 37, 50);
    assert!(others > 0.98, "{others}: the other instances take the rest");
}
