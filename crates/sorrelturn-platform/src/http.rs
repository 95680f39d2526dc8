//! Minimal HTTP/1.1 client for control calls: one connection per call, buffered bodies, one timeout.

use crate::{LimitedReads, ReadLimit, check_framing, hyper_io};
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, client::conn::http1, header::HOST};
use smol::{
    Timer,
    future::{self, FutureExt},
    net::TcpStream,
};
use std::{net::SocketAddr, time::Duration};

/// Maximum size of a response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Maximum size of the head of a response with all that comes before and after its body, in bytes.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// An error of an HTTP exchange.
#[derive(Debug, Display)]
pub enum ExchangeError {
    /// can't connect: {0}
    NotSent(std::io::Error),
    /// the exchange failed after the request may have been sent: {0}
    Interrupted(String),
    /// no response within {0:?}
    TimedOut(Duration),
}

impl std::error::Error for ExchangeError {}

/// Sends a request over a new connection and reads the whole response.
pub async fn exchange(
    addr: SocketAddr,
    req: Request<Bytes>,
    timeout: Duration,
) -> Result<Response<Bytes>, ExchangeError> {
    exchange_limited(addr, req, timeout, MAX_ANSWER_BYTES).await
}

/// As [`exchange`], with another maximum size of the response body, in bytes.
pub async fn exchange_limited(
    addr: SocketAddr,
    req: Request<Bytes>,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, ExchangeError> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ExchangeError::TimedOut(timeout))
    };
    exchange_untimed(addr, req, max_bytes).or(timed_out).await
}

async fn exchange_untimed(
    addr: SocketAddr,
    mut req: Request<Bytes>,
    max_bytes: usize,
) -> Result<Response<Bytes>, ExchangeError> {
    let stream = TcpStream::connect(addr)
        .await
        .map_err(ExchangeError::NotSent)?;
    let interrupted = |error: hyper::Error| ExchangeError::Interrupted(error.to_string());
    let limit = ReadLimit::new((max_bytes + MAX_HEAD_BYTES) as u64);
    let (mut sender, conn) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(hyper_io(LimitedReads::new(stream, limit)))
        .await
        .map_err(interrupted)?;
    let host = addr.to_string().parse();
    req.headers_mut()
        .entry(HOST)
        .or_insert(host.expect("an address is a valid header value"));
    let answer = async {
        let res = sender
            .send_request(req.map(Full::new))
            .await
            .map_err(interrupted)?;
        check_framing(&res).map_err(|error| ExchangeError::Interrupted(error.to_string()))?;
        let (head, body) = res.into_parts();
        let body = Limited::new(body, max_bytes)
            .collect()
            .await
            .map_err(|error| ExchangeError::Interrupted(error.to_string()))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    let drive_connection = async {
        let _ = conn.await;
        future::pending().await
    };
    answer.or(drive_connection).await
}
