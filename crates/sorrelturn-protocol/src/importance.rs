//! The importance of requests, and the total order in which they are shed.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The importance of a root request; nested calls inherit it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Work that nobody is waiting for; shed first.
    #[default]
    Background,
    /// Work that a caller can safely retry.
    Normal,
    /// Work that somebody is waiting for and that is costly to lose.
    High,
    /// Certifications, bookings, payments and shutoff orders; shed last.
    Critical,
}

impl Importance {
    /// All importances, lowest first.
    pub const ALL: [Self; 4] = [Self::Background, Self::Normal, Self::High, Self::Critical];

    /// The position among all importances; 0 is shed first.
    pub fn rank(self) -> u8 {
        self as u8
    }

    /// The name in bundles and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Critical => "critical",
        }
    }
}

impl fmt::Display for Importance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A request's position in the shedding order: importance, then shedding bucket.
///
/// Also used as a threshold, which admits requests not below it, and as the shedding level in answers where root
/// requests are shed at their entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Priority(pub u16);

impl Priority {
    /// The threshold that admits every request.
    pub const LOWEST: Self = Self(0);
    /// The highest priority; as a threshold it admits only the highest shedding bucket of critical requests.
    pub const HIGHEST: Self = Self(0x3FF);

    /// Combines an importance with a shedding bucket.
    pub fn new(importance: Importance, shedding_bucket: u8) -> Self {
        Self(u16::from(importance.rank()) << 8 | u16::from(shedding_bucket))
    }

    /// The importance part.
    pub fn importance(self) -> Importance {
        Importance::ALL[usize::from(self.0 >> 8).min(Importance::ALL.len() - 1)]
    }
}

/// The order in which root requests get what not all of them can have: the more important first, and among equally
/// important ones those that run at most once, whose callers can't repeat them. The default is that of a request whose
/// root is unknown. See `docs/design/retry-order.md`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Precedence(u8);

impl Precedence {
    /// Returns the precedence of a root request.
    pub fn new(importance: Importance, at_most_once: bool) -> Self {
        let rank = 2 * importance.rank() + u8::from(at_most_once);
        Self(1 + rank)
    }
}
