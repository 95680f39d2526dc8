#![doc = include_str!("../README.md")]

mod api;
mod client;
pub mod http;
mod hyper_io;
mod read_ahead;
mod read_limit;
mod ready_socket;
mod response_framing;
mod split_head;
mod stand_in;
mod store;
mod tolerant_json;

pub use api::{Changes, Counters, Faults, Object, VmEntry, VmState, keys};
pub use client::{Expected, OBJECTS_PATH, Platform, PlatformError};
pub use hyper_io::{HyperIo, WakeAfterBlockedWrite, hyper_io, hyper_server_io};
pub use read_ahead::ReadAhead;
pub use read_limit::{LimitedReads, ReadLimit};
pub use ready_socket::ReadySocket;
pub use response_framing::{MalformedResponse, check_framing, malformed_by, normalize_version};
pub use stand_in::{StandIn, serve};
