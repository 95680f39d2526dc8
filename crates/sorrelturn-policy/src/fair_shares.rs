//! The demand of workspaces at one owner, and their max-min fair shares of the room that a shedding level leaves.
//! See `docs/design/fair-shares.md`.

use crate::{
    Now,
    share_table::{fraction_above_share, moved_bucket},
};
use sorrelturn_protocol::{CallerId, Importance};
use std::{collections::HashMap, time::Duration};

/// Interval at which demand decays and the workspaces are ranked anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant of the decay of demand.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// The maximum number of workspaces that are counted one by one; all others are counted together.
const MAX_WORKSPACES: usize = 1_024;
/// The divisor for the number of workspaces, those with the least demand, that are removed when the table is full.
const EVICTED_DIVISOR: usize = 4;
/// Workspaces with fewer recent requests are removed.
const MIN_REQUESTS: f64 = 0.05;
/// The number of requests that the median over all workspaces counts for in the estimate for one of them. Without it,
/// the few requests that one owner gets of a small workspace would often look like too many.
const PRIOR_REQUESTS: f64 = 8.0;
/// How much further than expected a workspace may be thinned at the entries without distorting its estimated demand.
const THINNING_MARGIN: f64 = 1.5;
/// The minimum number of buckets that are counted.
const MIN_COUNTED_BUCKETS: f64 = 4.0;
/// Time constant of the correction of the refused fraction.
const CORRECTION_TIME: Duration = Duration::from_secs(5);
/// The maximum correction of the refused fraction, as a natural logarithm.
const MAX_CORRECTION: f64 = 0.35;
/// The maximum fraction that is refused, so that a fair share is never zero.
const MAX_REFUSED_FRACTION: f64 = 0.96;
/// The number of shedding buckets of a rank.
const BUCKETS: f64 = 256.0;
/// The minimum weight, so that a workspace whose quota is zero can be compared with others.
const MIN_WEIGHT: f64 = 0.001;

/// Number of steps on the wire that stand for a demand that equals the fair share.
pub const SHARE_STEPS: u16 = 256;

/// What determines the rank of a root request: its importance, and that of its workspace.
pub type DemandClass = (Importance, Importance);

/// The demand of workspaces among the root requests that reach an owner, separately for each class, since entries refuse
/// different fractions of different ranks. The number of classes is bounded by that of importances.
#[derive(Clone, Debug, Default)]
pub struct DemandByClass {
    classes: HashMap<DemandClass, WorkspaceDemand>,
}

impl DemandByClass {
    /// Returns the demand of a class.
    pub fn class(&mut self, class: DemandClass) -> &mut WorkspaceDemand {
        self.classes.entry(class).or_default()
    }
}

/// Counts the demand of each workspace among the root requests of a rank that reach an owner.
///
/// Entries refuse the lowest shedding buckets of a workspace. So the demand of one that is thinned is estimated from
/// its highest buckets alone, and doesn't depend on how much of it is refused: nothing swings between owners and
/// entries.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceDemand {
    workspaces: HashMap<CallerId, Demand>,
    /// All workspaces without an entry of their own. Each is taken to be typical.
    others: Demand,
    /// The workspaces by demand per weight, highest first.
    ranking: Vec<Ranked>,
    /// The sum of the estimated demand.
    total: f64,
    /// The demand that the requests stand for according to the levels at which they were admitted.
    total_by_level: f64,
    /// The logarithm of the factor by which the refused fraction is corrected.
    correction: f64,
    /// The median demand per weight.
    typical_ratio: f64,
    /// The median demand per weight with one more workspace that has sent nothing.
    newcomer_ratio: f64,
    refreshed_at: Now,
}

/// Recent demand.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// The counted requests, each with those that it stands for.
    estimate: f64,
    /// The counted requests.
    requests: f64,
    weight: f64,
}

/// A workspace in the ranking.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    /// The demand per weight.
    ratio: f64,
    /// The demand of this workspace and those before it.
    demand: f64,
    /// The sum over the same workspaces of the weights at which their demand has their ratio.
    weight: f64,
}

impl Ranked {
    fn new(demand: &Demand, ratio: f64) -> Self {
        Self {
            ratio,
            demand: demand.estimate,
            weight: demand.estimate / ratio,
        }
    }
}

