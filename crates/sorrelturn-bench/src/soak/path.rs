//! A TCP proxy in front of one daemon that injects faults: delays, one-way cuts, resets and silent connections.

use super::plan::PathFault;
use smol::{
    Executor, Timer,
    channel::{self, Receiver, Sender},
    future::{self, FutureExt},
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use socket2::SockRef;
use std::{
    io,
    net::{Ipv4Addr, Shutdown, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// The interval at which held bytes check whether they may pass.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// The delay of each chunk: near the timeouts between daemons.
const DELAY_MS: u64 = 150;

/// A proxy in front of one daemon.
#[derive(Clone)]
pub(super) struct FaultyPath {
    /// The address to connect to instead of the daemon's.
    pub(super) addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    delay_ms: AtomicU64,
    is_forward_held: AtomicBool,
    is_backward_held: AtomicBool,
    open_connections: Mutex<Vec<OpenConnection>>,
}

struct OpenConnection {
    is_silent: Arc<AtomicBool>,
    /// Dropped to reset the connection.
    reset_tx: Sender<()>,
}

struct Direction<'a> {
    is_held: &'a AtomicBool,
    delay_ms: &'a AtomicU64,
    is_silent: &'a AtomicBool,
}

impl FaultyPath {
    /// Opens the proxy, which has no target yet.
    pub(super) async fn open(ex: &Arc<Executor<'static>>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State::default());
        let task = accept(Arc::clone(ex), listener, Arc::clone(&state));
        ex.spawn(task).detach();
        Ok(Self { addr, state })
    }

    pub(super) fn set_target(&self, target: SocketAddr) {
        *lock(&self.state.target) = Some(target);
    }

    /// Injects a fault; faults that last end after `duration`.
    pub(super) async fn inject(&self, fault: PathFault, duration: Duration) {
        let state = &self.state;
        match fault {
            // A silent connection isn't reset either.
            PathFault::Reset => {
                lock(&state.open_connections).retain(|open| open.is_silent.load(Ordering::Relaxed))
            }
            PathFault::Silence => {
                for open in lock(&state.open_connections).iter() {
                    open.is_silent.store(true, Ordering::Relaxed);
                }
            }
            PathFault::Delay => {
                state.delay_ms.store(DELAY_MS, Ordering::Relaxed);
                Timer::after(duration).await;
                state.delay_ms.store(0, Ordering::Relaxed);
            }
            PathFault::CutThere => hold_for(&state.is_forward_held, duration).await,
            PathFault::CutBack => hold_for(&state.is_backward_held, duration).await,
        }
    }
}

async fn hold_for(is_held: &AtomicBool, duration: Duration) {
    is_held.store(true, Ordering::Relaxed);
    Timer::after(duration).await;
    is_held.store(false, Ordering::Relaxed);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(ex: Arc<Executor<'static>>, listener: TcpListener, state: Arc<State>) {
    while let Ok((incoming, _)) = listener.accept().await {
        let target = *lock(&state.target);
        let state = Arc::clone(&state);
        let connection = async move {
            // If the daemon is down, the incoming connection is closed.
            if let Some(target) = target
                && let Ok(outgoing) = TcpStream::connect(target).await
            {
                forward_connection(incoming, outgoing, &state).await;
            }
        };
        ex.spawn(connection).detach();
    }
}

async fn forward_connection(incoming: TcpStream, outgoing: TcpStream, state: &State) {
    let (reset_tx, reset_rx) = channel::bounded(1);
    let is_silent = Arc::new(AtomicBool::new(false));
    let open = OpenConnection {
        is_silent: Arc::clone(&is_silent),
        reset_tx,
    };
    {
        let mut all = lock(&state.open_connections);
        all.retain(|open| !open.reset_tx.is_closed());
        all.push(open);
    }
    let direction = |is_held| Direction {
        is_held,
        delay_ms: &state.delay_ms,
        is_silent: &is_silent,
    };
    let forward = pump(
        incoming.clone(),
        outgoing.clone(),
        direction(&state.is_forward_held),
    );
    let backward = pump(
        outgoing.clone(),
        incoming.clone(),
        direction(&state.is_backward_held),
    );
    let closed = async {
        future::zip(forward, backward).await;
        false
    };
    if closed.or(wait_for_reset(&reset_rx)).await {
        for tcp in [&incoming, &outgoing] {
            // Closing with zero linger sends a reset; if it can't be set, the connection is closed normally.
            SockRef::from(tcp)
                .set_linger(Some(Duration::ZERO))
                .unwrap_or_default();
        }
    }
}

async fn wait_for_reset(reset_rx: &Receiver<()>) -> bool {
    reset_rx.recv().await.is_err()
}

async fn pump(mut from: TcpStream, mut to: TcpStream, direction: Direction<'_>) {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let delay = direction.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        while direction.is_held.load(Ordering::Relaxed)
            || direction.is_silent.load(Ordering::Relaxed)
        {
            Timer::after(POLL_INTERVAL).await;
        }
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            // The connection may be closed already.
            to.shutdown(Shutdown::Write).unwrap_or_default();
            return;
        }
    }
}
