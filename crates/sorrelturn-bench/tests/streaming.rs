//! Large answers pass with bounded memory, and a slow reader holds nobody else up.

mod common;

use common::{bundle, folder};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use sorrelturn_bench::{FleetPlan, ProcessFleet, memory, run_on};
use std::{net::SocketAddr, time::Duration};

const PACK_BYTES: usize = 200_000_000;
/// What a daemon may hold more while a pack passes through it.
const BOUND_BYTES: u64 = 40_000_000;

async fn ask(addr: SocketAddr) -> TcpStream {
    let mut tcp = TcpStream::connect(addr).await.expect("the port is open");
    let req = format!("GET /audio/7?bytes={PACK_BYTES} HTTP/1.1\r\nhost: x\r\n\r\n");
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
        // The one thread of the fake backend server makes six packs one after another.
        pack.deadline_ms = 120_000;
        let plan = FleetPlan::new(deployment, &[("audio", 1), ("archive", 1)], &["a"], &[]);
        let fleet = ProcessFleet::start(ex, plan, &folder("streaming")).await;
        let entry = fleet.daemons[1].addresses.callers;
        let before: Vec<u64> = fleet
            .daemons
            .iter()
            .map(|d| memory(d.process.pid()))
            .collect();
        // More slow readers than the backend server has slots: each reads the head and stops.
        let mut slow = Vec::new();
        for _ in 0..5 {
            let mut tcp = ask(entry).await;
            let mut head = [0; 64];
            tcp.read_exact(&mut head).await.expect("a head");
            slow.push(tcp);
        }
        Timer::after(Duration::from_millis(300)).await;
        let mut tcp = ask(entry).await;
        let mut buf = vec![0; 1 << 20];
        let (mut received, mut most) = (0, vec![0; 2]);
        while received < PACK_BYTES {
            let len = tcp.read(&mut buf).await.expect("the pack goes on");
            assert_ne!(len, 0, "cut after {received} bytes");
            received += len;
            for (at, daemon) in fleet.daemons.iter().enumerate() {
                most[at] = memory(daemon.process.pid()).max(most[at]);
            }
        }
        for (before, most) in before.iter().zip(&most) {
            assert!(most - before < BOUND_BYTES, "{before} grew to {most}");
        }
        println!(
            "daemons grew by {:?} bytes",
            most.iter()
                .zip(&before)
                .map(|(m, b)| m - b)
                .collect::<Vec<_>>()
        );
    });
}
