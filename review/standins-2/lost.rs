//! LOST: a daemon is told to stop while it starts, during an outage of the store.
mod kit;

use kit::*;
use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
};

/// `grace` of the small deployments, in seconds.
const GRACE: f64 = 6.0;
const LOSS_SLACK: f64 = 0.2;
/// The clients' time budget and the `timeout` of the route, in milliseconds.
const BUDGET_MS: u64 = 5_000;
/// How long the store is silent; the longest of the small sites is 8 s.
const OUTAGE: f64 = 4.5;
/// When the second SIGTERM comes, in seconds from the start of the process.
const STOP_AFTER_START: f64 = 0.3;

struct Sent {
    id: String,
    at: f64,
    ended_at: f64,
    outcome: String,
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = {
        let site = Site::new(&record);
        run(&site, &record)
    };
    let verdict = match code {
        0 => "the rule held",
        1 => "LOST is broken",
        _ => "the case couldn't run",
    };
    finish(&record, &folder, code, verdict);
}

fn run(site: &Site, record: &Record) -> i32 {
    let store = Store::start(&site.ip(1));
    store.put_manifest(
        r#"{"version":3,"routes":{"certify":{"host":"h.example","path_prefix":"/certify/","execution":"at-most-once","deadline_ms":5000,"target_ms":1500,"rank":0,"service":"b","attempts":2}},"services":{"a":{"probe_path":"/health","connections":634,"protocol":"h1","tls":false},"b":{"probe_path":"/health","connections":772,"protocol":"h1","tls":false}},"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}"#,
    );
    // One machine a zone: while the entry isn't ready, less than half of its zone's daemons are in, so clients stay.
    let entry = Arc::new(site.machine(2, "m-entry", "a", "z1", store.addr));
    let others = [
        site.machine(3, "m-b1", "b", "z2", store.addr),
        site.machine(4, "m-b2", "b", "z3", store.addr),
    ];
    // Every second request takes 3 s, the others 0.12 s; all within `timeout`.
    let work = |id: &str| {
        if u64::from_str_radix(id, 16).is_ok_and(|id| id % 2 == 0) {
            3_000
        } else {
            120
        }
    };
    let mut instances = vec![Instance::start(&entry, "i-a1", None, record, work)];
    instances.extend(others.iter().map(|machine| {
        Instance::start(machine, &format!("i-{}", machine.name), None, record, work)
    }));
    entry.start();
    others.iter().for_each(Machine::start);
    instances.iter().for_each(Instance::start_beats);
    let warm = wait_for(ms(15_000), || {
        status(&entry.request("POST", "/certify/w", "1", BUDGET_MS)) == "200"
    });
    if !warm || !wait_for(ms(5_000), || others.iter().all(Machine::is_ready)) {
        return 2;
    }
    thread::sleep(ms(3_000));
    record.say("the deployment serves");

    // Planned work: the entry's daemon is restarted, and told to stop once more.
    entry.signal(SIGTERM, "SIGTERM");
    let first_stop = record.now();
    if trouble() {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            record.sleep_until(first_stop + 2.0);
            store.set_silent(true);
            record.say("the store falls silent");
            record.sleep_until(first_stop + 2.0 + OUTAGE);
            store.set_silent(false);
            record.say("the store answers again");
        });
    }
    entry.wait_or_kill(ms((GRACE * 1_000.0) as u64));
    thread::sleep(ms(200));
    entry.start();
    let started = record.now();

    // Clients on the entry's machine: ten requests a second, each on a connection of its own.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = {
        let (entry, record, sent) = (Arc::clone(&entry), record.clone(), Arc::clone(&sent));
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut number = 0x1000_u64;
            while record.now() < started + STOP_AFTER_START + GRACE {
                number += 1;
                let (id, entry, record, sent) = (
                    format!("{number:x}"),
                    Arc::clone(&entry),
                    record.clone(),
                    Arc::clone(&sent),
                );
                attempts.push(thread::spawn(move || {
                    let at = record.now();
                    record.add(format!("client sends {id}"));
                    let answer = entry.request("POST", &format!("/certify/{id}"), &id, BUDGET_MS);
                    let (ended_at, outcome) = (record.now(), status(&answer));
                    record.add(format!("client: {id} ends with {outcome}"));
                    sent.lock().unwrap().push(Sent {
                        id,
                        at,
                        ended_at,
                        outcome,
                    });
                }));
                thread::sleep(ms(100));
            }
            attempts
                .into_iter()
                .for_each(|attempt| attempt.join().unwrap());
        })
    };
    record.sleep_until(started + STOP_AFTER_START);
    entry.signal(SIGTERM, "SIGTERM");
    let stopped = record.now();
    record.say(format!(
        "SIGTERM came {:.3} s after the start of the process; ready then: {}",
        stopped - started,
        entry.is_ready()
    ));
    entry.wait_or_kill(ms(((GRACE - (record.now() - stopped)) * 1_000.0) as u64));
    clients.join().unwrap();

    // The rule: a whole request was read and passed on to an instance, or was sent longer than `loss_slack` ago, and the
    // connection closed without a complete answer. Excused: requests sent up to 3 s after SIGTERM that were at work in the
    // last sixth of `grace`, and those at their time budget or timeout.
    let runs: HashMap<String, f64> = instances
        .iter()
        .flat_map(|instance| {
            instance
                .runs
                .lock()
                .unwrap()
                .iter()
                .map(|run| (run.id.clone(), run.at))
                .collect::<Vec<_>>()
        })
        .collect();
    let mut lost = 0;
    let mut excused = 0;
    for sent in sent.lock().unwrap().iter() {
        let Some(ran_at) = runs.get(&sent.id) else {
            continue;
        };
        let closed = sent.outcome == "connection closed without an answer";
        if !closed || sent.ended_at - sent.at >= BUDGET_MS as f64 / 1_000.0 - LOSS_SLACK {
            continue;
        }
        if sent.at <= stopped + 3.0 && sent.ended_at >= stopped + GRACE * 5.0 / 6.0 {
            excused += 1;
            continue;
        }
        lost += 1;
        record.say(format!(
            "lost: {} was sent {:.2} s after SIGTERM, began to run {:.2} s after it, and its connection closed without an answer {:.2} s after it",
            sent.id, sent.at - stopped, ran_at - stopped, sent.ended_at - stopped
        ));
    }
    let total = sent.lock().unwrap().len();
    record.say(format!(
        "{total} requests, {} of them run, {lost} lost, {excused} excused",
        runs.len()
    ));
    i32::from(lost > 0)
}
