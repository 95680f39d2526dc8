//! Guards against lost or reordered bytes when a server reads ahead, and against requests of clients that left.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use smol::{
    Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use sorrelturn_platform::{ReadySocket, hyper_server_io};
use std::{
    convert::Infallible,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// Far more than the read-ahead buffer.
const BODY_BYTES: usize = 500_000;
/// Delay before a body is read, so that some of it is read ahead.
const READ_DELAY: Duration = Duration::from_millis(100);

/// Long enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Echoes the body, which it reads after a delay.
async fn echo(req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    Timer::after(READ_DELAY).await;
    let body = req.into_body().collect().await.expect("a whole body");
    Ok(Response::new(Full::new(body.to_bytes())))
}

async fn serve(listener: TcpListener) {
    let (tcp, _) = listener.accept().await.expect("a client");
    let conn = http1::Builder::new().serve_connection(hyper_server_io(tcp), service_fn(echo));
    // Fails when the client closes the connection.
    let _ = conn.await;
}

#[test]
fn bodies_and_requests_that_lie_unread_for_a_while_arrive_unchanged() {
    let mut rng = fastrand::Rng::with_seed(1);
    let bodies: Vec<Vec<u8>> = [BODY_BYTES, 10, BODY_BYTES, 20_000]
        .into_iter()
        .map(|len| (0..len).map(|_| rng.u8(..)).collect())
        .collect();
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let client = async {
            let tcp = TcpStream::connect(addr).await.expect("it listens");
            let (mut reads, mut writes) = (tcp.clone(), tcp);
            let sends = async {
                for body in &bodies {
                    let head = format!(
                        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
                        body.len()
                    );
                    writes.write_all(head.as_bytes()).await.expect("sent");
                    writes.write_all(body).await.expect("sent");
                }
            };
            let receives = async {
                for body in &bodies {
                    let mut head = Vec::new();
                    while !head.ends_with(b"\r\n\r\n") {
                        let mut byte = [0];
                        reads.read_exact(&mut byte).await.expect("a head");
                        head.push(byte[0]);
                    }
                    let mut echoed = vec![0; body.len()];
                    reads.read_exact(&mut echoed).await.expect("a body");
                    assert!(echoed == *body, "the body was changed in transit");
                }
            };
            smol::future::zip(sends, receives).await;
        };
        let exchange = async {
            smol::future::zip(serve(listener), client).await;
        };
        let timeout = async {
            Timer::after(TEST_TIMEOUT).await;
            panic!("the exchange timed out")
        };
        exchange.or(timeout).await;
    });
}

/// After a freeze, requests of clients that have left lie in the kernel's buffer with the close behind them.
#[test]
fn a_request_whose_client_had_left_before_it_was_read_never_begins() {
    let get = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let chunked =
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nchunk\r\n0\r\n\r\n";
    let unfinished = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nten bytes.";
    for sent in [
        get.to_owned(),
        get.repeat(2),
        chunked.to_owned(),
        unfinished.to_owned(),
    ] {
        let started_count = AtomicUsize::new(0);
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let addr = listener.local_addr().expect("an address");
            let mut client = TcpStream::connect(addr).await.expect("it listens");
            let (tcp, _) = listener.accept().await.expect("a client");
            client.write_all(sent.as_bytes()).await.expect("sent");
            client.close().await.expect("closed");
            drop(client);
            let answer = service_fn(async |_: Request<Incoming>| {
                started_count.fetch_add(1, Ordering::Relaxed);
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
            });
            let stream = hyper_server_io(ReadySocket::for_server(tcp));
            // Fails because the client has left.
            let _ = http1::Builder::new().serve_connection(stream, answer).await;
        });
        assert_eq!(started_count.load(Ordering::Relaxed), 0, "{sent}");
    }
}
