//! What is known of all that a backend server works on at once.
//! See `docs/design/entry-admission.md`.

/// Sums over the requests that a backend server works on. A call names no parent, but it is made by one of them:
/// their means are what is known of it. Sums cost a call no walk over them.
#[derive(Clone, Copy, Debug, Default)]
pub struct InProgressRequests {
    level_sum: u64,
    repeated_count: u64,
    count: u64,
}

impl InProgressRequests {
    /// The backend server is handed a request whose root was admitted at this level.
    pub fn begin(&mut self, level: u16, repeated: bool) {
        self.level_sum += u64::from(level);
        self.repeated_count += u64::from(repeated);
        self.count += 1;
    }

    /// It is done with one.
    pub fn end(&mut self, level: u16, repeated: bool) {
        self.level_sum = self.level_sum.saturating_sub(level.into());
        self.repeated_count = self.repeated_count.saturating_sub(repeated.into());
        self.count = self.count.saturating_sub(1);
    }

    /// The mean level at which their roots were admitted; 0 if there are none.
    pub fn mean_level(&self) -> u16 {
        self.level_sum.checked_div(self.count).unwrap_or(0) as u16
    }

    /// The part of them that is run once more, so that their calls are repeats as well.
    pub fn repeated_fraction(&self) -> f64 {
        self.repeated_count as f64 / self.count.max(1) as f64
    }
}
