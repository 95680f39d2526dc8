//! What is promised of workspaces: a credential that was taken away runs nothing after a while, and no window sees more
//! of a workspace than its quota.

use std::{collections::VecDeque, time::Duration};

/// How long a credential may be honoured after it was taken away, in milliseconds.
pub(super) const REVOCATION_MS: u64 = 5_000;
/// The quota of the workspace that has one, in requests a second and on top of that.
pub(super) const RATE: u32 = 20;
pub(super) const BURST: u32 = 10;
/// The window in which it is counted, in seconds, and by how much the count may lie over it.
pub(super) const WINDOW_S: u64 = 5;
pub(super) const OVERAGE: f64 = 0.1;
pub(super) const SLACK: f64 = 20.0;
/// For how long daemons lend their shares of it, in milliseconds, as on the users' platform.
pub(super) const LEASE_MS: u64 = 250;

/// In whose name a request comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialKind {
    /// The credential that all tables hold, of a workspace without a quota.
    Steady,
    /// The one that only the table of this version holds.
    OfVersion(u64),
    /// One of the workspace with a quota.
    Limited,
}

impl CredentialKind {
    /// The credential, as the tables of [`super::SoakTarget`] hold it.
    pub fn credential(self) -> String {
        match self {
            Self::Steady => "steady".to_owned(),
            Self::OfVersion(version) => format!("only-{version}"),
            Self::Limited => "limited".to_owned(),
        }
    }

    /// Whether an answer may say that the credential is unknown: it is, once its table isn't the newest one any more.
    pub(super) fn may_be_unknown(self, status: u16) -> bool {
        status == 401 && matches!(self, Self::OfVersion(_))
    }
}

/// What ran of credentials and quotas.
#[derive(Default)]
pub(super) struct WorkspacesSeen {
    /// When the store had confirmed a table, by version.
    table_confirmed: Vec<(u64, Duration)>,
    /// Of the workspace with a quota: when each was sent and when it ran.
    ran: VecDeque<(Duration, Duration)>,
}

impl WorkspacesSeen {
    /// The store has confirmed the table of a version.
    pub(super) fn table_confirmed(&mut self, at: Duration, version: u64) {
        self.table_confirmed.push((version, at));
    }

    /// Operators are about to write an earlier table again: its credentials may be honoured by daemons that start anew.
    pub(super) fn reverting_to(&mut self, version: u64) {
        self.table_confirmed.retain(|(other, _)| *other <= version);
    }

    /// A request runs that was sent at `asked`; says what is wrong with that, if anything. `lag` is by how much the soak
    /// itself was late.
    pub(super) fn ran(
        &mut self,
        at: Duration,
        asked: Duration,
        shows: CredentialKind,
        lag: Duration,
    ) -> Option<String> {
        match shows {
            CredentialKind::Steady => None,
            CredentialKind::OfVersion(version) => self.ran_of_version(asked, version, lag),
            CredentialKind::Limited => self.ran_limited(at, asked),
        }
    }

    fn ran_of_version(&self, asked: Duration, version: u64, lag: Duration) -> Option<String> {
        let later = self
            .table_confirmed
            .iter()
            .filter(|(other, _)| *other > version);
        let taken_away = later.map(|(_, at)| *at).min()?;
        let until = taken_away + Duration::from_millis(REVOCATION_MS) + lag;
        (asked > until).then(|| {
            format!("sent at {asked:?} with a credential that was taken away at {taken_away:?}")
        })
    }

    fn ran_limited(&mut self, at: Duration, asked: Duration) -> Option<String> {
        let window = Duration::from_secs(WINDOW_S);
        let since = at.saturating_sub(window);
        self.ran.push_back((asked, at));
        while self.ran.front().is_some_and(|(_, ran)| *ran < since) {
            self.ran.pop_front();
        }
        let within = self.ran.iter().filter(|(asked, _)| *asked >= since).count();
        let in_window = f64::from(RATE) * window.as_secs_f64() + f64::from(BURST);
        let allowed = in_window * (1.0 + OVERAGE) + SLACK;
        (within as f64 > allowed)
            .then(|| format!("the {within}th of its workspace since {since:?}, {allowed} may run"))
    }
}
