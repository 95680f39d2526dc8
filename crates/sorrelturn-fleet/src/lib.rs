#![doc = include_str!("../README.md")]

mod membership;
mod messages;
mod rank;
mod spread;
mod status;
mod vm_list;

pub use membership::{Membership, MembershipDigest, bucket_of};
pub use messages::{Digest, DigestReply, Report};
pub use rank::{DEPUTIES, WATCHERS, predecessors, ranked, successors};
pub use spread::{Fetch, PUSH_FAN_OUT, Source, Spread, push_targets};
pub use status::{DomainStatus, DomainView, MemberStatus, longest_silence, report_pause};
pub use vm_list::{VmAdvice, advise};

/// A point in time: what has passed since the process started, the time included that its VM was suspended.
pub type Now = std::time::Duration;
