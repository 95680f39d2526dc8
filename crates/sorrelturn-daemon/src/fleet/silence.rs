//! Finding out that a connection to a peer is silent while the peer is there.
//! See `docs/design/silent-connections.md`.

use crate::{
    net::pool::OnItsWay,
    net::signs,
    net::timers::Timers,
    request::body::{self, Body},
};
use hyper::Request;
use smol::{future::FutureExt, lock::Mutex as AsyncMutex};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// The longest time for a peer's answer over a new connection; one that is there and not busy beyond
/// measure takes a hundredth of it.
const ASK_TIME: Duration = Duration::from_millis(500);
/// What was held up on several connections comes within this time once it is let go.
const COMES_TOGETHER: Duration = Duration::from_millis(50);
/// When a peer that gives no sign anywhere is asked again: it stands still, and what is its is waited for.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// What is known of the signs that one daemon gives.
#[derive(Default)]
pub(crate) struct Silence {
    /// Whether it was heard to give signs: a daemon of an older version gives none.
    gives_signs: Arc<AtomicBool>,
    /// One question at a time, and its answer serves all who have doubts meanwhile: the new connections
    /// that many silent ones cost are those of their requests.
    asked: AsyncMutex<Option<Asked>>,
}

struct Asked {
    /// When the answer came, or the time for it was over.
    at: Instant,
    is_there: bool,
}

/// When a sign for one exchange came last.
pub(crate) struct Heard {
    start: Instant,
    after_us: AtomicU64,
}

impl Heard {
    fn now(&self) {
        let after_us = self.start.elapsed().as_micros() as u64;
        self.after_us.store(after_us, Ordering::Relaxed);
    }

    /// How long after something was sent; zero if nothing came since then.
    fn after(&self, sent: Instant) -> Duration {
        let at = self.start + Duration::from_micros(self.after_us.load(Ordering::Relaxed));
        at.saturating_duration_since(sent)
    }

    fn is_overdue(&self, sent: Instant) -> bool {
        sent.elapsed() >= signs::borne_until(self.after(sent))
    }
}

impl Silence {
    /// Listens for the signs that come before the answer to a request.
    pub(crate) fn listen(&self, req: &mut Request<Body>) -> Arc<Heard> {
        let heard = Arc::new(Heard {
            start: Instant::now(),
            after_us: AtomicU64::new(0),
        });
        let gives_signs = Arc::clone(&self.gives_signs);
        let hears = Arc::clone(&heard);
        signs::on_sign(req, move || {
            gives_signs.store(true, Ordering::Relaxed);
            hears.now();
        });
        heard
    }

    /// Ends when the connection that carries an exchange is silent, and returns when the request was sent.
    ///
    /// A sign that is overdue raises doubts. `ask` asks the peer over a new connection: if it answers there
    /// and still nothing was heard here, the connection is silent. A peer that answers nowhere is
    /// busy or stands still, and is waited for.
    pub(crate) async fn of<F>(
        &self,
        timers: &Timers,
        on_its_way: &OnItsWay,
        heard: &Heard,
        ask: impl Fn(Request<Body>) -> F,
    ) -> Instant
    where
        F: Future<Output = bool>,
    {
        let mut wait = signs::borne_until(Duration::ZERO);
        loop {
            timers.after(wait).await;
            let Some(sent) = on_its_way.sent() else {
                continue;
            };
            wait = ASK_AGAIN;
            if !heard.is_overdue(sent.at) {
                let due = signs::borne_until(heard.after(sent.at));
                wait = due.saturating_sub(sent.at.elapsed());
                continue;
            }
            let gives_signs = self.gives_signs.load(Ordering::Relaxed);
            if !gives_signs || !self.is_there(timers, &ask).await {
                continue;
            }
            timers.after(COMES_TOGETHER).await;
            if heard.is_overdue(sent.at) {
                return sent.at;
            }
        }
    }

    async fn is_there<F>(&self, timers: &Timers, ask: impl Fn(Request<Body>) -> F) -> bool
    where
        F: Future<Output = bool>,
    {
        let in_doubt = Instant::now();
        let mut last = self.asked.lock().await;
        if let Some(asked) = last.as_ref().filter(|asked| asked.at >= in_doubt) {
            return asked.is_there;
        }
        let mut question = Request::new(body::full(""));
        *question.uri_mut() = hyper::Uri::from_static(signs::HERE_PATH);
        let too_late = async {
            timers.after(ASK_TIME).await;
            false
        };
        // Boxed, since it is rare: each request would take the memory for it.
        let is_there = Box::pin(ask(question)).or(too_late).await;
        let at = Instant::now();
        *last = Some(Asked { at, is_there });
        is_there
    }
}
