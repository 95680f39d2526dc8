//! What outlives a daemon process: the outcomes that it recorded in the platform's store.
//! See `docs/design/at-most-once.md`.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{ExecutionToken, Incarnation, Verdict};
use std::{collections::BTreeMap, time::Duration};

/// Tokens that were issued within so long have their outcomes in one object of the store. A longer
/// time means fewer objects, a shorter one fewer bytes that are written again.
pub const SEGMENT_DURATION: Duration = Duration::from_secs(60);
const SEGMENT_MS: u64 = SEGMENT_DURATION.as_millis() as u64;

/// One outcome without its body. The names are short because thousands lie in one object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// Whether the request may have run.
    #[serde(rename = "v")]
    pub verdict: Verdict,
    /// The HTTP status that its caller got.
    #[serde(rename = "s")]
    pub status: u16,
}

/// The outcomes of those tokens of one incarnation that were issued within one [`SEGMENT`], as one
/// object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeSegment {
    /// The incarnation.
    pub owner: Incarnation,
    /// The number of the segment, counted from the start of the owner.
    pub number: u64,
    /// The outcomes by the random half of the token's nonce, in hexadecimal.
    pub outcomes: BTreeMap<String, RecordedOutcome>,
}

impl OutcomeSegment {
    /// An empty segment.
    pub fn new(owner: Incarnation, number: u64) -> Self {
        Self {
            owner,
            number,
            outcomes: BTreeMap::new(),
        }
    }

    /// The number of the segment that a token belongs to.
    pub fn number_of(token: &ExecutionToken) -> u64 {
        token.issued_ms / SEGMENT_MS
    }

    /// When the first token of the segment behind this one could be issued, in milliseconds of the
    /// owner's clock.
    pub(crate) fn segment_end_ms(number: u64) -> u64 {
        (number + 1) * SEGMENT_MS
    }

    pub(crate) fn add(&mut self, token: &ExecutionToken, outcome: RecordedOutcome) {
        self.outcomes.insert(outcome_key(token), outcome);
    }
}

/// The owner's last word: it runs no token any more, and every outcome lies in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosingRecord {
    /// The incarnation.
    pub owner: Incarnation,
    /// The segments of tokens issued before this, in milliseconds of the owner's clock, are deleted.
    pub complete_since_ms: u64,
}

/// What became of a token whose owner can't be asked.
///
/// `closing` must have been read before `segment`: then the segment is whole. Only a closing record
/// makes an unlisted token [`Verdict::NotRun`]: the owner wrote it after its last execution and
/// refuses every token since. Without it, nobody knows.
pub fn verdict_of_lost_owner(
    token: &ExecutionToken,
    closing: Option<&ClosingRecord>,
    segment: Option<&OutcomeSegment>,
) -> Verdict {
    let recorded = segment.and_then(|segment| segment.outcomes.get(&outcome_key(token)));
    if let Some(outcome) = recorded {
        return outcome.verdict;
    }
    let is_covered = closing.is_some_and(|closing| token.issued_ms >= closing.complete_since_ms);
    if is_covered {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// The other half of the nonce is the seal, which says nothing more.
fn outcome_key(token: &ExecutionToken) -> String {
    let random = (token.nonce >> 64) as u64;
    format!("{random:016x}")
}
