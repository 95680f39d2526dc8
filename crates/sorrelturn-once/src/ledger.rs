//! The tokens that one daemon process issued, with their states and outcomes.
//! See `docs/design/at-most-once.md`.

use crate::{ClosingRecord, OutcomeSegment, RecordedOutcome};
use sorrelturn_protocol::{ExecutionToken, Incarnation, Verdict};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// How long a token can be used and its outcome queried.
    pub ttl: Duration,
    /// The maximum number of unexpired tokens; at the limit none are issued and none evicted.
    pub capacity: usize,
    /// The maximum response body bytes retained for repeats; a body that exceeds it is not retained.
    pub max_retained_bytes: usize,
}

/// A hash of a token's first request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// A request's result, returned again if the caller repeats it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// `None` if it was not retained.
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    fn retained_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, Vec::len)
    }
}

/// Whether a request may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// It may be forwarded; no other request with the token may.
    MayRun,
    /// A request with the token is in progress.
    InProgress,
    /// It ended with this outcome.
    Recorded(Outcome),
    /// It was refused before it was forwarded, and stays refused.
    Refused,
    /// Not issued by this process, or first used for another request.
    InvalidToken,
    /// The token has expired.
    Expired,
    /// The ledger is closed and no request with the token was forwarded.
    Closed,
}

#[derive(Clone, Debug)]
enum TokenState {
    InProgress,
    Refused,
    Ended(Outcome),
}

#[derive(Clone, Debug)]
struct UsedToken {
    fingerprint: Fingerprint,
    state: TokenState,
}

/// Issues tokens and ensures that at most one request is forwarded per token.
///
/// Capacity is reserved at issue. Tokens carry a message authentication code with a key that only this process has, so
/// forged ones use no memory.
pub struct Ledger {
    owner: Incarnation,
    cfg: LedgerConfig,
    mac_key: [u8; 32],
    used: HashMap<u128, UsedToken>,
    /// Issue times in milliseconds and nonces of the used tokens.
    used_by_age: BTreeSet<(u64, u128)>,
    /// Of all unexpired tokens, used or not, oldest first.
    unexpired_issued_ms: VecDeque<u64>,
    retained_bytes: usize,
    is_closed: bool,
    segments: BTreeMap<u64, OutcomeSegment>,
    unsaved_segments: BTreeSet<u64>,
    /// The end of the last removed segment; see [`ClosingRecord`].
    complete_since_ms: u64,
}

impl Ledger {
    /// `mac_key` must be secret and newly generated.
    pub fn new(owner: Incarnation, cfg: LedgerConfig, mac_key: [u8; 32]) -> Self {
        Self {
            owner,
            cfg,
            mac_key,
            used: HashMap::new(),
            used_by_age: BTreeSet::new(),
            unexpired_issued_ms: VecDeque::new(),
            retained_bytes: 0,
            is_closed: false,
            segments: BTreeMap::new(),
            unsaved_segments: BTreeSet::new(),
            complete_since_ms: 0,
        }
    }

    /// Issues a token; `None` at the capacity limit and after closing. Throughout the ledger, `now` is the time since
    /// the process started.
    pub fn issue(&mut self, now: Duration, rng: &mut fastrand::Rng) -> Option<ExecutionToken> {
        self.evict_expired(now);
        if self.is_closed || self.unexpired_issued_ms.len() >= self.cfg.capacity {
            return None;
        }
        let issued_ms = now.as_millis() as u64;
        self.unexpired_issued_ms.push_back(issued_ms);
        let random = rng.u64(..);
        Some(ExecutionToken {
            owner: self.owner,
            issued_ms,
            nonce: u128::from(random) << 64 | u128::from(self.mac(issued_ms, random)),
        })
    }

    /// Registers a request with a token; returns whether it may be forwarded.
    pub fn begin(
        &mut self,
        now: Duration,
        token: &ExecutionToken,
        fingerprint: Fingerprint,
    ) -> BeginResult {
        if token.owner != self.owner || !self.has_valid_mac(token) {
            return BeginResult::InvalidToken;
        }
        if let Some(used) = self.used.get(&token.nonce) {
            return repeat_result(used, fingerprint);
        }
        if self.is_expired(now, token.issued_ms) {
            return BeginResult::Expired;
        }
        if self.is_closed {
            return BeginResult::Closed;
        }
        self.used_by_age.insert((token.issued_ms, token.nonce));
        let state = TokenState::InProgress;
        self.used
            .insert(token.nonce, UsedToken { fingerprint, state });
        BeginResult::MayRun
    }

    /// Records a refusal before any byte was forwarded.
    ///
    /// Call it before sending the refusal: a delayed copy then stays refused, so the caller can safely use a new token.
    pub fn refuse(&mut self, token: &ExecutionToken) {
        if let Some(used) = self.used.get_mut(&token.nonce) {
            used.state = TokenState::Refused;
        }
    }

