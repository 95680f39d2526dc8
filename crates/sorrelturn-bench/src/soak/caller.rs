//! A caller that writes and reads bytes itself, so that it sees where an answer ends or breaks off.

use super::checker::Ending;
use crate::client::{Expected, is_expected_body};
use smol::{
    Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use std::{io, net::SocketAddr, str::FromStr, time::Duration};

/// The largest piece that is read at once.
const PIECE_BYTES: usize = 16 << 10;

/// A connection to a daemon.
pub(super) struct Caller {
    tcp: TcpStream,
    /// What came and was not asked for yet.
    unread: Vec<u8>,
}

/// What is asked.
pub(super) struct Question<'a> {
    pub(super) path: &'a str,
    pub(super) host: &'a str,
    pub(super) id: &'a str,
    /// The header that carries the id.
    pub(super) id_header: &'a str,
    pub(super) credential: &'a str,
    /// The header that carries the credential.
    pub(super) credential_header: &'a str,
}

/// An answer, and whether the connection goes on.
pub(super) struct Heard {
    pub(super) ending: Ending,
    pub(super) goes_on: bool,
}

struct Head {
    status: u16,
    len: usize,
    closes: bool,
    id: Option<String>,
}

impl Caller {
    pub(super) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let tcp = TcpStream::connect(addr).await?;
        tcp.set_nodelay(true)?;
        Ok(Self {
            tcp,
            unread: Vec::new(),
        })
    }

    /// Sends a request; an error says that not all of it went out.
    pub(super) async fn send(&mut self, question: &Question<'_>) -> io::Result<()> {
        let Question {
            path,
            host,
            id,
            id_header,
            credential,
            credential_header,
        } = question;
        let text = format!(
            "GET {path} HTTP/1.1\r\nhost: {host}\r\n{id_header}: {id}\r\n{credential_header}: {credential}\r\n\r\n"
        );
        self.tcp.write_all(text.as_bytes()).await
    }

    /// Reads the answer; `patience` is the time after which there is none.
    pub(super) async fn hear(&mut self, question: &Question<'_>, patience: Duration) -> Heard {
        let silent = async {
            Timer::after(patience).await;
            None
        };
        let heard = async { Some(self.read(question).await) };
        if let Some(heard) = heard.or(silent).await {
            return heard;
        }
        let begun = !self.unread.is_empty();
        Heard {
            ending: if begun {
                Ending::Stalled
            } else {
                Ending::Silent
            },
            goes_on: false,
        }
    }

    async fn read(&mut self, question: &Question<'_>) -> Heard {
        let ends = |ending| Heard {
            ending,
            goes_on: false,
        };
        let head_end = loop {
            if let Some(at) = find(&self.unread, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.more().await {
                let none = self.unread.is_empty();
                return ends(if none { Ending::Closed } else { Ending::Cut });
            }
        };
        let text = String::from_utf8_lossy(&self.unread[..head_end]).into_owned();
        let Some(head) = Head::parse(&text, question.id_header) else {
            return ends(Ending::Answer {
                status: 0,
                own: false,
                foreign: true,
            });
        };
        let whole = head_end + head.len;
        while self.unread.len() < whole {
            if !self.more().await {
                return ends(Ending::Cut);
            }
        }
        let body = &self.unread[head_end..whole];
        let echo = question.id.to_owned();
        let own = is_expected_body(body, &Expected { echo });
        let another = head.id.is_some_and(|id| id != question.id);
        self.unread.drain(..whole);
        Heard {
            ending: Ending::Answer {
                status: head.status,
                own,
                foreign: another || !self.unread.is_empty(),
            },
            goes_on: !head.closes,
        }
    }

    /// Reads a piece; whether there was one.
    async fn more(&mut self) -> bool {
        let mut piece = vec![0; PIECE_BYTES];
        // A connection that breaks ends here as one that is closed.
        let read = self.tcp.read(&mut piece).await.unwrap_or(0);
        self.unread.extend_from_slice(&piece[..read]);
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
            len: header("content-length")?.parse().ok()?,
            closes: header("connection").is_some_and(|value| value == "close"),
            id: header(id_header),
        })
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
