//! The accountant's side: what it may grant from the shares that are lent to it.

use crate::{Draw, Drawn, Limit, Now, Outcome, SHARDS, Shard, Stamp, Terms};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// The most workspaces whose pools are kept; beyond it, those that are full are forgotten first.
const MOST_POOLS: usize = 20_000;
/// A caller that is over its quota is told to come back after this at least.
const LEAST_WAIT: Duration = Duration::from_millis(200);
/// The longest time that such a caller is told.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// Those who were refused come back over about this time, or not at all.
const BACKLOG_TIME: Duration = Duration::from_secs(5);

/// One daemon's loans of all shards.
#[derive(Clone, Debug)]
struct Lender {
    members: u32,
    loans: [Span; SHARDS],
}

/// From when to when a share is lent.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    since: Now,
    until: Now,
}

/// What is left of a workspace's quota.
#[derive(Clone, Copy, Debug)]
struct Pool {
    tokens: f64,
    /// How much of the shard had been lent when the tokens were counted.
    counted: f64,
    /// Those who were refused and may come back.
    backlog: f64,
    refused: Now,
}

/// Grants what may run of the workspaces of its shards.
#[derive(Clone, Debug)]
pub struct Accountant {
    run: Incarnation,
    terms: Terms,
    lenders: BTreeMap<Incarnation, Lender>,
    /// Among how many members the quotas are divided, and until when this can't fall.
    members: (u32, Now),
    /// The sum over all loans of a shard of share times time, in seconds.
    lent: [f64; SHARDS],
    /// The part of all shares that is lent now.
    part: [f64; SHARDS],
    /// Up to when both are counted.
    counted: Now,
    pools: BTreeMap<CallerId, Pool>,
}

impl Accountant {
    /// An accountant that nobody has lent anything yet.
    pub fn new(run: Incarnation, terms: Terms, now: Now) -> Self {
        Self {
            run,
            terms,
            lenders: BTreeMap::new(),
            members: (1, now),
            lent: [0.0; SHARDS],
            part: [0.0; SHARDS],
            counted: now,
            pools: BTreeMap::new(),
        }
    }

    /// Answers a daemon. `limit` is that of the workspace that it asks for, absent if none is known here; `members`
    /// is among how many this accountant believes the quotas to be divided.
    pub fn draw(&mut self, now: Now, draw: &Draw, limit: Option<Limit>, members: u32) -> Drawn {
        let now = self.in_order(now);
        self.take_loan(now, draw, members);
        let outcome = match (draw.workspace, limit) {
            (Some(workspace), Some(limit)) => self.grant(now, workspace, limit, draw.wanted),
            _ => Outcome::Nothing,
        };
        let stamp = Stamp {
            run: self.run,
            at: now,
        };
        Drawn { stamp, outcome }
    }

    /// The part of a shard's shares that is lent to this accountant.
    pub fn part_lent(&mut self, now: Now, shard: Shard, members: u32) -> f64 {
        let now = self.in_order(now);
        self.count(now, members);
        self.part[shard.at()]
    }

    fn lease(&self, members: u32) -> Duration {
        self.terms.lease_among(members.max(self.members.0))
    }

    /// A thread may be held up after it read the clock: what was counted already must not be counted again.
    fn in_order(&self, now: Now) -> Now {
        now.max(self.counted)
    }

    fn take_loan(&mut self, now: Now, draw: &Draw, members: u32) {
        self.count(now, members);
        let Some(loan) = draw.loan.filter(|loan| loan.stamp.run == self.run) else {
            return;
        };
        // Where the two have other settings, it is over for both when it is for one.
        let until = loan.stamp.at + self.lease(members).min(loan.lasts);
        if until <= now {
            return;
        }
        let lender = self.lenders.entry(draw.from).or_insert(Lender {
            members: draw.members,
            loans: [Span::default(); SHARDS],
        });
        lender.members = draw.members;
        for shard in loan.shards.iter() {
            let span = &mut lender.loans[shard.at()];
            if span.until <= now {
                span.since = now;
            }
            span.until = span.until.max(until);
        }
    }

    /// Counts what was lent up to now.
    fn count(&mut self, now: Now, members: u32) {
        let before = self.counted;
        let share = 1.0 / f64::from(self.divided_among(now, members));
        self.part = [0.0; SHARDS];
        for lender in self.lenders.values() {
            for (at, span) in lender.loans.iter().enumerate() {
                let from = span.since.max(before);
                let lent = span.until.min(now).saturating_sub(from);
                self.lent[at] += share * lent.as_secs_f64();
                if span.until > now {
                    self.part[at] += share;
                }
            }
        }
        self.counted = now;
        let lends = |lender: &Lender| lender.loans.iter().any(|span| span.until > now);
        self.lenders.retain(|_, lender| lends(lender));
    }

    /// Among how many members the quotas are divided, as far as anybody knows. What a member that has gone had lent
    /// holds for a lease longer, and until then its share isn't the others'.
    fn divided_among(&mut self, now: Now, members: u32) -> u32 {
        let told = self.lenders.values().map(|lender| lender.members).max();
        let members = told.unwrap_or(1).max(members).max(1);
        let (before, holds_until) = self.members;
        if members >= before || now >= holds_until {
            self.members = (members, now + self.lease(members.max(before)));
        }
        self.members.0
    }

    fn grant(&mut self, now: Now, workspace: CallerId, limit: Limit, wanted: u32) -> Outcome {
        self.make_room();
        let at = Shard::of(workspace).at();
        let (lent, part) = (self.lent[at], self.part[at]);
        // Of a workspace that nobody asked for before, nothing was granted since this run began.
        let pool = self.pools.entry(workspace).or_insert(Pool {
            tokens: 0.0,
            counted: 0.0,
            backlog: 0.0,
            refused: now,
        });
        let earned = limit.rate * (lent - pool.counted);
        // However small the part is, a request fits in: else a fragment of the fleet would serve nobody.
        pool.tokens = (pool.tokens + earned).min((limit.burst * part).max(1.0));
        pool.counted = lent;
        let granted = (pool.tokens.max(0.0) as u32).min(wanted);
        if granted > 0 {
            pool.tokens -= f64::from(granted);
            return Outcome::Granted(granted);
        }
        Outcome::UsedUp(pool.refuse(now, limit.rate * part))
    }

    fn make_room(&mut self) {
        if self.pools.len() < MOST_POOLS {
            return;
        }
        // One that is gone starts as if nothing had been granted, which is true only of those that are full.
        let lent = self.lent;
        let rested = |workspace: &CallerId, pool: &Pool| {
            lent[Shard::of(*workspace).at()] - pool.counted > BACKLOG_TIME.as_secs_f64()
        };
        self.pools
            .retain(|workspace, pool| !rested(workspace, pool));
    }
}

impl Pool {
    /// Counts one who is refused; returns when there is probably room, after all those who were refused before.
    fn refuse(&mut self, now: Now, rate: f64) -> Duration {
        let passed = now.saturating_sub(self.refused).as_secs_f64();
        self.backlog = self.backlog * (-passed / BACKLOG_TIME.as_secs_f64()).exp() + 1.0;
        self.refused = now;
        let wait = self.backlog / rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(wait)
            .unwrap_or(MOST_WAIT)
            .clamp(LEAST_WAIT, MOST_WAIT)
    }
}
