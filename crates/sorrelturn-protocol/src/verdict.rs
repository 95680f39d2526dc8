//! Whether a request may have run. See `docs/design/verdict.md`.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Whether any backend server may have run a request.
///
/// Ordered: the verdict over several attempts is the greatest of theirs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Verdict {
    /// It was not sent to a backend server, or was refused there before running.
    NotRun,
    /// It may have run; the outcome is unknown.
    #[default]
    MayHaveRun,
    /// A backend server ran and answered it.
    Ran,
}

impl Verdict {
    /// The verdict over two attempts of one request.
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// The value of the `sorrelturn-verdict` header.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Verdict {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran]
            .into_iter()
            .find(|verdict| verdict.name() == text)
            .ok_or(())
    }
}
