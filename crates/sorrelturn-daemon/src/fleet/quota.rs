//! Drawing grants from accountants, and being one. See `docs/design/quotas.md`.

use crate::{
    config::in_force::InForce,
    fleet::control_client as control,
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
    AcquireReply, AcquireRequest, AcquireTarget, Bound, Limit, Outcome, QuotaAllocator,
    QuotaClient, Shard, ValidityConfig, preferred_allocator,
};
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

/// How often it is looked who the accountants are and which loans are due, as a part of a loan's time, and at least.
const LOOK_PART: f64 = 0.2;
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A draw that isn't answered by then won't be: some milliseconds are usual.
const DRAW_TIME: Duration = Duration::from_millis(150);
/// How often another accountant is asked when one doesn't answer.
const DRAW_TRIES: u32 = 2;

/// What a daemon lends, holds and grants.
pub(crate) struct Quota {
    entry: Mutex<QuotaClient>,
    accountant: Mutex<QuotaAllocator>,
    /// What became of the requests of workspaces at this entry.
    pub(crate) counts: WorkspaceCounts,
    terms: ValidityConfig,
    bound: Bound,
    /// The accountants of the shards, by run.
    accountants: Mutex<HashMap<Incarnation, MemberRecord>>,
}

impl Quota {
    pub(crate) fn new(run: Incarnation, bound: Bound, terms: ValidityConfig, now: Now) -> Self {
        Self {
            entry: Mutex::new(QuotaClient::new(run, terms, now)),
            accountant: Mutex::new(QuotaAllocator::new(run, terms, now)),
            counts: WorkspaceCounts::default(),
            terms,
            bound,
            accountants: Mutex::default(),
        }
    }

    fn bucket(&self, quota: QuotaLimit) -> Limit {
        let limit = Limit {
            rate: quota.rate,
            burst: quota.burst,
        };
        self.bound.bucket(limit, self.terms.grant_validity)
    }

    /// For how long shares are lent at a time.
    fn lease(&self) -> Duration {
        lock(&self.entry).lease_duration()
    }

    /// The part of this daemon's shares that it lends.
    pub(crate) fn leased_fraction(&self, now: Now) -> f64 {
        lock(&self.entry).leased_fraction(now)
    }
}

/// Whether a request of a workspace may run; takes one of its quota.
pub(crate) async fn admit(
    node: &Arc<Node>,
    workspace: &WorkspaceEntry,
    request: RequestId,
) -> Result<(), Reply> {
    if workspace.quota.is_none() {
        return Ok(());
    }
    let taken = draw(node, workspace)
        .await
        .map_err(|refused| match refused {
            Refused::UsedUp(room_in) => used_up(node, workspace, request, room_in),
            Refused::Unknown => Reply::not_run(Refusal::QuotaUnknown).come_back(node.quota.lease()),
        });
    node.quota.counts.count(workspace, |usage| match &taken {
        Ok(()) => usage.let_in += 1,
        Err(reply) if reply.context.refusal == Some(Refusal::QuotaUsedUp) => usage.over_quota += 1,
        Err(_) => usage.undecided += 1,
    });
    taken
}

/// Why a request may not run now.
enum Refused {
    /// The quota is used up; there is probably room after this time.
    UsedUp(Duration),
    /// Nobody says.
    Unknown,
}

/// Uses a grant that is held, or draws one.
async fn draw(node: &Arc<Node>, workspace: &WorkspaceEntry) -> Result<(), Refused> {
    {
        let mut entry = lock(&node.quota.entry);
        let now = node.now();
        if entry.use_grant(now, workspace.id) {
            return Ok(());
        }
        if let Some(room_in) = entry.retry_after(now, workspace.id) {
            return Err(Refused::UsedUp(room_in));
        }
    }
    for _ in 0..DRAW_TRIES {
        let sent = node.now();
        let target = lock(&node.quota.entry).target(sent, Shard::of(workspace.id));
        let Some(target) = target else {
            break;
        };
        let Some(drawn) = ask(node, target, Some(workspace.id)).await else {
            lock(&node.quota.entry).mark_unresponsive(node.now(), target.allocator);
            look(node);
            continue;
        };
        let now = node.now();
        if lock(&node.quota.entry).accept_reply(now, sent, workspace.id, &drawn) {
            return Ok(());
        }
        return match drawn.outcome {
            Outcome::UsedUp(room_in) => Err(Refused::UsedUp(room_in)),
            // Granted too late to be used, or unknown to an accountant whose table is another.
            Outcome::Granted(_) | Outcome::Nothing => break,
        };
    }
    Err(Refused::Unknown)
}

