//! What a daemon tells operators about workspaces and their quotas.

use crate::node::{Node, lock};
use serde::{Deserialize, Serialize};
use sorrelturn_bundle::WorkspaceEntry;
use sorrelturn_protocol::CallerId;
use std::{collections::BTreeMap, sync::Mutex};

/// The most workspaces that are counted; of others only their limits are shown.
const MOST_COUNTED: usize = 20_000;

/// What one daemon knows of workspaces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspacesReport {
    /// The daemon's instance.
    pub instance: String,
    /// How old its knowledge of the route table is, in milliseconds; absent before the first read.
    pub knowledge_age_ms: Option<u32>,
    /// The part of its shares of all quotas that it lends to accountants now, 0 to 1.
    pub part_lent: f64,
    /// The workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceUsage>,
}

/// What one daemon saw of one workspace since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// The limit in requests a second, summed over all daemons; absent where there is none.
    pub rate_per_second: Option<f64>,
    /// What may run on top of that at once.
    pub burst: Option<f64>,
    /// Requests that took one of the quota at this entry.
    pub let_in: u64,
    /// Requests that were refused at this entry since the quota was used up.
    pub over_quota: u64,
    /// Requests that were refused at this entry since nobody could say what is left.
    pub undecided: u64,
}

/// Counts of workspaces at one entry.
#[derive(Default)]
pub(crate) struct WorkspaceCounts(Mutex<BTreeMap<CallerId, WorkspaceUsage>>);

impl WorkspaceCounts {
    pub(crate) fn count(&self, workspace: &WorkspaceEntry, add: impl FnOnce(&mut WorkspaceUsage)) {
        let mut counts = lock(&self.0);
        if counts.len() < MOST_COUNTED || counts.contains_key(&workspace.id) {
            add(counts.entry(workspace.id).or_default());
        }
    }

    fn of(&self, workspace: &WorkspaceEntry) -> WorkspaceUsage {
        let counted = lock(&self.0).get(&workspace.id).copied();
        WorkspaceUsage {
            rate_per_second: workspace.quota.map(|quota| quota.rate),
            burst: workspace.quota.map(|quota| quota.burst),
            ..counted.unwrap_or_default()
        }
    }
}

pub(crate) fn report(node: &Node) -> WorkspacesReport {
    let in_force = node.in_force.load();
    let workspaces = in_force
        .iter()
        .flat_map(|in_force| in_force.bundle.workspaces())
        .map(|workspace| (workspace.name.clone(), node.quota.counts.of(workspace)))
        .collect();
    WorkspacesReport {
        instance: node.settings.instance.clone(),
        knowledge_age_ms: node.route_staleness.age_ms(node.now()),
        part_lent: node.quota.leased_fraction(node.now()),
        workspaces,
    }
}
