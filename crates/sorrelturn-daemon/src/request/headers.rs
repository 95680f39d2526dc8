//! Which headers go on and which stay.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use sorrelturn_protocol::headers::PREFIX;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that concern one connection only, those that `Connection` names too.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes our own headers: nobody outside sets importance, budget or identity.
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

/// What a request keeps on its way between daemons.
pub(crate) fn strip_for_peer(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_internal(headers);
    headers.remove(HOST);
}

/// Sets a header whose value is made of safe characters.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Reads a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
