//! The reasons why a request was not answered by a backend server.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The reason for a refusal. Its text is sent to the caller and logged.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// the service is overloaded and sheds requests of this priority
    Overload,
    /// the request can't finish before its deadline
    Deadline,
    /// the instance is leaving
    Leaving,
    /// the daemon that received the call belongs to another service
    OtherService,
    /// no bundle is in force on this daemon yet
    NoBundle,
    /// no instance of the service can be reached
    NoInstance,
    /// the request has used up its attempts
    AttemptsSpent,
    /// the caller exceeded its request rate or its retry allowance
    CallerRate,
    /// no kind of request matches this method and path
    UnknownKind,
    /// the caller is not known
    UnknownCaller,
    /// the configuration known to this daemon may be out of date
    StaleKnowledge,
    /// the workspace has used up its quota
    QuotaUsedUp,
    /// the remaining quota of the workspace can't be determined at present
    QuotaUnknown,
    /// the caller may not use this kind of request
    NotAllowed,
    /// this kind runs at most once: send a token or an Idempotency-Key
    TokenRequired,
    /// the token is malformed, expired, or was used for another request
    TokenRejected,
    /// the request with this token is still running
    StillRunning,
    /// the request with this token was refused earlier and stays refused
    Tombstone,
    /// the outcome of this token is unknown
    OutcomeUnknown,
    /// the platform's store can't bind the Idempotency-Key at present
    StoreUnavailable,
    /// the backend server can't be reached
    BackendUnreachable,
    /// the exchange with the backend server was interrupted
    BackendBroke,
    /// the exchange with the owner daemon was interrupted
    PeerBroke,
    /// the request is malformed
    Malformed,
    /// the request's body is larger than the operators allow
    TooLarge,
    /// the backend server refused before it ran the request
    BackendRefused,
    /// a service that the request calls has no instance
    NoInstanceBelow,
    /// the backend server crashed while it ran the request
    BackendCrashed,
    /// the request is quarantined because backend servers crashed while they ran it
    Quarantined,
    /// the entry of the route table that the request needs can't be used
    UnusableEntry,
    /// the backend server has just started and accepts few requests
    WarmingUp,
    /// the failure domain is being evacuated
    Evacuated,
    /// the daemon's memory is needed for the requests in progress
    OutOfMemory,
    /// the backend server limits the requests that it accepts for now
    BackendLimit,
    /// the services that a repeated request calls have no retries left for it
    NoRetriesBelow,
}

impl Refusal {
    /// The HTTP status of the response to the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::UnknownCaller => 401,
            Self::NotAllowed => 403,
            Self::UnknownKind => 404,
            Self::StillRunning => 409,
            Self::TokenRejected => 422,
            Self::TokenRequired => 428,
            Self::CallerRate | Self::QuotaUsedUp => 429,
            Self::BackendBroke | Self::BackendCrashed | Self::PeerBroke | Self::OutcomeUnknown => {
                502
            }
            Self::Deadline => 504,
            _ => 503,
        }
    }

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::OtherService => "other-service",
            Self::NoBundle => "no-bundle",
            Self::NoInstance => "no-instance",
            Self::AttemptsSpent => "attempts-spent",
            Self::CallerRate => "caller-rate",
            Self::UnknownKind => "unknown-kind",
            Self::UnknownCaller => "unknown-caller",
            Self::StaleKnowledge => "stale-knowledge",
            Self::QuotaUsedUp => "quota-used-up",
            Self::QuotaUnknown => "quota-unknown",
            Self::NotAllowed => "not-allowed",
            Self::TokenRequired => "token-required",
            Self::TokenRejected => "token-rejected",
            Self::StillRunning => "still-running",
            Self::Tombstone => "tombstone",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::StoreUnavailable => "store-unavailable",
            Self::BackendUnreachable => "backend-unreachable",
            Self::BackendBroke => "backend-broke",
            Self::PeerBroke => "peer-broke",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::BackendRefused => "backend-refused",
            Self::NoInstanceBelow => "no-instance-below",
            Self::NoRetriesBelow => "no-retries-below",
            Self::BackendCrashed => "backend-crashed",
            Self::Quarantined => "quarantined",
            Self::UnusableEntry => "unusable-entry",
            Self::WarmingUp => "warming-up",
            Self::Evacuated => "evacuated",
            Self::OutOfMemory => "out-of-memory",
            Self::BackendLimit => "backend-limit",
        }
    }

    /// Whether the load reported with this refusal is the service's: a daemon whose backend server accepts no requests
    /// is idle even if the other instances are overloaded.
    pub fn indicates_service_load(self) -> bool {
        !matches!(
            self,
            Self::Leaving
                | Self::OtherService
                | Self::NoBundle
                | Self::BackendUnreachable
                | Self::BackendCrashed
                | Self::WarmingUp
                | Self::Evacuated
                | Self::OutOfMemory
                | Self::BackendLimit
        )
    }

    /// Whether another instance may accept a request that this one refused without running it.
    pub fn is_retryable_elsewhere(self) -> bool {
        matches!(
            self,
            Self::Overload
                | Self::Leaving
                | Self::NoBundle
                | Self::OtherService
                | Self::BackendUnreachable
                | Self::BackendRefused
                | Self::WarmingUp
                | Self::Evacuated
                | Self::OutOfMemory
                | Self::BackendLimit
        )
    }
}
