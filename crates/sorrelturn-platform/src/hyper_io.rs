//! What hyper reads and writes through.
//!
//! A stream of the runtime wakes its task for a write that would block only until the next write
//! that succeeds. hyper 1.12 may write once more after a write that would block and then wait: when
//! the socket had room again by then, nobody wakes the connection any more, and a long answer to a
//! reader that reads in bursts stands still. Here such a task is woken once more.
//! See `docs/design/streaming.md`.

use crate::read_ahead::ReadAhead;
use smol::io::{AsyncRead, AsyncWrite};
use smol_hyper::rt::FuturesIo;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

/// Gives hyper a stream of the runtime.
pub fn hyper_io<S>(stream: S) -> FuturesIo<WakeAfterBlockedWrite<S>> {
    FuturesIo::new(WakeAfterBlockedWrite::new(stream))
}

/// Gives hyper the server's end of a connection. It fails once the client has left, whatever it
/// has sent before that nobody has read.
pub fn hyper_server_io<S>(stream: S) -> FuturesIo<ReadAhead<WakeAfterBlockedWrite<S>>> {
    FuturesIo::new(ReadAhead::new(WakeAfterBlockedWrite::new(stream)))
}

/// A stream that wakes its task after a write that succeeds where the one before would have blocked.
pub struct WakeAfterBlockedWrite<S> {
    stream: S,
    /// The last write would have blocked.
    blocked: bool,
}

impl<S> WakeAfterBlockedWrite<S> {
    fn new(stream: S) -> Self {
        Self {
            stream,
            blocked: false,
        }
    }

    /// Wakes the task if `written` ends a time in which it waited for room.
    fn woken<T>(&mut self, cx: &Context<'_>, written: Poll<T>) -> Poll<T> {
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
        self.woken(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.woken(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
