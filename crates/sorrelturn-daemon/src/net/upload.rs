//! How much of a request's body was sent. See `docs/design/between-daemons.md`.

use crate::request::body::{Body, BodyError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

/// The progress of sending the body of one request.
#[derive(Debug, Default)]
pub(crate) struct Upload {
    bytes: AtomicU64,
    is_complete: AtomicBool,
}

impl Upload {
    /// Wraps a body to track its progress. Returns `None` for an empty one, which needs no tracking.
    pub(crate) fn track(body: Body) -> (Body, Option<Arc<Self>>) {
        if body.is_end_stream() {
            return (body, None);
        }
        let upload = Arc::<Self>::default();
        let tracked = TrackedBody {
            body,
            upload: Arc::clone(&upload),
        };
        (tracked.boxed(), Some(upload))
    }

    /// Returns how many bytes were taken from the body to be sent.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns whether the whole body was taken to be sent.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Acquire)
    }

    fn record(&self, frame: &Frame<Bytes>, is_last: bool) {
        let len = frame.data_ref().map_or(0, Bytes::len);
        self.bytes.fetch_add(len as u64, Ordering::Relaxed);
        if is_last {
            self.is_complete.store(true, Ordering::Release);
        }
    }
}

struct TrackedBody {
    body: Body,
    upload: Arc<Upload>,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => this.upload.record(frame, this.body.is_end_stream()),
            Poll::Ready(None) => this.upload.is_complete.store(true, Ordering::Release),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
