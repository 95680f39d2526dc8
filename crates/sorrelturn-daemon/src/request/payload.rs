//! The bodies of requests, read first where they are small.

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

/// A body up to this size is read before anything is decided, so that a slow sender holds no
/// slot and a try can be repeated.
const WHOLE_BODY_BYTES: u64 = 64 << 10;
/// The longest time for reading such a body.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The body of a request on its way.
pub(crate) enum Payload {
    /// Here as a whole, so the request can be sent again.
    Buffered(Bytes),
    /// Still coming from its sender; can be sent once.
    Stream {
        /// It, until it is sent.
        body: Option<Body>,
        /// Its length, if its sender told it.
        bytes: Option<u64>,
    },
}

impl Payload {
    /// Reads a small body as a whole and takes a larger one as a stream.
    pub(crate) async fn read(timers: &Timers, incoming: Incoming) -> Result<Self, Reply> {
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let upper = incoming.size_hint().upper();
        if upper.is_none_or(|len| len > WHOLE_BODY_BYTES) {
            let body = Some(body::guarded(timers, incoming, |_| {}));
            return Ok(Self::Stream { body, bytes: upper });
        }
        let read = async {
            let body = Limited::new(incoming, WHOLE_BODY_BYTES as usize);
            body.collect().await.ok().map(|body| body.to_bytes())
        };
        let too_slow = async {
            timers.after(BODY_TIME).await;
            None
        };
        read.or(too_slow)
            .await
            .map(Self::Buffered)
            .ok_or_else(|| Reply::not_run(Refusal::Malformed))
    }

    /// The body for one try, or `None` if it was used up by an earlier one.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(body::full(bytes.clone())),
            Self::Stream { body, .. } => body.take(),
        }
    }

    pub(crate) fn is_replayable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Stream { body, .. } => body.is_some(),
        }
    }
}
