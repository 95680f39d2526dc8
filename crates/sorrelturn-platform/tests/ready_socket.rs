//! Guards against lost bytes and missed ends of a `ReadySocket`: random write and read sizes with pauses
//! empty the socket at any point of the stream.

use smol::{
    Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use sorrelturn_platform::ReadySocket;
use std::{io::ErrorKind, time::Duration};

const STREAM_BYTES: usize = 300_000;
// Writes are both larger and smaller than reads.
const MAX_WRITE_BYTES: usize = 6_000;
const MAX_READ_BYTES: usize = 3_000;
const SEEDS: u64 = 8;
/// Writes per pause, on average. A pause lets the reader empty the socket.
const WRITES_PER_PAUSE: u32 = 4;
/// Long enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let client = TcpStream::connect(addr).await.expect("it listens");
    let (server, _) = listener.accept().await.expect("a client");
    (client, server)
}

async fn with_timeout<T>(f: impl Future<Output = T>) -> T {
    let timeout = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("the stream timed out")
    };
    f.or(timeout).await
}

#[test]
fn a_stream_arrives_unchanged_and_whole_whatever_the_sizes_of_its_pieces() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let sent: Vec<u8> = (0..STREAM_BYTES).map(|_| rng.u8(..)).collect();
        let mut reader_rng = rng.fork();
        smol::block_on(with_timeout(async {
            let (mut writes, reads) = connected().await;
            let sends = async {
                let mut rest = &sent[..];
                while !rest.is_empty() {
                    let (piece, left) =
                        rest.split_at(rng.usize(1..=MAX_WRITE_BYTES).min(rest.len()));
                    writes.write_all(piece).await.expect("sent");
                    rest = left;
                    if rng.u32(..WRITES_PER_PAUSE) == 0 {
                        Timer::after(Duration::from_millis(1)).await;
                    }
                }
                writes.close().await.expect("closed");
            };
            let receives = async {
                let mut reads = ReadySocket::new(reads);
                let mut got = Vec::new();
                let mut buf = [0; MAX_READ_BYTES];
                loop {
                    let max_len = reader_rng.usize(1..=buf.len());
                    let len = reads.read(&mut buf[..max_len]).await.expect("read");
                    if len == 0 {
                        return got;
                    }
                    got.extend_from_slice(&buf[..len]);
                }
            };
            let ((), got) = smol::future::zip(sends, receives).await;
            assert!(
                got == sent,
                "seed {seed}: {} bytes of {STREAM_BYTES}",
                got.len()
            );
        }));
    }
}

#[test]
fn the_end_is_seen_again_by_whoever_reads_again() {
    smol::block_on(with_timeout(async {
        let (mut writes, reads) = connected().await;
        writes.write_all(b"last").await.expect("sent");
        writes.close().await.expect("closed");
        let mut reads = ReadySocket::new(reads);
        let mut got = Vec::new();
        reads.read_to_end(&mut got).await.expect("read");
        assert_eq!(got, b"last");
        let mut buf = [0; 8];
        assert_eq!(reads.read(&mut buf).await.expect("read"), 0);
        assert_eq!(reads.read(&mut buf).await.expect("read"), 0);
    }));
}

#[test]
fn a_reset_of_a_drained_connection_is_an_error() {
    smol::block_on(with_timeout(async {
        let (mut writes, reads) = connected().await;
        writes.write_all(b"some").await.expect("sent");
        let mut reads = ReadySocket::new(reads);
        let mut buf = [0; 64];
        assert_eq!(reads.read(&mut buf).await.expect("read"), 4);
        // A close with unread bytes resets the connection.
        reads.write_all(b"never read").await.expect("sent");
        let mut unread = [0; 1];
        writes
            .peek(&mut unread)
            .await
            .expect("the bytes have arrived");
        drop(writes);
        let error = reads.read(&mut buf).await.expect_err("reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }));
}
