//! `sorrelturn-bench returns`

use super::CommandEntry;
use crate::retry_simulation::{
    OVERLOAD_CASES, PRODUCT_POLICY, RETRYING_KINDS, RetryPolicy, RetryStats, simulate_retries,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use sorrelturn_policy::RetryAfter;
use std::{process::ExitCode, time::Duration};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: "returns",
    signature,
    run,
};

fn signature() -> Command {
    Command::new("returns")
        .about("Simulates callers that are refused and retry, in virtual time")
        .after_help(
            "Example:\n  sorrelturn-bench returns --seeds 10\n\nExit codes:\n  0  the tables are \
             printed",
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("NUMBER")
                .help("Number of random seeds for each overload")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..)),
        )
}

const RETRY_POLICIES: &[RetryPolicy] = &[
    RetryPolicy {
        name: "fixed Retry-After of about 1 s",
        retry_after_rule: || Box::new(|_, rng| RetryAfter::compute(None, rng)),
        ..PRODUCT_POLICY
    },
    PRODUCT_POLICY,
    RetryPolicy {
        name: "Retry-After of 0.1 s",
        retry_after_rule: || Box::new(|_, _| Duration::from_millis(100)),
        ..PRODUCT_POLICY
    },
    RetryPolicy {
        name: "Retry-After of a third of the time left",
        retry_after_rule: || Box::new(|refused, _| refused.time_left / 3),
        ..PRODUCT_POLICY
    },
    RetryPolicy {
        name: "product, retry bucket halved",
        retry_bucket: |bucket, _| bucket / 2,
        ..PRODUCT_POLICY
    },
    RetryPolicy {
        name: "product, retry bucket unchanged",
        retry_bucket: |bucket, _| bucket,
        ..PRODUCT_POLICY
    },
    RetryPolicy {
        name: "product, retry bucket in the upper half",
        retry_bucket: |bucket, _| 255 - bucket / 2,
        ..PRODUCT_POLICY
    },
];

fn run(args: &ArgMatches) -> ExitCode {
    let seeds = *args.get_one::<u64>("seeds").expect("clap fills it in");
    for case in &OVERLOAD_CASES {
        println!("\n{}\n", case.name);
        println!(
            "| way | kind | asked | good at first | good later | late | not served | came back | \
             as told | as told, served | came back, served | taken, unserved | refused after \
             p50, p99 ms | clients p10, p90 |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for policy in RETRY_POLICIES {
            let mut sums = vec![RetryStats::default(); RETRYING_KINDS.len()];
            for seed in 0..seeds {
                let stats_by_kind = simulate_retries(case, seed, policy);
                for (sum, stats) in sums.iter_mut().zip(&stats_by_kind) {
                    sum.add(stats);
                }
            }
            for (sum, kind) in sums.iter().zip(&RETRYING_KINDS) {
                println!("| {} | {} | {} |", policy.name, kind.name, row(sum));
            }
        }
    }
    ExitCode::SUCCESS
}

fn row(sum: &RetryStats) -> String {
    let percent_of_requested = |count: u32| percent(count, sum.requested);
    let served = sum.good_first + sum.good_later + sum.late;
    let (p10, p90) = sum.client_share_percentiles();
    [
        sum.requested.to_string(),
        percent_of_requested(sum.good_first),
        percent_of_requested(sum.good_later),
        percent_of_requested(sum.late),
        percent_of_requested(sum.requested.saturating_sub(served)),
        percent_of_requested(sum.retried),
        percent(sum.retried_after_wait, sum.retried),
        percent(sum.retried_after_wait_served, sum.retried_after_wait),
        percent(sum.retried_served, sum.retried),
        percent(sum.accepted_unserved, sum.accepted),
        format!(
            "{}, {}",
            refusal_delay_ms(sum, 0.5),
            refusal_delay_ms(sum, 0.99)
        ),
        format!("{:.2}, {:.2}", p10, p90),
    ]
    .join(" | ")
}

fn refusal_delay_ms(sum: &RetryStats, quantile: f64) -> u128 {
    let mut delays = sum.refusal_delays.clone();
    delays.sort_unstable();
    let at = (delays.len() as f64 * quantile) as usize;
    delays.get(at).map_or(0, Duration::as_millis)
}

fn percent(count: u32, whole: u32) -> String {
    if whole == 0 {
        return "-".to_owned();
    }
    format!("{:.1}%", f64::from(count) * 100.0 / f64::from(whole))
}
