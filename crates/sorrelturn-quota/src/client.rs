//! The client side of quotas: the leases of its own shares and the grants that it holds.

use crate::{
    AcquireReply, AcquireRequest, ClockReading, Lease, Now, Outcome, SHARD_COUNT, Shard, ShardSet,
    ValidityConfig,
};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// The factor by which the client extends a lease, because the allocator's clock may run slower than its own.
const CLOCK_MARGIN: f64 = 1.05;
/// The fraction of the lease duration after which a lease is renewed.
///
/// It is below one half because the clock reading of a renewal is already one renewal interval old.
pub const RENEW_AFTER_FRACTION: f64 = 0.4;
/// How long an allocator that didn't answer is skipped.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between acquire requests for a workspace that is over its quota, so that it can't overload its
/// allocator.
const OVER_QUOTA_INTERVAL: Duration = Duration::from_millis(100);
/// The number of workspaces with grant balances above which expired balances are removed.
const MAX_GRANT_BALANCES: usize = 20_000;

/// The recipient of an acquire request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcquireTarget {
    /// The incarnation of the allocator.
    pub allocator: Incarnation,
    /// The lease that is sent with the request.
    pub lease: Option<Lease>,
}

#[derive(Clone, Copy, Debug)]
struct LeasedShare {
    to: Incarnation,
    until: Now,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReading {
    clock_reading: ClockReading,
    at: Now,
}

#[derive(Clone, Copy, Debug)]
struct GrantBalance {
    grants: u32,
    until: Now,
    /// If the workspace is over its quota: when to ask the allocator again, and the Retry-After time.
    over_quota: Option<(Now, Duration)>,
}

/// The leases and grants of one daemon.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    incarnation: Incarnation,
    started: Now,
    /// The lease duration. It only grows, as more members become known.
    lease_duration: Duration,
    validity: ValidityConfig,
    preferred: [Option<Incarnation>; SHARD_COUNT],
    leased: [Option<LeasedShare>; SHARD_COUNT],
    readings: BTreeMap<Incarnation, ReceivedReading>,
    unresponsive: BTreeMap<Incarnation, Now>,
    balances: BTreeMap<CallerId, GrantBalance>,
}

impl QuotaClient {
    /// Creates the state of an incarnation that starts at `now`.
    pub fn new(incarnation: Incarnation, validity: ValidityConfig, now: Now) -> Self {
        Self {
            incarnation,
            started: now,
            lease_duration: validity.min_lease_duration,
            validity,
            preferred: [None; SHARD_COUNT],
            leased: [None; SHARD_COUNT],
            readings: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            balances: BTreeMap::new(),
        }
    }

    /// Sets the preferred allocator of each shard and the number of members.
    pub fn set_preferred(&mut self, members: u32, of_shard: impl Fn(Shard) -> Option<Incarnation>) {
        self.lease_duration = self
            .lease_duration
            .max(self.validity.lease_duration(members));
        for shard in Shard::all() {
            self.preferred[shard.index()] = of_shard(shard);
        }
    }

    /// Returns the lease duration.
    pub fn lease_duration(&self) -> Duration {
        self.lease_duration
    }

    /// Whether an allocator is skipped because it recently didn't answer.
    pub fn is_unresponsive(&self, now: Now, allocator: Incarnation) -> bool {
        let until = self.unresponsive.get(&allocator);
        until.is_some_and(|until| now < *until)
    }

