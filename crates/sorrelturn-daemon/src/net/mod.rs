//! Listeners, connections and timers.

pub(crate) mod connections;
pub(crate) mod listeners;
pub(crate) mod pool;
pub(crate) mod refused;
pub(crate) mod serve;
pub(crate) mod stream;
pub(crate) mod timers;
pub(crate) mod upload;
