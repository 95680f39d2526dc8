//! A fault soak: daemons as processes of their own under faults from outside, and a check of what is promised
//! by what callers and backend servers see.

mod acts;
mod asking;
mod caller;
mod checker;
mod member;
mod path;
mod plan;
mod site;
mod workspaces;

pub use checker::{Breach, Checker, Counts, Ending, Kind, Place, Promise};
pub use plan::{Act, Harm, SoakPlan, TimedAct, Trouble};
pub use site::{SoakReport, SoakWords, soak};
pub use workspaces::Shows;
