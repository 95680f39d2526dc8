//! The quota client, in the daemon at which a caller's request enters: leases the daemon's shares to allocators and
//! holds the grants it gets.

use crate::{
    AcquireOutcome, AcquireReply, AcquireRequest, ClockReading, Lease, Now, SHARD_COUNT, Shard,
    ShardSet, ValidityConfig,
};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// Extends leases, because an allocator's clock may be slower than the quota client's.
const CLOCK_MARGIN_FACTOR: f64 = 1.05;
/// The fraction of the lease duration after which a lease is renewed; below one half because the clock reading of a
/// renewal is already one renewal interval old.
pub const RENEW_AFTER_FRACTION: f64 = 0.4;
const UNRESPONSIVE_SKIP_DURATION: Duration = Duration::from_secs(3);
/// Between acquire requests for a workspace over its quota, so that it can't overload its allocator.
const OVER_QUOTA_INTERVAL: Duration = Duration::from_millis(100);
const BALANCE_EVICTION_THRESHOLD: usize = 20_000;

/// Where an acquire request goes, and the lease sent with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcquireTarget {
    /// The allocator's incarnation.
    pub allocator: Incarnation,
    /// The lease sent with the request.
    pub lease: Option<Lease>,
}

#[derive(Clone, Copy, Debug)]
struct LeasedShare {
    allocator: Incarnation,
    expires_at: Now,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReading {
    clock_reading: ClockReading,
    /// By the quota client's clock.
    received_at: Now,
}

#[derive(Clone, Copy, Debug)]
struct GrantBalance {
    grants: u32,
    expires_at: Now,
    /// If over its quota: the time of the next acquire request, and the Retry-After time.
    over_quota: Option<(Now, Duration)>,
}

/// Leases the daemon's shares to allocators and requests grants from them.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    incarnation: Incarnation,
    started: Now,
    /// Only increases, as more members become known.
    lease_duration: Duration,
    validity: ValidityConfig,
    preferred_allocators: [Option<Incarnation>; SHARD_COUNT],
    leased: [Option<LeasedShare>; SHARD_COUNT],
    readings: BTreeMap<Incarnation, ReceivedReading>,
    unresponsive_until: BTreeMap<Incarnation, Now>,
    balances: BTreeMap<CallerId, GrantBalance>,
}

impl QuotaClient {
    /// The state of an incarnation that starts at `now`.
    pub fn new(incarnation: Incarnation, validity: ValidityConfig, now: Now) -> Self {
        Self {
            incarnation,
            started: now,
            lease_duration: validity.min_lease_duration,
            validity,
            preferred_allocators: [None; SHARD_COUNT],
            leased: [None; SHARD_COUNT],
            readings: BTreeMap::new(),
            unresponsive_until: BTreeMap::new(),
            balances: BTreeMap::new(),
        }
    }

    /// Sets each shard's preferred allocator and the number of members.
    pub fn set_preferred(&mut self, members: u32, of_shard: impl Fn(Shard) -> Option<Incarnation>) {
        self.lease_duration = self
            .lease_duration
            .max(self.validity.lease_duration(members));
        for shard in Shard::all() {
            self.preferred_allocators[shard.index()] = of_shard(shard);
        }
    }

    /// The lease duration.
    pub fn lease_duration(&self) -> Duration {
        self.lease_duration
    }

    /// Whether an allocator is skipped because it didn't reply.
    pub fn is_unresponsive(&self, now: Now, allocator: Incarnation) -> bool {
        let until = self.unresponsive_until.get(&allocator);
        until.is_some_and(|until| now < *until)
    }

    /// Records that an allocator didn't reply.
    pub fn mark_unresponsive(&mut self, now: Now, allocator: Incarnation) {
        self.unresponsive_until.retain(|_, until| now < *until);
        self.unresponsive_until
            .insert(allocator, now + UNRESPONSIVE_SKIP_DURATION);
    }

    /// Uses one grant; returns `false` if none is valid.
    pub fn use_grant(&mut self, now: Now, workspace: CallerId) -> bool {
        match self.balances.get_mut(&workspace) {
            Some(balance) if now < balance.expires_at && balance.grants > 0 => {
                balance.grants -= 1;
                true
            }
            _ => false,
        }
    }

    /// The Retry-After time of a workspace over its quota very recently, for which no acquire request is needed.
    pub fn retry_after(&self, now: Now, workspace: CallerId) -> Option<Duration> {
        let (until, retry_after) = self.balances.get(&workspace)?.over_quota?;
        (now < until).then_some(retry_after)
    }

