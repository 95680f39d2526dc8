//! `sorrelturn-bench returns`

use super::CommandEntry;
use crate::returns::{PRESSINGS, PRODUCT, RETURNING_KINDS, ReturnWay, Returned, play_returns};
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
        .about("Plays callers that are refused and come back as told, in virtual time")
        .after_help(
            "Example:\n  sorrelturn-bench returns --seeds 10\n\nExit codes:\n  0  the tables are \
             printed",
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("NUMBER")
                .help("Plays of each pressure, with other luck each")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..)),
        )
}

/// The ways that are compared.
const WAYS: &[ReturnWay] = &[
    ReturnWay {
        name: "about a second, whatever presses",
        rule: || Box::new(|_, rng| RetryAfter::compute(None, rng)),
        ..PRODUCT
    },
    PRODUCT,
    ReturnWay {
        name: "at once",
        rule: || Box::new(|_, _| Duration::from_millis(100)),
        ..PRODUCT
    },
    ReturnWay {
        name: "after a third of the time left",
        rule: || Box::new(|refused, _| refused.left / 3),
        ..PRODUCT
    },
    ReturnWay {
        name: "as the product, half as far up in the rank",
        order: |bucket, _| bucket / 2,
        ..PRODUCT
    },
    ReturnWay {
        name: "as the product, like first tries",
        order: |bucket, _| bucket,
        ..PRODUCT
    },
    ReturnWay {
        name: "as the product, before first tries",
        order: |bucket, _| 255 - bucket / 2,
        ..PRODUCT
    },
];

fn run(args: &ArgMatches) -> ExitCode {
    let seeds = *args.get_one::<u64>("seeds").expect("clap fills it in");
    for pressing in &PRESSINGS {
        println!("\n{}\n", pressing.name);
        println!(
            "| way | kind | asked | good at first | good later | late | not served | came back | \
             as told | as told, served | came back, served | taken, unserved | refused after \
             p50, p99 ms | clients p10, p90 |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for way in WAYS {
            let mut sums = vec![Returned::default(); RETURNING_KINDS.len()];
            for seed in 0..seeds {
                let played = play_returns(pressing, seed, way);
                for (sum, returned) in sums.iter_mut().zip(&played) {
                    sum.add(returned);
                }
            }
            for (sum, kind) in sums.iter().zip(&RETURNING_KINDS) {
                println!("| {} | {} | {} |", way.name, kind.name, row(sum));
            }
        }
    }
    ExitCode::SUCCESS
}

fn row(sum: &Returned) -> String {
    let of_asked = |count: u32| percent(count, sum.asked);
    let served = sum.good_first + sum.good_later + sum.late;
    let (p10, p90) = sum.clients();
    [
        sum.asked.to_string(),
        of_asked(sum.good_first),
        of_asked(sum.good_later),
        of_asked(sum.late),
        of_asked(sum.asked.saturating_sub(served)),
        of_asked(sum.came_back),
        percent(sum.as_told, sum.came_back),
        percent(sum.as_told_served, sum.as_told),
        percent(sum.came_back_served, sum.came_back),
        percent(sum.taken_unserved, sum.taken),
        format!("{}, {}", ms(sum, 0.5), ms(sum, 0.99)),
        format!("{:.2}, {:.2}", p10, p90),
    ]
    .join(" | ")
}

fn ms(sum: &Returned, quantile: f64) -> u128 {
    let mut after = sum.refused_after.clone();
    after.sort_unstable();
    let at = (after.len() as f64 * quantile) as usize;
    after.get(at).map_or(0, Duration::as_millis)
}

fn percent(part: u32, whole: u32) -> String {
    if whole == 0 {
        return "-".to_owned();
    }
    format!("{:.1}%", f64::from(part) * 100.0 / f64::from(whole))
}
