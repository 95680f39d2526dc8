//! The interfaces for operators: admin API, status, metrics, traces and the log.

pub(crate) mod admin;
pub(crate) mod explain;
pub(crate) mod export;
pub(crate) mod log_sink;
pub(crate) mod metrics_page;
pub(crate) mod status;
pub(crate) mod workspaces;