fn used_up(
    node: &Node,
    workspace: &WorkspaceEntry,
    request: RequestId,
    room_in: Duration,
) -> Reply {
    node.events.record(
        &events::QUOTA_USED_UP,
        Some(request),
        vec![
            Field::new("workspace", &workspace.name),
            Field::new("room_in_ms", room_in.as_millis()),
        ],
    );
    Reply::not_run(Refusal::QuotaUsedUp).come_back(room_in)
}

/// Keeps the loans of this daemon's shares while there are quotas, until it says that it is gone: the others divide
/// the quotas among themselves then.
pub(crate) async fn run(node: Arc<Node>) {
    while node.own_record.load().state != MemberState::Gone {
        let lease = node.quota.lease();
        Timer::after(lease.mul_f64(LOOK_PART).min(LOOK_EVERY)).await;
        let in_force = node.in_force.load();
        if !in_force
            .as_ref()
            .is_some_and(|in_force| has_quotas(in_force))
        {
            continue;
        }
        drop(in_force);
        look(&node);
        let due = lock(&node.quota.entry).due_renewals(node.now());
        for shard in due {
            let target = lock(&node.quota.entry).target(node.now(), shard);
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
    match ask(node, target, None).await {
        Some(drawn) => lock(&node.quota.entry).record_reading(node.now(), drawn.clock_reading),
        None => lock(&node.quota.entry).mark_unresponsive(node.now(), target.allocator),
    }
}

/// Finds out anew who the accountants are.
fn look(node: &Node) {
    let now = node.now();
    let mut entry = lock(&node.quota.entry);
    let membership = lock(&node.membership);
    let live: Vec<&MemberRecord> = membership
        .present()
        .filter(|record| record.state == MemberState::Live)
        .filter(|record| !entry.is_unresponsive(now, record.incarnation))
        .collect();
    let of_shard = |shard| {
        let named = live.iter();
        preferred_allocator(
            shard,
            named.map(|record| (record.instance.as_str(), record.incarnation)),
        )
    };
    entry.set_preferred(members(&membership), of_shard);
    let accountants = Shard::all().filter_map(of_shard);
    let mut known = lock(&node.quota.accountants);
    // One that is not preferred any more may still hold a loan.
    if known.len() > 4 * sorrelturn_quota::SHARD_COUNT {
        known.clear();
    }
    for run in accountants {
        let record = live.iter().find(|record| record.incarnation == run);
        known.extend(record.map(|record| (run, (**record).clone())));
    }
}

/// Asks an accountant; `None` if it doesn't answer in time.
async fn ask(
    node: &Arc<Node>,
    target: AcquireTarget,
    workspace: Option<CallerId>,
) -> Option<AcquireReply> {
    let members = members(&lock(&node.membership));
    let draw = lock(&node.quota.entry).acquire_request(target, members, workspace);
    if target.allocator == node.incarnation {
        return Some(answer(node, &draw));
    }
    let record = lock(&node.quota.accountants)
        .get(&target.allocator)
        .cloned()?;
    let too_late = async {
        node.timers.after(DRAW_TIME).await;
        None
    };
    let drawn = async {
        let call =
            |client: control::ControlClient, cx| async move { client.acquire(cx, draw).await };
        control::call(node, &record, call).await.ok()
    };
    drawn.or(too_late).await
}

/// Among how many members the quotas are divided. Those that have just gone count: where a whole fleet is restarted,
/// each of the first ones would else take itself for the only one.
fn members(membership: &Membership) -> u32 {
    membership.all().count() as u32
}

/// Answers a daemon that lends its shares or draws.
pub(crate) fn answer(node: &Node, draw: &AcquireRequest) -> AcquireReply {
    let in_force = node.in_force.load();
    let workspace = draw.workspace.and_then(|id| {
        let bundle = &in_force.as_ref()?.bundle;
        bundle.workspace(id).cloned()
    });
    let quota = workspace.and_then(|workspace| workspace.quota);
    let limit = quota.map(|quota| node.quota.bucket(quota));
    let members = members(&lock(&node.membership));
    lock(&node.quota.accountant).acquire(node.now(), draw, limit, members)
}
