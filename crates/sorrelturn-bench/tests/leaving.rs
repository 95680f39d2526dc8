//! Leaving instances receive no new requests, and planned stops interrupt no request in progress.

mod common;

use bytes::Bytes;
use common::{chain, folder, request};
use hyper::Request;
use smol::{
    Executor, Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use sorrelturn_bench::{Fault, FleetPlan, Plan, ProcessFleet, plan_for, run_on};
use sorrelturn_platform::{VmEntry, VmState, http::exchange};
use sorrelturn_protocol::MemberState;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

async fn start(ex: Arc<Executor<'static>>, test: &str) -> ProcessFleet {
    let mut plan = FleetPlan::new(chain(2, 6), &[("s1", 3), ("s0", 3)], &["a", "b"], &[]);
    plan.work_ms.insert("k1".to_owned(), 30.0);
    ProcessFleet::start(ex, plan, &folder(test)).await
}

/// Sends requests to each entry until `stop` is set; each task returns its successes and failures.
fn spawn_load(
    fleet: &ProcessFleet,
    entries: &[usize],
    stop: &Arc<AtomicBool>,
) -> Vec<smol::Task<(u64, Vec<String>)>> {
    entries
        .iter()
        .map(|entry| {
            let (caller, stop) = (fleet.caller(*entry), Arc::clone(stop));
            fleet.ex.spawn(async move {
                let (mut good, mut failed) = (0, Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    match caller.send(request("GET", "/k0/7"), None).await {
                        Ok(answer) if answer.status == 200 => good += 1,
                        Ok(answer) => failed.push(format!("{answer:?}")),
                        Err(error) => failed.push(error.to_string()),
                    }
                }
                (good, failed)
            })
        })
        .collect()
}

#[test]
fn a_rolling_stop_of_a_service_under_load_cuts_no_request_off() {
    run_on(2, async |ex| {
        let mut fleet = start(ex, "rolling_stop").await;
        let stop = Arc::new(AtomicBool::new(false));
        // Callers use the daemons of s0; the daemons of s1 are restarted one after another.
        let tasks = spawn_load(&fleet, &[3, 4, 5, 3, 4, 5], &stop);
        for index in 0..3 {
            fleet.daemons[index].process.signal("TERM");
            let status = fleet.daemons[index].process.wait_for_exit().await;
            assert_eq!(
                status.code(),
                Some(0),
                "instance {index} interrupted requests"
            );
            fleet.daemons[index] = fleet.start_daemon(index).await;
            fleet.wait_for_all_members().await;
        }
        stop.store(true, Ordering::Relaxed);
        let mut good = 0;
        for task in tasks {
            let (good_of_task, failed) = task.await;
            good += good_of_task;
            assert!(failed.is_empty(), "{failed:?}");
        }
        assert!(good > 50, "{good}");
    });
}

#[test]
fn a_planned_stop_of_the_entry_lets_a_slow_reader_finish() {
    const BYTES: usize = 30_000_000;
    run_on(2, async |ex| {
        let mut fleet = start(ex, "slow_reader").await;
        let mut tcp = TcpStream::connect(fleet.daemons[3].addresses.callers)
            .await
            .expect("the port is open");
        let req = format!("GET /k0/7?bytes={BYTES} HTTP/1.1\r\nhost: x\r\n\r\n");
        tcp.write_all(req.as_bytes()).await.expect("sent");
        let mut buf = vec![0; 1 << 20];
        tcp.read_exact(&mut buf[..1000])
            .await
            .expect("the answer begins");
        fleet.daemons[3].process.signal("TERM");
        // Longer than the daemon takes to exit if it does not wait for this reader.
        Timer::after(Duration::from_secs(2)).await;
        let mut received = 1000;
        while received < BYTES {
            let len = tcp.read(&mut buf).await.expect("the answer continues");
            assert_ne!(len, 0, "truncated after {received} bytes");
            received += len;
        }
        drop(tcp);
        let status = fleet.daemons[3].process.wait_for_exit().await;
        assert_eq!(status.code(), Some(0));
    });
}

#[derive(Clone, Copy, Debug)]
enum Signal {
    Operator,
    Backend,
    VmList,
    Term,
}

#[test]
fn each_of_the_four_signals_ends_new_work_within_seconds() {
    for signal in [
        Signal::Operator,
        Signal::Backend,
        Signal::VmList,
        Signal::Term,
    ] {
        run_on(2, async |ex| {
            let mut fleet = start(ex, &format!("leaving_{signal:?}")).await;
            let stop = Arc::new(AtomicBool::new(false));
            let tasks = spawn_load(&fleet, &[3, 4, 5], &stop);
            Timer::after(Duration::from_millis(200)).await;
            begin_leaving(&fleet, signal).await;
            // The fleet should react within a few seconds; the time limit allows for a busy machine.
            let final_count = wait_until_idle(&fleet).await;
            Timer::after(Duration::from_millis(500)).await;
            assert_eq!(executions(&fleet, 0).await, final_count, "{signal:?}");
            stop.store(true, Ordering::Relaxed);
            for task in tasks {
                let (good, failed) = task.await;
                assert!(good > 0 && failed.is_empty(), "{signal:?}: {failed:?}");
            }
            if matches!(signal, Signal::Term) {
                assert!(fleet.daemons[0].process.wait_for_exit().await.success());
            }
        });
    }
}

async fn begin_leaving(fleet: &ProcessFleet, signal: Signal) {
    let leaver = &fleet.daemons[0];
    match signal {
        Signal::Operator => {
            let req = Request::post("/drain")
                .body(Bytes::new())
                .expect("a request");
            let drained = exchange(leaver.addresses.admin, req, Duration::from_secs(20));
            assert!(drained.await.is_ok_and(|res| res.status().is_success()));
        }
        Signal::Backend => {
            let mut plan: Plan = plan_for(&fleet.plan.indexed_bundle(), "s1", &fleet.plan.work_ms);
            plan.local = Some(leaver.addresses.local);
            plan.fault = Fault::Drains;
            leaver.set_plan(&plan).await;
        }
        Signal::VmList => {
            let vms: Vec<VmEntry> = fleet
                .plan
                .instances
                .iter()
                .enumerate()
                .map(|(index, instance)| VmEntry {
                    instance: instance.instance.clone(),
                    state: if index == 0 {
                        VmState::Leaving
                    } else {
                        VmState::Live
                    },
                })
                .collect();
            fleet.set_vms(&vms).await;
        }
        Signal::Term => leaver.process.signal("TERM"),
    }
}

/// Waits until the leaving instance's backend server receives no new requests, and returns its
/// number of executions.
async fn wait_until_idle(fleet: &ProcessFleet) -> u64 {
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut last = executions(fleet, 0).await;
    loop {
        Timer::after(Duration::from_millis(700)).await;
        let now = executions(fleet, 0).await;
        if now == last {
            return now;
        }
        assert!(Instant::now() < deadline, "new requests still arrive");
        last = now;
    }
}

async fn executions(fleet: &ProcessFleet, index: usize) -> u64 {
    let req = Request::get("/fake/counts")
        .body(Bytes::new())
        .expect("a request");
    let addr = fleet.daemons[index].backend_addr;
    let res = exchange(addr, req, Duration::from_secs(20))
        .await
        .expect("the fake backend server answers");
    let counts: [u64; 2] = serde_json::from_slice(res.body()).expect("counts");
    counts[0]
}

#[test]
fn a_wrong_list_of_vms_doesnt_empty_a_service() {
    run_on(2, async |ex| {
        let fleet = start(ex, "wrong_list").await;
        let all_leaving: Vec<VmEntry> = fleet
            .plan
            .instances
            .iter()
            .map(|instance| VmEntry {
                instance: instance.instance.clone(),
                state: VmState::Leaving,
            })
            .collect();
        for list in [all_leaving, Vec::new()] {
            fleet.set_vms(&list).await;
            let answered = AtomicU64::new(0);
            let deadline = Instant::now() + Duration::from_secs(5);
            while Instant::now() < deadline {
                let answer = fleet.caller(3).send(request("GET", "/k0/7"), None).await;
                assert_eq!(answer.expect("an answer").status, 200);
                answered.fetch_add(1, Ordering::Relaxed);
            }
            assert!(answered.load(Ordering::Relaxed) > 0);
            for daemon in &fleet.daemons {
                let status = daemon.status().await.expect("the daemon answers");
                assert_eq!(status.record.state, MemberState::Live);
            }
        }
    });
}
