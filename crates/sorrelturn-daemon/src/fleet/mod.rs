//! Fleet membership and communication between daemons.

pub(crate) mod control;
pub(crate) mod control_client;
pub(crate) mod control_codec;
pub(crate) mod evacuation;
pub(crate) mod gossip;
pub(crate) mod instance_table;
pub(crate) mod join;
pub(crate) mod metered;
pub(crate) mod next_incarnation;
pub(crate) mod own_record;
pub(crate) mod peers;
pub(crate) mod quota;
pub(crate) mod reports;
pub(crate) mod suspects;
pub(crate) mod watch;
