//! Guards against an allocator that grants more than the leased shares allow.

use sorrelturn_protocol::{CallerId, Incarnation};
use sorrelturn_quota::{
    AcquireOutcome, AcquireRequest, ClockReading, Lease, Limit, Now, QuotaAllocator, Shard,
    ShardSet, ValidityConfig,
};
use std::time::Duration;

const VALIDITY: ValidityConfig = ValidityConfig {
    min_lease_duration: Duration::from_secs(1),
    grant_validity: Duration::from_millis(300),
};
const INCARNATION: Incarnation = Incarnation(9);
const LIMIT: Limit = Limit {
    rate: 100.0,
    burst: 50.0,
};
const WORKSPACE: CallerId = CallerId(0);

fn at_ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Leases the share of the workspace's shard, with a clock reading of `now`.
fn request(from: u64, now: Now, requested: u32) -> AcquireRequest {
    let shards: ShardSet = [Shard::of(WORKSPACE)].into_iter().collect();
    let clock_reading = ClockReading {
        incarnation: INCARNATION,
        at: now,
    };
    AcquireRequest {
        from: Incarnation(from),
        lease: Some(Lease {
            clock_reading,
            shards,
            duration: VALIDITY.min_lease_duration,
        }),
        members: 1,
        workspace: Some(WORKSPACE),
        requested,
    }
}

fn granted(outcome: AcquireOutcome) -> u32 {
    match outcome {
        AcquireOutcome::Granted(count) => count,
        _ => 0,
    }
}

/// All `lessors` acquire as many grants as possible every 10 ms; returns the number granted.
fn acquire_in_steps(
    allocator: &mut QuotaAllocator,
    lessors: &[u64],
    members: u32,
    ms: std::ops::Range<u64>,
) -> u32 {
    let steps = ms.step_by(10);
    steps
        .flat_map(|ms| lessors.iter().map(move |lessor| (ms, *lessor)))
        .map(|(ms, lessor)| {
            let request = AcquireRequest {
                members,
                ..request(lessor, at_ms(ms), 100)
            };
            granted(
                allocator
                    .acquire(at_ms(ms), &request, Some(LIMIT), members)
                    .outcome,
            )
        })
        .sum()
}

#[test]
fn grants_are_proportional_to_the_leased_shares() {
    for (lessors, fraction) in [(&[1u64, 2, 3, 4][..], 1.0), (&[1, 2], 0.5), (&[1], 0.25)] {
        let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
        let granted_count = acquire_in_steps(&mut allocator, lessors, 4, 0..5_000);
        let expected = LIMIT.rate * 5.0 * fraction;
        assert!(
            (f64::from(granted_count) - expected).abs() <= 0.02 * expected + 1.0,
            "{granted_count} granted, expected {expected}"
        );
    }
}

#[test]
fn the_share_of_a_departed_member_is_not_redistributed_before_its_lease_expires() {
    let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
    acquire_in_steps(&mut allocator, &[1, 2, 3], 3, 0..2_000);
    // The third member has departed; the lease of its share ends at 2,990 ms.
    let granted_count = acquire_in_steps(&mut allocator, &[1, 2], 2, 2_000..3_000);
    assert!(
        f64::from(granted_count) <= LIMIT.rate * 1.0 + 1.0,
        "{granted_count} granted"
    );
    let later = acquire_in_steps(&mut allocator, &[1, 2], 2, 4_000..5_000);
    assert!(f64::from(later) >= LIMIT.rate * 0.95, "{later} granted");
}

#[test]
fn a_lease_that_arrives_late_counts_from_its_clock_reading() {
    let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
    let late_request = request(1, at_ms(0), 100);
    let reply = allocator.acquire(at_ms(1_500), &late_request, Some(LIMIT), 1);
    assert_eq!(granted(reply.outcome), 0);
    assert_eq!(
        allocator.leased_fraction(at_ms(1_500), Shard::of(WORKSPACE), 1),
        0.0
    );
}

#[test]
fn a_clock_reading_of_an_earlier_incarnation_gives_no_lease() {
    let mut allocator = QuotaAllocator::new(Incarnation(8), VALIDITY, Now::ZERO);
    allocator.acquire(at_ms(10), &request(1, at_ms(10), 1), Some(LIMIT), 1);
    assert_eq!(
        allocator.leased_fraction(at_ms(10), Shard::of(WORKSPACE), 1),
        0.0
    );
}

