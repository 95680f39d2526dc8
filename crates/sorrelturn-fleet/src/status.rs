//! The state of one failure domain, gathered by its watchers for the operators.

use crate::{Now, Report};
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::MemberState;
use std::{collections::BTreeMap, time::Duration};

/// The most members that are named one by one as behind.
const MOST_NAMED: usize = 20;

/// A daemon that had nothing to report for this long reports all the same.
const LEAST_REPORT_PAUSE: Duration = Duration::from_secs(20);
/// The reports in a second that a failure domain's watcher hears of those who have nothing to report,
/// however many members there are: its bytes are bounded, and silence is noticed later.
const MOST_REPORTS_PER_SECOND: f64 = 2.0;
/// Without a report for so many pauses, a member counts as silent.
const PAUSES_OF_SILENCE: u32 = 3;

/// How long a daemon with nothing to report waits, in a failure domain of this size.
pub fn report_interval(members: usize) -> Duration {
    let share = Duration::from_secs_f64(members as f64 / MOST_REPORTS_PER_SECOND);
    LEAST_REPORT_PAUSE.max(share)
}

/// How long a member of a failure domain of this size may be silent.
pub fn silence_timeout(members: usize) -> Duration {
    report_interval(members) * PAUSES_OF_SILENCE
}

/// One member that is behind or silent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its instance.
    pub instance: String,
    /// The version in force there when it last reported.
    pub version: u64,
    /// How long ago that was, in milliseconds.
    pub heard_ms: u64,
    /// What it says about it.
    pub trouble: Option<String>,
}

/// The object that a watcher writes for its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub failure_domain: String,
    /// The watcher that wrote it.
    pub written_by: String,
    /// When, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// How many daemons reported lately, by the version in force there.
    pub in_force: BTreeMap<u64, usize>,
    /// How many of them are leaving.
    pub leaving: usize,
    /// How many have not reported lately.
    pub silent: usize,
    /// Those behind or silent, some of them.
    pub behind: Vec<MemberStatus>,
}

/// A watcher's view of its failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainView {
    reports: BTreeMap<String, (Report, Now)>,
}

impl DomainView {
    /// Takes a report.
    pub fn report(&mut self, now: Now, report: Report) {
        if report.state == MemberState::Gone {
            self.reports.remove(&report.instance);
        } else {
            self.reports.insert(report.instance.clone(), (report, now));
        }
    }

    /// Forgets members that the membership no longer has.
    pub fn retain_members(&mut self, is_member: impl Fn(&str) -> bool) {
        self.reports.retain(|instance, _| is_member(instance));
    }

    /// Sums the reports up; who has been silent for `silence` counts as silent.
    pub fn status(
        &self,
        now: Now,
        silence: Duration,
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
        let newest = self.newest();
        for (instance, (report, heard)) in &self.reports {
            let silent_for = now.saturating_sub(*heard);
            let silent = silent_for >= silence;
            if silent {
                status.silent += 1;
            } else {
                *status.in_force.entry(report.version).or_default() += 1;
                status.leaving += usize::from(report.state == MemberState::Leaving);
            }
            let named = silent || report.version < newest;
            if named && status.behind.len() < MOST_NAMED {
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

    fn newest(&self) -> u64 {
        self.reports
            .values()
            .map(|(report, _)| report.version)
            .max()
            .unwrap_or(0)
    }
}
