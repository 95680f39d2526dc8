//! By what a request is known again when it comes under another id, at another VM.

use crate::request::payload::Payload;
use hyper::{HeaderMap, Method, Uri, header::HOST};
use sorrelturn_protocol::{CallerId, RequestFingerprint, RequestFingerprints};

/// The names of what a request asks for.
///
/// The service at which it began is left out, since the same request comes at any VM. A body that is too large to be
/// held is known by its length alone.
pub(crate) fn names_of(
    method: &Method,
    target: &Uri,
    headers: &HeaderMap,
    caller: CallerId,
    payload: &Payload,
) -> RequestFingerprints {
    let host = headers.get(HOST).map_or(&b""[..], |host| host.as_bytes());
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_str().as_bytes(), host, target.path().as_bytes()] {
        hasher.update(&part.len().to_be_bytes());
        hasher.update(part);
    }
    hasher.update(&caller.0.to_be_bytes());
    match payload {
        Payload::Whole(bytes) => hasher.update(bytes),
        Payload::Stream { bytes, .. } => hasher.update(&bytes.unwrap_or_default().to_be_bytes()),
    };
    let path = leading_bits(&hasher);
    let with_query = target.query().map(|query| {
        hasher.update(query.as_bytes());
        leading_bits(&hasher)
    });
    RequestFingerprints { path, with_query }
}

fn leading_bits(hasher: &blake3::Hasher) -> RequestFingerprint {
    let mut leading = [0; 8];
    hasher.finalize_xof().fill(&mut leading);
    RequestFingerprint(u64::from_be_bytes(leading))
}
