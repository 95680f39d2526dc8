#![doc = include_str!("../README.md")]

mod backend;
mod clock;
mod config;
mod fleet;
mod net;
mod node;
mod operators;
pub mod process;
mod request;
mod run;
mod shutdown;
mod store;

pub use backend::report::{Deregistration, Heartbeat, read_deregistration, read_heartbeat};
pub use clock::{Clock, since_boot};
pub use config::settings::{
    AdvertiseSettings, BackendSettings, ContentionSettings, EventSettings, FleetKeySettings, Grace,
    ListenSettings, MetricsSettings, OnceSettings, PlatformSettings, RouteSettings, Settings,
    StopLimits, StopSettings, TraceSettings,
};
pub use net::stream::fleet_client_stream;
pub use operators::status::{RoomStatus, StatusReport};
pub use operators::workspaces::{WorkspaceUsage, WorkspacesReport};
pub use request::dialect::{Dialect, HeaderNames};
pub use run::{Daemon, StartError};
