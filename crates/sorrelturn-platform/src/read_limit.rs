//! What the reader of responses checks beside hyper: the bytes that a peer sends, and where a head ends. hyper limits the
//! length of one head, but not of the interim responses before it, which a peer may send without end.

use crate::{response_framing::MalformedResponse, split_head::SplitHeadDetector};

use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

/// How many more bytes may be read from a connection; clones share it.
#[derive(Clone, Debug)]
pub struct ReadLimit(Arc<Limit>);

#[derive(Debug)]
struct Limit {
    bytes_left: AtomicU64,
    /// Whether the next bytes begin a response.
    is_response_due: AtomicBool,
}

impl ReadLimit {
    /// Allows this many bytes.
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(Limit {
            bytes_left: AtomicU64::new(bytes),
            is_response_due: AtomicBool::new(true),
        }))
    }

    /// Allows this many bytes from now on, which begin a response.
    pub fn expect_response(&self, bytes: u64) {
        self.0.bytes_left.store(bytes, Ordering::Relaxed);
        self.0.is_response_due.store(true, Ordering::Relaxed);
    }

    /// Allows any number of bytes from now on.
    pub fn lift(&self) {
        self.0.bytes_left.store(u64::MAX, Ordering::Relaxed);
    }

    /// Returns once for each response whether its first bytes are read now.
    fn begins_response(&self) -> bool {
        let is_due = &self.0.is_response_due;
        is_due.load(Ordering::Relaxed) && is_due.swap(false, Ordering::Relaxed)
    }

    /// Counts bytes that were read. Fails if they exceed the limit.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.bytes_left.load(Ordering::Relaxed);
        if left < bytes as u64 {
            return Err(invalid_data(MalformedResponse::TooLong));
        }
        if left < u64::MAX {
            let bytes_left = &self.0.bytes_left;
            bytes_left.fetch_sub(bytes as u64, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn invalid_data(error: MalformedResponse) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// A stream of responses whose reads fail beyond a limit, and behind a head that was split.
pub struct LimitedReads<S> {
    stream: S,
    limit: ReadLimit,
    split_head: SplitHeadDetector,
}

impl<S> LimitedReads<S> {
    /// Wraps a stream.
    pub fn new(stream: S, limit: ReadLimit) -> Self {
        Self {
            stream,
            limit,
            split_head: SplitHeadDetector::default(),
        }
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
        if self.limit.begins_response() {
            self.split_head = SplitHeadDetector::default();
        }
        let inspected = self.split_head.inspect(&buf[..len]);
        inspected.map_err(invalid_data)?;
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
