//! Whether a request may have run. See `docs/design/verdict.md`.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Whether any backend server may have run a request.
///
/// Variants are ordered: the verdict over several attempts is the greatest of theirs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Verdict {
    /// No backend server ran the request: it was not sent to one, or was refused there before running.
    NotRun,
    /// A backend server may have run the request, and its outcome is unknown.
    #[default]
    MayHaveRun,
    /// A backend server ran the request and answered it.
    Ran,
}

impl Verdict {
    /// Returns the verdict over two attempts of one request.
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the value of the `sorrelturn-verdict` header.
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
