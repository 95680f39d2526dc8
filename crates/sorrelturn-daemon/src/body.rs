//! Bodies that stream with backpressure and tell how they ended. A body that breaks off ends with
//! an error, so that the connection is cut and never looks as if it were whole.

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use smol::Timer;
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// The longest time without a byte from the sender of a body.
const STALL_TIME: Duration = Duration::from_secs(30);

/// A body of any origin.
pub(crate) type Body = BoxBody<Bytes, BodyError>;

/// Why a body ends early.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the sender broke off: {0}
    Broke(hyper::Error),
    /// the sender sent nothing for too long
    Stalled,
}

impl std::error::Error for BodyError {}

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Passes a body on and calls `on_end` once: with true after its last byte, with false if it
/// broke off or its reader went away first.
pub(crate) fn watched<B>(body: B, on_end: impl FnOnce(bool) + Send + Sync + 'static) -> Body
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
        stall: Timer::after(STALL_TIME),
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
        Self::Broke(error)
    }
}

struct Watched<B> {
    body: B,
    stall: Timer,
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
                this.stall.set_after(STALL_TIME);
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
                if Pin::new(&mut this.stall).poll(cx).is_ready() {
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
