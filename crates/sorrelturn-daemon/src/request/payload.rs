//! Request bodies. Small ones are buffered before the request is processed.

use crate::{
    net::timers::Timers,
    request::answer::Reply,
    request::body::{self, Body},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use smol::future::FutureExt;
use sorrelturn_protocol::Refusal;
use std::time::Duration;

/// Buffering keeps slow senders from occupying slots and allows retries.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) enum Payload {
    /// Complete; can be sent several times.
    Buffered(Bytes),
    /// Still arriving; can be sent once.
    Stream {
        /// `None` once it is sent.
        body: Option<Body>,
        /// In bytes, if the sender declared it.
        len: Option<u64>,
    },
}

impl Payload {
    /// Buffers a small body; one that is larger or of unknown size stays a stream. Failed or late
    /// reading is a refusal.
    pub(crate) async fn read(timers: &Timers, incoming: Incoming) -> Result<Self, Reply> {
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let upper = incoming.size_hint().upper();
        if upper.is_none_or(|len| len > MAX_BUFFERED_BODY_BYTES) {
            let body = Some(body::with_stall_timeout(timers, incoming, |_| {}));
            return Ok(Self::Stream { body, len: upper });
        }
        let read = async {
            let body = Limited::new(incoming, MAX_BUFFERED_BODY_BYTES as usize);
            body.collect().await.ok().map(|body| body.to_bytes())
        };
        let timeout = async {
            timers.after(BODY_READ_TIMEOUT).await;
            None
        };
        read.or(timeout)
            .await
            .map(Self::Buffered)
            .ok_or_else(|| Reply::not_run(Refusal::Malformed))
    }

    /// `None` if an earlier attempt used up the stream.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(body::full(bytes.clone())),
            Self::Stream { body, .. } => body.take(),
        }
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn buffered_len(&self) -> usize {
        match self {
            Self::Buffered(bytes) => bytes.len(),
            Self::Stream { .. } => 0,
        }
    }

    pub(crate) fn can_be_sent(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Stream { body, .. } => body.is_some(),
        }
    }
}
