//! Connections to other daemons, for calls. See `docs/design/between-daemons.md`.

use crate::{
    body::Body,
    pool::{Lease, Pool, SendError},
    stream::FleetKeys,
};
use hyper::{Request, Response, body::Incoming};
use smol::{Executor, net::TcpStream};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The longest time for a new connection; peers are about 1 ms apart.
const CONNECT_TIME: Duration = Duration::from_millis(500);
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
        let connect = || async { keys.connect(TcpStream::connect(self.addr).await?).await };
        self.pool.send(ex, req, CONNECT_TIME, connect).await
    }

    /// Drops the idle connections; the calls on others go on.
    pub(crate) fn forget(&self) {
        self.pool.forget_idle();
    }
}
