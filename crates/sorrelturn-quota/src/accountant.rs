//! The accountant's side: what it may grant from the shares that are lent to it.

use crate::{
    AcquireReply, AcquireRequest, ClockReading, Limit, Now, Outcome, SHARDS, Shard, Terms,
};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// The most workspaces whose pools are kept; beyond it, those that are full are forgotten first.
const MAX_POOLS: usize = 20_000;
/// A caller that is over its quota is told to come back after this at least.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The longest time that such a caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Those who were refused come back over about this time, or not at all.
const BACKLOG_DECAY_TIME: Duration = Duration::from_secs(5);

/// One daemon's loans of all shards.
#[derive(Clone, Debug)]
struct Lessor {
    members: u32,
    leases: [LeasePeriod; SHARDS],
}

/// From when to when a share is lent.
#[derive(Clone, Copy, Debug, Default)]
struct LeasePeriod {
    since: Now,
    until: Now,
}

/// What is left of a workspace's quota.
#[derive(Clone, Copy, Debug)]
struct Pool {
    tokens: f64,
    /// How much of the shard had been lent when the tokens were counted.
    counted_share_seconds: f64,
    /// Those who were refused and may come back.
    backlog: f64,
    last_refusal: Now,
}

/// Grants what may run of the workspaces of its shards.
#[derive(Clone, Debug)]
pub struct Accountant {
    incarnation: Incarnation,
    terms: Terms,
    lessors: BTreeMap<Incarnation, Lessor>,
    /// Among how many members the quotas are divided, and until when this can't fall.
    members: (u32, Now),
    /// The sum over all loans of a shard of share times time, in seconds.
    leased_share_seconds: [f64; SHARDS],
    /// The part of all shares that is lent now.
    leased_fraction: [f64; SHARDS],
    /// Up to when both are counted.
    counted_until: Now,
    pools: BTreeMap<CallerId, Pool>,
}

impl Accountant {
    /// An accountant that nobody has lent anything yet.
    pub fn new(incarnation: Incarnation, terms: Terms, now: Now) -> Self {
        Self {
            incarnation,
            terms,
            lessors: BTreeMap::new(),
            members: (1, now),
            leased_share_seconds: [0.0; SHARDS],
            leased_fraction: [0.0; SHARDS],
            counted_until: now,
            pools: BTreeMap::new(),
        }
    }

    /// Answers a daemon. `limit` is that of the workspace that it asks for, absent if none is known here; `members`
    /// is among how many this accountant believes the quotas to be divided.
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
            _ => Outcome::Nothing,
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

    /// The part of a shard's shares that is lent to this accountant.
    pub fn leased_fraction(&mut self, now: Now, shard: Shard, members: u32) -> f64 {
        let now = self.monotonic(now);
        self.count_leased(now, members);
        self.leased_fraction[shard.index()]
    }

    fn lease(&self, members: u32) -> Duration {
        self.terms.lease_duration(members.max(self.members.0))
    }

    /// A thread may be held up after it read the clock: what was counted already must not be counted again.
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
        // Where the two have other settings, it is over for both when it is for one.
        let until = lease.clock_reading.at + self.lease(members).min(lease.duration);
        if until <= now {
            return;
        }
        let lessor = self.lessors.entry(req.from).or_insert(Lessor {
            members: req.members,
            leases: [LeasePeriod::default(); SHARDS],
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

    /// Counts what was lent up to now.
    fn count_leased(&mut self, now: Now, members: u32) {
        let before = self.counted_until;
        let share = 1.0 / f64::from(self.quota_divisor(now, members));
        self.leased_fraction = [0.0; SHARDS];
        for lessor in self.lessors.values() {
            for (index, period) in lessor.leases.iter().enumerate() {
                let from = period.since.max(before);
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

    /// Among how many members the quotas are divided, as far as anybody knows. What a member that has gone had lent
    /// holds for a lease longer, and until then its share isn't the others'.
    fn quota_divisor(&mut self, now: Now, members: u32) -> u32 {
        let reported = self.lessors.values().map(|lessor| lessor.members).max();
        let members = reported.unwrap_or(1).max(members).max(1);
        let (before, locked_until) = self.members;
        if members >= before || now >= locked_until {
            self.members = (members, now + self.lease(members.max(before)));
        }
        self.members.0
    }

    fn grant(&mut self, now: Now, workspace: CallerId, limit: Limit, requested: u32) -> Outcome {
        self.evict_idle_pools();
        let index = Shard::of(workspace).index();
        let (leased, leased_fraction) = (
            self.leased_share_seconds[index],
            self.leased_fraction[index],
        );
        // Of a workspace that nobody asked for before, nothing was granted since this run began.
        let pool = self.pools.entry(workspace).or_insert(Pool {
            tokens: 0.0,
            counted_share_seconds: 0.0,
            backlog: 0.0,
            last_refusal: now,
        });
        let earned = limit.rate * (leased - pool.counted_share_seconds);
        // However small the part is, a request fits in: else a fragment of the fleet would serve nobody.
        pool.tokens = (pool.tokens + earned).min((limit.burst * leased_fraction).max(1.0));
        pool.counted_share_seconds = leased;
        let granted = (pool.tokens.max(0.0) as u32).min(requested);
        if granted > 0 {
            pool.tokens -= f64::from(granted);
            return Outcome::Granted(granted);
        }
        Outcome::UsedUp(pool.record_refusal(now, limit.rate * leased_fraction))
    }

    fn evict_idle_pools(&mut self) {
        if self.pools.len() < MAX_POOLS {
            return;
        }
        // One that is gone starts as if nothing had been granted, which is true only of those that are full.
        let leased = self.leased_share_seconds;
        let is_idle = |workspace: &CallerId, pool: &Pool| {
            leased[Shard::of(*workspace).index()] - pool.counted_share_seconds
                > BACKLOG_DECAY_TIME.as_secs_f64()
        };
        self.pools
            .retain(|workspace, pool| !is_idle(workspace, pool));
    }
}

impl Pool {
    /// Counts one who is refused; returns when there is probably room, after all those who were refused before.
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
