//! Acquiring quota grants from allocators and acting as an allocator. See `docs/design/quotas.md`.

use crate::{
    config::in_force::InForce,
    fleet::control_client,
    node::{Node, lock},
    operators::workspaces::WorkspaceCounts,
    request::answer::Reply,
};
use smol::{Timer, future::FutureExt};
use sorrelturn_bundle::{QuotaLimit, WorkspaceEntry};
use sorrelturn_fleet::Membership;
use sorrelturn_policy::Now;
use sorrelturn_protocol::{CallerId, Incarnation, MemberRecord, MemberState, Refusal, RequestId};
use sorrelturn_quota::{
    AcquireOutcome, AcquireReply, AcquireRequest, AcquireTarget, Bound, Limit, QuotaAllocator,
    QuotaClient, Shard, ValidityConfig, preferred_allocator,
};
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Interval of checks for due renewals, as a fraction of the lease duration.
const RENEWAL_CHECK_INTERVAL_FRACTION: f64 = 0.2;
const MAX_RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of allocators that are tried before a request is refused.
const MAX_ACQUIRE_ATTEMPTS: u32 = 2;

/// State of a daemon as quota client and as quota allocator.
pub(crate) struct Quota {
    client: Mutex<QuotaClient>,
    allocator: Mutex<QuotaAllocator>,
    /// Outcomes of quota checks at this daemon by workspace.
    pub(crate) counts: WorkspaceCounts,
    validity: ValidityConfig,
    bound: Bound,
    /// Records of the shards' allocators by incarnation.
    allocators: Mutex<HashMap<Incarnation, MemberRecord>>,
}

impl Quota {
    pub(crate) fn new(
        incarnation: Incarnation,
        bound: Bound,
        validity: ValidityConfig,
        now: Now,
    ) -> Self {
        Self {
            client: Mutex::new(QuotaClient::new(incarnation, validity, now)),
            allocator: Mutex::new(QuotaAllocator::new(incarnation, validity, now)),
            counts: WorkspaceCounts::default(),
            validity,
            bound,
            allocators: Mutex::default(),
        }
    }

    fn bucket(&self, quota: QuotaLimit) -> Limit {
        let limit = Limit {
            rate: quota.rate,
            burst: quota.burst,
        };
        self.bound.token_bucket(limit, self.validity.grant_validity)
    }

    /// Duration of one lease of shares.
    fn lease_duration(&self) -> Duration {
        lock(&self.client).lease_duration()
    }

    /// Fraction of this daemon's shares that is leased to allocators.
    pub(crate) fn leased_fraction(&self, now: Now) -> f64 {
        lock(&self.client).leased_fraction(now)
    }
}

/// Consumes one grant of a workspace's quota for a request.
///
/// Returns the refusal if the quota is used up or no allocator gives a usable reply.
pub(crate) async fn consume(
    node: &Arc<Node>,
    workspace: &WorkspaceEntry,
    request: RequestId,
) -> Result<(), Reply> {
    if workspace.quota.is_none() {
        return Ok(());
    }
    let acquired = acquire_grant(node, workspace)
        .await
        .map_err(|error| match error {
            AcquireError::UsedUp(retry_after) => used_up(node, workspace, request, retry_after),
            AcquireError::Unknown => {
                Reply::not_run(Refusal::QuotaUnknown).with_retry_after(node.quota.lease_duration())
            }
        });
    node.quota.counts.count(workspace, |usage| match &acquired {
        Ok(()) => usage.let_in += 1,
        Err(reply) if reply.context.refusal == Some(Refusal::QuotaUsedUp) => usage.over_quota += 1,
        Err(_) => usage.undecided += 1,
    });
    acquired
}

/// Reasons why no grant could be acquired.
enum AcquireError {
    /// The quota is used up; a retry is likely to succeed after this time.
    UsedUp(Duration),
    /// No allocator gave a usable reply.
    Unknown,
}

/// Uses a grant that is available locally or acquires new ones from an allocator.
async fn acquire_grant(node: &Arc<Node>, workspace: &WorkspaceEntry) -> Result<(), AcquireError> {
    {
        let mut client = lock(&node.quota.client);
        let now = node.now();
        if client.use_grant(now, workspace.id) {
            return Ok(());
        }
        if let Some(retry_after) = client.retry_after(now, workspace.id) {
            return Err(AcquireError::UsedUp(retry_after));
        }
    }
    for _ in 0..MAX_ACQUIRE_ATTEMPTS {
        let sent = node.now();
        let target = lock(&node.quota.client).target(sent, Shard::of(workspace.id));
        let Some(target) = target else {
            break;
        };
        let Some(reply) = send_request(node, target, Some(workspace.id)).await else {
            lock(&node.quota.client).mark_unresponsive(node.now(), target.allocator);
            update_allocators(node);
            continue;
        };
        let now = node.now();
        if lock(&node.quota.client).accept_reply(now, sent, workspace.id, &reply) {
            return Ok(());
        }
        return match reply.outcome {
            AcquireOutcome::UsedUp(retry_after) => Err(AcquireError::UsedUp(retry_after)),
            // The grants arrived too late, or the allocator's configuration doesn't contain the workspace.
            AcquireOutcome::Granted(_) | AcquireOutcome::NoQuota => break,
        };
    }
    Err(AcquireError::Unknown)
}

