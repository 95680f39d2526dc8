//! Responses of the store and of health checks whose heads leave the end of the body in doubt, and heads that arrive in
//! pieces.

use bytes::Bytes;
use hyper::Request;
use proptest::prelude::*;
use smol::{
    future::{self, block_on},
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use sorrelturn_platform::{LimitedReads, ReadLimit, http::exchange};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the body of a response with these bytes, or its error.
fn exchange_with(response: &'static str) -> Result<Bytes, String> {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("it is bound");
        let respond = async {
            let (mut tcp, _) = listener.accept().await.expect("a connection");
            let mut head = [0; 1024];
            let len = tcp.read(&mut head).await.expect("a request");
            assert!(len > 0);
            tcp.write_all(response.as_bytes()).await.expect("it reads");
        };
        let req = Request::get("/").body(Bytes::new()).expect("a request");
        let (res, ()) = future::zip(exchange(addr, req, TIMEOUT), respond).await;
        res.map(|res| res.into_body())
            .map_err(|error| error.to_string())
    })
}

/// Guards against objects of the store, and results of health checks, that are read from half a response.
#[test]
fn a_control_call_fails_if_its_response_has_no_single_end() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkad\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 4, 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nkeep-alive: timeout=1\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\n\r\ncontent-length: 4\r\n\r\nbody",
    ] {
        let body = exchange_with(response);
        assert!(body.is_err(), "{response:?}: {body:?}");
    }
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nbody",
    ] {
        let body = exchange_with(response);
        assert_eq!(body.as_deref(), Ok(&b"body"[..]), "{response:?}");
    }
}

/// A connection that delivers bytes in pieces.
struct Pieces(Vec<Vec<u8>>);

impl AsyncRead for Pieces {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.0.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let mut piece = self.0.remove(0);
        let len = piece.len().min(buf.len());
        buf[..len].copy_from_slice(&piece[..len]);
        let rest = piece.split_off(len);
        if !rest.is_empty() {
            self.0.insert(0, rest);
        }
        Poll::Ready(Ok(len))
    }
}

/// Reads a response that arrives in pieces which end at these places.
fn read_in_pieces(response: &str, cuts: &[usize]) -> io::Result<usize> {
    let mut pieces = vec![Vec::new()];
    for (at, byte) in response.bytes().enumerate() {
        if cuts.contains(&at) {
            pieces.push(Vec::new());
        }
        pieces.last_mut().expect("there is one").push(byte);
    }
    pieces.retain(|piece| !piece.is_empty());
    let mut reads = LimitedReads::new(Pieces(pieces), ReadLimit::new(1 << 20));
    block_on(reads.read_to_end(&mut Vec::new()))
}

const SPLIT: [&str; 6] = [
    "HTTP/1.1 200 OK\r\na: 1\r\n\r\nb: 2\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\n\r\nb: 2\r\nc:\r\n\r\nbody",
    "HTTP/1.1 200 OK\na: 1\n\nb: 2\n\nbody",
    "\r\nHTTP/1.1 200 OK\r\n\r\nb: 2\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\na: 1\r\n\r\nb: 2\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nContent-Length: 4\r\n\r\nbody",
];
const WHOLE: [&str; 9] = [
    "HTTP/1.1 200 OK\r\na: 1\r\n\r\nbody\r\n\r\n",
    "HTTP/1.1 200 OK\r\na: 1\r\n\r\n\r\nb: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\na: 1\r\n\r\nb: 2\r\nbody\r\n\r\n",
    "HTTP/1.1 200 OK\r\na: 1\r\n\r\nb: 2\n\nbody",
    "HTTP/1.1 200 OK\r\na: 1\r\n\r\nb c: 2\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a:1\r\nbody\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: Message/http\r\n\r\nb: 2\r\n\r\nbody",
    "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\na: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\n",
];

proptest! {
    /// Guards against a split head that isn't detected, or a whole response that is taken for one, because of the pieces in
    /// which it arrives.
    #[test]
    fn the_rest_of_a_head_is_detected_in_any_pieces(cuts in prop::collection::vec(0..80_usize, 0..80)) {
        for response in SPLIT {
            let read = read_in_pieces(response, &cuts);
            prop_assert!(read.is_err(), "{:?}: {:?}", response, read);
        }
        for response in WHOLE {
            let read = read_in_pieces(response, &cuts);
            prop_assert_eq!(read.ok(), Some(response.len()), "{:?}", response);
        }
    }
}
