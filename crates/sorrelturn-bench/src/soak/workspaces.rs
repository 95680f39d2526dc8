//! Checks of the promises about workspaces: requests with a revoked credential stop being executed in time, and no
//! window exceeds a workspace's quota.

use std::{collections::VecDeque, time::Duration};

/// How long a revoked credential may still be honoured.
pub(super) const REVOCATION_MS: u64 = 5_000;
/// The quota of the limited workspace: requests per second, and the burst on top of them.
pub(super) const RATE: u32 = 20;
pub(super) const BURST: u32 = 10;
/// The window of the quota in seconds, and by which fraction and count of requests it may be exceeded.
pub(super) const WINDOW_S: u64 = 5;
pub(super) const OVERAGE_FRACTION: f64 = 0.1;
pub(super) const SLACK_REQUESTS: f64 = 20.0;
/// The duration of the leases of quota shares, as on the users' platform.
pub(super) const LEASE_MS: u64 = 250;

/// The credential that a request shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialKind {
    /// The credential that all route tables hold; its workspace has no quota.
    Steady,
    /// The credential that only the route table of this version holds.
    OfVersion(u64),
    /// The credential of the workspace with a quota.
    Limited,
}

impl CredentialKind {
    /// The credential as the route tables of [`super::SoakTarget`] hold it.
    pub fn credential(self) -> String {
        match self {
            Self::Steady => "steady".to_owned(),
            Self::OfVersion(version) => format!("only-{version}"),
            Self::Limited => "limited".to_owned(),
        }
    }

    /// Whether a response may say that the credential is unknown: it is once its route table isn't the newest any more.
    pub(super) fn may_be_unknown(self, status: u16) -> bool {
        status == 401 && matches!(self, Self::OfVersion(_))
    }
}

/// What was observed of revoked credentials and of the quota.
#[derive(Default)]
pub(super) struct WorkspaceObservations {
    /// The versions of the route table that the store confirmed, and when.
    table_confirmed: Vec<(u64, Duration)>,
    /// When each recent request of the limited workspace was sent and executed.
    limited_runs: VecDeque<(Duration, Duration)>,
}

impl WorkspaceObservations {
    /// Records that the store confirmed the route table of a version.
    pub(super) fn table_confirmed(&mut self, at: Duration, version: u64) {
        self.table_confirmed.push((version, at));
    }

    /// Records that an earlier route table is about to be written again; restarted daemons may honour its credentials.
    pub(super) fn reverting_to(&mut self, version: u64) {
        self.table_confirmed.retain(|(other, _)| *other <= version);
    }

    /// Checks a request that was sent at `sent_at` and is executed at `at`; returns what is wrong with it, if anything.
    /// `lag` is the delay of the soak itself.
    pub(super) fn check_run(
        &mut self,
        at: Duration,
        sent_at: Duration,
        credential_kind: CredentialKind,
        lag: Duration,
    ) -> Option<String> {
        match credential_kind {
            CredentialKind::Steady => None,
            CredentialKind::OfVersion(version) => self.check_versioned_run(sent_at, version, lag),
            CredentialKind::Limited => self.check_limited_run(at, sent_at),
        }
    }

    fn check_versioned_run(
        &self,
        sent_at: Duration,
        version: u64,
        lag: Duration,
    ) -> Option<String> {
        let later_tables = self
            .table_confirmed
            .iter()
            .filter(|(other, _)| *other > version);
        let revoked_at = later_tables.map(|(_, at)| *at).min()?;
        let honoured_until = revoked_at + Duration::from_millis(REVOCATION_MS) + lag;
        (sent_at > honoured_until).then(|| {
            format!("sent at {sent_at:?} with a credential that was revoked at {revoked_at:?}")
        })
    }

    fn check_limited_run(&mut self, at: Duration, sent_at: Duration) -> Option<String> {
        let window = Duration::from_secs(WINDOW_S);
        let window_start = at.saturating_sub(window);
        self.limited_runs.push_back((sent_at, at));
        while self
            .limited_runs
            .front()
            .is_some_and(|(_, ran_at)| *ran_at < window_start)
        {
            self.limited_runs.pop_front();
        }
        let count_in_window = self
            .limited_runs
            .iter()
            .filter(|(sent_at, _)| *sent_at >= window_start)
            .count();
        let quota_in_window = f64::from(RATE) * window.as_secs_f64() + f64::from(BURST);
        let allowed = quota_in_window * (1.0 + OVERAGE_FRACTION) + SLACK_REQUESTS;
        (count_in_window as f64 > allowed).then(|| {
            format!(
                "request {count_in_window} of its workspace since {window_start:?}, {allowed} are allowed"
            )
        })
    }
}
