//! A daemon opens no more connections to its backend server than the bundle allows.

mod common;

use common::{chain, request};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use sorrelturn_bench::{Client, FleetPlan, LocalFleet, run_on};
use std::time::Duration;

/// More than sockets and daemons buffer of an answer that is not read.
const ANSWER_BYTES: usize = 50_000_000;

/// Requests a large answer, reads its first bytes, and stops reading.
async fn start_slow_reader(fleet: &LocalFleet) -> TcpStream {
    let addr = fleet.daemons[0].addresses.callers;
    let mut tcp = TcpStream::connect(addr).await.expect("the port is open");
    let req = format!("GET /k0/7?bytes={ANSWER_BYTES} HTTP/1.1\r\nhost: x\r\n\r\n");
    tcp.write_all(req.as_bytes()).await.expect("sent");
    let mut head = [0; 64];
    tcp.read_exact(&mut head).await.expect("a head");
    tcp
}

async fn status_and_verdict(caller: &Client) -> (u16, String) {
    let answer = caller.send(request("GET", "/k0/7"), None).await;
    let answer = answer.expect("an answer");
    (answer.status, answer.verdict().to_owned())
}

#[test]
fn when_large_answers_hold_all_connections_a_request_is_refused_as_not_run_until_one_is_free() {
    run_on(2, async |ex| {
        let mut deployment = chain(1, 3);
        let service = deployment.services.get_mut("s0").expect("the chain has it");
        service.slots = 2;
        service.connections = 2;
        let plan = FleetPlan::new(deployment, &[("s0", 1)], &["a"], &[]);
        let fleet = LocalFleet::start(ex, plan).await;
        let caller = fleet.caller(0);
        assert_eq!(status_and_verdict(&caller).await, (200, "ran".to_owned()));
        let first = start_slow_reader(&fleet).await;
        let _second = start_slow_reader(&fleet).await;
        let before = fleet.backends[0].executions();
        assert_eq!(
            status_and_verdict(&caller).await,
            (503, "not-run".to_owned())
        );
        assert_eq!(fleet.backends[0].executions(), before);
        drop(first);
        for _ in 0..500 {
            if status_and_verdict(&caller).await.0 == 200 {
                return;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        panic!("the connection of the closed reader was not released");
    });
}
