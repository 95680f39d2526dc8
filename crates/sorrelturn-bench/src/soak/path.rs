//! A path to one daemon that delays, holds up one way, resets, and lets open connections fall silent.

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

/// How often a held-up byte looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);
/// The largest piece that is passed on at once.
const PIECE_BYTES: usize = 16 << 10;
/// How much longer each piece takes: enough for time-outs between daemons to come near.
const DELAY_MS: u64 = 150;

/// The path.
#[derive(Clone)]
pub(super) struct Path {
    /// Where to connect instead of to the daemon.
    pub(super) addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    delay_ms: AtomicU64,
    held_there: AtomicBool,
    held_back: AtomicBool,
    open: Mutex<Vec<Open>>,
}

/// An open connection.
struct Open {
    silent: Arc<AtomicBool>,
    /// Dropped to reset the connection.
    resets: Sender<()>,
}

/// One direction of a connection.
struct Way<'a> {
    held: &'a AtomicBool,
    delay_ms: &'a AtomicU64,
    silent: &'a AtomicBool,
}

impl Path {
    /// Opens the path; it leads nowhere yet.
    pub(super) async fn open(ex: &Arc<Executor<'static>>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State::default());
        let task = accept(Arc::clone(ex), listener, Arc::clone(&state));
        ex.spawn(task).detach();
        Ok(Self { addr, state })
    }

    /// Says where the path leads.
    pub(super) fn set_target(&self, target: SocketAddr) {
        *lock(&self.state.target) = Some(target);
    }

    /// Harms the path for a while.
    pub(super) async fn harm(&self, harm: PathFault, lasts: Duration) {
        let state = &self.state;
        match harm {
            // What fell silent is never reset either.
            PathFault::Reset => {
                lock(&state.open).retain(|open| open.silent.load(Ordering::Relaxed))
            }
            PathFault::Silence => {
                for open in lock(&state.open).iter() {
                    open.silent.store(true, Ordering::Relaxed);
                }
            }
            PathFault::Delay => {
                state.delay_ms.store(DELAY_MS, Ordering::Relaxed);
                Timer::after(lasts).await;
                state.delay_ms.store(0, Ordering::Relaxed);
            }
            PathFault::CutThere => hold(&state.held_there, lasts).await,
            PathFault::CutBack => hold(&state.held_back, lasts).await,
        }
    }
}

async fn hold(held: &AtomicBool, lasts: Duration) {
    held.store(true, Ordering::Relaxed);
    Timer::after(lasts).await;
    held.store(false, Ordering::Relaxed);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(ex: Arc<Executor<'static>>, listener: TcpListener, state: Arc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        let target = *lock(&state.target);
        let state = Arc::clone(&state);
        let conn = async move {
            // The daemon is down: the near side sees its connection end.
            if let Some(target) = target
                && let Ok(far) = TcpStream::connect(target).await
            {
                carry(near, far, &state).await;
            }
        };
        ex.spawn(conn).detach();
    }
}

async fn carry(near: TcpStream, far: TcpStream, state: &State) {
    let (resets, reset) = channel::bounded(1);
    let silent = Arc::new(AtomicBool::new(false));
    let open = Open {
        silent: Arc::clone(&silent),
        resets,
    };
    {
        let mut all = lock(&state.open);
        all.retain(|open| !open.resets.is_closed());
        all.push(open);
    }
    let way = |held| Way {
        held,
        delay_ms: &state.delay_ms,
        silent: &silent,
    };
    let there = pump(near.clone(), far.clone(), way(&state.held_there));
    let back = pump(far.clone(), near.clone(), way(&state.held_back));
    let ends = async {
        future::zip(there, back).await;
        false
    };
    if ends.or(is_reset(&reset)).await {
        for tcp in [&near, &far] {
            // Closing without lingering resets; where it can't be set, the connection just ends.
            SockRef::from(tcp)
                .set_linger(Some(Duration::ZERO))
                .unwrap_or_default();
        }
    }
}

async fn is_reset(reset: &Receiver<()>) -> bool {
    reset.recv().await.is_err()
}

async fn pump(mut from: TcpStream, mut to: TcpStream, way: Way<'_>) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = from.read(&mut piece).await.unwrap_or(0);
        let delay = way.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        while way.held.load(Ordering::Relaxed) || way.silent.load(Ordering::Relaxed) {
            Timer::after(LOOK).await;
        }
        if read == 0 || to.write_all(&piece[..read]).await.is_err() {
            // It may be closed already.
            to.shutdown(Shutdown::Write).unwrap_or_default();
            return;
        }
    }
}
