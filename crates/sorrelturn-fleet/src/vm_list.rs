//! What to make of the platform's list of VMs, which lags and may be wrong.

use crate::Membership;
use sorrelturn_protocol::{MemberRecord, MemberState};
use std::collections::{BTreeMap, BTreeSet};

/// If the list would take away more than this share of a service, it is not believed for it.
const MOST_TAKEN_PERCENT: usize = 50;

/// What a watcher does after reading the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListDiff {
    /// Instances to be told that they are listed as leaving.
    pub leaving: Vec<String>,
    /// Instances to be told that they are listed as live, though they think that they leave.
    pub staying: Vec<String>,
    /// Instances that are not listed: they have gone if they don't answer either.
    pub unlisted: Vec<String>,
    /// Services for which the list was not believed.
    pub rejected_services: Vec<String>,
}

/// Compares the list with the members of one failure domain.
///
/// `listed` gives the instances of the list and whether each is leaving.
pub fn diff_vm_list(
    membership: &Membership,
    failure_domain: &str,
    listed: &BTreeMap<&str, bool>,
) -> VmListDiff {
    let mut advice = VmListDiff::default();
    let services: BTreeSet<&str> = membership.services().collect();
    for service in services {
        let members: Vec<&MemberRecord> = membership
            .present()
            .filter(|record| record.service == service)
            .collect();
        let taken = members
            .iter()
            .filter(|record| listed.get(record.instance.as_str()) != Some(&false))
            .count();
        if taken * 100 > members.len() * MOST_TAKEN_PERCENT {
            advice.rejected_services.push(service.to_owned());
            continue;
        }
        let own = members
            .iter()
            .filter(|record| record.failure_domain == failure_domain);
        for record in own {
            add(&mut advice, record, listed.get(record.instance.as_str()));
        }
    }
    advice
}

fn add(advice: &mut VmListDiff, record: &MemberRecord, listed: Option<&bool>) {
    let list = match (listed, record.state) {
        (Some(true), MemberState::Live) => &mut advice.leaving,
        (Some(false), MemberState::Leaving) => &mut advice.staying,
        (None, _) => &mut advice.unlisted,
        _ => return,
    };
    list.push(record.instance.clone());
}
