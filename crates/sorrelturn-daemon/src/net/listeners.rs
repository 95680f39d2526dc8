//! The listening sockets of a daemon.

use crate::{
    config::settings::{ListenSettings, Settings},
    fleet::control,
    net::connections::ListenerKind,
    net::serve::{self, Accepted, Closing},
    node::Node,
    run::StartError,
};
use smol::{future::FutureExt, net::TcpListener};
use socket2::{Domain, Protocol, Socket, Type};
use std::{io, net::SocketAddr, sync::Arc};

/// New connections that the kernel queues while the daemon is busy. The first packet of a
/// connection beyond them is dropped and sent again 1 s later, when clients have given up. The
/// kernel limits it to `somaxconn`, 4,096 by default.
const ACCEPT_BACKLOG: i32 = 4_096;

/// The sockets of one daemon.
pub(crate) struct Listeners {
    callers: TcpListener,
    local: TcpListener,
    peers: TcpListener,
    control: TcpListener,
    admin: TcpListener,
    routed: Option<TcpListener>,
    announce: Option<TcpListener>,
    ready: Option<TcpListener>,
}

impl Listeners {
    /// Binds all sockets.
    pub(crate) fn bind(settings: &Settings) -> Result<Self, StartError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind(listen.callers)?,
            local: bind(listen.local)?,
            peers: bind(listen.peers)?,
            control: bind(listen.control)?,
            admin: bind(listen.admin)?,
            routed: bind_optional(listen.routed)?,
            announce: bind_optional(listen.announce)?,
            ready: bind_optional(listen.ready)?,
        })
    }

    /// Returns the bound addresses, with the ports selected for port 0.
    pub(crate) fn addresses(&self, settings: &Settings) -> Result<ListenSettings, StartError> {
        let bound_addr = |listener: &TcpListener, addr| {
            listener
                .local_addr()
                .map_err(|error| StartError::Listen { addr, error })
        };
        let optional_addr = |listener: &Option<TcpListener>, addr: Option<SocketAddr>| {
            let pair = listener.as_ref().zip(addr);
            pair.map(|(listener, addr)| bound_addr(listener, addr))
                .transpose()
        };
        let listen = &settings.listen;
        Ok(ListenSettings {
            callers: bound_addr(&self.callers, listen.callers)?,
            local: bound_addr(&self.local, listen.local)?,
            peers: bound_addr(&self.peers, listen.peers)?,
            control: bound_addr(&self.control, listen.control)?,
            admin: bound_addr(&self.admin, listen.admin)?,
            routed: optional_addr(&self.routed, listen.routed)?,
            announce: optional_addr(&self.announce, listen.announce)?,
            ready: optional_addr(&self.ready, listen.ready)?,
        })
    }

    /// Accepts connections until `closing` closes; those of the callers' listener until
    /// `closing_entries` does.
    pub(crate) fn serve(self, node: &Arc<Node>, closing_entries: &Closing, closing: &Closing) {
        let spawn = |listener, kind, serve: fn(Arc<Node>, Accepted, Closing) -> _| {
            let task = serve::accept(Arc::clone(node), listener, kind, closing.clone(), serve);
            node.ex.spawn(task).detach();
        };
        let callers = serve::accept(
            Arc::clone(node),
            self.callers,
            ListenerKind::Callers,
            closing_entries.clone(),
            serve::caller,
        );
        node.ex.spawn(callers).detach();
        spawn(
            self.local,
            ListenerKind::Local,
            |node, accepted, closing| serve::local(node, accepted, closing).boxed(),
        );
        spawn(
            self.peers,
            ListenerKind::Peers,
            |node, accepted, closing| serve::peer(node, accepted, closing).boxed(),
        );
        spawn(
            self.control,
            ListenerKind::Control,
            |node, accepted, closing| control::serve(node, accepted, closing).boxed(),
        );
        spawn(
            self.admin,
            ListenerKind::Admin,
            |node, accepted, closing| serve::admin(node, accepted, closing).boxed(),
        );
        if let Some(routed) = self.routed {
            // The own backend server sends its calls here, too, until it has no request in
            // progress.
            let closing_entries = closing_entries.clone();
            let serve =
                move |node, accepted, _| serve::routed(node, accepted, closing_entries.clone());
            let task = serve::accept(
                Arc::clone(node),
                routed,
                ListenerKind::Routed,
                closing.clone(),
                serve,
            );
            node.ex.spawn(task).detach();
        }
        if let Some(announce) = self.announce {
            spawn(
                announce,
                ListenerKind::Announce,
                |node, accepted, closing| serve::announce(node, accepted, closing).boxed(),
            );
        }
        if let Some(ready) = self.ready {
            spawn(ready, ListenerKind::Ready, |node, accepted, closing| {
                serve::ready(node, accepted, closing).boxed()
            });
        }
    }
}

fn bind_optional(addr: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    match addr {
        Some(addr) => bind(addr).map(Some),
        None => Ok(None),
    }
}

fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    open(addr).map_err(|error| StartError::Listen { addr, error })
}

fn open(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // The next incarnation binds the same port while connections of the last one may still be
    // closing.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    std::net::TcpListener::from(socket).try_into()
}
