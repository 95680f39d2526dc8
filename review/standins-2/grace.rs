//! LOST: a deployment whose `grace` is 10 s; a daemon that is told to stop ends its requests as if it were 6 s.
mod kit;

use kit::*;
use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
};

/// `grace` of protokols-riga-large and protokols-riga-fleet, in seconds.
const GRACE: f64 = 10.0;
/// The clients' time budget, in milliseconds: the longest one on the sheets.
const BUDGET_MS: u64 = 10_000;
/// The `timeout` of the route, in milliseconds.
const TIMEOUT_MS: u64 = 6_000;
/// How long every second request takes, in milliseconds; the others take 210 ms.
const LONG_MS: u64 = 5_700;
/// Clients go on sending until readiness has been missed twice, in seconds from SIGTERM.
const CLIENTS_STAY: f64 = 2.0;

struct Sent {
    id: String,
    at: f64,
    ended_at: f64,
    outcome: String,
    signature: bool,
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
    store.put_manifest(&format!(
        r#"{{"version":3,"routes":{{"certify":{{"host":"h.example","path_prefix":"/certify/","execution":"at-most-once","deadline_ms":{TIMEOUT_MS},"target_ms":5000,"rank":0,"service":"b","attempts":2}}}},"services":{{"a":{{"probe_path":"/health","connections":630,"protocol":"h1","tls":false}},"b":{{"probe_path":"/health","connections":630,"protocol":"h1","tls":false}}}},"limits":{{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}}}"#
    ));
    let entry = Arc::new(site.machine(2, "m-entry", "a", "z1", store.addr));
    let others = [
        site.machine(3, "m-a2", "a", "z1", store.addr),
        site.machine(4, "m-a3", "a", "z1", store.addr),
        site.machine(5, "m-b1", "b", "z2", store.addr),
        site.machine(6, "m-b2", "b", "z3", store.addr),
    ];
    let work = |id: &str| match u64::from_str_radix(id, 16) {
        Ok(id) if id % 2 == 0 => LONG_MS,
        _ => 210,
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
    // Longer than `contact_timeout`, 4 s.
    thread::sleep(ms(5_000));
    record.say("the deployment serves");

    // Clients on the entry's machine: twenty requests a second, each on a connection of its own.
    let stop_at = record.now() + 2.0;
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = {
        let (entry, record, sent) = (Arc::clone(&entry), record.clone(), Arc::clone(&sent));
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut number = 0x1000_u64;
            while record.now() < stop_at + CLIENTS_STAY {
                number += 1;
                let (id, entry) = (format!("{number:x}"), Arc::clone(&entry));
                let (record, sent) = (record.clone(), Arc::clone(&sent));
                attempts.push(thread::spawn(move || {
                    let at = record.now();
                    record.add(format!("client sends {id}"));
                    let answer = entry.request("POST", &format!("/certify/{id}"), &id, BUDGET_MS);
                    let (ended_at, outcome) = (record.now(), status(&answer));
                    let signature = answer.as_ref().is_ok_and(|answer| {
                        let name = "x-sorrelturn-response-signature";
                        answer.headers.contains_key(name)
                    });
                    record.add(format!("client: {id} ends with {outcome}"));
                    sent.lock().unwrap().push(Sent {
                        id,
                        at,
                        ended_at,
                        outcome,
                        signature,
                    });
                }));
                thread::sleep(ms(50));
            }
            attempts
                .into_iter()
                .for_each(|attempt| attempt.join().unwrap());
        })
    };
    record.sleep_until(stop_at);
    let stopped = record.now();
    if trouble() {
        // Planned work, and nothing else: one daemon is told to stop.
        entry.signal(SIGTERM, "SIGTERM");
        entry.wait_or_kill(ms((GRACE * 1_000.0) as u64));
        let ended = record.now() - stopped;
        record.say(format!(
            "the daemon ended {ended:.2} s after SIGTERM; `grace` is {GRACE} s"
        ));
    }
    clients.join().unwrap();

    // The rule: a whole request was read and passed on to an instance, and the connection closed without a complete answer,
    // or the daemon broke the request off while its instance was at work and sent an answer of its own. Excused: requests at
    // their time budget or the route's timeout, those that the instance broke off, and those sent up to 3 s after SIGTERM
    // that were still at work in the last sixth of `grace`.
    let runs: HashMap<String, (f64, &'static str)> = instances
        .iter()
        .flat_map(|instance| {
            let runs = instance.runs.lock().unwrap();
            runs.iter()
                .map(|run| (run.id.clone(), (run.at, run.ended)))
                .collect::<Vec<_>>()
        })
        .collect();
    let (mut lost, mut excused, mut answered) = (0, 0, 0);
    for sent in sent.lock().unwrap().iter() {
        let Some((ran_at, run_ended)) = runs.get(&sent.id) else {
            continue;
        };
        if sent.signature {
            answered += 1;
            continue;
        }
        let at_timeout = sent.ended_at - sent.at >= TIMEOUT_MS as f64 / 1_000.0 - 0.2;
        let in_last_sixth =
            sent.at <= stopped + 3.0 && sent.ended_at >= stopped + GRACE * 5.0 / 6.0;
        if at_timeout || in_last_sixth {
            excused += 1;
            continue;
        }
        lost += 1;
        record.say(format!(
            "lost: {} was sent {:.2} s before SIGTERM, began to run {:.2} s before it, and ended for the client with {} at {:.2} s after it ({:.2} s after it was sent; its timeout is 6 s); at the instance: {run_ended}",
            sent.id,
            stopped - sent.at,
            stopped - ran_at,
            sent.outcome,
            sent.ended_at - stopped,
            sent.ended_at - sent.at
        ));
    }
    let total = sent.lock().unwrap().len();
    record.say(format!(
        "{total} requests, {} run, {answered} answered, {lost} lost, {excused} excused",
        runs.len()
    ));
    i32::from(lost > 0)
}
