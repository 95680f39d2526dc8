//! A TCP connection that calls `read` only when the socket is readable.
//!
//! hyper polls for more bytes whenever its task is woken. The runtime's stream makes a system call for
//! each poll, and most of them return nothing. [`ReadySocket`] makes one only after the reactor has
//! reported the socket readable. See `docs/design/streaming.md`.

use smol::{
    Async,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    io::{self, IoSlice, Read},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// A TCP connection whose reads wait until the reactor reports the socket readable.
pub struct ReadySocket {
    tcp: TcpStream,
    /// The same socket, registered with the reactor.
    source: Arc<Async<std::net::TcpStream>>,
    /// Whether the last read emptied the socket, so that the next one waits for the reactor.
    is_drained: bool,
    /// Whether a read that doesn't fill its buffer counts as having emptied the socket.
    trusts_short_reads: bool,
}

impl ReadySocket {
    /// Wraps a connection. Clones of it may write but must not read.
    pub fn new(tcp: TcpStream) -> Self {
        Self {
            source: tcp.clone().into(),
            tcp,
            is_drained: false,
            trusts_short_reads: true,
        }
    }

    /// Wraps the server side of a connection. A short read doesn't count as emptying the socket, because
    /// the client's close may follow the request. This costs one system call per request, and finds
    /// the close before the request runs.
    pub fn for_server(tcp: TcpStream) -> Self {
        Self {
            trusts_short_reads: false,
            ..Self::new(tcp)
        }
    }
}

impl AsyncRead for ReadySocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.is_drained {
                ready!(self.source.poll_readable(cx))?;
                self.is_drained = false;
            }
            match self.source.get_ref().read(buf) {
                Ok(len) => {
                    // After the end of the stream, each further read returns 0 again.
                    self.is_drained = self.trusts_short_reads && len > 0 && len < buf.len();
                    return Poll::Ready(Ok(len));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_drained = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ReadySocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
