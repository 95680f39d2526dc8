//! Signs of life between daemons: who works on a request says so until the answer comes, and who waits
//! for it knows from their absence that the connection is silent. See `docs/design/silent-connections.md`.
//!
//! A sign is an interim answer of HTTP/1.1, which clients that don't know it pass over. An answer that
//! comes within [`FIRST_PAUSE`] costs none.

use crate::net::timers::{Deadline, Timers};
use hyper::Request;
use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

/// When the first sign comes. Each pause is twice as long as the one before, so that a request of a
/// second costs one sign and one of a minute 37. Most requests end before it: with 100 ms, a calm day of requests
/// of 96 to 160 ms cost 15 % more processor time (44.3 s in the place of 38.4), with 400 ms 1 % (39.0).
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause between two signs.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// How late a sign may be: a packet that was lost is sent again after 200 ms, and a busy machine may
/// give a daemon nothing for a tenth of a second.
const BORNE: Duration = Duration::from_millis(400);
/// The sign.
const SIGN: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// The path, on the peers' listener, by which a daemon is asked whether it is there.
pub(crate) const HERE_PATH: &str = "/.sorrelturn/here";

/// Until when, after a request was sent, silence is borne, if the last sign came `heard` after it.
pub(crate) fn borne_until(heard: Duration) -> Duration {
    heard + (heard + FIRST_PAUSE).min(LONGEST_PAUSE) + BORNE
}

/// Calls `heard` for each sign that comes before the answer.
pub(crate) fn on_sign<B>(req: &mut Request<B>, heard: impl Fn() + Send + Sync + 'static) {
    hyper::ext::on_informational(req, move |_| heard());
}

/// Whether a request is worked on whose answer hasn't begun.
#[derive(Clone, Default)]
pub(crate) struct Working(Arc<AtomicBool>);

impl Working {
    pub(crate) fn set(&self, works: bool) {
        self.0.store(works, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The server's side of a connection, which gives signs while [`Working`] is set.
///
/// The task of the connection reads, writes and works, so a sign never falls into an answer. It looks for
/// the end of the connection while it works, and that is when it gives signs.
pub(crate) struct Signing<S> {
    stream: S,
    timers: Timers,
    working: Working,
    /// When the next sign is due.
    next: Option<Deadline>,
    /// The pause after it.
    pause: Duration,
    /// Whether the other end knows already that signs are given here.
    has_signed: bool,
    /// What is left of a sign that didn't go out as a whole.
    unsent: &'static [u8],
}

impl<S: AsyncRead + AsyncWrite + Unpin> Signing<S> {
    pub(crate) fn new(stream: S, timers: Timers, working: Working) -> Self {
        Self {
            stream,
            timers,
            working,
            next: None,
            pause: FIRST_PAUSE,
            has_signed: false,
            unsent: &[],
        }
    }

    fn sign_if_due(&mut self, cx: &mut Context<'_>) {
        if !self.working.get() {
            self.next = None;
            self.pause = FIRST_PAUSE;
            return;
        }
        if !self.has_signed {
            self.has_signed = true;
            self.sign(cx);
        }
        loop {
            let next = self
                .next
                .get_or_insert_with(|| self.timers.after(self.pause));
            if Pin::new(next).poll(cx).is_pending() {
                return;
            }
            self.next = None;
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            self.sign(cx);
        }
    }

    /// What doesn't go out now goes out before the answer; a connection that broke shows when it is read.
    fn sign(&mut self, cx: &mut Context<'_>) {
        if self.unsent.is_empty() {
            self.unsent = SIGN;
        }
        if let Poll::Ready(Ok(())) = self.send_rest(cx) {
            let _ = Pin::new(&mut self.stream).poll_flush(cx);
        }
    }

    fn send_rest(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unsent.is_empty() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, self.unsent))?;
            if sent == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.unsent = &self.unsent[sent..];
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for Signing<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.sign_if_due(cx);
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Signing<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.send_rest(cx))?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.send_rest(cx))?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.send_rest(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
