//! Compares the platform's list of VMs, which lags and may be wrong, with the membership.

use crate::Membership;
use sorrelturn_protocol::{MemberRecord, MemberState};
use std::collections::{BTreeMap, BTreeSet};

/// Above this percentage of removed members of a service, its list is rejected.
const MAX_REMOVED_PERCENT: usize = 50;

/// The differences that a watcher acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListDiff {
    /// Live instances listed as leaving; to be notified.
    pub leaving: Vec<String>,
    /// Leaving instances listed as live; to be notified.
    pub staying: Vec<String>,
    /// Instances not listed; gone if they don't answer either.
    pub unlisted: Vec<String>,
    /// Services whose list was rejected.
    pub rejected_services: Vec<String>,
}

/// Compares the list with the members of one failure domain. `listed` maps each instance to whether it is leaving.
pub fn diff_vm_list(
    membership: &Membership,
    failure_domain: &str,
    listed: &BTreeMap<&str, bool>,
) -> VmListDiff {
    let mut diff = VmListDiff::default();
    let services: BTreeSet<&str> = membership.services().collect();
    for service in services {
        let members: Vec<&MemberRecord> = membership
            .present()
            .filter(|record| record.service == service)
            .collect();
        let removed_count = members
            .iter()
            .filter(|record| listed.get(record.instance.as_str()) != Some(&false))
            .count();
        if removed_count * 100 > members.len() * MAX_REMOVED_PERCENT {
            diff.rejected_services.push(service.to_owned());
            continue;
        }
        let domain_members = members
            .iter()
            .filter(|record| record.failure_domain == failure_domain);
        for record in domain_members {
            add_difference(&mut diff, record, listed.get(record.instance.as_str()));
        }
    }
    diff
}

fn add_difference(diff: &mut VmListDiff, record: &MemberRecord, listed: Option<&bool>) {
    let instances = match (listed, record.state) {
        (Some(true), MemberState::Live) => &mut diff.leaving,
        (Some(false), MemberState::Leaving) => &mut diff.staying,
        (None, _) => &mut diff.unlisted,
        _ => return,
    };
    instances.push(record.instance.clone());
}
