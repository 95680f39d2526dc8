//! Compares schemes that enforce a quota over a fleet: static shares, counting with reports, and leased shares. Guards
//! against leased shares that exceed the bound or refuse requests within the limit. Messages are delivered at once.

use sorrelturn_protocol::{CallerId, Incarnation};
use sorrelturn_quota::{
    AcquireOutcome, Bound, Limit, Now, QuotaAllocator, QuotaClient, SHARD_COUNT, Shard,
    ValidityConfig, preferred_allocator,
};
use std::{collections::VecDeque, time::Duration};

const DAEMONS: usize = 68;
const WORKSPACES: usize = 76;
/// Of all workspaces, in requests per second.
const USUAL_RATE: f64 = 2_100.0;
const LIMIT_PER_USUAL_RATE: f64 = 1.6;
/// After the warm-up.
const MEASURED_SECONDS: u64 = 16;
const STEP: Duration = Duration::from_millis(10);
const VALIDITY: ValidityConfig = ValidityConfig {
    min_lease_duration: Duration::from_secs(1),
    grant_validity: Duration::from_millis(150),
};
const WINDOW_STEPS: usize = 500;
const BOUND: Bound = Bound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

#[derive(Clone, Copy, PartialEq)]
enum Load {
    /// The usual load.
    Calm,
    /// All workspaces send 1.7 times their usual load.
    Burst,
    /// The largest workspace sends 7.5 times its usual load.
    Hot,
    /// Like `Hot`, while a third of the daemons is partitioned from the rest.
    HotAndPartitioned,
}

trait QuotaScheme {
    fn advance(&mut self, now: Now, is_partitioned: bool);
    fn try_accept(&mut self, now: Now, daemon: usize, workspace: usize) -> bool;
}

#[derive(Clone, Copy)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    filled_at: Now,
}

impl Bucket {
    fn new(limit: Limit) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            filled_at: Now::ZERO,
        }
    }

    fn fill(&mut self, now: Now) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + self.limit.rate * elapsed).min(self.limit.burst);
        self.filled_at = now;
    }

    fn try_accept(&mut self, now: Now) -> bool {
        self.fill(now);
        let accepted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(accepted));
        accepted
    }
}

/// By Zipf's law: a few large workspaces and many small ones.
fn usual_rate(workspace: usize) -> f64 {
    let weights: f64 = (1..=WORKSPACES).map(|rank| 1.0 / rank as f64).sum();
    USUAL_RATE / (workspace + 1) as f64 / weights
}

fn limit(workspace: usize) -> Limit {
    let rate = usual_rate(workspace) * LIMIT_PER_USUAL_RATE;
    Limit { rate, burst: rate }
}

fn bucket(workspace: usize) -> Limit {
    BOUND.token_bucket(limit(workspace), VALIDITY.grant_validity)
}

/// Tracks which requests are within the limit: in every window the rate plus the burst.
struct LimitTracker {
    steps: VecDeque<u32>,
    in_window: u32,
    max_count: f64,
}

impl LimitTracker {
    fn new(workspace: usize) -> Self {
        let Limit { rate, burst } = limit(workspace);
        Self {
            steps: VecDeque::new(),
            in_window: 0,
            max_count: rate * BOUND.window.as_secs_f64() + burst,
        }
    }

    fn advance(&mut self) {
        self.steps.push_back(0);
        if self.steps.len() > WINDOW_STEPS {
            self.in_window -= self.steps.pop_front().unwrap_or(0);
        }
    }

    fn try_accept(&mut self) -> bool {
        let is_within_limit = f64::from(self.in_window) + 1.0 <= self.max_count;
        if let Some(step) = self.steps.back_mut().filter(|_| is_within_limit) {
            *step += 1;
            self.in_window += 1;
        }
        is_within_limit
    }
}

/// Each daemon has a fixed share of each limit.
struct StaticShares(Vec<Vec<Bucket>>);

