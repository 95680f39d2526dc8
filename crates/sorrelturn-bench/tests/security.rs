//! With fleet keys, strangers receive no data from the peer and control ports, and keys can be
//! rotated without downtime.

mod common;

use bytes::Bytes;
use common::{chain, folder, request};
use hyper::Request;
use smol::{
    Executor,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use sorrelturn_bench::{FleetPlan, ProcessFleet, binary, run_on};
use sorrelturn_daemon::{FleetKeySettings, fleet_client_stream};
use sorrelturn_platform::http::exchange;
use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
    sync::Arc,
    time::Duration,
};

fn make_keys(folder: &Path) {
    let output = Command::new(binary("sorrelctl"))
        .args(["key", "fleet", "--folder"])
        .arg(folder)
        .output()
        .expect("sorrelctl runs");
    assert!(output.status.success(), "{output:?}");
}

fn settings(folder: &Path) -> FleetKeySettings {
    FleetKeySettings {
        authorities: folder.join("authority.pem"),
        certificate: folder.join("daemon.pem"),
        key: folder.join("daemon.key"),
    }
}

async fn start(ex: Arc<Executor<'static>>, keys: &Path, test: &str) -> ProcessFleet {
    let mut plan = FleetPlan::new(chain(2, 6), &[("s0", 1), ("s1", 2)], &["a"], &[]);
    plan.fleet_keys = Some(settings(keys));
    ProcessFleet::start(ex, plan, &folder(test)).await
}

fn create_keys(test: &str, name: &str) -> PathBuf {
    let folder = folder(test).join(name);
    let _ = fs::remove_dir_all(&folder);
    make_keys(&folder);
    folder
}

async fn assert_serving(fleet: &ProcessFleet) {
    for _ in 0..10 {
        let answer = fleet.caller(0).send(request("GET", "/k0/7"), None).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

#[test]
fn a_stranger_gets_nothing_and_the_fleet_works() {
    run_on(1, async |ex| {
        let keys = create_keys("security", "keys");
        let foreign = create_keys("security", "foreign");
        let fleet = start(ex, &keys, "security").await;
        assert_serving(&fleet).await;
        for addr in [
            fleet.daemons[1].addresses.peers,
            fleet.daemons[1].addresses.control,
        ] {
            // Without TLS.
            let mut tcp = TcpStream::connect(addr).await.expect("the port is open");
            let _ = tcp.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").await;
            let mut answer = Vec::new();
            let _ = tcp.read_to_end(&mut answer).await;
            // At most a TLS alert, which has seven bytes.
            assert!(answer.len() <= 7, "{answer:?}");
            // With another fleet's keys: either the handshake or the first read fails.
            let tcp = TcpStream::connect(addr).await.expect("the port is open");
            if let Ok(mut stream) = fleet_client_stream(&settings(&foreign), tcp).await {
                let _ = stream.write_all(b"hello").await;
                let mut buf = [0; 1];
                assert!(!matches!(stream.read(&mut buf).await, Ok(1..)));
            }
        }
        assert_serving(&fleet).await;
    });
}

#[test]
fn keys_are_rotated_without_a_stop() {
    run_on(1, async |ex| {
        let keys = create_keys("rotation", "keys");
        let next = create_keys("rotation", "next");
        let fleet = start(ex, &keys, "rotation").await;
        assert_serving(&fleet).await;
        let read =
            |folder: &Path, name: &str| fs::read_to_string(folder.join(name)).expect("a key");
        let (old, new) = (read(&keys, "authority.pem"), read(&next, "authority.pem"));
        // Trust both authorities, then use the new certificate and key, then remove the old authority.
        let steps = [
            vec![("authority.pem", format!("{old}{new}"))],
            vec![
                ("daemon.pem", read(&next, "daemon.pem")),
                ("daemon.key", read(&next, "daemon.key")),
            ],
            vec![("authority.pem", new)],
        ];
        for files in steps {
            for (name, text) in files {
                fs::write(keys.join(name), text).expect("written");
            }
            for daemon in &fleet.daemons {
                let req = Request::post("/keys/reload")
                    .body(Bytes::new())
                    .expect("a request");
                let res = exchange(daemon.addresses.admin, req, Duration::from_secs(20)).await;
                assert!(res.is_ok_and(|res| res.status().is_success()));
                assert_serving(&fleet).await;
            }
        }
        // Mismatched keys are rejected, and the current ones stay in use.
        fs::write(keys.join("daemon.pem"), old).expect("written");
        let req = Request::post("/keys/reload")
            .body(Bytes::new())
            .expect("a request");
        let res = exchange(
            fleet.daemons[0].addresses.admin,
            req,
            Duration::from_secs(20),
        )
        .await;
        assert_eq!(res.expect("an answer").status(), 409);
        assert_serving(&fleet).await;
    });
}
