//! Daemons forward large answers with bounded memory, and slow readers do not block other requests.

mod common;

use common::{bundle, folder};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use sorrelturn_bench::{FleetPlan, ProcessFleet, memory, run_on};
use std::{net::SocketAddr, time::Duration};

const ANSWER_BYTES: usize = 200_000_000;
/// The maximum memory growth of a daemon while it forwards the answers.
const MAX_MEMORY_GROWTH_BYTES: u64 = 40_000_000;

async fn request_large_answer(addr: SocketAddr) -> TcpStream {
    let mut tcp = TcpStream::connect(addr).await.expect("the port is open");
    let req = format!("GET /audio/7?bytes={ANSWER_BYTES} HTTP/1.1\r\nhost: x\r\n\r\n");
    tcp.write_all(req.as_bytes()).await.expect("sent");
    tcp
}

#[test]
fn a_pack_of_200_mb_passes_whole_with_bounded_memory_past_slow_readers() {
    run_on(2, async |ex| {
        let mut deployment = bundle("protokols-riga.jsonc");
        let audio = deployment
            .services
            .get_mut("audio")
            .expect("the example has it");
        audio.slots = 2;
        let pack = audio
            .kinds
            .get_mut("audio-pack")
            .expect("the example has it");
        pack.calls.clear();
        pack.attempts = 1;
        // The fake backend server has one thread, so it produces the six answers in turn.
        pack.deadline_ms = 120_000;
        let plan = FleetPlan::new(deployment, &[("audio", 1), ("archive", 1)], &["a"], &[]);
        let fleet = ProcessFleet::start(ex, plan, &folder("streaming")).await;
        let entry = fleet.daemons[1].addresses.callers;
        let before: Vec<u64> = fleet
            .daemons
            .iter()
            .map(|d| memory(d.process.pid()))
            .collect();
        // More slow readers than the backend server has slots. Each reads the first bytes and stops.
        let mut slow_readers = Vec::new();
        for _ in 0..5 {
            let mut tcp = request_large_answer(entry).await;
            let mut head = [0; 64];
            tcp.read_exact(&mut head).await.expect("a head");
            slow_readers.push(tcp);
        }
        Timer::after(Duration::from_millis(300)).await;
        let mut tcp = request_large_answer(entry).await;
        let mut buf = vec![0; 1 << 20];
        let (mut received, mut peak) = (0, vec![0; 2]);
        while received < ANSWER_BYTES {
            let len = tcp.read(&mut buf).await.expect("the answer continues");
            assert_ne!(len, 0, "truncated after {received} bytes");
            received += len;
            for (index, daemon) in fleet.daemons.iter().enumerate() {
                peak[index] = memory(daemon.process.pid()).max(peak[index]);
            }
        }
        for (before, peak) in before.iter().zip(&peak) {
            assert!(
                peak - before < MAX_MEMORY_GROWTH_BYTES,
                "{before} grew to {peak}"
            );
        }
        println!(
            "daemons grew by {:?} bytes",
            peak.iter()
                .zip(&before)
                .map(|(p, b)| p - b)
                .collect::<Vec<_>>()
        );
    });
}
