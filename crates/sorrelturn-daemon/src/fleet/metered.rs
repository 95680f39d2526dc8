//! Byte counting for control connections.

use crate::{net::stream::BoxStream, node::Node};
use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io::Result,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll},
};

/// Stream that adds the bytes read and written to the node's counter of control traffic.
pub(crate) struct MeteredStream {
    pub(crate) node: Arc<Node>,
    pub(crate) stream: BoxStream,
}

impl MeteredStream {
    fn count(&self, polled: &Poll<Result<usize>>) {
        if let Poll::Ready(Ok(len)) = polled {
            let counter = &self.node.counts.control_bytes;
            counter.fetch_add(*len as u64, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.count(&polled);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
