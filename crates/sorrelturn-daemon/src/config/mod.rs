//! The operators' configuration: the settings of the process and the bundle in force.

pub(crate) mod confirmation;
pub(crate) mod contention;
pub(crate) mod fetch;
pub(crate) mod in_force;
pub(crate) mod route_staleness;
pub(crate) mod settings;
