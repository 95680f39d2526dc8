//! The attempts of a root request, divided over its calls. See `docs/design/retries.md`.
//!
//! One attempt is one execution at some backend server. Shares are only ever split and handed
//! back, so their sum over the whole tree never exceeds the root's number, however deep or wide.

/// The share that the first try of a call gets out of `share`.
///
/// One execution of the whole subtree is held back for a second try where there is enough,
/// because the share of a lost answer is forfeited.
pub fn first_attempt_share(share: u32, need: u32) -> u32 {
    if share >= need.saturating_mul(2) {
        share - need
    } else {
        share
    }
}

/// What is left for the nested calls of one running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPool {
    left: u32,
    still_needed: u32,
}

impl AttemptPool {
    /// The pool of a request that was forwarded with `share`: its own execution is spent.
    pub fn new(share: u32, need: u32) -> Self {
        Self {
            left: share.saturating_sub(1),
            still_needed: need.saturating_sub(1),
        }
    }

    /// Takes a child's share: what it needs, and half of what nobody needs.
    ///
    /// `None` means that the attempts of the root request are used up here.
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

    /// Takes back what a child's answer brought along.
    pub fn give_back(&mut self, unused: u32) {
        self.left += unused;
    }

    /// Ends the pool and returns what is left; later calls of the same request get nothing.
    pub fn close(&mut self) -> u32 {
        std::mem::take(&mut self.left)
    }
}