fn used_up(
    node: &Node,
    workspace: &WorkspaceEntry,
    request: RequestId,
    retry_after: Duration,
) -> Reply {
    node.events.record(
        &events::QUOTA_USED_UP,
        Some(request),
        vec![
            Field::new("workspace", &workspace.name),
            Field::new("room_in_ms", retry_after.as_millis()),
        ],
    );
    Reply::not_run(Refusal::QuotaUsedUp).with_retry_after(retry_after)
}

/// Renews the leases of this daemon's shares while any workspace has a quota.
///
/// Ends once this daemon is gone, so that the other members divide the quotas among themselves.
pub(crate) async fn run(node: Arc<Node>) {
    while node.own_record.load().state != MemberState::Gone {
        let lease_duration = node.quota.lease_duration();
        Timer::after(
            lease_duration
                .mul_f64(RENEWAL_CHECK_INTERVAL_FRACTION)
                .min(MAX_RENEWAL_CHECK_INTERVAL),
        )
        .await;
        let in_force = node.in_force.load();
        if !in_force
            .as_ref()
            .is_some_and(|in_force| has_quotas(in_force))
        {
            continue;
        }
        drop(in_force);
        update_allocators(&node);
        let due_shards = lock(&node.quota.client).due_renewals(node.now());
        for shard in due_shards {
            let target = lock(&node.quota.client).target(node.now(), shard);
            if let Some(target) = target {
                let (node, ex) = (Arc::clone(&node), Arc::clone(&node.ex));
                ex.spawn(async move { renew(&node, target).await }).detach();
            }
        }
    }
}

fn has_quotas(in_force: &InForce) -> bool {
    let mut workspaces = in_force.bundle.workspaces();
    workspaces.any(|workspace| workspace.quota.is_some())
}

async fn renew(node: &Arc<Node>, target: AcquireTarget) {
    match send_request(node, target, None).await {
        Some(reply) => lock(&node.quota.client).record_reading(node.now(), reply.clock_reading),
        None => lock(&node.quota.client).mark_unresponsive(node.now(), target.allocator),
    }
}

/// Updates the preferred allocators from the current membership.
fn update_allocators(node: &Node) {
    let now = node.now();
    let mut client = lock(&node.quota.client);
    let membership = lock(&node.membership);
    let live: Vec<&MemberRecord> = membership
        .present()
        .filter(|record| record.state == MemberState::Live)
        .filter(|record| !client.is_unresponsive(now, record.incarnation))
        .collect();
    let allocator_of = |shard| {
        let candidates = live.iter();
        preferred_allocator(
            shard,
            candidates.map(|record| (record.instance.as_str(), record.incarnation)),
        )
    };
    client.set_preferred(count_members(&membership), allocator_of);
    let allocators = Shard::all().filter_map(allocator_of);
    let mut known = lock(&node.quota.allocators);
    // An allocator that is no longer preferred may still hold a lease, so older records are retained until there
    // are too many.
    if known.len() > 4 * sorrelturn_quota::SHARD_COUNT {
        known.clear();
    }
    for incarnation in allocators {
        let record = live.iter().find(|record| record.incarnation == incarnation);
        known.extend(record.map(|record| (incarnation, (**record).clone())));
    }
}

/// Sends an acquire request to an allocator. Returns `None` if it doesn't answer in time.
async fn send_request(
    node: &Arc<Node>,
    target: AcquireTarget,
    workspace: Option<CallerId>,
) -> Option<AcquireReply> {
    let member_count = count_members(&lock(&node.membership));
    let request = lock(&node.quota.client).acquire_request(target, member_count, workspace);
    if target.allocator == node.incarnation {
        return Some(answer(node, &request));
    }
    let record = lock(&node.quota.allocators)
        .get(&target.allocator)
        .cloned()?;
    let timeout = async {
        node.timers.after(ACQUIRE_TIMEOUT).await;
        None
    };
    let reply = async {
        let call = |client: control_client::ControlClient, cx| async move {
            client.acquire(cx, request).await
        };
        control_client::call(node, &record, call).await.ok()
    };
    reply.or(timeout).await
}

/// Returns the number of members that the quotas are divided among.
///
/// Members that have recently gone count: otherwise, when a whole fleet restarts, the first members would each divide
/// the quotas among too few.
fn count_members(membership: &Membership) -> u32 {
    membership.all().count() as u32
}

/// Answers an acquire request of a daemon, as the allocator.
pub(crate) fn answer(node: &Node, request: &AcquireRequest) -> AcquireReply {
    let in_force = node.in_force.load();
    let workspace = request.workspace.and_then(|id| {
        let bundle = &in_force.as_ref()?.bundle;
        bundle.workspace(id).cloned()
    });
    let quota = workspace.and_then(|workspace| workspace.quota);
    let limit = quota.map(|quota| node.quota.bucket(quota));
    let member_count = count_members(&lock(&node.membership));
    lock(&node.quota.allocator).acquire(node.now(), request, limit, member_count)
}
