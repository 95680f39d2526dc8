//! Guards against a stalled response when a socket becomes writable again right after a blocked write.

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

// The response is far larger than hyper's write buffer.
const CHUNK_COUNT: usize = 200;
const CHUNK_BYTES: usize = 10_000;
/// More polls than the response needs. A connection that is polled forever fails the test.
const MAX_POLLS: usize = 10_000;

/// The write side of the socket, with the waker of a blocked write.
#[derive(Default)]
struct WriteState {
    written: usize,
    writes: usize,
    waker: Option<Waker>,
}

/// A socket that blocks every other write and is writable again right after it. Like the runtime's
/// sockets, it drops the waker when a write succeeds.
struct BlockingSocket {
    request: Option<&'static [u8]>,
    write_state: Arc<Mutex<WriteState>>,
}

impl AsyncRead for BlockingSocket {
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

impl AsyncWrite for BlockingSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut write_state = self.write_state.lock().expect("the mutex is not poisoned");
        write_state.writes += 1;
        if write_state.writes % 2 == 1 {
            write_state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        write_state.waker = None;
        write_state.written += buf.len();
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Records that the task was woken.
#[derive(Default)]
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

async fn long_response(
    _: Request<Incoming>,
) -> Result<
    Response<StreamBody<impl smol::stream::Stream<Item = Result<Frame<Bytes>, Infallible>>>>,
    Infallible,
> {
    let chunks = (0..CHUNK_COUNT).map(|_| Ok(Frame::data(Bytes::from_static(&[7; CHUNK_BYTES]))));
    Ok(Response::new(StreamBody::new(smol::stream::iter(chunks))))
}

#[test]
fn a_long_answer_goes_on_when_the_socket_has_room_again_at_once() {
    let write_state = Arc::new(Mutex::new(WriteState::default()));
    let socket = BlockingSocket {
        request: Some(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"),
        write_state: Arc::clone(&write_state),
    };
    let service = hyper::service::service_fn(long_response);
    let mut conn = pin!(http1::Builder::new().serve_connection(hyper_io(socket), service));
    let wake_flag = Arc::new(WakeFlag::default());
    let waker = Waker::from(Arc::clone(&wake_flag));
    for _ in 0..MAX_POLLS {
        wake_flag.0.store(false, Ordering::Relaxed);
        if let Poll::Ready(result) = conn.as_mut().poll(&mut Context::from_waker(&waker)) {
            result.expect("the connection ends without an error");
            let write_state = write_state.lock().expect("the mutex is not poisoned");
            assert!(
                write_state.written > CHUNK_COUNT * CHUNK_BYTES,
                "{}",
                write_state.written
            );
            return;
        }
        // The socket is writable: the runtime wakes the registered task.
        let mut write_state = write_state.lock().expect("the mutex is not poisoned");
        if let Some(waker) = write_state.waker.take() {
            waker.wake();
        }
        assert!(
            wake_flag.0.load(Ordering::Relaxed),
            "the connection is not woken after {} bytes",
            write_state.written
        );
    }
    panic!("the connection doesn't finish");
}
