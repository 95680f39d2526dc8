//! The backend server beside the daemon: connections, and what it says about itself.

pub(crate) mod announce;
pub(crate) mod crash;
pub(crate) mod link;
pub(crate) mod report;
pub(crate) mod state;
