//! Detects that a client closed its connection while bytes from it are still unread.
//!
//! hyper reads only as much of a connection as the current request needs. If the client has sent
//! more, such as a second request or an unread body, hyper doesn't see the close behind those bytes
//! and the request continues without a client. [`ReadAhead`] buffers the bytes, up to a limit, to
//! find the close. It also reads once more after each request, so that a request whose client left
//! before it was read doesn't start.
//! See `docs/design/callers-that-leave.md`.

use bytes::{Buf, BytesMut};
use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Maximum number of bytes buffered before hyper reads them, as many as hyper itself may buffer.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Size of a single read, in bytes.
const READ_CHUNK_BYTES: usize = 1 << 10;

/// The server side of a connection, which fails as soon as the client has closed it.
pub struct ReadAhead<S> {
    stream: S,
    /// Bytes that were read from the stream and not yet by hyper.
    buffered: BytesMut,
    /// Whether the last read returned no bytes. The reader is then woken by the next byte or the close,
    /// so reading ahead is unnecessary.
    is_reader_waiting: bool,
}

impl<S> ReadAhead<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
            buffered: BytesMut::new(),
            is_reader_waiting: false,
        }
    }
}

impl<S: AsyncRead + Unpin> ReadAhead<S> {
    /// Buffers bytes that have arrived. Fails if the client has closed the connection.
    fn read_ahead(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.is_reader_waiting {
            return Ok(());
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.buffered.len() < MAX_READ_AHEAD_BYTES {
            match Pin::new(&mut self.stream).poll_read(cx, &mut chunk)? {
                Poll::Ready(0) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Poll::Ready(len) => self.buffered.extend_from_slice(&chunk[..len]),
                Poll::Pending => return Ok(()),
            }
        }
        Ok(())
    }

    /// Reads ahead if `written` is blocked.
    fn read_ahead_if_blocked<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_pending() {
            self.read_ahead(cx)?;
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadAhead<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.buffered.is_empty() {
            let len = buf.len().min(self.buffered.len());
            self.buffered.copy_to_slice(&mut buf[..len]);
            if self.buffered.is_empty() {
                // Frees the memory while the connection is idle.
                self.buffered = BytesMut::new();
            }
            return Poll::Ready(Ok(len));
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let Poll::Ready(Ok(len @ 1..)) = read else {
            // Also set at the end of the stream, where there is nothing to read ahead.
            self.is_reader_waiting = true;
            return read;
        };
        self.is_reader_waiting = false;
        if len < buf.len() {
            // Detects a client that left before its request starts.
            self.read_ahead(cx)?;
        }
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ReadAhead<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.read_ahead_if_blocked(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.read_ahead_if_blocked(cx, written)
    }

    /// Also reads ahead, since hyper flushes each time that it polls the connection.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        Poll::Ready(self.read_ahead(cx))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
