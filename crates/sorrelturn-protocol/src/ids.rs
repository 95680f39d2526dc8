//! Identifiers of requests, processes, spans and callers.
//!
//! Each is a newtype, so that ids of different kinds can't be confused.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// The id of one root request over all its hops; generated at random by the entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Generates a random id; collisions are negligible.
    pub fn random(rng: &mut fastrand::Rng) -> Self {
        Self(rng.u128(1..))
    }

    /// The bucket (0 to 255) by which requests of one importance are shed, lowest first. Every hop derives it from the
    /// id, so all hops shed the same requests.
    pub fn shedding_bucket(self) -> u8 {
        let folded = (self.0 >> 64) as u64 ^ self.0 as u64;
        (folded.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 56) as u8
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// The id of one incarnation of a daemon process; generated at random at each start and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// One hop of one request; the parent id in the W3C `traceparent` header.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct SpanId(pub u64);

impl SpanId {
    /// Generates a random id other than zero, which W3C Trace Context reserves.
    pub fn random(rng: &mut fastrand::Rng) -> Self {
        Self(rng.u64(1..))
    }
}

impl fmt::Display for SpanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A caller: the leading 64 bits of the hash of its name in the bundle.
///
/// Recorded outcomes are bound to it, so that no caller can read another's answer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct CallerId(pub u64);
