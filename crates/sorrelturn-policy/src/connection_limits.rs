//! How many connections a daemon keeps open to and from other daemons. See `docs/design/between-daemons.md`.
//!
//! Any of n daemons may call any other, so without a bound over all of them the connections between daemons would grow
//! with the fleet until no file descriptor is left for new clients.

use std::time::Duration;

/// The maximum idle time of a reused connection. The peer may close it after that, and a request that is sent at the
/// same time may have run.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The idle time after which connections opened for a burst are dropped, and all of them while the limit of idle ones is
/// near.
pub const SPARE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The divisors of the limit for clients, which is half of the file descriptors. A quarter remains for connections that
/// carry requests.
const INBOUND_DIVISOR: usize = 2;
const IDLE_OUTBOUND_DIVISOR: usize = 4;

/// The limits of the connections between daemons, over all peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    max_inbound: usize,
    max_idle_outbound: usize,
}

impl ConnectionLimits {
    /// No limits, for connections whose number doesn't grow with the fleet.
    pub const NONE: Self = Self {
        max_inbound: usize::MAX,
        max_idle_outbound: usize::MAX,
    };

    /// Derives the limits from that of clients' connections, half of the file descriptors of the process.
    #[must_use]
    pub fn new(max_clients: usize) -> Self {
        Self {
            max_inbound: (max_clients / INBOUND_DIVISOR).max(1),
            max_idle_outbound: (max_clients / IDLE_OUTBOUND_DIVISOR).max(1),
        }
    }

    /// Returns whether another connection of a peer is accepted, given the number of open ones.
    ///
    /// Above the limit of those that stay open, since a connection that closes with its response needs room until then.
    #[must_use]
    pub fn accepts_inbound(&self, open: usize) -> bool {
        open < self.max_inbound.saturating_add(self.max_inbound / 2)
    }

    /// Returns whether a peer's connection stays open after a response, given the number of open ones, itself included.
    ///
    /// Only a response may end it: the peer can't send a request at the same time, which would then count as one that
    /// may have run.
    #[must_use]
    pub fn keeps_inbound(&self, open: usize) -> bool {
        open <= self.max_inbound
    }

    /// Returns whether a connection to a peer may become idle, given the number of idle ones without it.
    #[must_use]
    pub fn keeps_outbound(&self, idle: usize) -> bool {
        idle < self.max_idle_outbound
    }

    /// Returns how long a connection to a peer may be idle, given the number of idle ones. From half of the limit on it
    /// is short, so that rarely called peers don't keep the connections to the others from being used again.
    #[must_use]
    pub fn idle_timeout(&self, idle: usize) -> Duration {
        if idle < self.max_idle_outbound / 2 {
            IDLE_TIMEOUT
        } else {
            SPARE_IDLE_TIMEOUT
        }
    }
}
