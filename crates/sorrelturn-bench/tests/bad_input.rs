//! Malformed input is refused with a specific status, and the daemon keeps serving.

mod common;

use common::{bundle, folder, request};
use smol::{
    Executor, Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use sorrelturn_bench::{FleetPlan, ProcessFleet, run_on};
use std::{net::SocketAddr, sync::Arc, time::Duration};

async fn start(ex: Arc<Executor<'static>>, test: &str) -> ProcessFleet {
    let plan = FleetPlan::new(
        bundle("protokols-riga.jsonc"),
        &[("scheduling", 1), ("certification", 1)],
        &["riga-a"],
        &[],
    );
    ProcessFleet::start(ex, plan, &folder(test)).await
}

/// Sends raw bytes and returns the response up to the close of the connection or a read timeout.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(addr).await.expect("the port is open");
    let _ = tcp.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = async {
        let mut buf = [0; 4096];
        while let Ok(len) = tcp.read(&mut buf).await {
            if len == 0 {
                break;
            }
            answer.extend_from_slice(&buf[..len]);
        }
    };
    let read_timeout = async {
        Timer::after(Duration::from_millis(1_500)).await;
    };
    read.or(read_timeout).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_serving(fleet: &ProcessFleet) {
    let answer = fleet
        .caller(0)
        .send(request("GET", "/calendar/7"), None)
        .await;
    assert_eq!(answer.expect("an answer").status, 200);
}

#[test]
fn malformed_and_oversized_requests_are_refused() {
    run_on(1, async |ex| {
        let fleet = start(ex, "bad_http").await;
        let addr = fleet.daemons[0].addresses.callers;
        let long = format!(
            "GET /calendar/7 HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
            "y".repeat(200_000)
        );
        let cases = [
            ("garbage", "\x00\x01\x02 not http at all\r\n\r\n".to_owned(), " 400 "),
            ("oversized head", long, " 431 "),
            (
                "two lengths",
                "POST /bookings/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabc".to_owned(),
                " 400 ",
            ),
            (
                "length and chunks",
                "POST /bookings/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /calendar/7 HTTP/1.1\r\n\r\n".to_owned(),
                " 4",
            ),
            (
                "negative length",
                "POST /bookings/1 HTTP/1.1\r\nhost: x\r\ncontent-length: -3\r\n\r\n".to_owned(),
                " 400 ",
            ),
            ("unknown path", "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), " 404 "),
            (
                "internal kind",
                "GET /internal/seals/7 HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
                " 404 ",
            ),
            (
                "unknown caller",
                "GET /calendar/7 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer nobody\r\n\r\n".to_owned(),
                " 401 ",
            ),
            (
                "caller without permission",
                "GET /calendar/7 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer clerks-example\r\n\r\n".to_owned(),
                " 403 ",
            ),
            (
                "malformed token",
                "POST /bookings/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nsorrelturn-token: zzz\r\n\r\n".to_owned(),
                " 422 ",
            ),
        ];
        for (case, bytes, expected_status) in cases {
            let answer = send_raw(addr, bytes.as_bytes()).await;
            let head = answer.lines().next().unwrap_or_default();
            assert!(head.contains(expected_status), "{case}: {answer:?}");
            assert!(!answer.contains(" 200 OK"), "{case}: {answer:?}");
        }
        assert_serving(&fleet).await;
    });
}

#[test]
fn internal_headers_from_a_caller_are_dropped() {
    run_on(1, async |ex| {
        let fleet = start(ex, "bad_headers").await;
        let mut req = request("GET", "/calendar/7");
        for name in [
            "sorrelturn-context",
            "sorrelturn-importance",
            "sorrelturn-request-id",
            "sorrelturn-parent",
        ] {
            req.headers_mut()
                .insert(name, "critical".parse().expect("a value"));
        }
        let answer = fleet.caller(1).send(req, None).await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_ne!(answer.header("sorrelturn-request-id"), Some("critical"));
    });
}

#[test]
fn slow_half_open_and_garbage_connections_leave_the_daemon_serving() {
    run_on(1, async |ex| {
        let fleet = start(ex, "bad_connections").await;
        let addresses = fleet.daemons[0].addresses;
        let mut open_connections = Vec::new();
        for _ in 0..50 {
            let mut slow = TcpStream::connect(addresses.callers).await.expect("open");
            let _ = slow.write_all(b"GET /calen").await;
            open_connections.push(slow);
            open_connections.push(TcpStream::connect(addresses.callers).await.expect("open"));
            open_connections.push(TcpStream::connect(addresses.peers).await.expect("open"));
            open_connections.push(TcpStream::connect(addresses.control).await.expect("open"));
        }
        let garbage: Vec<u8> = (0..100_000u32)
            .map(|index| (index.wrapping_mul(2_654_435_761) >> 13) as u8)
            .collect();
        for addr in [
            addresses.peers,
            addresses.control,
            addresses.admin,
            addresses.local,
        ] {
            send_raw(addr, &garbage).await;
            send_raw(addr, b"\xff\xff\xff\xff").await;
        }
        // A forged call on the peer port, without a request context.
        send_raw(
            addresses.peers,
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00garbage",
        )
        .await;
        assert_serving(&fleet).await;
        drop(open_connections);
    });
}
