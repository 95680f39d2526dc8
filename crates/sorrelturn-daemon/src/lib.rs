#![doc = include_str!("../README.md")]

mod admin;
mod answer;
mod backend;
mod body;
mod clock;
mod control;
mod control_client;
mod entry;
mod exchange;
mod explain;
mod export;
mod fetch;
mod forward;
mod gossip;
mod headers;
mod hop;
mod in_force;
mod join;
mod listeners;
mod metered;
mod nested;
mod node;
mod outcomes;
mod owner;
mod owner_once;
mod parents;
mod payload;
mod peers;
mod pool;
mod reports;
mod room;
mod routes;
mod run;
mod serve;
mod settings;
mod status;
mod stream;
mod timers;
mod tokens;
mod watch;

pub use listeners::Addresses;
pub use run::{Daemon, StartError};
pub use settings::{
    AdvertiseSettings, BackendSettings, FleetKeySettings, ListenSettings, MetricsSettings,
    OnceSettings, PlatformSettings, Settings, StopSettings, TraceSettings,
};
pub use status::StatusReport;
pub use stream::fleet_client_stream;
