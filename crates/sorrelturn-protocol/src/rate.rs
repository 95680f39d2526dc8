//! Rates of requests.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// A rate of requests, kept in thousandths of a request per second so that rates can be compared and hashed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate(u64);

impl RequestRate {
    const STEPS_PER_REQUEST: f64 = 1_000.0;

    /// Creates a rate; `None` if `per_second` is negative, infinite or not a number. Rates too high to represent become
    /// the highest one.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self((per_second * Self::STEPS_PER_REQUEST) as u64))
    }

    /// Parses a decimal number of requests per second.
    pub fn parse(text: &str) -> Option<Self> {
        Self::new(text.trim().parse().ok()?)
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / Self::STEPS_PER_REQUEST
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
