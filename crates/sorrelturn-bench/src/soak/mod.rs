//! A fault soak: daemons as processes of their own under faults from outside, and a check of what is promised
//! by what callers and backend servers see.

mod actions;
mod caller;
mod checker;
mod harness;
mod member;
mod path;
mod plan;
mod traffic;
mod workspaces;

pub use checker::{Breach, Checker, Counts, Ending, Kind, Place, Promise};
pub use harness::{SoakReport, SoakTarget, soak};
pub use plan::{Action, PathFault, SoakPlan, StoreFault, TimedAction};
pub use workspaces::CredentialKind;
