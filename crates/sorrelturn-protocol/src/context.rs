//! Metadata of a call and of its answer, each sent between daemons in one header.

use crate::{
    CallerId, ExecutionToken, Importance, Incarnation, Precedence, Priority, Refusal,
    RequestFingerprints, RequestId, SpanId, Verdict,
};
use data_encoding::BASE64URL_NOPAD;
use displaydoc::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The metadata of a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// The root request.
    pub request: RequestId,
    /// The W3C trace id.
    pub trace: u128,
    /// The span of the forwarding hop, the parent of the next hop's span.
    pub parent: SpanId,
    /// The request kind's name in the bundle.
    pub kind: String,
    /// The target service, which the receiver checks: its address may since belong to another service.
    pub service: String,
    /// The importance of the root request.
    pub importance: Importance,
    /// The number of backend servers between the root request and this call.
    pub depth: u8,
    /// Milliseconds until the deadline when the call was sent.
    pub deadline_ms: u32,
    /// The maximum number of executions of this call and its nested calls.
    pub attempts: u32,
    /// The execution token, for a call that runs at most once.
    pub token: Option<ExecutionToken>,
    /// The caller of the root request.
    pub caller: CallerId,
    /// The shedding level at which the root request was admitted, in steps of 1/256. If a nested call's parent is
    /// unknown: the mean level of the requests in progress at the calling backend server.
    pub level: u16,
    /// The fraction of the root request's rank that its entry refused, in steps of 1/256; 0 if fair shares don't
    /// matter. See `docs/design/fair-shares.md`.
    pub refused_fraction: u8,
    /// The probability that the request is a repeat, so that the calls that it makes are repeats as well.
    pub repeat_share: RepeatShare,
    /// Identify the request to the quarantine.
    pub names: RequestFingerprints,
    /// Whether the sender knows of backend servers that report their work time; see `docs/design/instance-speed.md`.
    pub work_times_reported: bool,
    /// The precedence of the root request, if the forwarding daemon knows it and retries are ordered by it.
    pub root_precedence: Precedence,
}

/// The probability that a request is a repeat, in steps of 1/255: a repeat reaches a backend server though the same
/// request did so before, or is a call that a repeated request makes. A call doesn't name the request that makes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RepeatShare(u8);

impl RepeatShare {
    /// A request that is surely a repeat.
    pub const CERTAIN: Self = Self(u8::MAX);

    /// Rounds the probability that a call is made by a repeated request. It is never certain, since a call doesn't name
    /// the request that makes it.
    pub fn of_call(probability: f64) -> Self {
        let steps = (probability * f64::from(u8::MAX)).round() as u8;
        Self(steps.min(u8::MAX - 1))
    }

    /// Returns the probability.
    pub fn probability(self) -> f64 {
        f64::from(self.0) / f64::from(u8::MAX)
    }

    /// Returns the probability in percent.
    pub fn percent(self) -> u8 {
        (self.probability() * 100.0).round() as u8
    }
}

/// What the owner of a call tells the mechanisms for contention of the forwarding daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentionReport {
    /// Whether the owner knows of backend servers that report their work time; see `docs/design/instance-speed.md`.
    pub work_times_reported: bool,
    /// Milliseconds until the backend server would answer a call that arrived now; 0 if unknown.
    pub expected_ms: u32,
    /// The load and capacity of the owner's backend server.
    pub room: InstanceRoom,
    /// The part of the answer's `threshold` that doesn't follow from `room`: that of the services that the owner calls,
    /// and of the owner's processor.
    pub level_without_room: Priority,
    /// The demand of the call's workspace at the owner relative to its fair share, in steps of 1/256; 0 if unknown.
    /// See `docs/design/fair-shares.md`.
    pub share_used: u16,
}

/// The load and the capacity of one instance, in thousandths of a slot; both 0 if unknown.
/// See `docs/design/service-room.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRoom {
    /// The slots that would be in use if no root request were refused.
    pub offered: u32,
    /// The slots that the instance should have in use at most.
    pub capacity: u32,
}

impl CallContext {
    /// The root request's priority, the same at every hop.
    pub fn priority(&self) -> Priority {
        Priority::new(self.importance, self.request.shedding_bucket())
    }
}

/// The metadata that the owner of a call, the daemon beside the backend server, returns to the forwarding daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerContext {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// The reason, if the call was refused.
    pub refusal: Option<Refusal>,
    /// Milliseconds before a retry; 0 if the call was not refused.
    pub retry_after_ms: u32,
    /// The unused executions of the call's budget.
    pub attempts_left: u32,
    /// Whether a nested call failed and was already retried there.
    pub already_retried: bool,
    /// The priority below which requests are shed, or the shedding level in steps of 1/256 if root requests are shed at
    /// their entry; the maximum over the owner and the services that it calls.
    pub threshold: Priority,
    /// Calls in flight and queued, in percent of the concurrency limit.
    pub load: u16,
    /// The owner's bundle version in force.
    pub bundle_version: u64,
    /// Milliseconds since the owner last confirmed that no higher bundle version exists; absent if the bundle has no
    /// workspaces.
    pub knowledge_age_ms: Option<u32>,
    /// The owner's incarnation, which reveals a restart.
    pub incarnation: Incarnation,
    /// Whether the owner is leaving the fleet.
    pub leaving: bool,
    /// Whether the owner has learned that this kind is called by backend servers.
    pub is_call: bool,
    /// The shedding level that the limit of the owner's backend server calls for, in steps of 1/256; 0 without a limit.
    pub limit_level: u16,
    /// Milliseconds for which the sender should avoid the owner, after a refusal because of that limit.
    pub pause_ms: u32,
    /// Whether the owner refuses repeated requests of this kind now, since the services that it calls, directly or
    /// indirectly, have no retries left for their calls.
    pub refuses_repeats: bool,
    /// Present if a mechanism for contention is on at the owner.
    pub contention: Option<ContentionReport>,
}

/// The error of decoding a context header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HeaderError {
    /// the header is not valid base64url
    Encoding,
    /// the header content can't be decoded by this version
    Content,
}

impl std::error::Error for HeaderError {}

pub(crate) fn encode(value: &impl Serialize) -> String {
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    BASE64URL_NOPAD.encode(&bytes)
}

pub(crate) fn decode<T: DeserializeOwned>(text: &[u8]) -> Result<T, HeaderError> {
    let bytes = BASE64URL_NOPAD
        .decode(text)
        .map_err(|_| HeaderError::Encoding)?;
    postcard::from_bytes(&bytes).map_err(|_| HeaderError::Content)
}

impl CallContext {
    /// Encodes as a header value.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// Decodes a header value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}

impl AnswerContext {
    /// Encodes as a header value.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// Decodes a header value.
    pub fn decode(text: &[u8]) -> Result<Self, HeaderError> {
        decode(text)
    }
}
