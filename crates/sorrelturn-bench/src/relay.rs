//! A TCP proxy between two processes that can simulate a network partition: it holds bytes back until it is healed,
//! without closing connections. It can also silence the open connections permanently, while new ones work, and lose
//! large messages.

use smol::{
    Executor, Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// The interval at which held bytes check whether the path is healed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// A proxy whose target is set once it is known.
#[derive(Clone)]
pub struct Relay {
    /// The address to connect to instead of the target's.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    cut: AtomicBool,
    opened_count: AtomicUsize,
    /// Connections with a lower number are silent.
    first_live_connection: AtomicUsize,
    loses_large: AtomicBool,
    target: Mutex<Option<SocketAddr>>,
}

impl Relay {
    /// Opens the proxy, which has no target yet.
    pub async fn open(ex: &Arc<Executor<'static>>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port on loopback");
        let addr = listener.local_addr().expect("a bound address");
        let state = Arc::new(State::default());
        let task = accept(Arc::clone(ex), listener, Arc::clone(&state));
        ex.spawn(task).detach();
        Self { addr, state }
    }

    /// Sets the address that connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target() = Some(target);
    }

    /// Holds back all bytes from now on, in both directions.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::Relaxed);
    }

    /// Delivers the held bytes and ends the partition.
    pub fn heal(&self) {
        self.state.cut.store(false, Ordering::Relaxed);
    }

    /// Silences all connections that are open now, permanently: their bytes are read and discarded, and neither end
    /// notices when the other one closes.
    pub fn silence(&self) {
        let opened_count = self.state.opened_count.load(Ordering::Relaxed);
        self.state
            .first_live_connection
            .store(opened_count, Ordering::Relaxed);
    }

    /// Loses large messages, as a path with too small a maximum packet size does: a connection falls silent with the
    /// first one, while small messages pass.
    pub fn lose_large(&self, is_on: bool) {
        self.state.loses_large.store(is_on, Ordering::Relaxed);
    }

    /// The number of connections opened so far.
    pub fn opened_count(&self) -> usize {
        self.state.opened_count.load(Ordering::Relaxed)
    }
}

impl State {
    fn target(&self) -> std::sync::MutexGuard<'_, Option<SocketAddr>> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_until_healed(&self) {
        while self.cut.load(Ordering::Relaxed) {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn loses(&self, len: usize) -> bool {
        len == MAX_CHUNK_BYTES && self.loses_large.load(Ordering::Relaxed)
    }

    fn is_silent(&self, number: usize) -> bool {
        number < self.first_live_connection.load(Ordering::Relaxed)
    }
}

async fn accept(ex: Arc<Executor<'static>>, listener: TcpListener, state: Arc<State>) {
    while let Ok((incoming, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        let number = state.opened_count.fetch_add(1, Ordering::Relaxed);
        let connection = async move {
            state.wait_until_healed().await;
            let Some(target) = *state.target() else {
                return;
            };
            if let Ok(outgoing) = TcpStream::connect(target).await {
                let forward = pump(incoming.clone(), outgoing.clone(), &state, number);
                smol::future::zip(forward, pump(outgoing, incoming, &state, number)).await;
            }
        };
        ex.spawn(connection).detach();
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, number: usize) {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    let mut has_lost = false;
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        state.wait_until_healed().await;
        has_lost |= state.loses(read);
        if has_lost || state.is_silent(number) {
            if read == 0 {
                // Never returning keeps both sockets open.
                smol::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