#[test]
fn retry_after_grows_with_the_number_of_refused_requests() {
    let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
    acquire_in_steps(&mut allocator, &[1], 1, 0..1_000);
    let retry_after = |allocator: &mut QuotaAllocator, ms| match allocator
        .acquire(at_ms(ms), &request(1, at_ms(ms), 1), Some(LIMIT), 1)
        .outcome
    {
        AcquireOutcome::UsedUp(retry_after) => retry_after,
        other => panic!("{other:?}"),
    };
    let first = retry_after(&mut allocator, 991);
    for _ in 0..200 {
        retry_after(&mut allocator, 992);
    }
    assert!(retry_after(&mut allocator, 993) > 2 * first);
}

#[test]
fn a_lowered_limit_caps_accumulated_tokens() {
    let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
    for ms in (0..2_000).step_by(100) {
        let idle = AcquireRequest {
            workspace: None,
            ..request(1, at_ms(ms), 0)
        };
        allocator.acquire(at_ms(ms), &idle, None, 1);
    }
    let lower = Limit {
        rate: 1.0,
        burst: 2.0,
    };
    let reply = allocator.acquire(at_ms(2_000), &request(1, at_ms(2_000), 100), Some(lower), 1);
    assert_eq!(reply.outcome, AcquireOutcome::Granted(2));
}

/// A thread may be delayed between reading its clock and calling the allocator, for instance while its VM is suspended.
#[test]
fn an_out_of_order_clock_reading_counts_no_time_twice() {
    let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
    let mut granted_count = 0;
    for ms in (0..5_000u64).step_by(10) {
        for read in [ms, ms.saturating_sub(400)] {
            let request = request(1, at_ms(read), 100);
            let reply = allocator.acquire(at_ms(read), &request, Some(LIMIT), 1);
            granted_count += granted(reply.outcome);
        }
        allocator.leased_fraction(at_ms(ms.saturating_sub(300)), Shard::of(WORKSPACE), 1);
    }
    assert!(
        f64::from(granted_count) <= LIMIT.rate * 5.0 + 1.0,
        "{granted_count} granted"
    );
}

/// While a fleet's settings change, lessors and allocators may use different ones.
#[test]
fn a_lease_expires_no_later_than_its_lessor_assumes() {
    let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
    let mut short = request(1, at_ms(0), 1);
    if let Some(lease) = &mut short.lease {
        lease.duration = Duration::from_millis(250);
    }
    allocator.acquire(at_ms(0), &short, Some(LIMIT), 1);
    let mut fraction = |ms| allocator.leased_fraction(at_ms(ms), Shard::of(WORKSPACE), 1);
    assert_eq!(fraction(249), 1.0);
    assert_eq!(fraction(250), 0.0);
}

/// Guards against a burst that is granted again because a pool was evicted before it had refilled.
#[test]
fn a_used_up_pool_is_not_evicted_before_it_is_full_again() {
    const BURST_OF_A_MINUTE: Limit = Limit {
        rate: 10.0,
        burst: 600.0,
    };
    let mut allocator = QuotaAllocator::new(INCARNATION, VALIDITY, Now::ZERO);
    let mut acquire = |ms: u64, workspace: CallerId, requested: u32| {
        let mut req = request(1, at_ms(ms), requested);
        req.workspace = Some(workspace);
        let reply = allocator.acquire(at_ms(ms), &req, Some(BURST_OF_A_MINUTE), 1);
        granted(reply.outcome)
    };
    for ms in (0..70_000).step_by(500) {
        acquire(ms, WORKSPACE, 0);
    }
    let first = acquire(70_000, WORKSPACE, 1_000);
    assert!(first >= 500, "{first} granted");
    for ms in (70_500..76_500).step_by(500) {
        acquire(ms, CallerId(1), 0);
    }
    for other in 2..20_100 {
        acquire(76_500, CallerId(other), 1);
    }
    let second = acquire(76_500, WORKSPACE, 1_000);
    assert!(second <= 70, "{second} granted after 6.5 s");
}