impl StaticShares {
    fn new() -> Self {
        let of_daemon = |workspace| {
            let Limit { rate, burst } = bucket(workspace);
            let divisor = DAEMONS as f64;
            Bucket::new(Limit {
                rate: rate / divisor,
                burst: (burst / divisor).max(1.0),
            })
        };
        let daemon_buckets: Vec<Bucket> = (0..WORKSPACES).map(of_daemon).collect();
        Self(vec![daemon_buckets; DAEMONS])
    }
}

impl QuotaScheme for StaticShares {
    fn advance(&mut self, _: Now, _: bool) {}

    fn try_accept(&mut self, now: Now, daemon: usize, workspace: usize) -> bool {
        self.0[daemon][workspace].try_accept(now)
    }
}

/// Daemons accept what remains after the last report; they report five times a second. Each side of a partition counts
/// separately.
struct ReportedCounts {
    buckets: [Vec<Bucket>; 2],
    /// As of the last report.
    remaining: [Vec<f64>; 2],
    accepted_since_report: Vec<Vec<f64>>,
    reported_at: Now,
    is_partitioned: bool,
}

impl ReportedCounts {
    const REPORT_INTERVAL: Duration = Duration::from_millis(200);

    fn new() -> Self {
        let buckets: Vec<Bucket> = (0..WORKSPACES)
            .map(|workspace| Bucket::new(bucket(workspace)))
            .collect();
        let remaining: Vec<f64> = buckets.iter().map(|bucket| bucket.tokens).collect();
        Self {
            buckets: [buckets.clone(), buckets],
            remaining: [remaining.clone(), remaining],
            accepted_since_report: vec![vec![0.0; WORKSPACES]; DAEMONS],
            reported_at: Now::ZERO,
            is_partitioned: false,
        }
    }

    fn partition(&self, daemon: usize) -> usize {
        usize::from(self.is_partitioned && is_in_second_partition(daemon))
    }
}

impl QuotaScheme for ReportedCounts {
    fn advance(&mut self, now: Now, is_partitioned: bool) {
        self.is_partitioned = is_partitioned;
        if now < self.reported_at + Self::REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        for workspace in 0..WORKSPACES {
            for partition in 0..2 {
                let bucket = &mut self.buckets[partition][workspace];
                bucket.fill(now);
                let is_in_partition = |daemon: &usize| {
                    usize::from(is_partitioned && is_in_second_partition(*daemon)) == partition
                };
                for daemon in (0..DAEMONS).filter(is_in_partition) {
                    bucket.tokens -=
                        std::mem::take(&mut self.accepted_since_report[daemon][workspace]);
                }
                self.remaining[partition][workspace] = bucket.tokens;
            }
        }
    }

    fn try_accept(&mut self, _: Now, daemon: usize, workspace: usize) -> bool {
        let remaining = self.remaining[self.partition(daemon)][workspace];
        let accepted_since_report = &mut self.accepted_since_report[daemon][workspace];
        let accepted = remaining - *accepted_since_report >= 1.0;
        *accepted_since_report += f64::from(u8::from(accepted));
        accepted
    }
}

/// The scheme of this crate.
struct LeasedShares {
    clients: Vec<QuotaClient>,
    allocators: Vec<QuotaAllocator>,
    renewed_at: Now,
    is_partitioned: bool,
}

impl LeasedShares {
    const RENEW_INTERVAL: Duration = Duration::from_millis(400);

    fn new() -> Self {
        let incarnation = |index: usize| Incarnation(index as u64);
        Self {
            clients: (0..DAEMONS)
                .map(|index| QuotaClient::new(incarnation(index), VALIDITY, Now::ZERO))
                .collect(),
            allocators: (0..DAEMONS)
                .map(|index| QuotaAllocator::new(incarnation(index), VALIDITY, Now::ZERO))
                .collect(),
            renewed_at: Now::ZERO,
            is_partitioned: false,
        }
    }

    fn is_reachable(&self, daemon: usize, other: usize) -> bool {
        !self.is_partitioned || is_in_second_partition(daemon) == is_in_second_partition(other)
    }

