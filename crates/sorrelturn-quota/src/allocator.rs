//! The allocator: grants requests of workspaces from the shares that quota clients lease to it.

use crate::{
    AcquireOutcome, AcquireReply, AcquireRequest, ClockReading, Limit, Now, SHARD_COUNT, Shard,
    ValidityConfig,
};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

const POOL_EVICTION_THRESHOLD: usize = 20_000;
/// For a caller over its quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// The time constant of the decay of the refused requests' backlog.
const BACKLOG_DECAY_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Lessor {
    members: u32,
    leases: [LeasePeriod; SHARD_COUNT],
}

#[derive(Clone, Copy, Debug, Default)]
struct LeasePeriod {
    since: Now,
    until: Now,
}

#[derive(Clone, Copy, Debug)]
struct Pool {
    tokens: f64,
    /// The shard's `leased_share_seconds` at the last credit of tokens.
    credited_share_seconds: f64,
    /// The shard's `leased_share_seconds` at which the pool is full.
    full_at_share_seconds: f64,
    /// The estimated number of refused requests that will be retried.
    backlog: f64,
    last_refusal: Now,
}

/// Grants requests of its shards' workspaces, in proportion to the shares leased to it.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    incarnation: Incarnation,
    validity: ValidityConfig,
    lessors: BTreeMap<Incarnation, Lessor>,
    /// The number of members that share the quotas, and the time before which it can't decrease.
    quota_divisor: (u32, Now),
    /// Per shard, the sum of share times lease time over all leases.
    leased_share_seconds: [f64; SHARD_COUNT],
    leased_fraction: [f64; SHARD_COUNT],
    /// `leased_share_seconds` and `leased_fraction` are computed up to here.
    counted_until: Now,
    pools: BTreeMap<CallerId, Pool>,
}

impl QuotaAllocator {
    /// Creates an allocator without leased shares.
    pub fn new(incarnation: Incarnation, validity: ValidityConfig, now: Now) -> Self {
        Self {
            incarnation,
            validity,
            lessors: BTreeMap::new(),
            quota_divisor: (1, now),
            leased_share_seconds: [0.0; SHARD_COUNT],
            leased_fraction: [0.0; SHARD_COUNT],
            counted_until: now,
            pools: BTreeMap::new(),
        }
    }

    /// Processes an acquire request.
    ///
    /// `limit` is the workspace's token bucket, absent if its quota is unknown here; `members` the number of members
    /// known here.
    pub fn acquire(
        &mut self,
        now: Now,
        req: &AcquireRequest,
        limit: Option<Limit>,
        members: u32,
    ) -> AcquireReply {
        let now = self.monotonic(now);
        self.accept_lease(now, req, members);
        let outcome = match (req.workspace, limit) {
            (Some(workspace), Some(limit)) => self.grant(now, workspace, limit, req.requested),
            _ => AcquireOutcome::NoQuota,
        };
        let clock_reading = ClockReading {
            incarnation: self.incarnation,
            at: now,
        };
        AcquireReply {
            clock_reading,
            outcome,
        }
    }

    /// The fraction of a shard's shares leased to this allocator.
    pub fn leased_fraction(&mut self, now: Now, shard: Shard, members: u32) -> f64 {
        let now = self.monotonic(now);
        self.count_leased(now, members);
        self.leased_fraction[shard.index()]
    }

    fn lease_duration(&self, members: u32) -> Duration {
        self.validity
            .lease_duration(members.max(self.quota_divisor.0))
    }

    /// Raises a time that was read before another thread's update, so that no time is counted twice.
    fn monotonic(&self, now: Now) -> Now {
        now.max(self.counted_until)
    }

    fn accept_lease(&mut self, now: Now, req: &AcquireRequest, members: u32) {
        self.count_leased(now, members);
        let Some(lease) = req
            .lease
            .filter(|lease| lease.clock_reading.incarnation == self.incarnation)
        else {
            return;
        };
        // If the lease durations of lessor and allocator differ, the shorter one applies.
        let until = lease.clock_reading.at + self.lease_duration(members).min(lease.duration);
        if until <= now {
            return;
        }
        let lessor = self.lessors.entry(req.from).or_insert(Lessor {
            members: req.members,
            leases: [LeasePeriod::default(); SHARD_COUNT],
        });
        lessor.members = req.members;
        for shard in lease.shards.iter() {
            let period = &mut lessor.leases[shard.index()];
            if period.until <= now {
                period.since = now;
            }
            period.until = period.until.max(until);
        }
    }

