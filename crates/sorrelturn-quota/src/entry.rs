//! The entry's side: whom it lends its share, and the grants that it holds.

use crate::{Draw, Drawn, Loan, Now, Outcome, SHARDS, Shard, ShardSet, Stamp, Terms};
use sorrelturn_protocol::{CallerId, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// Clocks of different VMs run alike but for so much of a lease.
const CLOCK_MARGIN: f64 = 1.05;
/// A loan is renewed after so large a part of its time, by a draw or by itself. It is counted from a stamp that is as old when
/// it is sent, so the part is below a half.
pub const RENEW_AFTER_PART: f64 = 0.4;
/// An accountant that didn't answer is passed over for so long.
const SILENT_TIME: Duration = Duration::from_secs(3);
/// So long after a workspace was over its quota nothing is asked for it here: a workspace that presses at all entries would
/// keep its accountant from everybody else, and what it is due is drawn by the other entries meanwhile.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// The most workspaces whose grants are held.
const MOST_PURSES: usize = 20_000;

/// Whom a draw goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// The run of the accountant.
    pub accountant: Incarnation,
    /// What is lent with it.
    pub loan: Option<Loan>,
}

#[derive(Clone, Copy, Debug)]
struct Lent {
    to: Incarnation,
    until: Now,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    stamp: Stamp,
    at: Now,
}

#[derive(Clone, Copy, Debug)]
struct Purse {
    grants: u32,
    until: Now,
    /// Over its quota: until then, and when there is room.
    over: Option<(Now, Duration)>,
}

/// One daemon's loans and grants.
#[derive(Clone, Debug)]
pub struct Entry {
    run: Incarnation,
    started: Now,
    /// For how long a share is lent. It only grows, as more members are known.
    lease: Duration,
    terms: Terms,
    preferred: [Option<Incarnation>; SHARDS],
    lent: [Option<Lent>; SHARDS],
    stamps: BTreeMap<Incarnation, Heard>,
    silent: BTreeMap<Incarnation, Now>,
    purses: BTreeMap<CallerId, Purse>,
}

impl Entry {
    /// A run that starts now.
    pub fn new(run: Incarnation, terms: Terms, now: Now) -> Self {
        Self {
            run,
            started: now,
            lease: terms.lease,
            terms,
            preferred: [None; SHARDS],
            lent: [None; SHARDS],
            stamps: BTreeMap::new(),
            silent: BTreeMap::new(),
            purses: BTreeMap::new(),
        }
    }

    /// Takes over who the accountants are, and how many members there are.
    pub fn prefer(&mut self, members: u32, of_shard: impl Fn(Shard) -> Option<Incarnation>) {
        self.lease = self.lease.max(self.terms.lease_among(members));
        for shard in Shard::all() {
            self.preferred[shard.at()] = of_shard(shard);
        }
    }

    /// For how long shares are lent.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Whether an accountant is passed over since it didn't answer.
    pub fn is_silent(&self, now: Now, accountant: Incarnation) -> bool {
        let until = self.silent.get(&accountant);
        until.is_some_and(|until| now < *until)
    }

    /// An accountant didn't answer.
    pub fn no_answer(&mut self, now: Now, accountant: Incarnation) {
        self.silent.retain(|_, until| now < *until);
        self.silent.insert(accountant, now + SILENT_TIME);
    }

    /// Uses a grant, if one is held.
    pub fn take(&mut self, now: Now, workspace: CallerId) -> bool {
        match self.purses.get_mut(&workspace) {
            Some(purse) if now < purse.until && purse.grants > 0 => {
                purse.grants -= 1;
                true
            }
            _ => false,
        }
    }

    /// When there is room for a workspace that was over its quota a moment ago; it isn't worth while to ask again.
    pub fn is_over(&self, now: Now, workspace: CallerId) -> Option<Duration> {
        let (until, room_in) = self.purses.get(&workspace)?.over?;
        (now < until).then_some(room_in)
    }

    /// Whom to draw from for a shard, and what is lent with it. The loan counts as made from here on.
    ///
    /// A share is lent to one accountant at a time. While another one than the preferred one may still count it,
    /// that one is asked if it answers, and nothing is lent.
    pub fn target(&mut self, now: Now, shard: Shard) -> Option<Target> {
        let preferred = self.preferred[shard.at()]?;
        let elsewhere = self.lent_elsewhere(now, shard, preferred);
        match elsewhere.filter(|other| !self.is_silent(now, *other)) {
            Some(accountant) => Some(Target {
                accountant,
                loan: None,
            }),
            None => Some(Target {
                accountant: preferred,
                loan: self.lend(now, preferred),
            }),
        }
    }

