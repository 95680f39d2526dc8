//! Scripted responses of the store, in bytes that its stand-in wouldn't send.

use assert_matches::assert_matches;
use smol::{
    Executor,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use sorrelturn_platform::{Changes, Expected, Platform, PlatformError};
use std::{sync::Arc, time::Duration};

pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns an object with these bytes as its value.
pub fn object(name: &str, revision: u64, value: &[u8]) -> Vec<u8> {
    let metadata = format!(r#"{{"metadata":{{"name":"{name}","revision":{revision}}},"value":"#);
    [metadata.as_bytes(), value, b"}"].concat()
}

/// Serves one response to each of as many connections; calls the store meanwhile.
pub fn answered_with<T>(
    status: u16,
    responses: Vec<Vec<u8>>,
    call: impl AsyncFn(Platform) -> T,
) -> T {
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let answer = ex.spawn(async move {
            for body in responses {
                let (mut tcp, _) = listener.accept().await.expect("a caller");
                tcp.read(&mut [0; 4096]).await.expect("a request");
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 {status} Any\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
                );
                let sent = tcp.write_all(&[head.as_bytes(), &body].concat()).await;
                sent.expect("sent");
            }
        });
        let result = call(Platform::new(addr, TIMEOUT)).await;
        drop(answer);
        result
    }))
}

/// Checks that the version of an object with this value is read, both of the object and of a write's conflict.
pub fn check_version_is_read(value: &[u8]) {
    let got = answered_with(200, vec![object("odd", 7, value)], async |platform| {
        platform.get("kind/odd").await
    });
    assert_matches!(got, Ok(Some(object)) if object.version == 7);
    let written = answered_with(409, vec![object("odd", 7, value)], async |platform| {
        platform.put("kind/odd", "v", Expected::Absent).await
    });
    assert_matches!(written, Err(PlatformError::Conflict(7)));
}

/// Returns the keys of all objects but `kind/odd`.
pub fn keys(changes: &Changes) -> Vec<&str> {
    let keys = changes.objects.iter().map(|object| object.key.as_str());
    keys.filter(|key| *key != "kind/odd").collect()
}

/// Returns the only page of a list at revision 9.
pub fn list_page(objects: &[Vec<u8>]) -> Vec<u8> {
    let items = objects.join(&b","[..]);
    [br#"{"items":["#, &items[..], br#"],"store_revision":9}"#].concat()
}

/// Returns a list with an entry of this value between two usual ones.
pub fn list_around_odd(value: &[u8]) -> Vec<u8> {
    list_page(&[
        object("first", 1, br#""v""#),
        object("odd", 2, value),
        object("last", 3, br#""v""#),
    ])
}