    fn acquire(&mut self, now: Now, daemon: usize, shard: Shard, workspace: Option<usize>) -> bool {
        let Some(target) = self.clients[daemon].target(now, shard) else {
            return false;
        };
        let allocator = target.allocator.0 as usize;
        if !self.is_reachable(daemon, allocator) {
            self.clients[daemon].mark_unresponsive(now, target.allocator);
            self.set_preferred(now, daemon);
            return false;
        }
        let id = workspace.map(|workspace| CallerId(workspace as u64));
        let request = self.clients[daemon].acquire_request(target, DAEMONS as u32, id);
        let reply = self.allocators[allocator].acquire(
            now,
            &request,
            workspace.map(bucket),
            DAEMONS as u32,
        );
        match id {
            Some(id) => self.clients[daemon].accept_reply(now, now, id, &reply),
            None => {
                self.clients[daemon].record_reading(now, reply.clock_reading);
                reply.outcome != AcquireOutcome::NoQuota
            }
        }
    }

    fn set_preferred(&mut self, now: Now, daemon: usize) {
        let names: Vec<String> = (0..DAEMONS).map(|index| format!("i-{index}")).collect();
        let own_client = &self.clients[daemon];
        let of_shard = |shard| {
            let members = names.iter().enumerate();
            let members = members.map(|(index, name)| (name.as_str(), Incarnation(index as u64)));
            preferred_allocator(
                shard,
                members.filter(|(_, incarnation)| !own_client.is_unresponsive(now, *incarnation)),
            )
        };
        let chosen: Vec<Option<Incarnation>> = Shard::all().map(of_shard).collect();
        self.clients[daemon].set_preferred(DAEMONS as u32, |shard| chosen[usize::from(shard.0)]);
    }
}

impl QuotaScheme for LeasedShares {
    fn advance(&mut self, now: Now, is_partitioned: bool) {
        self.is_partitioned = is_partitioned;
        if now < self.renewed_at + Self::RENEW_INTERVAL {
            return;
        }
        self.renewed_at = now;
        for daemon in 0..DAEMONS {
            self.set_preferred(now, daemon);
            for shard in self.clients[daemon].due_renewals(now) {
                self.acquire(now, daemon, shard, None);
            }
        }
    }

    fn try_accept(&mut self, now: Now, daemon: usize, workspace: usize) -> bool {
        let id = CallerId(workspace as u64);
        if self.clients[daemon].retry_after(now, id).is_some() {
            return false;
        }
        self.clients[daemon].use_grant(now, id)
            || self.acquire(now, daemon, Shard::of(id), Some(workspace))
    }
}

fn is_in_second_partition(daemon: usize) -> bool {
    daemon.is_multiple_of(3)
}

struct SimulationResult {
    /// The fraction of requests within the limits that was refused.
    refused: f64,
    /// The maximum number of requests accepted in a window, as a fraction of the bound.
    peak_fraction: f64,
}

