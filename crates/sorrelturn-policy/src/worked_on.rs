//! What is known of all that a backend server works on at once.
//! See `docs/design/entry-admission.md`.

/// Sums over the requests that a backend server works on. A call names no parent, but it is made by one of them:
/// their means are what is known of it. Sums cost a call no walk over them.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkedOn {
    levels: u64,
    repeated: u64,
    count: u64,
}

impl WorkedOn {
    /// The backend server is handed a request whose root was admitted at this level.
    pub fn begin(&mut self, level: u16, repeated: bool) {
        self.levels += u64::from(level);
        self.repeated += u64::from(repeated);
        self.count += 1;
    }

    /// It is done with one.
    pub fn end(&mut self, level: u16, repeated: bool) {
        self.levels = self.levels.saturating_sub(level.into());
        self.repeated = self.repeated.saturating_sub(repeated.into());
        self.count = self.count.saturating_sub(1);
    }

    /// The mean level at which their roots were admitted; 0 if there are none.
    pub fn mean_level(&self) -> u16 {
        self.levels.checked_div(self.count).unwrap_or(0) as u16
    }

    /// The part of them that is run once more, so that their calls are repeats as well.
    pub fn repeated_part(&self) -> f64 {
        self.repeated as f64 / self.count.max(1) as f64
    }
}
