//! Simulates load and faults on call graphs in virtual time, without a network, using the product's policy
//! code. A file describes each experiment. See `docs/EXPERIMENTS.md`.

mod daemon;
mod file;
mod outcome;
mod plot;
mod simulation;
mod table;

pub use file::{Experiment, ExperimentError, Mechanism, Rejection};
pub use outcome::{KindOutcome, Outcome, RetryCounts, ServiceOutcome};
pub use plot::plot;
pub use simulation::simulate_experiment;
pub use table::table;
