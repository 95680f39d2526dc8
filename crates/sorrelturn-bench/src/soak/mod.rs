//! A fault soak: runs daemons as separate processes, injects faults, and checks the promises against what callers and
//! backend servers observe.

mod actions;
mod caller;
mod checker;
mod harness;
mod member;
mod mixed_work;
mod other_writers;
mod path;
mod plan;
mod route_tables;
mod traffic;
mod workspaces;

pub use checker::{Breach, Checker, Counts, Ending, Kind, Place, Promise};
pub use harness::{SoakReport, SoakTarget, soak};
pub use other_writers::{ForeignEntry, OddJson, RecordChange};
pub use plan::{Action, PathFault, SoakPlan, StoreFault, TimedAction};
pub use route_tables::timed_deadline;
pub use workspaces::CredentialKind;