impl Demand {
    fn add(&mut self, represented: f64) {
        self.estimate += represented;
        self.requests += 1.0;
    }

    /// Adds the demand of a workspace that is no longer counted by itself.
    fn include(&mut self, demand: &Demand) {
        self.estimate += demand.estimate;
        self.requests += demand.requests;
        self.weight += demand.weight * demand.requests.min(1.0);
    }

    fn decay(&mut self, kept: f64) {
        self.estimate *= kept;
        self.requests *= kept;
    }

    /// Returns the estimated demand per weight.
    fn ratio(&self, typical_ratio: f64) -> f64 {
        let own = self.requests * self.estimate / self.weight.max(MIN_WEIGHT);
        (own + PRIOR_REQUESTS * typical_ratio) / (self.requests + PRIOR_REQUESTS)
    }
}

impl WorkspaceDemand {
    /// Records a root request of a workspace, whose entry refuses `refused_fraction` of the request's rank. Returns the
    /// demand of the workspace relative to its fair share in steps of 1/[`SHARE_STEPS`], or 0 if nothing is known yet.
    ///
    /// The request itself isn't included in the returned value: a workspace that rarely sends would otherwise be judged
    /// only at times when it has just sent.
    pub fn observe(
        &mut self,
        now: Now,
        workspace: CallerId,
        weight: f64,
        bucket: u8,
        refused_fraction: f64,
    ) -> u16 {
        self.refresh(now);
        self.total_by_level += 1.0 / (1.0 - refused_fraction.min(MAX_REFUSED_FRACTION));
        let share_used = self.share_used(workspace, refused_fraction);
        let counted_buckets = counted_buckets(share_used.unwrap_or(0.0));
        if f64::from(bucket) >= BUCKETS - counted_buckets {
            self.count(workspace, weight, BUCKETS / counted_buckets);
        }
        share_used.map_or(0, to_steps)
    }

    /// Returns the bucket of a root request for its place in the owner's queue, given its bucket among the requests of
    /// the same workspace. Entries let only the highest buckets of a workspace above its share pass; without this, they
    /// would come before all requests of other workspaces.
    pub fn queue_bucket(&self, workspace: CallerId, bucket: u8, refused_fraction: f64) -> u8 {
        match self.share_used(workspace, refused_fraction) {
            Some(share_used) if refused_fraction > 0.0 => {
                moved_bucket(bucket, fraction_above_share(share_used), refused_fraction)
            }
            _ => bucket,
        }
    }

    /// Returns the number of workspaces that are counted one by one.
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    fn count(&mut self, workspace: CallerId, weight: f64, represented: f64) {
        let weight = weight.max(MIN_WEIGHT);
        let is_full = self.workspaces.len() >= MAX_WORKSPACES;
        if is_full && !self.workspaces.contains_key(&workspace) {
            self.others.add(represented);
            self.others.weight += weight;
            return;
        }
        let demand = self.workspaces.entry(workspace).or_default();
        demand.add(represented);
        demand.weight = weight;
    }

    /// Returns the demand of a workspace relative to its fair share; `None` before the first ranking.
    fn share_used(&self, workspace: CallerId, refused_fraction: f64) -> Option<f64> {
        let fair_ratio = self.fair_ratio(refused_fraction)?;
        let demand = self.workspaces.get(&workspace);
        let ratio = demand.map_or(self.newcomer_ratio, |demand| {
            demand.ratio(self.typical_ratio)
        });
        Some(ratio / fair_ratio)
    }

    /// Returns the demand per weight up to which workspaces are served in full, so that cutting all others to it
    /// refuses this fraction of the total demand.
    fn fair_ratio(&self, refused_fraction: f64) -> Option<f64> {
        let fraction = (refused_fraction * self.correction.exp()).min(MAX_REFUSED_FRACTION);
        let refused = fraction * self.total;
        let cut_count = self
            .ranking
            .partition_point(|ranked| ranked.demand - ranked.ratio * ranked.weight <= refused);
        let last_cut = self.ranking.get(cut_count.saturating_sub(1))?;
        let ratio = (last_cut.demand - refused) / last_cut.weight;
        (ratio > 0.0).then_some(ratio)
    }

