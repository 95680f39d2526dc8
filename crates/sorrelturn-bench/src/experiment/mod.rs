//! Experiments on the product's own decisions, in virtual time and without network: call graphs of any depth
//! and fan-out under load and faults, as a file describes them. See `docs/EXPERIMENTS.md`.

mod daemon;
mod file;
mod outcome;
mod plot;
mod simulation;
mod table;

pub use file::{Experiment, ExperimentError, Mechanism};
pub use outcome::{KindOutcome, Outcome};
pub use plot::plot;
pub use simulation::simulate_experiment;
pub use table::table;
