//! The report on workspaces and their quotas.

use crate::node::{Node, lock};
use serde::{Deserialize, Serialize};
use sorrelturn_bundle::WorkspaceEntry;
use sorrelturn_policy::SHARE_STEPS;
use sorrelturn_protocol::CallerId;
use std::{collections::BTreeMap, sync::Mutex};

/// The maximum number of workspaces with counts; the report shows only the limits of others.
const MAX_COUNTED_WORKSPACES: usize = 20_000;

/// The workspaces and quotas as one daemon sees them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspacesReport {
    /// The daemon's instance.
    pub instance: String,
    /// The staleness of its route table in milliseconds; absent before the first read.
    pub knowledge_age_ms: Option<u32>,
    /// The fraction of its quota shares that it has leased to the daemons that allocate quota, 0 to 1.
    pub part_lent: f64,
    /// The usage of each workspace by name.
    pub workspaces: BTreeMap<String, WorkspaceUsage>,
}

/// The limits of a workspace, and its requests at one daemon since the daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// The limit in requests per second over all daemons; absent if there is none.
    pub rate_per_second: Option<f64>,
    /// The number of requests allowed at once beyond the rate; absent if there is no limit.
    pub burst: Option<f64>,
    /// Requests admitted at this entry, each of which used one unit of the quota.
    pub let_in: u64,
    /// Requests refused at this entry because the quota was used up.
    pub over_quota: u64,
    /// Requests refused at this entry because the remaining quota was unknown.
    pub undecided: u64,
    /// Requests refused at this entry because a service lacked room.
    #[serde(default)]
    pub refused_for_load: u64,
    /// The demand relative to the fair share, the highest over all kinds of requests; above 1, the workspace is refused
    /// first. Absent if no answer stated it lately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share_used: Option<f64>,
}

/// The counts of all workspaces at one entry.
#[derive(Default)]
pub(crate) struct WorkspaceCounts(Mutex<BTreeMap<CallerId, WorkspaceUsage>>);

impl WorkspaceCounts {
    pub(crate) fn count(
        &self,
        workspace: &WorkspaceEntry,
        update: impl FnOnce(&mut WorkspaceUsage),
    ) {
        let mut counts = lock(&self.0);
        if counts.len() < MAX_COUNTED_WORKSPACES || counts.contains_key(&workspace.id) {
            update(counts.entry(workspace.id).or_default());
        }
    }

    fn usage(&self, workspace: &WorkspaceEntry) -> WorkspaceUsage {
        let counted = lock(&self.0).get(&workspace.id).copied();
        WorkspaceUsage {
            rate_per_second: workspace.quota.map(|quota| quota.rate),
            burst: workspace.quota.map(|quota| quota.burst),
            ..counted.unwrap_or_default()
        }
    }
}

fn usage(node: &Node, workspace: &WorkspaceEntry) -> WorkspaceUsage {
    let in_force = node.in_force.load();
    let share_used = in_force
        .as_ref()
        .and_then(|in_force| in_force.share_used(node.now(), workspace.id));
    WorkspaceUsage {
        share_used: share_used.map(|steps| f64::from(steps) / f64::from(SHARE_STEPS)),
        ..node.quota.counts.usage(workspace)
    }
}

pub(crate) fn report(node: &Node) -> WorkspacesReport {
    let in_force = node.in_force.load();
    let workspaces = in_force
        .iter()
        .flat_map(|in_force| in_force.bundle.workspaces())
        .map(|workspace| (workspace.name.clone(), usage(node, workspace)))
        .collect();
    WorkspacesReport {
        instance: node.settings.instance.clone(),
        knowledge_age_ms: node.route_staleness.age_ms(node.now()),
        part_lent: node.quota.leased_fraction(node.now()),
        workspaces,
    }
}
