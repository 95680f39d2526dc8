//! Bodies that stream with backpressure and tell how they ended. A body that breaks off ends with
//! an error, so that the connection is cut and never looks as if it were whole.

use crate::net::timers::{Deadline, Timers};
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use sorrelturn_policy::Now;
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// The longest time without a byte from the sender of a body.
const STALL_TIME: Duration = Duration::from_secs(30);
/// The longest time without a byte of an answer once the time of its request is over: that in which the
/// platform's rules want a final answer then. A connection that falls silent behind a head else holds its caller
/// for a minute; the fault soak saw 33 such callers in 48 runs of 30 s. Answers that go on are never cut by it.
const LATE_STALL_TIME: Duration = Duration::from_millis(500);

/// A body of any origin.
pub(crate) type Body = BoxBody<Bytes, BodyError>;

/// Why a body ends early.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the sender broke off: {0}
    Interrupted(hyper::Error),
    /// the sender sent nothing for too long
    Stalled,
}

impl std::error::Error for BodyError {}

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Passes a body of our own on and calls `on_end` once: with true after its last byte, with false
/// if it broke off or its reader went away first.
pub(crate) fn watched(body: Body, on_end: impl FnOnce(bool) + Send + Sync + 'static) -> Body {
    watch(body, None, on_end)
}

/// Passes a body from a connection on as [`watched`] does, and ends it with an error if its sender
/// stalls.
pub(crate) fn guarded(
    timers: &Timers,
    body: Incoming,
    on_end: impl FnOnce(bool) + Send + Sync + 'static,
) -> Body {
    watch(body, Some(Stall::new(timers)), on_end)
}

/// Passes an answer on as [`guarded`] does; before `deadline`, when the time of its request is over, it may stand
/// still for as long as it likes, and soon after it not any more.
pub(crate) fn guarded_answer(
    timers: &Timers,
    body: Incoming,
    deadline: Now,
    on_end: impl FnOnce(bool) + Send + Sync + 'static,
) -> Body {
    watch(body, Some(Stall::late(timers, deadline)), on_end)
}

fn watch<B>(
    body: B,
    stall: Option<Stall>,
    on_end: impl FnOnce(bool) + Send + Sync + 'static,
) -> Body
where
    B: HttpBody<Data = Bytes> + Send + Sync + Unpin + 'static,
    BodyError: From<B::Error>,
{
    if body.is_end_stream() {
        on_end(true);
        return body.map_err(BodyError::from).boxed();
    }
    let watched = Watched {
        body,
        stall,
        on_end: Some(Box::new(on_end)),
    };
    watched.boxed()
}

/// Puts bytes that were read already before the rest of a body.
pub(crate) fn prefixed(read: Vec<u8>, rest: Body) -> Body {
    let first = Some(Bytes::from(read));
    Prefixed { first, rest }.boxed()
}

struct Prefixed {
    first: Option<Bytes>,
    rest: Body,
}

impl HttpBody for Prefixed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }
}

impl From<hyper::Error> for BodyError {
    fn from(error: hyper::Error) -> Self {
        Self::Interrupted(error)
    }
}

/// Notices a sender that stalls. A byte that arrives costs no timer: when the time is up, it starts
/// again from the last byte.
struct Stall {
    timers: Timers,
    moved: bool,
    deadline: Deadline,
    /// How long it may stand still, from the first deadline on.
    time: Duration,
}

impl Stall {
    fn new(timers: &Timers) -> Self {
        Self {
            timers: timers.clone(),
            moved: false,
            deadline: timers.after(STALL_TIME),
            time: STALL_TIME,
        }
    }

    fn late(timers: &Timers, deadline: Now) -> Self {
        Self {
            timers: timers.clone(),
            // The head has come; what counts is whether anything does after the deadline.
            moved: true,
            deadline: timers.at(deadline),
            time: LATE_STALL_TIME,
        }
    }

    fn moved(&mut self) {
        self.moved = true;
    }

    /// Whether nothing moved for the whole time; at most twice the time passes until it is noticed.
    fn is_over(&mut self, cx: &mut Context<'_>) -> bool {
        while Pin::new(&mut self.deadline).poll(cx).is_ready() {
            if !std::mem::take(&mut self.moved) {
                return true;
            }
            self.deadline = self.timers.after(self.time);
        }
        false
    }
}

struct Watched<B> {
    body: B,
    stall: Option<Stall>,
    on_end: Option<Box<dyn FnOnce(bool) + Send + Sync>>,
}

impl<B> Watched<B> {
    fn end(&mut self, whole: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(whole);
        }
    }
}

impl<B> HttpBody for Watched<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    BodyError: From<B::Error>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(stall) = &mut this.stall {
                    stall.moved();
                }
                if this.body.is_end_stream() {
                    this.end(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.end(false);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                this.end(true);
                Poll::Ready(None)
            }
            Poll::Pending => {
                let stall = this.stall.as_mut();
                if stall.is_some_and(|stall| stall.is_over(cx)) {
                    this.end(false);
                    return Poll::Ready(Some(Err(BodyError::Stalled)));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Watched<B> {
    fn drop(&mut self) {
        self.end(false);
    }
}
