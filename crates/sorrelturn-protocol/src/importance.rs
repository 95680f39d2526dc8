//! How much a request matters, and the total order in which requests are shed.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The importance of a root request; nested calls inherit it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Work that nobody waits for; shed first.
    #[default]
    Background,
    /// Work that a caller can ask for again without harm.
    Normal,
    /// Work that somebody waits for and that is costly to lose.
    High,
    /// Certifications, bookings, payments and shutoff orders; shed last.
    Critical,
}

impl Importance {
    /// All levels, lowest first.
    pub const ALL: [Self; 4] = [Self::Background, Self::Normal, Self::High, Self::Critical];

    /// The position in the shedding order; 0 is shed first.
    pub fn rank(self) -> u8 {
        self as u8
    }

    /// The name that bundles and metrics use.
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

/// A request's place in the shedding order: importance first, then the keep bucket of its id.
///
/// The same type serves as a threshold: a request passes when its priority is not below it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Priority(pub u16);

impl Priority {
    /// The threshold that lets everything pass.
    pub const LOWEST: Self = Self(0);
    /// The highest priority there is; as a threshold it still lets one bucket of critical pass.
    pub const HIGHEST: Self = Self(0x3FF);

    /// Combines an importance with a request's keep bucket.
    pub fn new(importance: Importance, keep_bucket: u8) -> Self {
        Self(u16::from(importance.rank()) << 8 | u16::from(keep_bucket))
    }

    /// The importance that this priority was made from.
    pub fn importance(self) -> Importance {
        Importance::ALL[usize::from(self.0 >> 8).min(Importance::ALL.len() - 1)]
    }
}
