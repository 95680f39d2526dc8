//! The status of one failure domain, which its watchers collect for operators.

use crate::{Now, Report};
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::MemberState;
use std::{collections::BTreeMap, time::Duration};

const MAX_LISTED_MEMBERS: usize = 20;

/// For a daemon whose state is unchanged.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Limits the reports to a watcher: in a large failure domain each member reports less often.
const MAX_PERIODIC_REPORTS_PER_SECOND: f64 = 2.0;
const SILENCE_TIMEOUT_INTERVALS: u32 = 3;

/// The interval between periodic reports in a failure domain with `members` members.
pub fn report_interval(members: usize) -> Duration {
    let rate_limited = Duration::from_secs_f64(members as f64 / MAX_PERIODIC_REPORTS_PER_SECOND);
    MIN_REPORT_INTERVAL.max(rate_limited)
}

/// The time without a report after which a member is silent.
pub fn silence_timeout(members: usize) -> Duration {
    report_interval(members) * SILENCE_TIMEOUT_INTERVALS
}

/// An outdated or silent member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance of the member.
    pub instance: String,
    /// The bundle version in its last report.
    pub version: u64,
    /// Milliseconds since its last report.
    pub heard_ms: u64,
    /// Why its bundle version is outdated, if known.
    pub trouble: Option<String>,
}

/// The status object that a watcher writes for its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub failure_domain: String,
    /// The watcher that wrote the object.
    pub written_by: String,
    /// Milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The number of daemons not silent, by bundle version in force.
    pub in_force: BTreeMap<u64, usize>,
    /// The number of daemons leaving and not silent.
    pub leaving: usize,
    /// The number of silent daemons.
    pub silent: usize,
    /// Outdated or silent members, up to a limit.
    pub behind: Vec<MemberStatus>,
}

/// A watcher's reports from its failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainView {
    reports: BTreeMap<String, (Report, Now)>,
}

impl DomainView {
    /// Stores a report, or forgets a member that reports that it has gone.
    pub fn record_report(&mut self, now: Now, report: Report) {
        if report.state == MemberState::Gone {
            self.reports.remove(&report.instance);
        } else {
            self.reports.insert(report.instance.clone(), (report, now));
        }
    }

    /// Removes the reports of instances that aren't members.
    pub fn retain_members(&mut self, is_member: impl Fn(&str) -> bool) {
        self.reports.retain(|instance, _| is_member(instance));
    }

    /// Summarizes the reports.
    pub fn status(
        &self,
        now: Now,
        silence_timeout: Duration,
        failure_domain: &str,
        written_by: &str,
        written_ms: u64,
    ) -> DomainStatus {
        let mut status = DomainStatus {
            failure_domain: failure_domain.to_owned(),
            written_by: written_by.to_owned(),
            written_ms,
            in_force: BTreeMap::new(),
            leaving: 0,
            silent: 0,
            behind: Vec::new(),
        };
        let newest_version = self.newest_version();
        for (instance, (report, received_at)) in &self.reports {
            let silent_for = now.saturating_sub(*received_at);
            let is_silent = silent_for >= silence_timeout;
            if is_silent {
                status.silent += 1;
            } else {
                *status.in_force.entry(report.version).or_default() += 1;
                status.leaving += usize::from(report.state == MemberState::Leaving);
            }
            let is_listed = is_silent || report.version < newest_version;
            if is_listed && status.behind.len() < MAX_LISTED_MEMBERS {
                status.behind.push(MemberStatus {
                    instance: instance.clone(),
                    version: report.version,
                    heard_ms: silent_for.as_millis() as u64,
                    trouble: report.trouble.clone(),
                });
            }
        }
        status
    }

    fn newest_version(&self) -> u64 {
        self.reports
            .values()
            .map(|(report, _)| report.version)
            .max()
            .unwrap_or(0)
    }
}
