//! Listeners, connections and timers, independent of what the requests mean.

pub(crate) mod connections;
pub(crate) mod listeners;
pub(crate) mod pool;
pub(crate) mod serve;
pub(crate) mod stream;
pub(crate) mod timers;
