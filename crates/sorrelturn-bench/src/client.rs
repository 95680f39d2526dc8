//! An HTTP/1.1 client with pooled connections that checks that each answer is complete and its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    header::HOST,
};
use smol::{Executor, Timer, future::FutureExt, net::TcpStream};
use sorrelturn_platform::hyper_io;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// What a caller expects in a successful answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// The text sent in `x-echo`, which the body starts with.
    pub echo: String,
}

/// An answer as its caller receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether a successful answer has an unexpected body: another caller's, or truncated without an
    /// error.
    pub wrong: bool,
}

impl Answer {
    /// A header's value, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of `sorrelturn-verdict`, or `none`.
    pub fn verdict(&self) -> &str {
        self.header("sorrelturn-verdict").unwrap_or("none")
    }
}

/// The body that a fake backend server answers: the echo text, padding, and a checksum.
/// `bytes` is the length without the checksum.
pub(crate) fn answer_body(echo: &str, bytes: usize) -> Bytes {
    let mut body = format!("{echo}\n").into_bytes();
    body.resize(bytes.max(body.len()), b'.');
    let sum = blake3::hash(&body).to_hex();
    body.extend_from_slice(sum.as_bytes());
    body.into()
}

/// Whether a body was made by [`answer_body`] with the expected echo text.
pub(crate) fn is_expected_body(body: &[u8], expected: &Expected) -> bool {
    let Some(split) = body.len().checked_sub(64) else {
        return false;
    };
    let (text, checksum) = body.split_at(split);
    let has_own_echo = text.starts_with(format!("{}\n", expected.echo).as_bytes());
    has_own_echo && blake3::hash(text).to_hex().as_bytes() == checksum
}

/// A client of one address. Clones share its idle connections.
#[derive(Clone)]
pub struct Client {
    ex: Arc<Executor<'static>>,
    addr: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
}

impl Client {
    /// Creates a client of `addr` without connecting.
    pub fn new(ex: Arc<Executor<'static>>, addr: SocketAddr) -> Self {
        Self {
            ex,
            addr,
            idle: Arc::default(),
        }
    }

    /// Sends a request and reads the complete answer; checks its body if `expected` is given.
    ///
    /// # Errors
    ///
    /// An I/O error if the connection fails before the answer is complete.
    pub async fn send(
        &self,
        mut req: Request<Bytes>,
        expected: Option<&Expected>,
    ) -> io::Result<Answer> {
        if let Some(expected) = expected
            && let Ok(value) = expected.echo.parse()
        {
            req.headers_mut().insert("x-echo", value);
        }
        let host = self.addr.to_string().parse().map_err(io::Error::other)?;
        req.headers_mut().insert(HOST, host);
        let mut req = req.map(Full::new);
        loop {
            let (mut sender, reused) = match self.take_idle() {
                Some(sender) => (sender, true),
                None => (self.connect().await?, false),
            };
            if sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            match sender.try_send_request(req).await {
                Ok(res) => {
                    let answer = read_answer(res, expected).await?;
                    self.return_idle(sender);
                    return Ok(answer);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => req = unsent,
                    _ => return Err(io::Error::other(error.into_error())),
                },
            }
        }
    }

    /// Like [`Client::send`], but fails with [`io::ErrorKind::TimedOut`] after `timeout`.
    pub async fn send_within(
        &self,
        req: Request<Bytes>,
        expected: Option<&Expected>,
        timeout: Duration,
    ) -> io::Result<Answer> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        self.send(req, expected).or(timed_out).await
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn return_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(sender);
    }

    async fn connect(&self) -> io::Result<SendRequest<Full<Bytes>>> {
        let tcp = TcpStream::connect(self.addr).await?;
        tcp.set_nodelay(true)?;
        let (sender, conn) = handshake(hyper_io(tcp)).await.map_err(io::Error::other)?;
        let connection_task = async move {
            let _ = conn.await;
        };
        self.ex.spawn(connection_task).detach();
        Ok(sender)
    }
}

async fn read_answer(
    res: hyper::Response<Incoming>,
    expected: Option<&Expected>,
) -> io::Result<Answer> {
    let (head, body) = res.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let is_success = head.status.is_success();
    let wrong = expected.is_some_and(|expected| is_success && !is_expected_body(&body, expected));
    Ok(Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
        wrong,
    })
}
