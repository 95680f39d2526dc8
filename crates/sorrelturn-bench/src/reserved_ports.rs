//! Loopback ports that stay reserved while a daemon is down.

use socket2::{Domain, Protocol, Socket, Type};
use sorrelturn_daemon::ListenSettings;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

/// Ports that the kernel assigns to no other socket while this value exists.
///
/// Without a reservation the kernel may assign the port of a stopped daemon to any listener or outgoing connection, and
/// the next incarnation can't listen on it. A bound socket that doesn't listen reserves its port, but lets listeners
/// with `SO_REUSEADDR`, which daemons set, use it; while none listens, connections are refused as on an unused port.
#[derive(Debug, Default)]
pub struct ReservedPorts {
    sockets: Vec<Socket>,
}

impl ReservedPorts {
    /// Reserves a port for each listener of a daemon with route tables, and returns the addresses.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn for_routed_daemon() -> io::Result<(Self, ListenSettings)> {
        let mut ports = Self::default();
        let listen = ListenSettings {
            callers: ports.reserve()?,
            local: ports.reserve()?,
            peers: ports.reserve()?,
            control: ports.reserve()?,
            admin: ports.reserve()?,
            routed: Some(ports.reserve()?),
            announce: Some(ports.reserve()?),
            ready: Some(ports.reserve()?),
        };
        Ok((ports, listen))
    }

    /// Reserves one loopback port and returns its address.
    pub(crate) fn reserve(&mut self) -> io::Result<SocketAddr> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&any_port.into())?;
        let addr = socket.local_addr()?.as_socket();
        self.sockets.push(socket);
        addr.ok_or_else(|| io::Error::other("the kernel gave no IP address"))
    }
}
