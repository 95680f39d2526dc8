//! Experiments: the loads that the product's decisions answer, without network, and what a wrong file says.
//!
//! Each test names the pattern that it plays; the bounds lie between what was measured with the mechanism and without
//! it, nearer to the first (16 seeds; here 4).

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

/// A service turns 55 in 100 away for eight seconds although it has slots. Retries that successes pay for dry up at
/// once: 1.1 % of what arrives is sent again, and 0.33 of the worth is served.
#[test]
fn what_a_service_turns_away_with_slots_free_is_sent_again_while_the_bound_allows_it() {
    let outcome = simulate(&experiment("wide-rejection.jsonc"));
    let worth = outcome.worth_between(12, 20);
    assert!(worth > 0.36, "{worth}");
    let bare = simulate_without("wide-rejection.jsonc", Mechanism::SendingAgain);
    let bare = bare.worth_between(12, 20);
    assert!(worth > bare + 0.03, "{worth} with, {bare} without");
}

/// The bound itself, over the whole play of all daemons: a fifth of what is sent, and the slack.
#[test]
fn sendings_beyond_the_first_keep_the_bound_while_a_service_turns_most_away() {
    let experiment = experiment("wide-rejection.jsonc");
    for seed in 0..SEEDS {
        let outcome = simulate_experiment(&experiment, seed);
        for service in &outcome.services {
            let first = (service.arrived - service.repeated) as f64;
            let most = experiment.retries.ratio * first + 3.0 * experiment.retries.slack;
            assert!(service.repeated as f64 <= most, "{service:?}");
        }
    }
}

/// One of three instances of the smallest service is lost. An integral level swung: half-second means of the slots at
/// work lay 30 points of those that are left apart, at 88 in 100 on the mean. Counted are the slots that the two others
/// work best with: since gates find that out, these are no longer two thirds of what is announced.
#[test]
fn the_slots_that_are_left_stay_at_work_after_an_instance_is_lost() {
    let outcome = simulate(&experiment("lost-instance.jsonc"));
    let (at_work, apart) = outcome.slot_usage_between("devices", 34, 50);
    assert!(at_work > 0.88, "{at_work}");
    assert!(apart < 0.26, "{apart}");
    // In a burst on top of it, which presses steadily.
    let (at_work, apart) = outcome.slot_usage_between("devices", 23, 28);
    assert!(at_work > 0.92, "{at_work}");
    assert!(apart < 0.2, "{apart}");
}

/// All daemons end under a burst and start anew, knowing nothing: the level follows within a second or two.
#[test]
fn a_burst_is_borne_again_soon_after_all_daemons_started_anew() {
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
fn the_table_and_the_picture_show_each_kind() {
    let outcome = simulate_experiment(&experiment("slow-instance.jsonc"), 1);
    let outcomes = [("as it is", &outcome)];
    let (text, picture) = (table(&outcomes, &[(8, 18)]), plot(&outcomes));
    for kind in &outcome.kinds {
        assert!(text.contains(&format!("| {} |", kind.kind)), "{text}");
        assert!(picture.contains(&kind.kind));
    }
    assert!(picture.starts_with("<svg") && picture.ends_with("</svg>\n"));
}

/// What a file's text says that is wrong.
fn parse_error(text: &str) -> String {
    let parsed = Experiment::parse("it.jsonc", text);
    parsed.expect_err("it is wrong").to_string()
}

const VALID: &str = r#"{
  "about": "", "seconds": 1,
  "services": { "a": { "instances": 1, "slots": 2 } },
  "kinds": { "k": { "service": "a", "work_ms": 5, "deadline_ms": 100, "per_second": 10 } }
}"#;

#[test]
fn a_wrong_file_is_refused_with_the_place_and_what_to_write_instead() {
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
    for (part, wrong, says) in cases {
        let said = parse_error(&VALID.replace(part, wrong));
        assert!(said.contains(says), "{said}");
    }
    let missing = Experiment::read(Path::new("nowhere.jsonc")).expect_err("no such file");
    assert!(
        missing
            .to_string()
            .starts_with("nowhere.jsonc can't be read")
    );
}

