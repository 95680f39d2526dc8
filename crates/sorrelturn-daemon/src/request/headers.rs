//! Filtering, reading and setting of headers.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use sorrelturn_protocol::headers::PREFIX;

/// Hop-by-hop headers, which apply to a single connection.
static HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Also removes the headers that `Connection` lists.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in &connection_headers {
        headers.remove(name);
    }
    // Mostly there is none, and comparing names costs less than looking up each of the list.
    while let Some(name) = headers.keys().find(|name| HOP_BY_HOP.contains(name)) {
        let name = name.clone();
        headers.remove(name);
    }
}

/// Removes the internal headers, so that outsiders can't set importance, budget or identity.
pub(crate) fn strip_internal(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

pub(crate) fn strip_for_peer(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_internal(headers);
    headers.remove(HOST);
}

/// Does nothing if `value` contains characters that are invalid in a header.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// `None` if the header is missing or not visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
