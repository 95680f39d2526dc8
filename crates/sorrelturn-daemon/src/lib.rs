#![doc = include_str!("../README.md")]

mod admin;
mod answer;
mod backend;
mod body;
mod clock;
mod control;
mod entry;
mod export;
mod forward;
mod gossip;
mod headers;
mod nested;
mod node;
mod outcomes;
mod owner;
mod parents;
mod payload;
mod peers;
mod room;
mod routes;
mod run;
mod serve;
mod settings;
mod stream;
mod timers;
mod tokens;
mod watch;

pub use control::{FleetReport, StatusReport};
pub use run::{Addresses, Daemon, StartError};
pub use settings::{
    BackendSettings, FleetKeySettings, ListenSettings, MetricsSettings, OnceSettings,
    PlatformSettings, Settings, StopSettings, TraceSettings,
};
pub use stream::fleet_client_stream;