    fn refresh(&mut self, now: Now) {
        let elapsed = now.saturating_sub(self.refreshed_at);
        if elapsed < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        let kept = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.others.decay(kept);
        self.others.weight *= kept;
        for demand in self.workspaces.values_mut() {
            demand.decay(kept);
        }
        self.remove(|demand| demand.requests < MIN_REQUESTS);
        if self.workspaces.len() >= MAX_WORKSPACES {
            self.evict();
        }
        self.rank();
        self.total_by_level *= kept;
        self.correct(elapsed);
    }

    /// Adapts the correction to how much the entries let in. They refuse by shares that were estimated from few
    /// requests, so that the sum may differ from what the level says.
    fn correct(&mut self, elapsed: Duration) {
        if self.total <= 0.0 || self.total_by_level <= 0.0 {
            return;
        }
        let error = (self.total_by_level / self.total).ln();
        let gain = (elapsed.as_secs_f64() / CORRECTION_TIME.as_secs_f64()).min(1.0);
        let correction = self.correction + error * gain;
        self.correction = correction.clamp(-MAX_CORRECTION, MAX_CORRECTION);
    }

    /// Removes the workspaces with the least demand per weight and counts them with the others.
    fn evict(&mut self) {
        let mut ratios = self.ratios();
        let evicted_count = ratios.len() / EVICTED_DIVISOR;
        let (_, highest_evicted, _) = ratios.select_nth_unstable_by(evicted_count, f64::total_cmp);
        let highest_evicted = *highest_evicted;
        self.remove(|demand| demand.estimate / demand.weight <= highest_evicted);
    }

    /// Removes workspaces and counts them with the others.
    fn remove(&mut self, is_removed: impl Fn(&Demand) -> bool) {
        let others = &mut self.others;
        self.workspaces.retain(|_, demand| {
            let is_kept = !is_removed(demand);
            if !is_kept {
                others.include(demand);
            }
            is_kept
        });
    }

    /// Returns the median demand per weight, and the median with one more workspace that has sent nothing. The mean would
    /// be that of a single workspace that presses, and so would the first median if that one is the only one.
    fn find_typical_ratios(&self) -> (f64, f64) {
        let mut ratios = self.ratios();
        if ratios.is_empty() {
            let ratio = self.others.estimate / self.others.weight.max(MIN_WEIGHT);
            return (ratio, ratio);
        }
        let typical_ratio = median(&mut ratios);
        ratios.push(0.0);
        (typical_ratio, median(&mut ratios))
    }

    fn ratios(&self) -> Vec<f64> {
        let demands = self.workspaces.values();
        demands
            .map(|demand| demand.estimate / demand.weight)
            .collect()
    }

    fn rank(&mut self) {
        let (typical_ratio, newcomer_ratio) = self.find_typical_ratios();
        let others = Ranked::new(&self.others, typical_ratio);
        let others = (self.others.estimate > 0.0).then_some(others);
        let ranked = self
            .workspaces
            .values()
            .map(|demand| Ranked::new(demand, demand.ratio(typical_ratio)));
        self.ranking.clear();
        self.ranking.extend(ranked.chain(others));
        self.typical_ratio = typical_ratio;
        self.newcomer_ratio = newcomer_ratio;
        self.ranking
            .sort_unstable_by(|a, b| b.ratio.total_cmp(&a.ratio));
        let (mut demand, mut weight) = (0.0, 0.0);
        for ranked in &mut self.ranking {
            demand += ranked.demand;
            weight += ranked.weight;
            (ranked.demand, ranked.weight) = (demand, weight);
        }
        self.total = demand;
    }
}

/// Returns how many of the highest buckets are counted for a workspace, few enough that its entries refuse none.
fn counted_buckets(share_used: f64) -> f64 {
    let fraction = 1.0 / (share_used * THINNING_MARGIN).max(1.0);
    (fraction * BUCKETS).floor().max(MIN_COUNTED_BUCKETS)
}

/// Returns the lower median of at least one value, which it reorders.
fn median(values: &mut [f64]) -> f64 {
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

fn to_steps(share_used: f64) -> u16 {
    (share_used * f64::from(SHARE_STEPS)).clamp(1.0, f64::from(u16::MAX)) as u16
}
