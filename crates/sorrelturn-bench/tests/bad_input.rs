//! Bad input gets a clear refusal and the daemon stays up.

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

/// Sends raw bytes and returns what comes back until the connection is closed or it is quiet.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
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
    let quiet = async {
        Timer::after(Duration::from_millis(1_500)).await;
    };
    read.or(quiet).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn still_serves(fleet: &ProcessFleet) {
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
                "caller without the right",
                "GET /calendar/7 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer clerks-example\r\n\r\n".to_owned(),
                " 403 ",
            ),
            (
                "malformed token",
                "POST /bookings/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nsorrelturn-token: zzz\r\n\r\n".to_owned(),
                " 422 ",
            ),
        ];
        for (what, bytes, wanted) in cases {
            let answer = raw(addr, bytes.as_bytes()).await;
            let head = answer.lines().next().unwrap_or_default();
            assert!(head.contains(wanted), "{what}: {answer:?}");
            assert!(!answer.contains(" 200 OK"), "{what}: {answer:?}");
        }
        still_serves(&fleet).await;
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
        let mut held = Vec::new();
        for _ in 0..50 {
            let mut slow = TcpStream::connect(addresses.callers).await.expect("open");
            let _ = slow.write_all(b"GET /calen").await;
            held.push(slow);
            held.push(TcpStream::connect(addresses.callers).await.expect("open"));
            held.push(TcpStream::connect(addresses.peers).await.expect("open"));
            held.push(TcpStream::connect(addresses.control).await.expect("open"));
        }
        let garbage: Vec<u8> = (0..100_000u32)
            .map(|at| (at.wrapping_mul(2_654_435_761) >> 13) as u8)
            .collect();
        for addr in [
            addresses.peers,
            addresses.control,
            addresses.admin,
            addresses.local,
        ] {
            raw(addr, &garbage).await;
            raw(addr, b"\xff\xff\xff\xff").await;
        }
        // A forged call on the peer port without a context gets nothing.
        raw(
            addresses.peers,
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00garbage",
        )
        .await;
        still_serves(&fleet).await;
        drop(held);
    });
}
