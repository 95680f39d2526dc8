//! Ports on loopback that stay a fleet's own while a daemon of it is away.

use socket2::{Domain, Protocol, Socket, Type};
use sorrelturn_daemon::ListenSettings;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

/// Ports that the kernel gives to nobody else as long as this lives.
///
/// Once a daemon has ended, its ports go to whoever asks for any port next, a listener or an outgoing connection
/// alike, and then its next run can't listen there, for as long as that lasts. A socket that is bound and doesn't
/// listen keeps a port, and leaves it to listeners with `SO_REUSEADDR`, which daemons set; while none listens,
/// connections are refused as if nobody had the port.
#[derive(Debug, Default)]
pub struct ReservedPorts {
    sockets: Vec<Socket>,
}

impl ReservedPorts {
    /// Keeps a port for each listener of a daemon whose kinds are told by routes; says where they are.
    ///
    /// # Errors
    ///
    /// If the kernel has no port left.
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

    /// Keeps one port on loopback; says where it is.
    pub(crate) fn reserve(&mut self) -> io::Result<SocketAddr> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&any.into())?;
        let addr = socket.local_addr()?.as_socket();
        self.sockets.push(socket);
        addr.ok_or_else(|| io::Error::other("the kernel gave no IP address"))
    }
}
