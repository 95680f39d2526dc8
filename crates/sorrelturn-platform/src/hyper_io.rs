//! I/O adapters for hyper.
//!
//! A stream of the runtime drops the waker of a blocked write as soon as a later write succeeds. hyper 1.12
//! may write once more after a blocked write and then wait for a wake-up. If that write succeeds, the
//! wake-up never comes and a long response stalls. [`WakeAfterBlockedWrite`] wakes the task instead.
//! See `docs/design/streaming.md`.

use crate::read_ahead::ReadAhead;
use smol::io::{AsyncRead, AsyncWrite};
use smol_hyper::rt::FuturesIo;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

/// Wraps a stream for use by hyper.
pub fn hyper_io<S>(stream: S) -> FuturesIo<WakeAfterBlockedWrite<S>> {
    FuturesIo::new(WakeAfterBlockedWrite::new(stream))
}

/// Wraps the server side of a connection for use by hyper. It fails once the client has closed the
/// connection, even if bytes sent before are still unread.
pub fn hyper_server_io<S>(stream: S) -> FuturesIo<ReadAhead<WakeAfterBlockedWrite<S>>> {
    FuturesIo::new(ReadAhead::new(WakeAfterBlockedWrite::new(stream)))
}

/// A stream that wakes its task when a write succeeds after a blocked one.
pub struct WakeAfterBlockedWrite<S> {
    stream: S,
    /// Whether the last write would have blocked.
    blocked: bool,
}

impl<S> WakeAfterBlockedWrite<S> {
    fn new(stream: S) -> Self {
        Self {
            stream,
            blocked: false,
        }
    }

    /// Wakes the task if `written` is the first completed write after a blocked one.
    fn wake_if_unblocked<T>(&mut self, cx: &Context<'_>, written: Poll<T>) -> Poll<T> {
        let was_blocked = std::mem::replace(&mut self.blocked, written.is_pending());
        if was_blocked && written.is_ready() {
            cx.waker().wake_by_ref();
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WakeAfterBlockedWrite<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WakeAfterBlockedWrite<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wake_if_unblocked(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wake_if_unblocked(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
