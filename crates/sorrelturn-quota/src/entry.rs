//! The entry's side: whom it lends its share, and the grants that it holds.

use crate::{
    AcquireReply, AcquireRequest, ClockReading, Lease, Now, Outcome, SHARDS, Shard, ShardSet, Terms,
};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// Clocks of different VMs run alike but for so much of a lease.
const CLOCK_MARGIN: f64 = 1.05;
/// A loan is renewed after so large a part of its time, by a draw or by itself. It is counted from a stamp that is as old when
/// it is sent, so the part is below a half.
pub const RENEW_AFTER_FRACTION: f64 = 0.4;
/// An accountant that didn't answer is passed over for so long.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// So long after a workspace was over its quota nothing is asked for it here: a workspace that presses at all entries would
/// keep its accountant from everybody else, and what it is due is drawn by the other entries meanwhile.
const OVER_QUOTA_INTERVAL: Duration = Duration::from_millis(100);
/// The most workspaces whose grants are held.
const MAX_GRANT_BALANCES: usize = 20_000;

/// Whom a draw goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// The run of the accountant.
    pub accountant: Incarnation,
    /// What is lent with it.
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
    /// Over its quota: until then, and when there is room.
    over_quota: Option<(Now, Duration)>,
}

/// One daemon's loans and grants.
#[derive(Clone, Debug)]
pub struct Entry {
    incarnation: Incarnation,
    started: Now,
    /// For how long a share is lent. It only grows, as more members are known.
    lease: Duration,
    terms: Terms,
    preferred: [Option<Incarnation>; SHARDS],
    leased: [Option<LeasedShare>; SHARDS],
    readings: BTreeMap<Incarnation, ReceivedReading>,
    unresponsive: BTreeMap<Incarnation, Now>,
    balances: BTreeMap<CallerId, GrantBalance>,
}

impl Entry {
    /// A run that starts now.
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

    /// Takes over who the accountants are, and how many members there are.
    pub fn set_preferred(&mut self, members: u32, of_shard: impl Fn(Shard) -> Option<Incarnation>) {
        self.lease = self.lease.max(self.terms.lease_duration(members));
        for shard in Shard::all() {
            self.preferred[shard.index()] = of_shard(shard);
        }
    }

    /// For how long shares are lent.
    pub fn lease_duration(&self) -> Duration {
        self.lease
    }

    /// Whether an accountant is passed over since it didn't answer.
    pub fn is_unresponsive(&self, now: Now, accountant: Incarnation) -> bool {
        let until = self.unresponsive.get(&accountant);
        until.is_some_and(|until| now < *until)
    }

    /// An accountant didn't answer.
    pub fn mark_unresponsive(&mut self, now: Now, accountant: Incarnation) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive
            .insert(accountant, now + UNRESPONSIVE_TIMEOUT);
    }

    /// Uses a grant, if one is held.
    pub fn use_grant(&mut self, now: Now, workspace: CallerId) -> bool {
        match self.balances.get_mut(&workspace) {
            Some(balance) if now < balance.until && balance.grants > 0 => {
                balance.grants -= 1;
                true
            }
            _ => false,
        }
    }

    /// When there is room for a workspace that was over its quota a moment ago; it isn't worth while to ask again.
    pub fn retry_after(&self, now: Now, workspace: CallerId) -> Option<Duration> {
        let (until, retry_after) = self.balances.get(&workspace)?.over_quota?;
        (now < until).then_some(retry_after)
    }

    /// Whom to draw from for a shard, and what is lent with it. The loan counts as made from here on.
    ///
    /// A share is lent to one accountant at a time. While another one than the preferred one may still count it,
    /// that one is asked if it answers, and nothing is lent.
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

    /// The accountants with which nothing was lent or renewed for a while, each with a shard of its own.
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

    /// The message of a draw.
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

    /// An accountant answered what was sent at `sent`; returns whether the request that asked may run.
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
        // The older grants don't live longer by the new ones.
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

    /// An accountant answered a renewal.
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

    /// The part of all shards whose shares are lent.
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

    /// Lends the shares of all shards of an accountant that are not lent to others.
    fn lease_shares(&mut self, now: Now, to: Incarnation) -> Option<Lease> {
        let reading = *self.readings.get(&to)?;
        // The accountant counts from its stamp, which is older than the moment at which it was heard.
        let until = reading.at + self.lease.mul_f64(CLOCK_MARGIN);
        // An earlier run may have lent its share to somebody, whom this one doesn't know.
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
