//! The backend server beside the daemon: connections, announcements and crash detection.

pub(crate) mod announce;
pub(crate) mod crash;
pub(crate) mod link;
pub(crate) mod report;
pub(crate) mod signals;
pub(crate) mod state;
pub(crate) mod work_times;
