//! Guards against work for the unused part of hyper's read buffer, which costs as much as all else of a short read.

use hyper::rt::{Read, ReadBuf};
use smol::io::AsyncRead;
use smol_hyper::rt::FuturesIo;
use sorrelturn_platform::hyper_io;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, Waker},
};

/// The size of a read buffer of hyper for a short message.
const BUF_BYTES: usize = 8 << 10;
/// A value that the buffer holds before the read.
const UNTOUCHED: u8 = 0xaa;

/// A stream whose bytes have all arrived.
struct Arrived<'a>(&'a [u8]);

impl AsyncRead for Arrived<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = buf.len().min(self.0.len());
        let (now, later) = self.0.split_at(len);
        buf[..len].copy_from_slice(now);
        self.0 = later;
        Poll::Ready(Ok(len))
    }
}

/// Reads once into the buffer and returns the number of bytes.
fn read(stream: &mut (impl Read + Unpin), buf: &mut [u8]) -> usize {
    let mut buf = ReadBuf::new(buf);
    let mut cx = Context::from_waker(Waker::noop());
    let read = Pin::new(stream).poll_read(&mut cx, buf.unfilled());
    assert!(matches!(read, Poll::Ready(Ok(()))));
    buf.filled().len()
}

#[test]
fn a_short_read_leaves_the_rest_of_the_buffer_untouched() {
    let message = b"GET / HTTP/1.1\r\n\r\n";
    let mut buf = [UNTOUCHED; BUF_BYTES];
    let len = read(&mut hyper_io(Arrived(message)), &mut buf);
    assert_eq!(&buf[..len], message);
    assert!(buf[len..].iter().all(|byte| *byte == UNTOUCHED));

    let len = read(&mut FuturesIo::new(Arrived(message)), &mut buf);
    let overwritten = buf[len..].iter().filter(|byte| **byte != UNTOUCHED);
    assert_eq!(overwritten.count(), BUF_BYTES - len);
}

#[test]
fn a_long_stream_arrives_whole_and_in_order_whatever_the_sizes_of_the_buffers() {
    let bytes: Vec<u8> = (0..300_000u32).map(|number| (number % 251) as u8).collect();
    for buf_bytes in [1, 1_000, BUF_BYTES, 100_000] {
        let mut stream = hyper_io(Arrived(&bytes));
        let mut arrived = Vec::new();
        let mut buf = vec![UNTOUCHED; buf_bytes];
        loop {
            let len = read(&mut stream, &mut buf);
            arrived.extend_from_slice(&buf[..len]);
            if len == 0 {
                break;
            }
        }
        assert!(arrived == bytes, "buffers of {buf_bytes} bytes");
    }
}
