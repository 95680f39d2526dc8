//! A caller that reads and writes raw bytes, so that it sees where a response ends or is cut off.

use super::checker::Ending;
use crate::client::{Expected, is_expected_body};
use smol::{
    Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use std::{io, net::SocketAddr, str::FromStr, time::Duration};

const MAX_CHUNK_BYTES: usize = 16 << 10;

/// A connection to a daemon.
pub(super) struct Caller {
    tcp: TcpStream,
    /// Bytes that were received but not yet consumed.
    unread: Vec<u8>,
    /// Whether the responses to other requests follow.
    pub(super) has_more: bool,
}

pub(super) struct CallerRequest<'a> {
    pub(super) path: &'a str,
    pub(super) host: &'a str,
    pub(super) id: &'a str,
    pub(super) id_header: &'a str,
    pub(super) credential: &'a str,
    pub(super) credential_header: &'a str,
    /// The length of the body; without one, the request is a GET.
    pub(super) body_len: usize,
}

/// How a request ended, and whether its connection stays open.
pub(super) struct CallerResponse {
    pub(super) ending: Ending,
    pub(super) stays_open: bool,
}

struct Head {
    status: u16,
    body_len: usize,
    closes_connection: bool,
    id: Option<String>,
}

impl Caller {
    pub(super) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let tcp = TcpStream::connect(addr).await?;
        tcp.set_nodelay(true)?;
        Ok(Self {
            tcp,
            unread: Vec::new(),
            has_more: false,
        })
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// If the request wasn't sent completely.
    pub(super) async fn send(&mut self, request: &CallerRequest<'_>) -> io::Result<()> {
        let CallerRequest {
            path,
            host,
            id,
            id_header,
            credential,
            credential_header,
            body_len,
        } = request;
        let (method, length) = match body_len {
            0 => ("GET", String::new()),
            len => ("POST", format!("content-length: {len}\r\n")),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\n{id_header}: {id}\r\n{credential_header}: {credential}\r\n\
             {length}\r\n"
        );
        self.tcp.write_all(text.as_bytes()).await?;
        self.tcp.write_all(&vec![b'b'; *body_len]).await
    }

    /// Receives the response, or gives up after `timeout`.
    pub(super) async fn receive(
        &mut self,
        request: &CallerRequest<'_>,
        timeout: Duration,
    ) -> CallerResponse {
        let timed_out = async {
            Timer::after(timeout).await;
            None
        };
        let response = async { Some(self.read(request).await) };
        if let Some(response) = response.or(timed_out).await {
            return response;
        }
        let has_begun = !self.unread.is_empty();
        CallerResponse {
            ending: if has_begun {
                Ending::Stalled
            } else {
                Ending::Silent
            },
            stays_open: false,
        }
    }

    async fn read(&mut self, request: &CallerRequest<'_>) -> CallerResponse {
        let ended_with = |ending| CallerResponse {
            ending,
            stays_open: false,
        };
        let head_end = loop {
            if let Some(at) = position_of(&self.unread, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read_chunk().await {
                let is_empty = self.unread.is_empty();
                return ended_with(if is_empty {
                    Ending::Closed
                } else {
                    Ending::Cut
                });
            }
        };
        let text = String::from_utf8_lossy(&self.unread[..head_end]).into_owned();
        let Some(head) = Head::parse(&text, request.id_header) else {
            return ended_with(Ending::Answer {
                status: 0,
                own: false,
                foreign: true,
            });
        };
        let response_len = head_end + head.body_len;
        while self.unread.len() < response_len {
            if !self.read_chunk().await {
                return ended_with(Ending::Cut);
            }
        }
        let body = &self.unread[head_end..response_len];
        let echo = request.id.to_owned();
        let own = is_expected_body(body, &Expected { echo });
        let has_foreign_id = head.id.is_some_and(|id| id != request.id);
        self.unread.drain(..response_len);
        CallerResponse {
            ending: Ending::Answer {
                status: head.status,
                own,
                foreign: has_foreign_id || (!self.has_more && !self.unread.is_empty()),
            },
            stays_open: !head.closes_connection,
        }
    }

    /// Reads a chunk; returns whether there was one.
    async fn read_chunk(&mut self) -> bool {
        let mut chunk = vec![0; MAX_CHUNK_BYTES];
        // A broken connection counts as a closed one.
        let read = self.tcp.read(&mut chunk).await.unwrap_or(0);
        self.unread.extend_from_slice(&chunk[..read]);
        read > 0
    }
}

impl Head {
    fn parse(text: &str, id_header: &str) -> Option<Self> {
        let lower = text.to_ascii_lowercase();
        let header = |name: &str| {
            let mut lines = lower.lines();
            lines.find_map(|line| {
                Some(
                    line.strip_prefix(name)?
                        .strip_prefix(':')?
                        .trim()
                        .to_owned(),
                )
            })
        };
        let status = lower.split(' ').nth(1)?;
        Some(Self {
            status: u16::from_str(status).ok()?,
            body_len: header("content-length")?.parse().ok()?,
            closes_connection: header("connection").is_some_and(|value| value == "close"),
            id: header(id_header),
        })
    }
}

fn position_of(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
