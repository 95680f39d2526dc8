//! Outcomes that a daemon records in the platform's store, where they outlive the process.
//! See `docs/design/at-most-once.md`.

use serde::{Deserialize, Serialize};
use sorrelturn_protocol::{ExecutionToken, Incarnation, Verdict};
use std::{collections::BTreeMap, time::Duration};

/// The range of issue times whose outcomes share one object. Longer means fewer objects, shorter fewer bytes rewritten.
pub const SEGMENT_DURATION: Duration = Duration::from_secs(60);
const SEGMENT_MS: u64 = SEGMENT_DURATION.as_millis() as u64;

/// An outcome without its body; serialized names are short because an object holds thousands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// Whether the request may have run.
    #[serde(rename = "v")]
    pub verdict: Verdict,
    /// The HTTP status of the response to the caller.
    #[serde(rename = "s")]
    pub status: u16,
}

/// The outcomes of an incarnation's tokens issued within one [`SEGMENT_DURATION`], stored as one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeSegment {
    /// The issuer of the tokens.
    pub owner: Incarnation,
    /// Counted from the owner's start.
    pub number: u64,
    /// Keyed by the random half of the token's nonce in hexadecimal.
    pub outcomes: BTreeMap<String, RecordedOutcome>,
}

impl OutcomeSegment {
    /// Creates an empty segment.
    pub fn new(owner: Incarnation, number: u64) -> Self {
        Self {
            owner,
            number,
            outcomes: BTreeMap::new(),
        }
    }

    /// The segment that a token belongs to.
    pub fn number_of(token: &ExecutionToken) -> u64 {
        token.issued_ms / SEGMENT_MS
    }

    /// The exclusive end, in milliseconds of the owner's clock.
    pub(crate) fn segment_end_ms(number: u64) -> u64 {
        (number + 1) * SEGMENT_MS
    }

    pub(crate) fn add(&mut self, token: &ExecutionToken, outcome: RecordedOutcome) {
        self.outcomes.insert(outcome_key(token), outcome);
    }
}

/// The owner's final record: it forwards no more requests, and the outcomes of unexpired tokens are in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosingRecord {
    /// The writer of the record.
    pub owner: Incarnation,
    /// All outcomes of tokens issued from this time on are in the store. In milliseconds of the owner's clock.
    pub complete_since_ms: u64,
}

/// The verdict on a token whose owner can't be queried.
///
/// `closing` must have been read before `segment`, so that the segment is complete. Without a recorded outcome the
/// verdict is [`Verdict::NotRun`] only if a closing record covers the issue time, because the owner writes it after its
/// last request ended and refuses later ones; otherwise it is [`Verdict::MayHaveRun`].
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

/// The random half of the nonce; the other half is the message authentication code.
fn outcome_key(token: &ExecutionToken) -> String {
    let random = (token.nonce >> 64) as u64;
    format!("{random:016x}")
}
