#![doc = include_str!("../README.md")]

mod bundle_tracker;
mod confirmation;
mod evacuations;
mod membership;
mod messages;
mod rank;
mod status;
mod vm_list;

pub use bundle_tracker::{BundleTracker, Fetch, PUSH_FAN_OUT, Source, sample_peers};
pub use confirmation::{ConfirmationSchedule, ConfirmationStep, DomainPlace};
pub use evacuations::Evacuations;
pub use membership::{Membership, MembershipDigest, bucket_of};
pub use messages::{ExchangeReply, ExchangeRequest, KnownVersion, Report};
pub use rank::{
    STANDBY_WATCHER_COUNT, WATCHER_COUNT, predecessors, rank_of, ranked, searchers_for,
};
pub use status::{DomainStatus, DomainView, MemberStatus, report_interval, silence_timeout};
pub use vm_list::{VmListDiff, diff_vm_list};

/// The time since the process started, including time for which its VM was suspended.
pub type Now = std::time::Duration;
