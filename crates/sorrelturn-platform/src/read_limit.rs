//! A limit on the bytes that are read from a connection. hyper limits the length of one head, but not of the interim
//! responses before it, which a peer may send without end.

use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

/// How many more bytes may be read from a connection; clones share it.
#[derive(Clone, Debug)]
pub struct ReadLimit(Arc<AtomicU64>);

impl ReadLimit {
    /// Allows this many bytes.
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Allows this many bytes from now on.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Allows any number of bytes from now on.
    pub fn lift(&self) {
        self.set(u64::MAX);
    }

    /// Counts bytes that were read. Fails if they exceed the limit.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left < bytes as u64 {
            let error = "the peer sends more than is allowed here";
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        if left < u64::MAX {
            self.0.fetch_sub(bytes as u64, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// A stream whose reads fail beyond a limit.
pub struct LimitedReads<S> {
    stream: S,
    limit: ReadLimit,
}

impl<S> LimitedReads<S> {
    /// Wraps a stream.
    pub fn new(stream: S, limit: ReadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedReads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.limit.count(len)?;
        Poll::Ready(Ok(len))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedReads<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
