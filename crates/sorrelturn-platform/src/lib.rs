#![doc = include_str!("../README.md")]

mod api;
mod client;
pub mod http;
mod stand_in;
mod store;

pub use api::{Changes, Counters, Faults, Object, VmEntry, VmState, keys};
pub use client::{Expected, OBJECTS_PATH, Platform, PlatformError};
pub use stand_in::{StandIn, serve};
