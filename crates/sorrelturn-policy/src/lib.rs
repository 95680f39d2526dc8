#![doc = include_str!("../README.md")]

mod announced_limit;
mod attempts;
mod bucket;
mod call_graph;
mod cold_limiter;
mod concurrency_tuner;
mod entry_queue;
mod entry_rate;
mod freshness;
mod gate;
mod in_progress;
mod learned;
mod leaving;
mod limit;
mod origins;
mod overload_detector;
mod presence;
mod quarantine;
mod retry;
mod retry_after;
mod retry_detector;
mod retry_window;
mod routing;
mod shedding_level;

pub use announced_limit::{AnnouncedLimit, NamedLimit};
pub use attempts::{AttemptPool, first_attempt_share};
pub use bucket::{RateBucket, RetryBucket};
pub use call_graph::{CallGraph, Candidate};
pub use cold_limiter::{ColdLimiter, ColdRate};
pub use concurrency_tuner::{ConcurrencyTuner, TuningSample};
pub use entry_queue::{EntryQueue, EntryRequest, Offer, WaitEnd};
pub use entry_rate::LevelInForce;
pub use freshness::Freshness;
pub use gate::{Arrival, Decision, Gate, GateConfig, Released};
pub use in_progress::InProgressRequests;
pub use learned::LearnedThreshold;
pub use leaving::{Leaving, LeavingCause};
pub use limit::{AdaptiveLimit, Outcome};
pub use origins::RequestOrigins;
pub use overload_detector::OverloadDetector;
pub use presence::{Presence, PresenceChange};
pub use quarantine::{CRASHES_TO_QUARANTINE, Quarantine, QuarantineUpdate};
pub use retry::{Attempt, MAX_BACKEND_REFUSALS, Step, next_step, step_after_backend_refusal};
pub use retry_after::{RefusalStreak, RetryAfter};
pub use retry_detector::{RetryDetector, bucket_for_at_most_once, bucket_for_retry};
pub use retry_window::RetryWindow;
pub use routing::{Instance, InstanceReport, choose};
pub use shedding_level::{LEVEL_STEPS, SheddingLevel, refuses};

/// A point in time: the time since the process started, including time that its VM was suspended.
pub type Now = std::time::Duration;