    /// Adds the lease time up to `now` and removes lessors without a valid lease.
    fn count_leased(&mut self, now: Now, members: u32) {
        let previously_counted_until = self.counted_until;
        let share = 1.0 / f64::from(self.quota_divisor(now, members));
        self.leased_fraction = [0.0; SHARD_COUNT];
        for lessor in self.lessors.values() {
            for (index, period) in lessor.leases.iter().enumerate() {
                let from = period.since.max(previously_counted_until);
                let leased = period.until.min(now).saturating_sub(from);
                self.leased_share_seconds[index] += share * leased.as_secs_f64();
                if period.until > now {
                    self.leased_fraction[index] += share;
                }
            }
        }
        self.counted_until = now;
        let has_lease = |lessor: &Lessor| lessor.leases.iter().any(|period| period.until > now);
        self.lessors.retain(|_, lessor| has_lease(lessor));
    }

    /// The number of members that share the quotas: the maximum that any daemon reports. It decreases only after a
    /// lease duration, because departed members' leases are valid until then.
    fn quota_divisor(&mut self, now: Now, members: u32) -> u32 {
        let reported = self.lessors.values().map(|lessor| lessor.members).max();
        let members = reported.unwrap_or(1).max(members).max(1);
        let (previous_divisor, can_decrease_at) = self.quota_divisor;
        if members >= previous_divisor || now >= can_decrease_at {
            self.quota_divisor = (
                members,
                now + self.lease_duration(members.max(previous_divisor)),
            );
        }
        self.quota_divisor.0
    }

    fn grant(
        &mut self,
        now: Now,
        workspace: CallerId,
        limit: Limit,
        requested: u32,
    ) -> AcquireOutcome {
        self.evict_idle_pools();
        let index = Shard::of(workspace).index();
        let (leased, leased_fraction) = (
            self.leased_share_seconds[index],
            self.leased_fraction[index],
        );
        // A new pool is credited for all share-seconds so far; an evicted one has earned tokens meanwhile.
        let pool = self.pools.entry(workspace).or_insert(Pool {
            tokens: 0.0,
            credited_share_seconds: 0.0,
            full_at_share_seconds: 0.0,
            backlog: 0.0,
            last_refusal: now,
        });
        let earned = limit.rate * (leased - pool.credited_share_seconds);
        // At least one request; otherwise a small fragment of the fleet would grant nothing.
        pool.tokens = (pool.tokens + earned).min((limit.burst * leased_fraction).max(1.0));
        pool.credited_share_seconds = leased;
        let granted = (pool.tokens.max(0.0) as u32).min(requested);
        // Against the whole burst, since more shares may be leased later.
        let missing = (limit.burst.max(1.0) - pool.tokens + f64::from(granted)).max(0.0);
        pool.full_at_share_seconds = leased + missing / limit.rate.max(f64::MIN_POSITIVE);
        if granted > 0 {
            pool.tokens -= f64::from(granted);
            return AcquireOutcome::Granted(granted);
        }
        AcquireOutcome::UsedUp(pool.record_refusal(now, limit.rate * leased_fraction))
    }

    fn evict_idle_pools(&mut self) {
        if self.pools.len() < POOL_EVICTION_THRESHOLD {
            return;
        }
        // An evicted pool is recreated full, so only full ones are evicted.
        let leased = self.leased_share_seconds;
        let is_full = |workspace: &CallerId, pool: &Pool| {
            let leased = leased[Shard::of(*workspace).index()];
            leased - pool.credited_share_seconds > BACKLOG_DECAY_TIME.as_secs_f64()
                && leased >= pool.full_at_share_seconds
        };
        self.pools
            .retain(|workspace, pool| !is_full(workspace, pool));
    }
}

impl Pool {
    /// Returns the time after which the estimated backlog has probably drained.
    fn record_refusal(&mut self, now: Now, rate: f64) -> Duration {
        let elapsed = now.saturating_sub(self.last_refusal).as_secs_f64();
        self.backlog = self.backlog * (-elapsed / BACKLOG_DECAY_TIME.as_secs_f64()).exp() + 1.0;
        self.last_refusal = now;
        let retry_after = self.backlog / rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(retry_after)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