    /// Records the outcome of a request.
    pub fn end(&mut self, token: &ExecutionToken, mut outcome: Outcome) {
        let recorded = RecordedOutcome {
            verdict: outcome.verdict,
            status: outcome.status,
        };
        if self.retained_bytes + outcome.retained_bytes() > self.cfg.max_retained_bytes {
            outcome.body = None;
        }
        if let Some(used) = self.used.get_mut(&token.nonce) {
            self.retained_bytes += outcome.retained_bytes();
            used.state = TokenState::Ended(outcome);
            let number = OutcomeSegment::number_of(token);
            self.segments
                .entry(number)
                .or_insert_with(|| OutcomeSegment::new(self.owner, number))
                .add(token, recorded);
            self.unsaved_segments.insert(number);
        }
    }

    /// Closes the ledger when the process stops: no token is issued and no request with an unused token forwarded
    /// afterwards.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Takes the segments that changed since they were last taken, to write them to the store.
    pub fn take_unsaved(&mut self) -> Vec<OutcomeSegment> {
        std::mem::take(&mut self.unsaved_segments)
            .iter()
            .filter_map(|number| self.segments.get(number).cloned())
            .collect()
    }

    /// Marks a segment that couldn't be written, so that it is taken again.
    pub fn mark_unsaved(&mut self, number: u64) {
        self.unsaved_segments.insert(number);
    }

    /// Removes segments whose tokens have all expired; returns their numbers for deletion from the store.
    pub fn remove_expired_segments(&mut self, now: Duration) -> Vec<u64> {
        let mut removed = Vec::new();
        while let Some(number) = self.segments.keys().next().copied() {
            let segment_end_ms = OutcomeSegment::segment_end_ms(number);
            if !self.is_expired(now, segment_end_ms) {
                break;
            }
            self.segments.remove(&number);
            self.unsaved_segments.remove(&number);
            self.complete_since_ms = segment_end_ms;
            removed.push(number);
        }
        removed
    }

    /// The closing record, once the ledger is closed, no request is in progress and every segment was taken.
    ///
    /// Write the segments to the store before it.
    pub fn closing_record(&self) -> Option<ClosingRecord> {
        let is_complete =
            self.is_closed && self.unsaved_segments.is_empty() && self.in_progress_count() == 0;
        is_complete.then_some(ClosingRecord {
            owner: self.owner,
            complete_since_ms: self.complete_since_ms,
        })
    }

    /// The number of requests in progress.
    pub fn in_progress_count(&self) -> usize {
        self.used
            .values()
            .filter(|used| matches!(used.state, TokenState::InProgress))
            .count()
    }

    /// The number of retained response body bytes.
    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// The number of unexpired tokens.
    pub fn unexpired_count(&self) -> usize {
        self.unexpired_issued_ms.len()
    }

    /// Evicts expired tokens and their outcomes, except those with a request in progress.
    pub fn evict_expired(&mut self, now: Duration) {
        while self
            .unexpired_issued_ms
            .front()
            .is_some_and(|issued_ms| self.is_expired(now, *issued_ms))
        {
            self.unexpired_issued_ms.pop_front();
        }
        let expired: Vec<(u64, u128)> = self
            .used_by_age
            .iter()
            .take_while(|(issued_ms, _)| self.is_expired(now, *issued_ms))
            .filter(|(_, nonce)| !self.is_in_progress(*nonce))
            .copied()
            .collect();
        for token in expired {
            self.used_by_age.remove(&token);
            if let Some(UsedToken {
                state: TokenState::Ended(outcome),
                ..
            }) = self.used.remove(&token.1)
            {
                self.retained_bytes -= outcome.retained_bytes();
            }
        }
    }

    fn is_in_progress(&self, nonce: u128) -> bool {
        let used = self.used.get(&nonce);
        used.is_some_and(|used| matches!(used.state, TokenState::InProgress))
    }

    fn is_expired(&self, now: Duration, issued_ms: u64) -> bool {
        now >= Duration::from_millis(issued_ms) + self.cfg.ttl
    }

    fn has_valid_mac(&self, token: &ExecutionToken) -> bool {
        let random = (token.nonce >> 64) as u64;
        self.mac(token.issued_ms, random) == token.nonce as u64
    }

    fn mac(&self, issued_ms: u64, random: u64) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(&self.mac_key);
        hasher.update(&issued_ms.to_be_bytes());
        hasher.update(&random.to_be_bytes());
        let mut mac = [0; 8];
        hasher.finalize_xof().fill(&mut mac);
        u64::from_be_bytes(mac)
    }
}

fn repeat_result(used: &UsedToken, fingerprint: Fingerprint) -> BeginResult {
    if used.fingerprint != fingerprint {
        return BeginResult::InvalidToken;
    }
    match &used.state {
        TokenState::InProgress => BeginResult::InProgress,
        TokenState::Refused => BeginResult::Refused,
        TokenState::Ended(outcome) => BeginResult::Recorded(outcome.clone()),
    }
}
