//! A connection whose socket fills and empties while it is served goes on to its end.

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::{Request, Response, body::Frame, body::Incoming, server::conn::http1};
use smol::io::{AsyncRead, AsyncWrite};
use sorrelturn_platform::hyper_io;
use std::{
    convert::Infallible,
    io,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Wake, Waker},
};

/// Pieces of the answer, and the size of each in bytes: far more than hyper buffers.
const PIECES: usize = 200;
const PIECE_BYTES: usize = 10_000;
/// More polls than the answer needs; a connection that spins fails.
const MOST_POLLS: usize = 10_000;

/// What a socket of the runtime keeps for the one who writes.
#[derive(Default)]
struct Room {
    written: usize,
    writes: usize,
    waker: Option<Waker>,
}

/// A socket that is full at every other write and has room again right after it. As with the
/// runtime's own, a write that succeeds takes back the wish to be woken.
struct FullAtTimes {
    request: Option<&'static [u8]>,
    room: Arc<Mutex<Room>>,
}

impl AsyncRead for FullAtTimes {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.request.take() {
            Some(request) => {
                buf[..request.len()].copy_from_slice(request);
                Poll::Ready(Ok(request.len()))
            }
            None => Poll::Pending,
        }
    }
}

impl AsyncWrite for FullAtTimes {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut room = self.room.lock().expect("no test panics with it");
        room.writes += 1;
        if room.writes % 2 == 1 {
            room.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        room.waker = None;
        room.written += buf.len();
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Remembers that its task is to be polled again.
#[derive(Default)]
struct Woken(AtomicBool);

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

async fn long_answer(
    _: Request<Incoming>,
) -> Result<
    Response<StreamBody<impl smol::stream::Stream<Item = Result<Frame<Bytes>, Infallible>>>>,
    Infallible,
> {
    let pieces = (0..PIECES).map(|_| Ok(Frame::data(Bytes::from_static(&[7; PIECE_BYTES]))));
    Ok(Response::new(StreamBody::new(smol::stream::iter(pieces))))
}

#[test]
fn a_long_answer_goes_on_when_the_socket_has_room_again_at_once() {
    let room = Arc::new(Mutex::new(Room::default()));
    let socket = FullAtTimes {
        request: Some(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"),
        room: Arc::clone(&room),
    };
    let service = hyper::service::service_fn(long_answer);
    let mut conn = pin!(http1::Builder::new().serve_connection(hyper_io(socket), service));
    let woken = Arc::new(Woken::default());
    let waker = Waker::from(Arc::clone(&woken));
    for _ in 0..MOST_POLLS {
        woken.0.store(false, Ordering::Relaxed);
        if let Poll::Ready(end) = conn.as_mut().poll(&mut Context::from_waker(&waker)) {
            end.expect("the connection ends in good order");
            let room = room.lock().expect("no test panics with it");
            assert!(room.written > PIECES * PIECE_BYTES, "{}", room.written);
            return;
        }
        // The socket has room: the runtime wakes whoever waits for it.
        let mut room = room.lock().expect("no test panics with it");
        if let Some(waker) = room.waker.take() {
            waker.wake();
        }
        assert!(
            woken.0.load(Ordering::Relaxed),
            "after {} bytes nobody wakes the connection",
            room.written
        );
    }
    panic!("the connection doesn't end");
}
