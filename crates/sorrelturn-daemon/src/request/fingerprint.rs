//! Fingerprints that identify a request when it arrives with another id or at another VM.

use crate::request::payload::Payload;
use hyper::{HeaderMap, Method, Uri, header::HOST};
use sorrelturn_protocol::{CallerId, RequestFingerprint, RequestFingerprints};

/// The fingerprints without and with the query, from method, host, path, caller and body.
///
/// The entry's service is left out, since a repeat may enter at any VM. Of a streamed body, only the declared length
/// is included.
pub(crate) fn fingerprints_of(
    method: &Method,
    target: &Uri,
    headers: &HeaderMap,
    caller: CallerId,
    payload: &Payload,
) -> RequestFingerprints {
    let host = headers.get(HOST).map_or(&b""[..], |host| host.as_bytes());
    let mut hasher = blake3::Hasher::new();
    for component in [method.as_str().as_bytes(), host, target.path().as_bytes()] {
        hasher.update(&component.len().to_be_bytes());
        hasher.update(component);
    }
    hasher.update(&caller.0.to_be_bytes());
    match payload {
        Payload::Buffered(bytes) => hasher.update(bytes),
        Payload::Stream { len, .. } => hasher.update(&len.unwrap_or_default().to_be_bytes()),
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
