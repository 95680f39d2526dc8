//! What outlives a daemon process: the outcomes that it recorded in the platform's store.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{ExecutionToken, Incarnation, Verdict};
use std::collections::BTreeMap;

/// The most outcomes in one record, so that it stays far below the store's megabyte.
pub(crate) const RECORD_CAPACITY: usize = 10_000;

/// One outcome without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The HTTP status that its caller got.
    pub status: u16,
    /// When its token was issued, in milliseconds of the owner's clock.
    pub issued_ms: u64,
}

/// The outcomes of one incarnation, as one object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The incarnation.
    pub owner: Incarnation,
    /// Whether the owner has stopped for good, with everything written down.
    pub closed: bool,
    /// Tokens issued before this are not fully covered, because the record was full.
    pub complete_since_ms: u64,
    /// The outcomes by the token's nonce, in hexadecimal.
    pub outcomes: BTreeMap<String, RecordedOutcome>,
}

impl OutcomeRecord {
    /// An empty record of a running incarnation.
    pub fn new(owner: Incarnation) -> Self {
        Self {
            owner,
            closed: false,
            complete_since_ms: 0,
            outcomes: BTreeMap::new(),
        }
    }

    /// What became of a token of this incarnation, once the process itself can't be asked.
    ///
    /// Only a closed record makes an unlisted token [`Verdict::NotRun`]: the owner wrote it after
    /// its last execution and refuses every token since. Without it, nobody knows.
    pub fn verdict(&self, token: &ExecutionToken) -> RecordedOutcome {
        if let Some(outcome) = self.outcomes.get(&key(token.nonce)) {
            return *outcome;
        }
        let covered = self.closed && token.issued_ms >= self.complete_since_ms;
        RecordedOutcome {
            verdict: if covered {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            },
            status: 0,
            issued_ms: token.issued_ms,
        }
    }

    pub(crate) fn add(&mut self, nonce: u128, outcome: RecordedOutcome) {
        self.outcomes.insert(key(nonce), outcome);
        while self.outcomes.len() > RECORD_CAPACITY {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .outcomes
            .iter()
            .min_by_key(|(_, outcome)| outcome.issued_ms)
            .map(|(key, outcome)| (key.clone(), outcome.issued_ms));
        if let Some((key, issued_ms)) = oldest {
            self.outcomes.remove(&key);
            self.complete_since_ms = self.complete_since_ms.max(issued_ms + 1);
        }
    }
}

fn key(nonce: u128) -> String {
    format!("{nonce:032x}")
}
