//! `sorrelturn-bench exchanges`

use super::CommandEntry;
use crate::{
    exchanges::{ExchangeConfig, exchange_many},
    fleet::{FleetPlan, LocalFleet},
    run_on,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use sorrelturn_bundle::{BundleSource, parse};
use std::process::ExitCode;

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "exchanges",
    signature,
    run,
};

/// Threads shared by the daemons, the backend servers and the callers.
const THREAD_COUNT: usize = 6;
const CONCURRENCY: usize = 128;
const BODY_SIZE_RANGE_BYTES: usize = 20_000;

/// Service `s0` calls `s1`; callers request kind `k0`.
const BUNDLE: &str = r#"{
  "services": {
    "s0": { "slots": 200, "connections": 1000, "cold_start_ms": 1, "kinds": {
      "k0": { "method": "GET", "path": "/k0/{id}", "importance": "normal", "deadline_ms": 5000,
              "execution": "repeatable", "attempts": 6, "exposed": true, "calls": { "k1": 1 } } } },
    "s1": { "slots": 200, "connections": 1000, "cold_start_ms": 1, "kinds": {
      "k1": { "method": "GET", "path": "/k1/{id}", "importance": "normal", "deadline_ms": 5000,
              "execution": "repeatable", "attempts": 3 } } }
  },
  "callers": { "all": { "networks": ["127.0.0.0/8"], "rate_per_second": 100000, "retry_fraction": 0.1 } }
}"#;

fn signature() -> Command {
    Command::new("exchanges")
        .about("Checks that each of many answers is complete and belongs to its request")
        .after_help(
            "Example:\n  sorrelturn-bench exchanges --count 1000000\n\nExit codes:\n  0  no answer \
             was wrong\n  1  at least one answer was wrong",
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("NUMBER")
                .help("Total number of requests")
                .default_value("1000000")
                .value_parser(value_parser!(u32).range(1..)),
        )
}

fn run(args: &ArgMatches) -> ExitCode {
    let config = ExchangeConfig {
        count: *args
            .get_one::<u32>("count")
            .expect("clap fills in the default"),
        concurrency: CONCURRENCY,
        body_size_range_bytes: BODY_SIZE_RANGE_BYTES,
    };
    let counts = run_on(THREAD_COUNT, async |ex| {
        let plan = FleetPlan::new(bundle(), &[("s0", 2), ("s1", 2)], &["a", "b"], &[]);
        let fleet = LocalFleet::start(ex, plan).await;
        exchange_many(&fleet, config).await
    });
    println!(
        "good {}, failed {}, left {}, wrong {}",
        counts.good, counts.failed, counts.left, counts.wrong
    );
    if counts.wrong == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn bundle() -> BundleSource {
    parse("exchanges", BUNDLE).expect("the embedded bundle is valid")
}