    /// Records that an allocator didn't answer.
    pub fn mark_unresponsive(&mut self, now: Now, allocator: Incarnation) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive
            .insert(allocator, now + UNRESPONSIVE_TIMEOUT);
    }

    /// Uses one grant of a workspace; returns `false` if there is no valid one.
    pub fn use_grant(&mut self, now: Now, workspace: CallerId) -> bool {
        match self.balances.get_mut(&workspace) {
            Some(balance) if now < balance.until && balance.grants > 0 => {
                balance.grants -= 1;
                true
            }
            _ => false,
        }
    }

    /// Returns the Retry-After time of a workspace that was over its quota very recently, in which case the allocator
    /// need not be asked again.
    pub fn retry_after(&self, now: Now, workspace: CallerId) -> Option<Duration> {
        let (until, retry_after) = self.balances.get(&workspace)?.over_quota?;
        (now < until).then_some(retry_after)
    }

    /// Selects the allocator for an acquire request and the lease to send with it. The lease counts as given from this
    /// call.
    ///
    /// A share is leased to one allocator at a time. While a lease to another than the preferred allocator may still
    /// be valid, the request goes to that one without a lease, provided that it answers.
    pub fn target(&mut self, now: Now, shard: Shard) -> Option<AcquireTarget> {
        let preferred = self.preferred[shard.index()]?;
        let other_lessee = self.leased_elsewhere(now, shard, preferred);
        match other_lessee.filter(|other| !self.is_unresponsive(now, *other)) {
            Some(allocator) => Some(AcquireTarget {
                allocator,
                lease: None,
            }),
            None => Some(AcquireTarget {
                allocator: preferred,
                lease: self.lease_shares(now, preferred),
            }),
        }
    }

    /// Returns one shard for each allocator whose lease is due for renewal or not yet established.
    pub fn due_renewals(&self, now: Now) -> Vec<Shard> {
        let renew_after = self.lease_duration.mul_f64(RENEW_AFTER_FRACTION);
        let mut due: Vec<Shard> = Vec::new();
        for shard in Shard::all() {
            let Some(allocator) = self.preferred[shard.index()] else {
                continue;
            };
            let reading = self.readings.get(&allocator);
            let is_due = reading.is_none_or(|reading| now >= reading.at + renew_after);
            let has_renewal = due
                .iter()
                .any(|other| self.preferred[other.index()] == Some(allocator));
            if is_due && !has_renewal && !self.is_unresponsive(now, allocator) {
                due.push(shard);
            }
        }
        due
    }

    /// Builds the acquire request for a target.
    pub fn acquire_request(
        &self,
        target: AcquireTarget,
        members: u32,
        workspace: Option<CallerId>,
    ) -> AcquireRequest {
        AcquireRequest {
            from: self.incarnation,
            lease: target.lease,
            members,
            workspace,
            requested: u32::from(workspace.is_some()),
        }
    }

    /// Processes the reply to an acquire request sent at `sent`; returns whether the client request may run.
    pub fn accept_reply(
        &mut self,
        now: Now,
        sent: Now,
        workspace: CallerId,
        reply: &AcquireReply,
    ) -> bool {
        self.record_reading(now, reply.clock_reading);
        let grants = match reply.outcome {
            Outcome::Granted(grants) => grants,
            Outcome::UsedUp(retry_after) => {
                self.balance(now, workspace).over_quota =
                    Some((now + OVER_QUOTA_INTERVAL, retry_after));
                return false;
            }
            Outcome::Nothing => return false,
        };
        let until = sent + self.validity.grant_validity;
        if now >= until || grants == 0 {
            return false;
        }
        let balance = self.balance(now, workspace);
        balance.over_quota = None;
        if now >= balance.until {
            balance.grants = 0;
            balance.until = until;
        }
        // New grants don't extend the validity of older ones.
        balance.until = balance.until.min(until);
        balance.grants += grants - 1;
        true
    }

    fn balance(&mut self, now: Now, workspace: CallerId) -> &mut GrantBalance {
        if self.balances.len() >= MAX_GRANT_BALANCES {
            let is_over =
                |balance: &GrantBalance| balance.over_quota.is_some_and(|(until, _)| now < until);
            self.balances
                .retain(|_, balance| now < balance.until || is_over(balance));
        }
        self.balances.entry(workspace).or_insert(GrantBalance {
            grants: 0,
            until: Now::ZERO,
            over_quota: None,
        })
    }

    /// Records the clock reading of an allocator's reply.
    pub fn record_reading(&mut self, now: Now, clock_reading: ClockReading) {
        self.unresponsive.remove(&clock_reading.incarnation);
        let lease = self.lease_duration;
        self.readings.retain(|_, reading| now < reading.at + lease);
        self.readings.insert(
            clock_reading.incarnation,
            ReceivedReading {
                clock_reading,
                at: now,
            },
        );
    }

    /// Returns the fraction of shards whose shares are leased.
    pub fn leased_fraction(&self, now: Now) -> f64 {
        let leased = self
            .leased
            .iter()
            .flatten()
            .filter(|leased| now < leased.until);
        leased.count() as f64 / SHARD_COUNT as f64
    }

    fn leased_elsewhere(&self, now: Now, shard: Shard, than: Incarnation) -> Option<Incarnation> {
        let leased = self.leased[shard.index()].filter(|leased| now < leased.until)?;
        (leased.to != than).then_some(leased.to)
    }

    /// Leases to an allocator the shares of all its shards that are not leased to others.
    fn lease_shares(&mut self, now: Now, to: Incarnation) -> Option<Lease> {
        let reading = *self.readings.get(&to)?;
        // The allocator counts from its clock reading, which is older than the time at which it was received.
        let until = reading.at + self.lease_duration.mul_f64(CLOCK_MARGIN);
        // A lease of the previous incarnation, unknown to this one, may still be valid.
        let leases_from = self.started + self.lease_duration.mul_f64(CLOCK_MARGIN);
        if now < leases_from || now >= until {
            return None;
        }
        let shards: ShardSet = Shard::all()
            .filter(|shard| self.preferred[shard.index()] == Some(to))
            .filter(|shard| self.leased_elsewhere(now, *shard, to).is_none())
            .collect();
        for shard in shards.iter() {
            self.leased[shard.index()] = Some(LeasedShare { to, until });
        }
        let clock_reading = reading.clock_reading;
        let duration = self.lease_duration;
        (!shards.is_empty()).then_some(Lease {
            clock_reading,
            shards,
            duration,
        })
    }
}
