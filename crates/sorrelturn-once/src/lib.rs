#![doc = include_str!("../README.md")]

mod attempts;
mod binding;
mod ledger;
mod nested;
mod record;

pub use attempts::AttemptRegister;
pub use binding::{Binding, BindingError};
pub use ledger::{BeginResult, Fingerprint, Ledger, LedgerConfig, Outcome};
pub use nested::{CallKey, NestedTokens};
pub use record::{
    ClosingRecord, OutcomeSegment, RecordedOutcome, SEGMENT_DURATION, verdict_of_lost_owner,
};
