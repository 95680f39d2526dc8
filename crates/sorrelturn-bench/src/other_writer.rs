//! Writes of other clients of the store, which don't check what they write.

use bytes::Bytes;
use hyper::{Request, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use sorrelturn_platform::{
    OBJECTS_PATH,
    http::{ExchangeError, exchange},
    keys,
};
use std::{net::SocketAddr, time::Duration};

/// Writes an object whose value is this JSON text, whatever it holds, without a condition. Returns the status of the
/// response.
pub(crate) async fn write_json(
    platform: SocketAddr,
    key: &str,
    json: &str,
    timeout: Duration,
) -> Result<StatusCode, ExchangeError> {
    let (kind, name) = keys::kind_and_name(key);
    let encoded_name = utf8_percent_encode(name, NON_ALPHANUMERIC);
    let body = format!(r#"{{"metadata":{{"name":"{name}"}},"value":{json}}}"#);
    let write = async |method: &str, path: String| {
        let req = Request::builder().method(method).uri(path);
        let req = req.body(Bytes::from(body.clone())).expect("a request");
        let res = exchange(platform, req, timeout).await?;
        Ok(res.status())
    };
    match write("PUT", format!("{OBJECTS_PATH}/{kind}/{encoded_name}")).await {
        Ok(StatusCode::NOT_FOUND) => write("POST", format!("{OBJECTS_PATH}/{kind}")).await,
        written => written,
    }
}