/// The play of the large fleet, once for all tests: it takes seconds. Two seeds lie within 0.01 of sixteen.
fn large_fleet() -> &'static Outcome {
    static OUTCOME: OnceLock<Outcome> = OnceLock::new();
    OUTCOME.get_or_init(|| simulate_two_seeds(&experiment("large-fleet.jsonc")))
}

fn simulate_two_seeds(experiment: &Experiment) -> Outcome {
    let mut sum = simulate_experiment(experiment, 0);
    sum.add(&simulate_experiment(experiment, 1));
    sum
}

/// A fleet of 95 VMs whose smallest service works 1.3 times slower with its last two slots taken, held under pressure for
/// 40 s: 0.71 of the worth, 0.61 where all announced slots are filled.
#[test]
fn a_service_that_binds_is_not_held_where_it_slows_down() {
    let worth = large_fleet().worth();
    let mut bare = experiment("large-fleet.jsonc");
    bare.without.push(Mechanism::BestSlots);
    let bare = simulate_two_seeds(&bare).worth();
    assert!(worth > 0.69, "{worth}");
    assert!(worth > bare + 0.04, "{worth} with, {bare} without");
}

/// The same fleet where nothing slows down: looking for a better limit costs about a hundredth (0.770 and 0.776).
#[test]
fn looking_for_a_better_limit_costs_little_where_there_is_none() {
    let mut experiment = experiment("large-fleet.jsonc");
    for service in experiment.services.values_mut() {
        service.knee_times = 1.0;
    }
    let worth = simulate_two_seeds(&experiment).worth();
    experiment.without.push(Mechanism::BestSlots);
    let bare = simulate_two_seeds(&experiment).worth();
    assert!(worth > bare - 0.02, "{worth} with, {bare} without");
}

/// It starts under load, knowing neither what is a call nor who makes it. With forty requests to know a call and twenty
/// to know who makes it, 23 in 100 critical requests failed deep in its seconds 2 to 4, now 1.
#[test]
fn a_fleet_that_starts_under_load_knows_within_two_seconds_who_calls_whom() {
    let outcome = large_fleet();
    let critical = outcome.kinds.iter().find(|kind| kind.kind == "certify");
    let counts = critical.expect("a kind").between(2, 4);
    let failed = f64::from(counts.failed) / f64::from(counts.requested);
    assert!(failed < 0.06, "{failed}");
}

/// While levels fell between two answers, 9 in 100 critical requests failed deep after work was done for them; holding for
/// a second, 5 in 100. Bookings, which the service that binds answers itself, are served at least as often as reads of
/// their importance.
#[test]
fn most_is_refused_where_it_begins_and_bookings_after_reads() {
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

/// One request crashes each backend server that runs it, and comes ten times a second at any VM, for half a minute. Held
/// by all after its second crash, it takes 3.5 backend servers along and 0.986 of the worth is earned; else 54, and 0.654.
/// The operators bear three crashes and three more.
#[test]
fn a_request_that_crashes_backend_servers_takes_a_handful_along_and_not_the_service() {
    let mut experiment = experiment("crashing-request.jsonc");
    let crashes = |outcome: &Outcome| {
        outcome
            .services
            .iter()
            .map(|service| service.crashes)
            .sum::<u64>()
    };
    let held = simulate_two_seeds(&experiment);
    assert!(crashes(&held) <= 2 * 6, "{} crashes", crashes(&held));
    assert!(held.worth() > 0.95, "{}", held.worth());
    experiment.without.push(Mechanism::Quarantine);
    let bare = simulate_two_seeds(&experiment);
    assert!(crashes(&bare) > 10 * crashes(&held));
    assert!(bare.worth() < held.worth() - 0.1, "{}", bare.worth());
}
