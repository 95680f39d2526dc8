//! Where a daemon listens.

use crate::{
    config::settings::{ListenSettings, Settings},
    fleet::control,
    net::serve::{self, Closing},
    node::Node,
    run::StartError,
};
use smol::{
    future::FutureExt,
    net::{TcpListener, TcpStream},
};
use std::{net::SocketAddr, sync::Arc};

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
    /// Opens all of them.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind(listen.callers).await?,
            local: bind(listen.local).await?,
            peers: bind(listen.peers).await?,
            control: bind(listen.control).await?,
            admin: bind(listen.admin).await?,
            routed: bind_some(listen.routed).await?,
            announce: bind_some(listen.announce).await?,
            ready: bind_some(listen.ready).await?,
        })
    }

    /// Where they listen, with the ports that they got for port 0.
    pub(crate) fn addresses(&self, settings: &Settings) -> Result<ListenSettings, StartError> {
        let of = |listener: &TcpListener, addr| {
            listener
                .local_addr()
                .map_err(|error| StartError::Listen { addr, error })
        };
        let of_some = |listener: &Option<TcpListener>, addr: Option<SocketAddr>| {
            let both = listener.as_ref().zip(addr);
            both.map(|(listener, addr)| of(listener, addr)).transpose()
        };
        let listen = &settings.listen;
        Ok(ListenSettings {
            callers: of(&self.callers, listen.callers)?,
            local: of(&self.local, listen.local)?,
            peers: of(&self.peers, listen.peers)?,
            control: of(&self.control, listen.control)?,
            admin: of(&self.admin, listen.admin)?,
            routed: of_some(&self.routed, listen.routed)?,
            announce: of_some(&self.announce, listen.announce)?,
            ready: of_some(&self.ready, listen.ready)?,
        })
    }

    /// Accepts connections until `closing` ends, those of callers until `closing_entries` does.
    pub(crate) fn serve(self, node: &Arc<Node>, closing_entries: &Closing, closing: &Closing) {
        let spawn = |listener, serve: fn(Arc<Node>, TcpStream, Closing) -> _| {
            let task = serve::accept(Arc::clone(node), listener, closing.clone(), serve);
            node.ex.spawn(task).detach();
        };
        let callers = serve::accept(
            Arc::clone(node),
            self.callers,
            closing_entries.clone(),
            serve::caller,
        );
        node.ex.spawn(callers).detach();
        spawn(self.local, |node, tcp, closing| {
            serve::local(node, tcp, closing).boxed()
        });
        spawn(self.peers, |node, tcp, closing| {
            serve::peer(node, tcp, closing).boxed()
        });
        spawn(self.control, |node, tcp, closing| {
            control::serve(node, tcp, closing).boxed()
        });
        spawn(self.admin, |node, tcp, closing| {
            serve::admin(node, tcp, closing).boxed()
        });
        if let Some(routed) = self.routed {
            // The own backend server's calls come here too, as long as it works on anything.
            let closing_entries = closing_entries.clone();
            let serve = move |node, tcp, _| serve::routed(node, tcp, closing_entries.clone());
            let task = serve::accept(Arc::clone(node), routed, closing.clone(), serve);
            node.ex.spawn(task).detach();
        }
        if let Some(announce) = self.announce {
            spawn(announce, |node, tcp, closing| {
                serve::announce(node, tcp, closing).boxed()
            });
        }
        if let Some(ready) = self.ready {
            spawn(ready, |node, tcp, closing| {
                serve::ready(node, tcp, closing).boxed()
            });
        }
    }
}

async fn bind_some(addr: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    match addr {
        Some(addr) => bind(addr).await.map(Some),
        None => Ok(None),
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| StartError::Listen { addr, error })
}
