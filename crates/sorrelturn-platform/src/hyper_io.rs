//! I/O adapters for hyper.
//!
//! A stream of the runtime drops the waker of a blocked write as soon as a later write succeeds. hyper 1.12
//! may write once more after a blocked write and then wait for a wake-up. If that write succeeds, the
//! wake-up never comes and a long response stalls. [`WakeAfterBlockedWrite`] wakes the task instead.
//! See `docs/design/streaming.md`.
//!
//! hyper offers its whole read buffer for each read, uninitialized, while a stream of the runtime reads into initialized
//! bytes. [`HyperIo`] reads into a buffer of the thread, which is initialized once, and copies what arrived.
//! See `docs/design/processor-time.md`.

use crate::read_ahead::ReadAhead;
use hyper::rt::{Read, ReadBufCursor, Write};
use smol::io::{AsyncRead, AsyncWrite};
use smol_hyper::rt::FuturesIo;
use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

/// The maximum number of bytes of a single read.
const MAX_READ_BYTES: usize = 32 << 10;

/// The maximum number of bytes that are read in a row. Then other tasks have their turn: a peer that sends without end would
/// otherwise hold the thread.
const MAX_BYTES_IN_A_ROW: usize = 2 << 20;

thread_local! {
    /// Empty until the first read, and while a read uses it.
    static READ_BUF: Cell<Vec<u8>> = const { Cell::new(Vec::new()) };
}

/// A stream of the runtime for use by hyper.
pub struct HyperIo<S> {
    io: FuturesIo<S>,
    bytes_in_a_row: usize,
}

impl<S> HyperIo<S> {
    fn new(stream: S) -> Self {
        Self {
            io: FuturesIo::new(stream),
            bytes_in_a_row: 0,
        }
    }
}

impl<S: AsyncRead + Unpin> Read for HyperIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut unfilled: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes_in_a_row >= MAX_BYTES_IN_A_ROW {
            self.bytes_in_a_row = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut buf = READ_BUF.take();
        buf.resize(MAX_READ_BYTES, 0);
        let len = unfilled.remaining().min(buf.len());
        let read = Pin::new(self.io.get_mut()).poll_read(cx, &mut buf[..len]);
        self.bytes_in_a_row = match read {
            Poll::Ready(Ok(len)) => {
                unfilled.put_slice(&buf[..len]);
                self.bytes_in_a_row + len
            }
            _ => 0,
        };
        READ_BUF.set(buf);
        ready!(read)?;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> Write for HyperIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Wraps a stream for use by hyper.
pub fn hyper_io<S>(stream: S) -> HyperIo<WakeAfterBlockedWrite<S>> {
    HyperIo::new(WakeAfterBlockedWrite::new(stream))
}

/// Wraps the server side of a connection for use by hyper. It fails once the client has closed the
/// connection, even if bytes sent before are still unread.
pub fn hyper_server_io<S>(stream: S) -> HyperIo<ReadAhead<WakeAfterBlockedWrite<S>>> {
    HyperIo::new(ReadAhead::new(WakeAfterBlockedWrite::new(stream)))
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
