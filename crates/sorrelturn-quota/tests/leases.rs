//! For how long shares are lent: what a short time buys when a whole fleet starts anew, and what it costs where daemons
//! are far from one another.
//!
//! Daemons lend their shares to one accountant, over messages that take as long as told. Seen on a day on which all
//! daemons were killed at once: for a second nobody had anything to lend, and every caller was refused for its quota.

use sorrelturn_protocol::Incarnation;
use sorrelturn_quota::{Accountant, Draw, Drawn, Entry, Now, RENEW_AFTER_PART, Shard, Terms};
use std::time::Duration;

const DAEMONS: u32 = 20;
/// Many times as many, among whom the shortest lease would be more than an accountant bears.
const MANY_DAEMONS: u32 = 600;
const ACCOUNTANT: Incarnation = Incarnation(100);
const SHARD: Shard = Shard(0);
const STEP: Duration = Duration::from_millis(5);
const PLAYED: Duration = Duration::from_secs(10);
/// After this a start is over, whichever the lease.
const SETTLED: Duration = Duration::from_secs(4);
const LEASES_MS: [u64; 3] = [1_000, 500, 250];
/// Between neighbouring failure domains, and between continents.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(80);

/// What became of shares that were lent for so long.
#[derive(Debug)]
struct Played {
    /// From the start until nearly all shares were lent.
    until_lent: Now,
    /// The part of the shares that was lent at least, and on the average, once the start was over.
    least: f64,
    mean: f64,
    /// Renewals of one daemon in a second.
    renewals: f64,
}

struct Daemon {
    entry: Entry,
    /// A renewal on its way back.
    answer: Option<(Now, Drawn)>,
}

fn play(members: u32, lease: Duration, one_way: Duration) -> Played {
    let terms = Terms {
        lease,
        grant: Duration::from_millis(150),
    };
    let mut accountant = Accountant::new(ACCOUNTANT, terms, Now::ZERO);
    let mut daemons: Vec<Daemon> = (0..members)
        .map(|run| {
            let mut entry = Entry::new(Incarnation(run.into()), terms, Now::ZERO);
            entry.prefer(members, |shard| (shard == SHARD).then_some(ACCOUNTANT));
            Daemon {
                entry,
                answer: None,
            }
        })
        .collect();
    let mut on_their_way: Vec<(Now, usize, Draw)> = Vec::new();
    let (mut until_lent, mut parts, mut renewals) = (None, Vec::new(), 0);
    let mut now = Now::ZERO;
    while now < PLAYED {
        for (at, daemon) in daemons.iter_mut().enumerate() {
            if let Some((_, drawn)) = daemon.answer.take_if(|(comes, _)| *comes <= now) {
                daemon.entry.heard(now, drawn.stamp);
            }
            let waits = daemon.answer.is_some() || on_their_way.iter().any(|(_, by, _)| *by == at);
            let due = daemon.entry.due(now);
            if !waits && !due.is_empty() {
                let target = daemon.entry.target(now, SHARD).expect("an accountant");
                let draw = daemon.entry.draw(target, members, None);
                on_their_way.push((now + one_way, at, draw));
                renewals += 1;
            }
        }
        for (_, at, draw) in on_their_way.extract_if(.., |(comes, ..)| *comes <= now) {
            let drawn = accountant.draw(now, &draw, None, members);
            daemons[at].answer = Some((now + one_way, drawn));
        }
        let part = accountant.part_lent(now, SHARD, members);
        if part > 0.95 {
            until_lent.get_or_insert(now);
        }
        if now >= SETTLED {
            parts.push(part);
        }
        now += STEP;
    }
    let played = Played {
        until_lent: until_lent.unwrap_or(PLAYED),
        least: parts.iter().copied().fold(1.0, f64::min),
        mean: parts.iter().sum::<f64>() / parts.len() as f64,
        renewals: f64::from(renewals) / f64::from(members) / PLAYED.as_secs_f64(),
    };
    // For docs/design/quotas.md.
    println!("{members} daemons, lent for {lease:?}, {one_way:?} one way: {played:?}");
    played
}

#[test]
fn a_fleet_that_starts_anew_has_its_shares_lent_soon_after_one_lease() {
    for lease_ms in LEASES_MS {
        let lease = Duration::from_millis(lease_ms);
        let played = play(DAEMONS, lease, NEAR);
        assert!(played.until_lent >= lease, "{played:?}");
        assert!(played.until_lent <= lease.mul_f64(1.5) + STEP, "{played:?}");
        assert!(played.least > 0.99, "{played:?}");
        let most_renewals = 1.0 / (lease.as_secs_f64() * RENEW_AFTER_PART);
        assert!(played.renewals <= most_renewals * 1.1, "{played:?}");
    }
}

#[test]
fn shares_lie_unused_where_a_lease_is_less_than_ten_round_trips() {
    let long = play(DAEMONS, Duration::from_secs(2), FAR);
    assert!(long.least > 0.99, "{long:?}");
    let short = play(DAEMONS, Duration::from_secs(1), FAR);
    assert!(short.mean < 0.9, "{short:?}");
}

/// By the size of the fleet alone, whatever the operators have set.
#[test]
fn an_accountant_answers_some_hundred_renewals_a_second_however_many_daemons_there_are() {
    let few = play(DAEMONS, Duration::from_millis(250), NEAR);
    let many = play(MANY_DAEMONS, Duration::from_millis(250), NEAR);
    for (members, played) in [(DAEMONS, &few), (MANY_DAEMONS, &many)] {
        assert!(
            played.renewals * f64::from(members) < 900.0,
            "{members}: {played:?}"
        );
        assert!(played.least > 0.99, "{members}: {played:?}");
    }
    // What it costs: a fleet of this size waits longer after a start.
    assert!(many.until_lent > few.until_lent);
}
