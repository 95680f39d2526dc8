//! A path between two processes that can be cut: bytes on their way are held up, as in a partition,
//! and go on when it is joined again. Nobody is told of the cut. Besides, the connections that are open
//! can be silenced for good, while new ones work.

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

/// How often a held-up byte looks whether the path is joined.
const LOOK: Duration = Duration::from_millis(5);
/// The largest piece that is passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// A path to a target that is named once it is known.
#[derive(Clone)]
pub struct Relay {
    /// Where to connect instead of to the target.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    cut: AtomicBool,
    /// How many connections were opened so far.
    opened: AtomicUsize,
    /// The connections before this one are silent.
    first_heard: AtomicUsize,
    target: Mutex<Option<SocketAddr>>,
}

impl Relay {
    /// Opens the path; it leads nowhere yet.
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

    /// Says where the path leads.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target() = Some(target);
    }

    /// Holds up every byte from now on, in both directions.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::Relaxed);
    }

    /// Lets what was held up go on.
    pub fn heal(&self) {
        self.state.cut.store(false, Ordering::Relaxed);
    }

    /// Silences all connections that are open now, for good: what is sent over them is taken and lost,
    /// and neither end hears of the other's close.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::Relaxed);
        self.state.first_heard.store(opened, Ordering::Relaxed);
    }

    /// How many connections were opened so far.
    pub fn opened_count(&self) -> usize {
        self.state.opened.load(Ordering::Relaxed)
    }
}

impl State {
    fn target(&self) -> std::sync::MutexGuard<'_, Option<SocketAddr>> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn joined(&self) {
        while self.cut.load(Ordering::Relaxed) {
            Timer::after(LOOK).await;
        }
    }

    fn is_silent(&self, number: usize) -> bool {
        number < self.first_heard.load(Ordering::Relaxed)
    }
}

async fn accept(ex: Arc<Executor<'static>>, listener: TcpListener, state: Arc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        let number = state.opened.fetch_add(1, Ordering::Relaxed);
        let conn = async move {
            state.joined().await;
            let Some(target) = *state.target() else {
                return;
            };
            if let Ok(far) = TcpStream::connect(target).await {
                let there = pump(near.clone(), far.clone(), &state, number);
                smol::future::zip(there, pump(far, near, &state, number)).await;
            }
        };
        ex.spawn(conn).detach();
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, number: usize) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = from.read(&mut piece).await.unwrap_or(0);
        state.joined().await;
        if state.is_silent(number) {
            if read == 0 {
                // Both sockets stay open with it.
                smol::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&piece[..read]).await.is_err() {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
