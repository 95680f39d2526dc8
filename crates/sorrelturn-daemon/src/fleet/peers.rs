//! Connections to other daemons, for calls. See `docs/design/between-daemons.md`.

use crate::{
    net::pool::{Lease, Pool, SendError},
    net::stream::FleetKeys,
    request::body::Body,
};
use hyper::{Request, Response, body::Incoming};
use smol::{Executor, net::TcpStream};
use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// The longest time for a new connection. Peers are about 1 ms apart; an opening packet that was
/// lost is sent again after a second, and by then another instance has long answered.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// A peer that doesn't acknowledge what was sent for so long is silent. Two losses of one packet in a
/// row, 200 and 400 ms, still pass.
const SILENT_TIME: Duration = Duration::from_millis(700);
/// While an answer is waited for, the peer's kernel is asked this often whether it is there.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);
/// And so many times without an answer before the connection is given up.
const KEEPALIVE_TRIES: u32 = 2;
/// The most connections to one daemon; its backend server has fewer slots.
const MAX_CONNECTIONS: usize = 1_024;

/// The connections to one daemon, opened when they are needed.
pub(crate) struct PeerLink {
    addr: SocketAddr,
    pool: Arc<Pool>,
}

impl PeerLink {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            pool: Pool::new(MAX_CONNECTIONS),
        }
    }

    /// Sends a call and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        ex: &Executor<'static>,
        keys: &FleetKeys,
        req: Request<Body>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let connect = || async {
            let tcp = TcpStream::connect(self.addr).await?;
            notice_silence(&tcp)?;
            keys.connect(tcp).await
        };
        self.pool.send(ex, req, CONNECT_TIME, connect).await
    }

    /// Drops the idle connections; the calls on others go on.
    pub(crate) fn forget(&self) {
        self.pool.forget_idle();
    }
}

/// Has the kernel end a connection whose other end says nothing: a VM without power or behind a cut
/// doesn't even refuse.
fn notice_silence(tcp: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_EVERY)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(KEEPALIVE_TRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENT_TIME))
}
