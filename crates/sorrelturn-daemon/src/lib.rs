#![doc = include_str!("../README.md")]

mod admin;
mod announce;
mod answer;
mod backend;
mod backend_state;
mod body;
mod clock;
mod control;
mod control_client;
mod dialect;
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
mod log_sink;
mod metered;
mod metrics_page;
mod nested;
mod node;
mod outcomes;
mod owner;
mod owner_once;
mod parents;
mod payload;
mod peers;
mod pool;
pub mod process;
mod reports;
mod room;
mod routed;
mod routes;
mod run;
mod serve;
mod settings;
mod status;
mod stream;
mod timers;
mod tokens;
mod watch;

pub use dialect::{Dialect, HeaderNames};
pub use listeners::Addresses;
pub use run::{Daemon, StartError};
pub use settings::{
    AdvertiseSettings, BackendSettings, EventSettings, FleetKeySettings, ListenSettings,
    MetricsSettings, OnceSettings, PlatformSettings, RouteSettings, Settings, StopSettings,
    TraceSettings,
};
pub use status::StatusReport;
pub use stream::fleet_client_stream;