    /// Selects the allocator for an acquire request and the lease to send; from then on the shares count as leased.
    ///
    /// A share is leased to one allocator at a time. While a lease to another than the preferred one may be valid, the
    /// request goes there without a lease, unless it is unresponsive.
    pub fn target(&mut self, now: Now, shard: Shard) -> Option<AcquireTarget> {
        let preferred = self.preferred_allocators[shard.index()]?;
        let other_lessee = self.other_lessee_of(now, shard, preferred);
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

    /// One shard for each allocator whose lease is due for renewal or not yet established.
    pub fn due_renewals(&self, now: Now) -> Vec<Shard> {
        let renew_after = self.lease_duration.mul_f64(RENEW_AFTER_FRACTION);
        let mut due: Vec<Shard> = Vec::new();
        for shard in Shard::all() {
            let Some(allocator) = self.preferred_allocators[shard.index()] else {
                continue;
            };
            let reading = self.readings.get(&allocator);
            let is_due = reading.is_none_or(|reading| now >= reading.received_at + renew_after);
            let has_renewal = due
                .iter()
                .any(|other| self.preferred_allocators[other.index()] == Some(allocator));
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

    /// Processes the reply to a request sent at `sent`; returns whether the client request may run.
    pub fn accept_reply(
        &mut self,
        now: Now,
        sent: Now,
        workspace: CallerId,
        reply: &AcquireReply,
    ) -> bool {
        self.record_reading(now, reply.clock_reading);
        let grants = match reply.outcome {
            AcquireOutcome::Granted(grants) => grants,
            AcquireOutcome::UsedUp(retry_after) => {
                self.balance_mut_or_insert(now, workspace).over_quota =
                    Some((now + OVER_QUOTA_INTERVAL, retry_after));
                return false;
            }
            AcquireOutcome::NoQuota => return false,
        };
        let expires_at = sent + self.validity.grant_validity;
        if now >= expires_at || grants == 0 {
            return false;
        }
        let balance = self.balance_mut_or_insert(now, workspace);
        balance.over_quota = None;
        if now >= balance.expires_at {
            balance.grants = 0;
            balance.expires_at = expires_at;
        }
        // All grants of a balance share the earliest expiry.
        balance.expires_at = balance.expires_at.min(expires_at);
        // The client request that waits for this reply uses one grant.
        balance.grants += grants - 1;
        true
    }

    fn balance_mut_or_insert(&mut self, now: Now, workspace: CallerId) -> &mut GrantBalance {
        if self.balances.len() >= BALANCE_EVICTION_THRESHOLD {
            let is_over_quota =
                |balance: &GrantBalance| balance.over_quota.is_some_and(|(until, _)| now < until);
            self.balances
                .retain(|_, balance| now < balance.expires_at || is_over_quota(balance));
        }
        self.balances.entry(workspace).or_insert(GrantBalance {
            grants: 0,
            expires_at: Now::ZERO,
            over_quota: None,
        })
    }

    /// Records the clock reading of an allocator's reply.
    pub fn record_reading(&mut self, now: Now, clock_reading: ClockReading) {
        self.unresponsive_until.remove(&clock_reading.incarnation);
        let lease_duration = self.lease_duration;
        self.readings
            .retain(|_, reading| now < reading.received_at + lease_duration);
        self.readings.insert(
            clock_reading.incarnation,
            ReceivedReading {
                clock_reading,
                received_at: now,
            },
        );
    }

    /// The fraction of shards whose shares are leased.
    pub fn leased_fraction(&self, now: Now) -> f64 {
        let leased = self
            .leased
            .iter()
            .flatten()
            .filter(|leased| now < leased.expires_at);
        leased.count() as f64 / SHARD_COUNT as f64
    }

    fn other_lessee_of(
        &self,
        now: Now,
        shard: Shard,
        allocator: Incarnation,
    ) -> Option<Incarnation> {
        let leased = self.leased[shard.index()].filter(|leased| now < leased.expires_at)?;
        (leased.allocator != allocator).then_some(leased.allocator)
    }

    /// Leases our shares of all shards for which `allocator` is preferred, except those still leased to another one.
    fn lease_shares(&mut self, now: Now, allocator: Incarnation) -> Option<Lease> {
        let reading = *self.readings.get(&allocator)?;
        // The allocator counts from its clock reading, which precedes the time of receipt.
        let expires_at = reading.received_at + self.lease_duration.mul_f64(CLOCK_MARGIN_FACTOR);
        // A lease of the previous incarnation, unknown to this one, may be valid until then.
        let can_lease_at = self.started + self.lease_duration.mul_f64(CLOCK_MARGIN_FACTOR);
        if now < can_lease_at || now >= expires_at {
            return None;
        }
        let shards: ShardSet = Shard::all()
            .filter(|shard| self.preferred_allocators[shard.index()] == Some(allocator))
            .filter(|shard| self.other_lessee_of(now, *shard, allocator).is_none())
            .collect();
        for shard in shards.iter() {
            self.leased[shard.index()] = Some(LeasedShare {
                allocator,
                expires_at,
            });
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
