//! Aggregates over the requests in progress at a backend server.
//! See `docs/design/entry-admission.md`.

/// Sums over the requests in progress at a backend server. A call doesn't name its parent, but the
/// parent is one of these requests, so their means are the best estimate. Sums avoid iterating over
/// the requests for each call.
#[derive(Clone, Copy, Debug, Default)]
pub struct InProgressRequests {
    level_sum: u64,
    count: u64,
}

impl InProgressRequests {
    /// Adds a request whose root was admitted at this shedding level.
    pub fn begin(&mut self, level: u16) {
        self.level_sum += u64::from(level);
        self.count += 1;
    }

    /// Removes a finished request.
    pub fn end(&mut self, level: u16) {
        self.level_sum = self.level_sum.saturating_sub(level.into());
        self.count = self.count.saturating_sub(1);
    }

    /// Returns the mean shedding level at which the roots were admitted, or 0 if no request is in
    /// progress.
    pub fn mean_level(&self) -> u16 {
        self.level_sum.checked_div(self.count).unwrap_or(0) as u16
    }
}