    /// The accountants with which nothing was lent or renewed for a while, each with a shard of its own.
    pub fn due(&self, now: Now) -> Vec<Shard> {
        let renew_after = self.lease.mul_f64(RENEW_AFTER_PART);
        let mut due: Vec<Shard> = Vec::new();
        for shard in Shard::all() {
            let Some(accountant) = self.preferred[shard.at()] else {
                continue;
            };
            let heard = self.stamps.get(&accountant);
            let is_due = heard.is_none_or(|heard| now >= heard.at + renew_after);
            let has_one = due
                .iter()
                .any(|other| self.preferred[other.at()] == Some(accountant));
            if is_due && !has_one && !self.is_silent(now, accountant) {
                due.push(shard);
            }
        }
        due
    }

    /// The message of a draw.
    pub fn draw(&self, target: Target, members: u32, workspace: Option<CallerId>) -> Draw {
        Draw {
            from: self.run,
            loan: target.loan,
            members,
            workspace,
            wanted: u32::from(workspace.is_some()),
        }
    }

    /// An accountant answered what was sent at `sent`; returns whether the request that asked may run.
    pub fn drawn(&mut self, now: Now, sent: Now, workspace: CallerId, drawn: &Drawn) -> bool {
        self.heard(now, drawn.stamp);
        let grants = match drawn.outcome {
            Outcome::Granted(grants) => grants,
            Outcome::UsedUp(room_in) => {
                self.purse(now, workspace).over = Some((now + ASK_AGAIN, room_in));
                return false;
            }
            Outcome::Nothing => return false,
        };
        let until = sent + self.terms.grant;
        if now >= until || grants == 0 {
            return false;
        }
        let purse = self.purse(now, workspace);
        purse.over = None;
        if now >= purse.until {
            purse.grants = 0;
            purse.until = until;
        }
        // The older grants don't live longer by the new ones.
        purse.until = purse.until.min(until);
        purse.grants += grants - 1;
        true
    }

    fn purse(&mut self, now: Now, workspace: CallerId) -> &mut Purse {
        if self.purses.len() >= MOST_PURSES {
            let is_over = |purse: &Purse| purse.over.is_some_and(|(until, _)| now < until);
            self.purses
                .retain(|_, purse| now < purse.until || is_over(purse));
        }
        self.purses.entry(workspace).or_insert(Purse {
            grants: 0,
            until: Now::ZERO,
            over: None,
        })
    }

    /// An accountant answered a renewal.
    pub fn heard(&mut self, now: Now, stamp: Stamp) {
        self.silent.remove(&stamp.run);
        let lease = self.lease;
        self.stamps.retain(|_, heard| now < heard.at + lease);
        self.stamps.insert(stamp.run, Heard { stamp, at: now });
    }

    /// The part of all shards whose shares are lent.
    pub fn part_lent(&self, now: Now) -> f64 {
        let lent = self.lent.iter().flatten().filter(|lent| now < lent.until);
        lent.count() as f64 / SHARDS as f64
    }

    fn lent_elsewhere(&self, now: Now, shard: Shard, than: Incarnation) -> Option<Incarnation> {
        let lent = self.lent[shard.at()].filter(|lent| now < lent.until)?;
        (lent.to != than).then_some(lent.to)
    }

    /// Lends the shares of all shards of an accountant that are not lent to others.
    fn lend(&mut self, now: Now, to: Incarnation) -> Option<Loan> {
        let heard = *self.stamps.get(&to)?;
        // The accountant counts from its stamp, which is older than the moment at which it was heard.
        let until = heard.at + self.lease.mul_f64(CLOCK_MARGIN);
        // An earlier run may have lent its share to somebody, whom this one doesn't know.
        let lends_from = self.started + self.lease.mul_f64(CLOCK_MARGIN);
        if now < lends_from || now >= until {
            return None;
        }
        let shards: ShardSet = Shard::all()
            .filter(|shard| self.preferred[shard.at()] == Some(to))
            .filter(|shard| self.lent_elsewhere(now, *shard, to).is_none())
            .collect();
        for shard in shards.iter() {
            self.lent[shard.at()] = Some(Lent { to, until });
        }
        let stamp = heard.stamp;
        let lasts = self.lease;
        (!shards.is_empty()).then_some(Loan {
            stamp,
            shards,
            lasts,
        })
    }
}
