//! Streaming bodies with backpressure that report how they end. An interrupted body ends with an
//! error, which closes the connection, so that it is never mistaken for a complete one.

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

/// The maximum time without progress of a sender.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum time without progress of a response after the deadline of its request. A connection that falls silent
/// after the head would otherwise hold its caller for long.
const STALL_TIMEOUT_AFTER_DEADLINE: Duration = Duration::from_millis(500);

/// How long a response without a stated length may go on after the deadline of its request. Its end can't be foreseen, and
/// its reader has given up by then.
const MAX_TIME_AFTER_DEADLINE: Duration = Duration::from_secs(30);

pub(crate) type Body = BoxBody<Bytes, BodyError>;

/// The reason why a body ended early.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the sender interrupted the body: {0}
    Interrupted(hyper::Error),
    /// the sender stalled for too long
    Stalled,
    /// the body of a response without a length went on for too long after the deadline of its request
    TooLong,
}

impl std::error::Error for BodyError {}

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Calls `on_end` once: with true after the last byte, with false if the body is interrupted or dropped before.
pub(crate) fn with_end_callback(
    body: Body,
    on_end: impl FnOnce(bool) + Send + Sync + 'static,
) -> Body {
    wrap(body, None, on_end)
}

/// As [`with_end_callback`], and ends the body with an error if its sender stalls.
pub(crate) fn with_stall_timeout(
    timers: &Timers,
    body: Incoming,
    on_end: impl FnOnce(bool) + Send + Sync + 'static,
) -> Body {
    wrap(body, Some(StallDetector::new(timers)), on_end)
}

/// As [`with_stall_timeout`], but allows any pause before the deadline of the request and only short ones after it. Without
/// a length, the body also ends with an error [`MAX_TIME_AFTER_DEADLINE`] after the deadline.
pub(crate) fn response_with_stall_timeout(
    timers: &Timers,
    body: Incoming,
    deadline: Now,
    on_end: impl FnOnce(bool) + Send + Sync + 'static,
) -> Body {
    let has_length = body.size_hint().exact().is_some();
    let end = (!has_length).then_some(deadline + MAX_TIME_AFTER_DEADLINE);
    let stall_detector = StallDetector::after_deadline(timers, deadline, end);
    wrap(body, Some(stall_detector), on_end)
}

fn wrap<B>(
    body: B,
    stall_detector: Option<StallDetector>,
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
    let wrapped = WrappedBody {
        body,
        stall_detector,
        on_end: Some(Box::new(on_end)),
    };
    wrapped.boxed()
}

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

/// Detects a sender that stalls. Progress only sets a flag; the timer restarts when it expires.
struct StallDetector {
    timers: Timers,
    has_progressed: bool,
    timer: Deadline,
    /// The period of the timer after it first expires.
    timeout: Duration,
    /// When the body must have ended, if it states no length.
    end: Option<Now>,
}

impl StallDetector {
    fn new(timers: &Timers) -> Self {
        Self {
            timers: timers.clone(),
            has_progressed: false,
            timer: timers.after(STALL_TIMEOUT),
            timeout: STALL_TIMEOUT,
            end: None,
        }
    }

    fn after_deadline(timers: &Timers, deadline: Now, end: Option<Now>) -> Self {
        Self {
            timers: timers.clone(),
            // Grants one timeout after the deadline, even if the body has made no progress before it.
            has_progressed: true,
            timer: timers.at(deadline),
            timeout: STALL_TIMEOUT_AFTER_DEADLINE,
            end,
        }
    }

    fn record_progress(&mut self) {
        self.has_progressed = true;
    }

    fn is_too_long(&self) -> bool {
        self.end.is_some_and(|end| self.timers.now() >= end)
    }

    /// Detection takes up to two timeouts.
    fn is_stalled(&mut self, cx: &mut Context<'_>) -> bool {
        while Pin::new(&mut self.timer).poll(cx).is_ready() {
            if !std::mem::take(&mut self.has_progressed) {
                return true;
            }
            self.timer = self.timers.after(self.timeout);
        }
        false
    }
}

struct WrappedBody<B> {
    body: B,
    stall_detector: Option<StallDetector>,
    on_end: Option<Box<dyn FnOnce(bool) + Send + Sync>>,
}

impl<B> WrappedBody<B> {
    fn end(&mut self, is_complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
        }
    }
}

impl<B> HttpBody for WrappedBody<B>
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
                if let Some(stall_detector) = &mut this.stall_detector {
                    if stall_detector.is_too_long() {
                        this.end(false);
                        return Poll::Ready(Some(Err(BodyError::TooLong)));
                    }
                    stall_detector.record_progress();
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
                let stall_detector = this.stall_detector.as_mut();
                if stall_detector.is_some_and(|stall_detector| stall_detector.is_stalled(cx)) {
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

impl<B> Drop for WrappedBody<B> {
    fn drop(&mut self) {
        self.end(false);
    }
}
