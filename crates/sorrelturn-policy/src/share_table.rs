//! What an entry knows of the fair shares of workspaces, and whom it refuses by it.
//! See `docs/design/fair-shares.md`.

use crate::{Now, SHARE_STEPS};
use sorrelturn_protocol::CallerId;
use std::{collections::HashMap, time::Duration};

/// How long a statement counts.
const SHARE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of workspaces.
const MAX_WORKSPACES: usize = 512;
/// The minimum interval between removals of entries from a full table.
const MAKE_ROOM_INTERVAL: Duration = Duration::from_millis(200);
/// The number of answers over which a share is averaged, since each owner sees few requests of a workspace.
const SMOOTHING_ANSWERS: u32 = 8;
/// The number of buckets of a rank.
const BUCKETS: f64 = 256.0;
/// The maximum number of buckets of a workspace that are refused, so that none is shut out.
const MAX_REFUSED_BUCKETS: f64 = 255.0;

/// The fair shares of workspaces for one kind of request, as answers state them.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    shares: HashMap<CallerId, Share>,
    /// The average for workspaces at their first answer, taken for those that aren't in the table.
    newcomers: Option<Share>,
    made_room_at: Now,
}

/// The average of recent statements.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// The demand relative to the fair share.
    used: f64,
    /// The fraction of the rank that was refused, for which the fair share was computed.
    refused_fraction: f64,
    answers: u32,
    heard_at: Now,
}

impl Share {
    fn new(now: Now, used: f64, refused_fraction: f64) -> Self {
        Self {
            used,
            refused_fraction,
            answers: 1,
            heard_at: now,
        }
    }

    fn update(&mut self, now: Now, used: f64, refused_fraction: f64) {
        if !self.is_current(now) {
            *self = Self::new(now, used, refused_fraction);
            return;
        }
        self.answers = (self.answers + 1).min(SMOOTHING_ANSWERS);
        let gain = 1.0 / f64::from(self.answers);
        self.used += (used - self.used) * gain;
        self.refused_fraction += (refused_fraction - self.refused_fraction) * gain;
        self.heard_at = now;
    }

    fn is_current(&self, now: Now) -> bool {
        now.saturating_sub(self.heard_at) <= SHARE_TIMEOUT
    }

    /// Returns the fraction of the workspace's requests to refuse where `refused_fraction` of the rank is to be refused.
    ///
    /// If that is less than what the share was computed for, each workspace is refused less in proportion. If it is
    /// more, the fair shares shrink with the room, so that those below their share are the last to notice.
    fn fraction_to_refuse(&self, refused_fraction: f64) -> f64 {
        if refused_fraction < self.refused_fraction {
            return fraction_above_share(self.used) * refused_fraction / self.refused_fraction;
        }
        let room_left = (1.0 - refused_fraction) / (1.0 - self.refused_fraction);
        fraction_above_share(self.used / room_left)
    }
}

impl ShareTable {
    /// Records an answer: the demand of a workspace relative to its fair share in steps of 1/[`SHARE_STEPS`], 0 if
    /// unknown, where `refused_fraction` of the rank was refused.
    pub fn record(
        &mut self,
        now: Now,
        workspace: CallerId,
        share_used: u16,
        refused_fraction: f64,
    ) {
        if share_used == 0 || !(0.0..1.0).contains(&refused_fraction) {
            return;
        }
        let used = f64::from(share_used) / f64::from(SHARE_STEPS);
        if let Some(share) = self.shares.get_mut(&workspace)
            && share.is_current(now)
        {
            share.update(now, used, refused_fraction);
            return;
        }
        let share = Share::new(now, used, refused_fraction);
        self.newcomers
            .get_or_insert(share)
            .update(now, used, refused_fraction);
        self.make_room(now);
        if self.shares.len() < MAX_WORKSPACES || self.shares.contains_key(&workspace) {
            self.shares.insert(workspace, share);
        }
    }

    /// Returns the shedding bucket of a workspace's request for [`refuses`](crate::refuses), given its bucket among the
    /// requests of the same workspace and the fraction of the rank that the level refuses. Workspaces above their fair
    /// share have lower buckets than others; the order within each workspace stays. Without a statement the bucket is
    /// unchanged.
    pub fn bucket(&self, now: Now, workspace: CallerId, refused_fraction: f64, bucket: u8) -> u8 {
        let share = self.own_share(now, workspace);
        match share.or_else(|| self.newcomers_share(now)) {
            Some(share) if refused_fraction > 0.0 => {
                let own_fraction = share.fraction_to_refuse(refused_fraction);
                moved_bucket(bucket, own_fraction, refused_fraction)
            }
            _ => bucket,
        }
    }

    /// Returns the demand of a workspace relative to its fair share in steps of 1/[`SHARE_STEPS`]; `None` without a
    /// current statement of its own.
    pub fn share_used(&self, now: Now, workspace: CallerId) -> Option<u16> {
        let share = self.own_share(now, workspace)?;
        Some((share.used * f64::from(SHARE_STEPS)) as u16)
    }

    /// Returns the number of workspaces in the table.
    pub fn workspace_count(&self) -> usize {
        self.shares.len()
    }

    fn own_share(&self, now: Now, workspace: CallerId) -> Option<&Share> {
        let share = self.shares.get(&workspace);
        share.filter(|share| share.is_current(now))
    }

    fn newcomers_share(&self, now: Now) -> Option<&Share> {
        let share = self.newcomers.as_ref();
        share.filter(|share| share.is_current(now))
    }

    /// Removes outdated shares, and those below their fair share, from a full table.
    fn make_room(&mut self, now: Now) {
        let is_due = now.saturating_sub(self.made_room_at) >= MAKE_ROOM_INTERVAL;
        if self.shares.len() < MAX_WORKSPACES || !is_due {
            return;
        }
        self.made_room_at = now;
        self.shares
            .retain(|_, share| share.is_current(now) && share.used >= 1.0);
    }
}

/// Returns the fraction of a workspace's demand that lies above its fair share.
pub(crate) fn fraction_above_share(used: f64) -> f64 {
    1.0 - 1.0 / used.max(1.0)
}

/// Moves a bucket so that the level refuses `own_fraction` of a workspace instead of `refused_fraction`.
pub(crate) fn moved_bucket(bucket: u8, own_fraction: f64, refused_fraction: f64) -> u8 {
    let bucket = f64::from(bucket);
    let own_limit = (own_fraction * BUCKETS).min(MAX_REFUSED_BUCKETS);
    let limit = refused_fraction * BUCKETS;
    if bucket < own_limit {
        // Below the limit even after rounding down.
        return (bucket * limit / own_limit) as u8;
    }
    let above = (bucket - own_limit) * (BUCKETS - limit) / (BUCKETS - own_limit);
    (limit + above).ceil().min(f64::from(u8::MAX)) as u8
}
