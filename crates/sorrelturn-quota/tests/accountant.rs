//! What an accountant grants from what is lent to it.

use sorrelturn_protocol::{CallerId, Incarnation};
use sorrelturn_quota::{
    Accountant, Draw, Limit, Loan, Now, Outcome, Shard, ShardSet, Stamp, Terms,
};
use std::time::Duration;

const TERMS: Terms = Terms {
    lease: Duration::from_secs(1),
    grant: Duration::from_millis(300),
};
const RUN: Incarnation = Incarnation(9);
const LIMIT: Limit = Limit {
    rate: 100.0,
    burst: 50.0,
};
const WORKSPACE: CallerId = CallerId(0);

fn at_ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// A draw that lends the share of the workspace's shard, with a stamp of this moment.
fn draw(from: u64, now: Now, wanted: u32) -> Draw {
    let shards: ShardSet = [Shard::of(WORKSPACE)].into_iter().collect();
    let stamp = Stamp { run: RUN, at: now };
    Draw {
        from: Incarnation(from),
        loan: Some(Loan {
            stamp,
            shards,
            lasts: TERMS.lease,
        }),
        members: 1,
        workspace: Some(WORKSPACE),
        wanted,
    }
}

fn granted(outcome: Outcome) -> u32 {
    match outcome {
        Outcome::Granted(count) => count,
        _ => 0,
    }
}

/// All of `lenders` draw as much as there is in each step of 10 ms; returns how much ran.
fn press(
    accountant: &mut Accountant,
    lenders: &[u64],
    members: u32,
    ms: std::ops::Range<u64>,
) -> u32 {
    let steps = ms.step_by(10);
    steps
        .flat_map(|ms| lenders.iter().map(move |lender| (ms, *lender)))
        .map(|(ms, lender)| {
            let draw = Draw {
                members,
                ..draw(lender, at_ms(ms), 100)
            };
            granted(
                accountant
                    .draw(at_ms(ms), &draw, Some(LIMIT), members)
                    .outcome,
            )
        })
        .sum()
}

#[test]
fn it_grants_as_much_of_the_rate_as_is_lent() {
    for (lenders, part) in [(&[1u64, 2, 3, 4][..], 1.0), (&[1, 2], 0.5), (&[1], 0.25)] {
        let mut accountant = Accountant::new(RUN, TERMS, Now::ZERO);
        let ran = press(&mut accountant, lenders, 4, 0..5_000);
        let wanted = LIMIT.rate * 5.0 * part;
        assert!(
            (f64::from(ran) - wanted).abs() <= 0.02 * wanted + 1.0,
            "{ran} {wanted}"
        );
    }
}

#[test]
fn the_share_of_a_member_that_has_gone_is_not_the_others_before_its_loan_is_over() {
    let mut accountant = Accountant::new(RUN, TERMS, Now::ZERO);
    press(&mut accountant, &[1, 2, 3], 3, 0..2_000);
    // The third has gone, and its share was lent up to 2,990 ms.
    let ran = press(&mut accountant, &[1, 2], 2, 2_000..3_000);
    assert!(f64::from(ran) <= LIMIT.rate * 1.0 + 1.0, "{ran}");
    let later = press(&mut accountant, &[1, 2], 2, 4_000..5_000);
    assert!(f64::from(later) >= LIMIT.rate * 0.95, "{later}");
}

#[test]
fn a_loan_that_arrives_late_counts_from_its_stamp() {
    let mut accountant = Accountant::new(RUN, TERMS, Now::ZERO);
    let late = draw(1, at_ms(0), 100);
    let drawn = accountant.draw(at_ms(1_500), &late, Some(LIMIT), 1);
    assert_eq!(granted(drawn.outcome), 0);
    assert_eq!(
        accountant.part_lent(at_ms(1_500), Shard::of(WORKSPACE), 1),
        0.0
    );
}

#[test]
fn a_stamp_of_an_earlier_run_lends_nothing() {
    let mut accountant = Accountant::new(Incarnation(8), TERMS, Now::ZERO);
    accountant.draw(at_ms(10), &draw(1, at_ms(10), 1), Some(LIMIT), 1);
    assert_eq!(
        accountant.part_lent(at_ms(10), Shard::of(WORKSPACE), 1),
        0.0
    );
}

#[test]
fn whoever_presses_more_is_told_to_come_back_later() {
    let mut accountant = Accountant::new(RUN, TERMS, Now::ZERO);
    press(&mut accountant, &[1], 1, 0..1_000);
    let wait = |accountant: &mut Accountant, ms| match accountant
        .draw(at_ms(ms), &draw(1, at_ms(ms), 1), Some(LIMIT), 1)
        .outcome
    {
        Outcome::UsedUp(wait) => wait,
        other => panic!("{other:?}"),
    };
    let first = wait(&mut accountant, 991);
    for _ in 0..200 {
        wait(&mut accountant, 992);
    }
    assert!(wait(&mut accountant, 993) > 2 * first);
}

#[test]
fn a_lower_limit_takes_what_had_gathered() {
    let mut accountant = Accountant::new(RUN, TERMS, Now::ZERO);
    for ms in (0..2_000).step_by(100) {
        let idle = Draw {
            workspace: None,
            ..draw(1, at_ms(ms), 0)
        };
        accountant.draw(at_ms(ms), &idle, None, 1);
    }
    let lower = Limit {
        rate: 1.0,
        burst: 2.0,
    };
    let drawn = accountant.draw(at_ms(2_000), &draw(1, at_ms(2_000), 100), Some(lower), 1);
    assert_eq!(drawn.outcome, Outcome::Granted(2));
}

/// A thread may be held up between its reading of the clock and its turn at the accountant, for as long as a VM is frozen.
#[test]
fn a_reading_of_the_clock_that_comes_out_of_order_counts_no_time_twice() {
    let mut accountant = Accountant::new(RUN, TERMS, Now::ZERO);
    let mut ran = 0;
    for ms in (0..5_000u64).step_by(10) {
        for read in [ms, ms.saturating_sub(400)] {
            let draw = draw(1, at_ms(read), 100);
            let drawn = accountant.draw(at_ms(read), &draw, Some(LIMIT), 1);
            ran += granted(drawn.outcome);
        }
        accountant.part_lent(at_ms(ms.saturating_sub(300)), Shard::of(WORKSPACE), 1);
    }
    assert!(f64::from(ran) <= LIMIT.rate * 5.0 + 1.0, "{ran}");
}

/// While the settings of a fleet change, lenders and accountants may have different ones.
#[test]
fn a_loan_is_over_when_it_is_for_its_lender() {
    let mut accountant = Accountant::new(RUN, TERMS, Now::ZERO);
    let mut short = draw(1, at_ms(0), 1);
    if let Some(loan) = &mut short.loan {
        loan.lasts = Duration::from_millis(250);
    }
    accountant.draw(at_ms(0), &short, Some(LIMIT), 1);
    let mut part = |ms| accountant.part_lent(at_ms(ms), Shard::of(WORKSPACE), 1);
    assert_eq!(part(249), 1.0);
    assert_eq!(part(250), 0.0);
}
