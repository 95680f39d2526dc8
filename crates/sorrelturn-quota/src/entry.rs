//! The entry side of quotas: the leases of its own shares and the grants that it holds.

use crate::{
    AcquireReply, AcquireRequest, ClockReading, Lease, Now, Outcome, SHARDS, Shard, ShardSet, Terms,
};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// The factor by which the entry extends a lease, because the accountant's clock may run slower than its own.
const CLOCK_MARGIN: f64 = 1.05;
/// The fraction of the lease duration after which a lease is renewed.
///
/// It is below one half because the clock reading of a renewal is already one renewal interval old.
pub const RENEW_AFTER_FRACTION: f64 = 0.4;
/// How long an accountant that didn't answer is skipped.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between acquire requests for a workspace that is over its quota, so that it can't overload its
/// accountant.
const OVER_QUOTA_INTERVAL: Duration = Duration::from_millis(100);
/// The number of workspaces with grant balances above which expired balances are removed.
const MAX_GRANT_BALANCES: usize = 20_000;

/// The recipient of an acquire request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// The incarnation of the accountant.
    pub accountant: Incarnation,
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
    /// If the workspace is over its quota: when to ask the accountant again, and the Retry-After time.
    over_quota: Option<(Now, Duration)>,
}

/// The leases and grants of one daemon.
#[derive(Clone, Debug)]
pub struct Entry {
    incarnation: Incarnation,
    started: Now,
    /// The lease duration. It only grows, as more members become known.
    lease: Duration,
    terms: Terms,
    preferred: [Option<Incarnation>; SHARDS],
    leased: [Option<LeasedShare>; SHARDS],
    readings: BTreeMap<Incarnation, ReceivedReading>,
    unresponsive: BTreeMap<Incarnation, Now>,
    balances: BTreeMap<CallerId, GrantBalance>,
}

impl Entry {
    /// Creates the state of an incarnation that starts at `now`.
    pub fn new(incarnation: Incarnation, terms: Terms, now: Now) -> Self {
        Self {
            incarnation,
            started: now,
            lease: terms.lease,
            terms,
            preferred: [None; SHARDS],
            leased: [None; SHARDS],
            readings: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            balances: BTreeMap::new(),
        }
    }

    /// Sets the preferred accountant of each shard and the number of members.
    pub fn set_preferred(&mut self, members: u32, of_shard: impl Fn(Shard) -> Option<Incarnation>) {
        self.lease = self.lease.max(self.terms.lease_duration(members));
        for shard in Shard::all() {
            self.preferred[shard.index()] = of_shard(shard);
        }
    }

    /// Returns the lease duration.
    pub fn lease_duration(&self) -> Duration {
        self.lease
    }

    /// Whether an accountant is skipped because it recently didn't answer.
    pub fn is_unresponsive(&self, now: Now, accountant: Incarnation) -> bool {
        let until = self.unresponsive.get(&accountant);
        until.is_some_and(|until| now < *until)
    }

    /// Records that an accountant didn't answer.
    pub fn mark_unresponsive(&mut self, now: Now, accountant: Incarnation) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive
            .insert(accountant, now + UNRESPONSIVE_TIMEOUT);
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

    /// Returns the Retry-After time of a workspace that was over its quota very recently, in which case the accountant
    /// need not be asked again.
    pub fn retry_after(&self, now: Now, workspace: CallerId) -> Option<Duration> {
        let (until, retry_after) = self.balances.get(&workspace)?.over_quota?;
        (now < until).then_some(retry_after)
    }

    /// Selects the accountant for an acquire request and the lease to send with it. The lease counts as given from this
    /// call.
    ///
    /// A share is leased to one accountant at a time. While a lease to another than the preferred accountant may still
    /// be valid, the request goes to that one without a lease, provided that it answers.
    pub fn target(&mut self, now: Now, shard: Shard) -> Option<Target> {
        let preferred = self.preferred[shard.index()]?;
        let other_lessee = self.leased_elsewhere(now, shard, preferred);
        match other_lessee.filter(|other| !self.is_unresponsive(now, *other)) {
            Some(accountant) => Some(Target {
                accountant,
                lease: None,
            }),
            None => Some(Target {
                accountant: preferred,
                lease: self.lease_shares(now, preferred),
            }),
        }
    }

    /// Returns one shard for each accountant whose lease is due for renewal or not yet established.
    pub fn due_renewals(&self, now: Now) -> Vec<Shard> {
        let renew_after = self.lease.mul_f64(RENEW_AFTER_FRACTION);
        let mut due: Vec<Shard> = Vec::new();
        for shard in Shard::all() {
            let Some(accountant) = self.preferred[shard.index()] else {
                continue;
            };
            let reading = self.readings.get(&accountant);
            let is_due = reading.is_none_or(|reading| now >= reading.at + renew_after);
            let has_renewal = due
                .iter()
                .any(|other| self.preferred[other.index()] == Some(accountant));
            if is_due && !has_renewal && !self.is_unresponsive(now, accountant) {
                due.push(shard);
            }
        }
        due
    }

    /// Builds the acquire request for a target.
    pub fn acquire_request(
        &self,
        target: Target,
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
        let until = sent + self.terms.grant;
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

    /// Records the clock reading of an accountant's reply.
    pub fn record_reading(&mut self, now: Now, clock_reading: ClockReading) {
        self.unresponsive.remove(&clock_reading.incarnation);
        let lease = self.lease;
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
        leased.count() as f64 / SHARDS as f64
    }

    fn leased_elsewhere(&self, now: Now, shard: Shard, than: Incarnation) -> Option<Incarnation> {
        let leased = self.leased[shard.index()].filter(|leased| now < leased.until)?;
        (leased.to != than).then_some(leased.to)
    }

    /// Leases to an accountant the shares of all its shards that are not leased to others.
    fn lease_shares(&mut self, now: Now, to: Incarnation) -> Option<Lease> {
        let reading = *self.readings.get(&to)?;
        // The accountant counts from its clock reading, which is older than the time at which it was received.
        let until = reading.at + self.lease.mul_f64(CLOCK_MARGIN);
        // A lease of the previous incarnation, unknown to this one, may still be valid.
        let leases_from = self.started + self.lease.mul_f64(CLOCK_MARGIN);
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
        let duration = self.lease;
        (!shards.is_empty()).then_some(Lease {
            clock_reading,
            shards,
            duration,
        })
    }
}
