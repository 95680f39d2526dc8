//! The attempt budget of a root request, divided among its nested calls. See `docs/design/retries.md`.
//!
//! One attempt is one execution at a backend server. Shares are only split and returned, so their
//! sum over the call tree never exceeds the budget of the root request.

/// The share that the first attempt of a call receives out of `share`.
///
/// If possible, it reserves the `need` of one execution of the whole subtree for a second attempt, because if
/// the response of an attempt is lost, its unused attempts are lost too.
pub fn first_attempt_share(share: u32, need: u32) -> u32 {
    if share >= need.saturating_mul(2) {
        share - need
    } else {
        share
    }
}

/// The attempts left for the nested calls of one request in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPool {
    left: u32,
    still_needed: u32,
}

impl AttemptPool {
    /// Creates the pool of a request that was forwarded with `share`, of which its own execution uses one attempt.
    pub fn new(share: u32, need: u32) -> Self {
        Self {
            left: share.saturating_sub(1),
            still_needed: need.saturating_sub(1),
        }
    }

    /// Takes the share of a nested call: its need and half of the surplus.
    ///
    /// Returns `None` when no attempts are left.
    pub fn take(&mut self, need: u32) -> Option<u32> {
        let surplus = self.left.saturating_sub(self.still_needed);
        let share = self.left.min(need.saturating_add(surplus / 2));
        if share == 0 {
            return None;
        }
        self.left -= share;
        self.still_needed = self.still_needed.saturating_sub(need);
        Some(share)
    }

    /// Returns unused attempts that the response of a nested call reported.
    pub fn give_back(&mut self, unused: u32) {
        self.left += unused;
    }

    /// Closes the pool and returns the attempts left; later calls of the same request receive none.
    pub fn close(&mut self) -> u32 {
        std::mem::take(&mut self.left)
    }
}
