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
    /// How long a token can be used and its outcome can be queried.
    pub ttl: Duration,
    /// The maximum number of unexpired tokens. At the limit no new tokens are issued, and none are evicted.
    pub capacity: usize,
    /// The maximum number of response body bytes retained for repeats. Further outcomes are retained without bodies.
    pub max_retained_bytes: usize,
}

/// Identifies the request that a token was first used for: a hash over caller, kind and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// The result of a request, which is returned again if the caller repeats it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The whole body, or `None` if it was too large to retain.
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    fn retained_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, Vec::len)
    }
}

/// The result of [`Ledger::begin`]: whether a request may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The request may be forwarded, as the token's only execution.
    Run,
    /// A request with the token is in progress.
    Running,
    /// The request ended with this outcome.
    Recorded(Outcome),
    /// The request was refused and stays refused.
    Refused,
    /// The token was not issued by this process, or was first used for another request.
    Rejected,
    /// The token has expired.
    Expired,
    /// The ledger is closed and the token was never executed.
    Closed,
}

#[derive(Clone, Debug)]
enum TokenState {
    Running,
    Refused,
    Ended(Outcome),
}

#[derive(Clone, Debug)]
struct UsedToken {
    fingerprint: Fingerprint,
    state: TokenState,
}

/// Issues tokens and ensures that each is forwarded at most once.
///
/// Capacity for a token is reserved when it is issued. Tokens are sealed with a key that only this process has, so
/// forged tokens use no memory.
pub struct Ledger {
    owner: Incarnation,
    cfg: LedgerConfig,
    seal_key: [u8; 32],
    used: HashMap<u128, UsedToken>,
    used_by_age: BTreeSet<(u64, u128)>,
    unexpired: VecDeque<u64>,
    retained_bytes: usize,
    is_closed: bool,
    segments: BTreeMap<u64, OutcomeSegment>,
    unsaved_segments: BTreeSet<u64>,
    complete_since_ms: u64,
}

impl Ledger {
    /// Creates the ledger of a process that just started; `seal_key` must be secret and newly generated.
    pub fn new(owner: Incarnation, cfg: LedgerConfig, seal_key: [u8; 32]) -> Self {
        Self {
            owner,
            cfg,
            seal_key,
            used: HashMap::new(),
            used_by_age: BTreeSet::new(),
            unexpired: VecDeque::new(),
            retained_bytes: 0,
            is_closed: false,
            segments: BTreeMap::new(),
            unsaved_segments: BTreeSet::new(),
            complete_since_ms: 0,
        }
    }

    /// Issues a token. Returns `None` at the capacity limit and after the ledger is closed.
    pub fn issue(&mut self, now: Duration, rng: &mut fastrand::Rng) -> Option<ExecutionToken> {
        self.evict_expired(now);
        if self.is_closed || self.unexpired.len() >= self.cfg.capacity {
            return None;
        }
        let issued_ms = now.as_millis() as u64;
        self.unexpired.push_back(issued_ms);
        let random = rng.u64(..);
        Some(ExecutionToken {
            owner: self.owner,
            issued_ms,
            nonce: u128::from(random) << 64 | u128::from(self.seal(issued_ms, random)),
        })
    }

    /// Registers a request that arrived with a token; returns whether it may be forwarded.
    pub fn begin(
        &mut self,
        now: Duration,
        token: &ExecutionToken,
        fingerprint: Fingerprint,
    ) -> BeginResult {
        if token.owner != self.owner || !self.is_sealed(token) {
            return BeginResult::Rejected;
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
        let state = TokenState::Running;
        self.used
            .insert(token.nonce, UsedToken { fingerprint, state });
        BeginResult::Run
    }

    /// Records that a request was refused before any byte of it was forwarded.
    ///
    /// This must happen before the refusal is sent: a delayed copy of the request then stays refused, so the caller can
    /// safely use a new token.
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

    /// Closes the ledger when the process stops: no token is issued and no unused token is executed afterwards.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Takes the segments to write to the store: those that changed since they were last taken.
    pub fn take_unsaved(&mut self) -> Vec<OutcomeSegment> {
        std::mem::take(&mut self.unsaved_segments)
            .iter()
            .filter_map(|number| self.segments.get(number).cloned())
            .collect()
    }

    /// Marks a segment that could not be written, so that it is taken again.
    pub fn mark_unsaved(&mut self, number: u64) {
        self.unsaved_segments.insert(number);
    }

    /// Removes the segments whose tokens have all expired; returns their numbers for deletion from the store.
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

    /// Returns the closing record, once the ledger is closed, no request is in progress and every segment was taken.
    ///
    /// The segments must be written to the store before the closing record.
    pub fn closing_record(&self) -> Option<ClosingRecord> {
        let is_complete =
            self.is_closed && self.unsaved_segments.is_empty() && self.running_count() == 0;
        is_complete.then_some(ClosingRecord {
            owner: self.owner,
            complete_since_ms: self.complete_since_ms,
        })
    }

    /// Returns the number of requests in progress.
    pub fn running_count(&self) -> usize {
        self.used
            .values()
            .filter(|used| matches!(used.state, TokenState::Running))
            .count()
    }

    /// Returns the number of retained response body bytes.
    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns the number of issued tokens that have not expired.
    pub fn outstanding(&self) -> usize {
        self.unexpired.len()
    }

    /// Evicts expired tokens and outcomes, but no request in progress.
    pub fn evict_expired(&mut self, now: Duration) {
        while self
            .unexpired
            .front()
            .is_some_and(|issued_ms| self.is_expired(now, *issued_ms))
        {
            self.unexpired.pop_front();
        }
        while let Some((issued_ms, nonce)) = self.used_by_age.first().copied() {
            let is_running = matches!(
                self.used.get(&nonce),
                Some(UsedToken {
                    state: TokenState::Running,
                    ..
                })
            );
            if is_running || !self.is_expired(now, issued_ms) {
                break;
            }
            self.used_by_age.pop_first();
            if let Some(UsedToken {
                state: TokenState::Ended(outcome),
                ..
            }) = self.used.remove(&nonce)
            {
                self.retained_bytes -= outcome.retained_bytes();
            }
        }
    }

    fn is_expired(&self, now: Duration, issued_ms: u64) -> bool {
        now >= Duration::from_millis(issued_ms) + self.cfg.ttl
    }

    fn is_sealed(&self, token: &ExecutionToken) -> bool {
        let random = (token.nonce >> 64) as u64;
        self.seal(token.issued_ms, random) == token.nonce as u64
    }

    fn seal(&self, issued_ms: u64, random: u64) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(&self.seal_key);
        hasher.update(&issued_ms.to_be_bytes());
        hasher.update(&random.to_be_bytes());
        let mut seal = [0; 8];
        hasher.finalize_xof().fill(&mut seal);
        u64::from_be_bytes(seal)
    }
}

fn repeat_result(used: &UsedToken, fingerprint: Fingerprint) -> BeginResult {
    if used.fingerprint != fingerprint {
        return BeginResult::Rejected;
    }
    match &used.state {
        TokenState::Running => BeginResult::Running,
        TokenState::Refused => BeginResult::Refused,
        TokenState::Ended(outcome) => BeginResult::Recorded(outcome.clone()),
    }
}
