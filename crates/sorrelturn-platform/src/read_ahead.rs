//! Seeing that a client has left while bytes of it lie unread.
//!
//! hyper reads a connection only as far as the request that it carries needs. The close of a client
//! that has sent more than that, a second request or a body that nobody takes yet, lies behind
//! those bytes, and its work would go on for nobody. Here the bytes are taken in, up to a limit, so that
//! the close shows. A connection that hyper itself waits on costs nothing more than one look behind each request, by
//! which a request whose client had left before it was read, as after a freeze, doesn't begin.
//! See `docs/design/callers-that-leave.md`.

use bytes::{Buf, BytesMut};
use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

/// The most that is taken in before hyper asks for it, in bytes: what hyper itself may hold of a
/// request. Of a client that has sent more, the close often can't arrive before that is read.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// The most that is taken in at once, in bytes; most of what lies behind a request is shorter.
const READ_CHUNK_BYTES: usize = 1 << 10;

/// The server's end of a connection, which fails as soon as the client has closed it.
pub struct ReadAhead<S> {
    stream: S,
    /// What was taken in and not asked for yet.
    ahead: BytesMut,
    /// The last read found nothing more: whoever reads is woken by the next byte and by the close.
    waits: bool,
}

impl<S> ReadAhead<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
            ahead: BytesMut::new(),
            waits: false,
        }
    }
}

impl<S: AsyncRead + Unpin> ReadAhead<S> {
    /// Takes in what has arrived; fails if the client has closed the connection.
    fn look(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.waits {
            return Ok(());
        }
        let mut piece = [0; READ_CHUNK_BYTES];
        while self.ahead.len() < MAX_READ_AHEAD_BYTES {
            match Pin::new(&mut self.stream).poll_read(cx, &mut piece)? {
                Poll::Ready(0) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Poll::Ready(len) => self.ahead.extend_from_slice(&piece[..len]),
                Poll::Pending => return Ok(()),
            }
        }
        Ok(())
    }

    /// A write that has to wait is as good an occasion to look as any.
    fn looked<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_pending() {
            self.look(cx)?;
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
        if !self.ahead.is_empty() {
            let len = buf.len().min(self.ahead.len());
            self.ahead.copy_to_slice(&mut buf[..len]);
            if self.ahead.is_empty() {
                // Its memory is of no use to a connection that rests.
                self.ahead = BytesMut::new();
            }
            return Poll::Ready(Ok(len));
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let Poll::Ready(Ok(len @ 1..)) = read else {
            // Behind the end of a connection there is nothing to look for.
            self.waits = true;
            return read;
        };
        self.waits = false;
        if len < buf.len() {
            // A client that has left by now has left before its request runs.
            self.look(cx)?;
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
        self.looked(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.looked(cx, written)
    }

    /// hyper flushes whenever it has looked for something to do.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        Poll::Ready(self.look(cx))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
