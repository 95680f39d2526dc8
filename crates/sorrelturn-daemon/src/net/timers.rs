//! Coarse timers for deadlines. See `docs/design/threads.md`.
//!
//! A timer of the runtime costs several system calls, and nearly every deadline is dropped
//! unused. Here, a deadline is an entry in a map, and one task sleeps until the first one.
//! Since most deadlines have similar durations, a new one is seldom the first, and the task is
//! seldom woken for it.

use crate::{clock::Clock, node::lock};
use hyper::rt::{Sleep, Timer as HyperTimer};
use smol::{
    Timer,
    channel::{self, Receiver, Sender},
    future::FutureExt,
};
use sorrelturn_policy::Now;
use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

/// The maximum delay until an expired deadline is noticed.
const MAX_EXPIRY_DELAY: Duration = Duration::from_millis(5);

/// The deadlines of one daemon.
#[derive(Clone)]
pub(crate) struct Timers {
    clock: Clock,
    shared: Arc<Shared>,
    wake_up: Sender<()>,
}

struct Shared {
    waiters: Mutex<Waiters>,
}

#[derive(Default)]
struct Waiters {
    wakers: BTreeMap<(Now, u64), Waker>,
    next_id: u64,
    /// When [`Timers::run`] checks next; `None` while it sleeps until it is woken.
    next_check: Option<Now>,
}

impl Timers {
    /// Returns the timers, and the receiver that [`Timers::run`] needs.
    pub(crate) fn new(clock: Clock) -> (Self, Receiver<()>) {
        let (wake_up, woken) = channel::bounded(1);
        let shared = Arc::new(Shared {
            waiters: Mutex::default(),
        });
        let timers = Self {
            clock,
            shared,
            wake_up,
        };
        (timers, woken)
    }

    /// Wakes expired deadlines until it is cancelled.
    pub(crate) async fn run(self, woken: Receiver<()>) {
        loop {
            let now = self.clock.now();
            let (due, next_check) = self.shared.take_due(now);
            for waker in due {
                waker.wake();
            }
            let woken_early = async { woken.recv().await.is_ok() };
            let is_running = match next_check {
                Some(at) => {
                    let sleep = async {
                        Timer::after(at.saturating_sub(now)).await;
                        true
                    };
                    sleep.or(woken_early).await
                }
                None => woken_early.await,
            };
            if !is_running {
                return;
            }
        }
    }

    /// Wakes expired deadlines now, for use after a suspension of the VM, which delays the
    /// runtime's timer.
    pub(crate) fn check_now(&self) {
        // If the channel is full, a check is due anyway.
        let _ = self.wake_up.try_send(());
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }

    /// Returns a deadline at a point in time.
    pub(crate) fn at(&self, at: Now) -> Deadline {
        Deadline {
            timers: self.clone(),
            at,
            id: None,
        }
    }

    /// Returns a deadline after a duration.
    pub(crate) fn after(&self, wait: Duration) -> Deadline {
        self.at(self.clock.now() + wait)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiters> {
        lock(&self.waiters)
    }

    /// Takes the expired deadlines, and returns when to check next.
    fn take_due(&self, now: Now) -> (impl Iterator<Item = Waker> + use<>, Option<Now>) {
        let mut waiters = self.lock();
        let later = waiters.wakers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut waiters.wakers, later);
        let first = waiters.wakers.first_key_value();
        let next_check = first.map(|((at, _), _)| (*at).max(now + MAX_EXPIRY_DELAY));
        waiters.next_check = next_check;
        (due.into_values(), next_check)
    }
}

/// A future that completes at a point in time, or up to [`MAX_EXPIRY_DELAY`] later.
pub(crate) struct Deadline {
    timers: Timers,
    at: Now,
    id: Option<u64>,
}

impl Deadline {
    fn remove(&mut self) {
        if let Some(id) = self.id.take() {
            self.timers.shared.lock().wakers.remove(&(self.at, id));
        }
    }
}

impl Future for Deadline {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        if this.timers.clock.now() >= this.at {
            this.remove();
            return Poll::Ready(());
        }
        let mut waiters = this.timers.shared.lock();
        let id = *this.id.get_or_insert_with(|| {
            waiters.next_id += 1;
            waiters.next_id
        });
        let key = (this.at, id);
        let known = waiters.wakers.get(&key);
        if known.is_none_or(|waker| !waker.will_wake(cx.waker())) {
            waiters.wakers.insert(key, cx.waker().clone());
        }
        if waiters
            .next_check
            .is_none_or(|check| this.at + MAX_EXPIRY_DELAY < check)
        {
            waiters.next_check = Some(this.at);
            let _ = this.timers.wake_up.try_send(());
        }
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        self.remove();
    }
}

impl Sleep for Deadline {}

impl HyperTimer for Timers {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(self.after(duration))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let wait = deadline.saturating_duration_since(Instant::now());
        Box::pin(self.after(wait))
    }
}