fn simulate(scheme: &mut dyn QuotaScheme, load: Load, seed: u64) -> SimulationResult {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut trackers: Vec<LimitTracker> = (0..WORKSPACES).map(LimitTracker::new).collect();
    let mut accepted_per_step: Vec<Vec<u32>> = vec![Vec::new(); WORKSPACES];
    let (mut within_limit_count, mut refused) = (0u32, 0u32);
    // The first leases take some seconds to be established.
    let warmup_end = Duration::from_secs(4);
    let mut now = Now::ZERO;
    while now < warmup_end + Duration::from_secs(MEASURED_SECONDS) {
        now += STEP;
        let under_load = now >= warmup_end + Duration::from_secs(3);
        scheme.advance(now, under_load && load == Load::HotAndPartitioned);
        if now < warmup_end {
            continue;
        }
        for workspace in 0..WORKSPACES {
            let load_factor = match load {
                Load::Burst if under_load => 1.7,
                Load::Hot | Load::HotAndPartitioned if under_load && workspace == 0 => 7.5,
                _ => 1.0,
            };
            let mean = usual_rate(workspace) * load_factor * STEP.as_secs_f64();
            let arrivals = mean as u32 + u32::from(rng.f64() < mean.fract());
            trackers[workspace].advance();
            let mut accepted_count = 0;
            for _ in 0..arrivals {
                let is_within_limit = trackers[workspace].try_accept();
                let accepted = scheme.try_accept(now, rng.usize(..DAEMONS), workspace);
                accepted_count += u32::from(accepted);
                within_limit_count += u32::from(is_within_limit);
                refused += u32::from(is_within_limit && !accepted);
            }
            accepted_per_step[workspace].push(accepted_count);
        }
    }
    let peak_fraction = accepted_per_step
        .iter()
        .enumerate()
        .map(|(workspace, steps)| {
            let Limit { rate, burst } = limit(workspace);
            let allowed = (rate * 5.0 + burst) * (1.0 + BOUND.overage) + BOUND.slack;
            let max_count = steps
                .windows(WINDOW_STEPS)
                .map(|window| window.iter().sum::<u32>())
                .max();
            f64::from(max_count.unwrap_or(0)) / allowed
        });
    SimulationResult {
        refused: f64::from(refused) / f64::from(within_limit_count),
        peak_fraction: peak_fraction.fold(0.0, f64::max),
    }
}

fn simulate_seeds(new: impl Fn() -> Box<dyn QuotaScheme>, load: Load) -> SimulationResult {
    let results: Vec<SimulationResult> = (1..=3)
        .map(|seed| simulate(&mut *new(), load, seed))
        .collect();
    SimulationResult {
        refused: results.iter().map(|result| result.refused).sum::<f64>() / results.len() as f64,
        peak_fraction: results
            .iter()
            .map(|result| result.peak_fraction)
            .fold(0.0, f64::max),
    }
}

#[test]
fn leased_shares_keep_the_bound_and_refuse_little_within_the_limit() {
    println!(
        "load: refused fraction and maximum requests per window as a fraction of the bound, for static shares, reported counts, leased shares"
    );
    for (name, load) in [
        ("calm", Load::Calm),
        ("burst", Load::Burst),
        ("hot", Load::Hot),
        ("hot and partitioned", Load::HotAndPartitioned),
    ] {
        let static_shares = simulate_seeds(|| Box::new(StaticShares::new()), load);
        let reported_counts = simulate_seeds(|| Box::new(ReportedCounts::new()), load);
        let leased_shares = simulate_seeds(|| Box::new(LeasedShares::new()), load);
        println!(
            "{name}: {:.3} {:.2}, {:.3} {:.2}, {:.3} {:.2}",
            static_shares.refused,
            static_shares.peak_fraction,
            reported_counts.refused,
            reported_counts.peak_fraction,
            leased_shares.refused,
            leased_shares.peak_fraction
        );
        assert!(
            leased_shares.peak_fraction <= 1.0,
            "{name}: {:.2} of the bound",
            leased_shares.peak_fraction
        );
        assert!(
            leased_shares.refused < static_shares.refused,
            "{name}: static shares refuse less than leased shares"
        );
        // The objective at usual load: fewer than one in 200.
        assert!(
            load != Load::Calm || leased_shares.refused < 0.005,
            "{:.4}",
            leased_shares.refused
        );
    }
}

#[test]
fn all_shards_are_spread_over_many_allocators() {
    let names: Vec<String> = (0..DAEMONS).map(|index| format!("i-{index}")).collect();
    let chosen = Shard::all().filter_map(|shard| {
        let members = names.iter().enumerate();
        preferred_allocator(
            shard,
            members.map(|(index, name)| (name.as_str(), Incarnation(index as u64))),
        )
    });
    let distinct: std::collections::HashSet<Incarnation> = chosen.collect();
    assert!(distinct.len() > SHARD_COUNT / 2, "{}", distinct.len());
}
