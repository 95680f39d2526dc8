//! Simulates daemons that lease shares to one allocator over a network with delays. Guards against shares that stay
//! unleased long after a start, and against too many renewals.

use sorrelturn_protocol::Incarnation;
use sorrelturn_quota::{
    AcquireReply, AcquireRequest, Now, QuotaAllocator, QuotaClient, RENEW_AFTER_FRACTION, Shard,
    ValidityConfig,
};
use std::time::Duration;

const DAEMONS: u32 = 20;
/// A fleet in which renewals at the shortest lease duration would overload an allocator.
const MANY_DAEMONS: u32 = 600;
const ALLOCATOR: Incarnation = Incarnation(100);
const SHARD: Shard = Shard(0);
const STEP: Duration = Duration::from_millis(5);
const SIMULATED_DURATION: Duration = Duration::from_secs(10);
/// Ends the startup phase for every lease duration.
const STARTUP_DURATION: Duration = Duration::from_secs(4);
const LEASE_DURATIONS_MS: [u64; 3] = [1_000, 500, 250];
/// Between neighbouring failure domains and between continents.
const NEAR_ONE_WAY_DELAY: Duration = Duration::from_millis(1);
const FAR_ONE_WAY_DELAY: Duration = Duration::from_millis(80);

#[derive(Debug)]
struct Played {
    /// The time from the start until nearly all shares are leased.
    until_lent: Now,
    /// The minimum and mean fraction of shares leased after startup.
    least: f64,
    mean: f64,
    /// Renewals per daemon and second.
    renewals: f64,
}

struct Daemon {
    client: QuotaClient,
    /// With its arrival time.
    reply_in_transit: Option<(Now, AcquireReply)>,
}

fn simulate(members: u32, lease: Duration, one_way_delay: Duration) -> Played {
    let validity = ValidityConfig {
        min_lease_duration: lease,
        grant_validity: Duration::from_millis(150),
    };
    let mut allocator = QuotaAllocator::new(ALLOCATOR, validity, Now::ZERO);
    let mut daemons: Vec<Daemon> = (0..members)
        .map(|incarnation| {
            let mut client = QuotaClient::new(Incarnation(incarnation.into()), validity, Now::ZERO);
            client.set_preferred(members, |shard| (shard == SHARD).then_some(ALLOCATOR));
            Daemon {
                client,
                reply_in_transit: None,
            }
        })
        .collect();
    let mut in_transit: Vec<(Now, usize, AcquireRequest)> = Vec::new();
    let (mut until_lent, mut fractions, mut renewals) = (None, Vec::new(), 0);
    let mut now = Now::ZERO;
    while now < SIMULATED_DURATION {
        for (index, daemon) in daemons.iter_mut().enumerate() {
            if let Some((_, reply)) = daemon
                .reply_in_transit
                .take_if(|(arrives, _)| *arrives <= now)
            {
                daemon.client.record_reading(now, reply.clock_reading);
            }
            let is_waiting = daemon.reply_in_transit.is_some()
                || in_transit.iter().any(|(_, sender, _)| *sender == index);
            let due = daemon.client.due_renewals(now);
            if !is_waiting && !due.is_empty() {
                let target = daemon
                    .client
                    .target(now, SHARD)
                    .expect("a preferred allocator");
                let req = daemon.client.acquire_request(target, members, None);
                in_transit.push((now + one_way_delay, index, req));
                renewals += 1;
            }
        }
        for (_, index, req) in in_transit.extract_if(.., |(arrives, ..)| *arrives <= now) {
            let reply = allocator.acquire(now, &req, None, members);
            daemons[index].reply_in_transit = Some((now + one_way_delay, reply));
        }
        let fraction = allocator.leased_fraction(now, SHARD, members);
        if fraction > 0.95 {
            until_lent.get_or_insert(now);
        }
        if now >= STARTUP_DURATION {
            fractions.push(fraction);
        }
        now += STEP;
    }
    let simulated = Played {
        until_lent: until_lent.unwrap_or(SIMULATED_DURATION),
        least: fractions.iter().copied().fold(1.0, f64::min),
        mean: fractions.iter().sum::<f64>() / fractions.len() as f64,
        renewals: f64::from(renewals) / f64::from(members) / SIMULATED_DURATION.as_secs_f64(),
    };
    // Printed for docs/design/quotas.md.
    println!(
        "{members} daemons, lease duration {lease:?}, one-way delay {one_way_delay:?}: {simulated:?}"
    );
    simulated
}

#[test]
fn shares_are_leased_soon_after_one_lease_duration_when_a_fleet_starts() {
    for lease_ms in LEASE_DURATIONS_MS {
        let lease = Duration::from_millis(lease_ms);
        let simulated = simulate(DAEMONS, lease, NEAR_ONE_WAY_DELAY);
        assert!(simulated.until_lent >= lease, "{simulated:?}");
        assert!(
            simulated.until_lent <= lease.mul_f64(1.5) + STEP,
            "{simulated:?}"
        );
        assert!(simulated.least > 0.99, "{simulated:?}");
        let max_renewals = 1.0 / (lease.as_secs_f64() * RENEW_AFTER_FRACTION);
        assert!(simulated.renewals <= max_renewals * 1.1, "{simulated:?}");
    }
}

#[test]
fn shares_are_partly_unleased_if_a_lease_is_shorter_than_ten_round_trips() {
    let long = simulate(DAEMONS, Duration::from_secs(2), FAR_ONE_WAY_DELAY);
    assert!(long.least > 0.99, "{long:?}");
    let short = simulate(DAEMONS, Duration::from_secs(1), FAR_ONE_WAY_DELAY);
    assert!(short.mean < 0.9, "{short:?}");
}

/// The minimum lease duration depends on the fleet size, regardless of the settings.
#[test]
fn renewals_per_allocator_are_limited_regardless_of_the_fleet_size() {
    let few = simulate(DAEMONS, Duration::from_millis(250), NEAR_ONE_WAY_DELAY);
    let many = simulate(MANY_DAEMONS, Duration::from_millis(250), NEAR_ONE_WAY_DELAY);
    for (members, simulated) in [(DAEMONS, &few), (MANY_DAEMONS, &many)] {
        assert!(
            simulated.renewals * f64::from(members) < 900.0,
            "{members}: {simulated:?}"
        );
        assert!(simulated.least > 0.99, "{members}: {simulated:?}");
    }
    // A larger fleet takes longer to lease its shares after a start.
    assert!(many.until_lent > few.until_lent);
}
