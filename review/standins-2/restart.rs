//! DRAIN: a daemon is restarted, and a liveness report from before a leave arrives after it.
mod kit;

use kit::*;
use std::{path::PathBuf, sync::Arc, thread};

/// `drain` of the small deployments, in seconds.
const DRAIN: f64 = 2.0;
const BUDGET_MS: u64 = 5_000;
/// How long the leaving instance keeps serving after the confirmation; the pages say `drain` and a little more, sometimes
/// many seconds.
const SERVES_ON: f64 = 7.0;
/// `contact_timeout`: the daemon was restarted, so requests count from this time after its start on.
const CONTACT: f64 = 3.0;
/// `grace`, in milliseconds.
const GRACE_MS: u64 = 6_000;
/// How long the last liveness report of the leaving instance is under way, in seconds.
const LATE: f64 = 2.0;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = {
        let site = Site::new(&record);
        run(&site, &record)
    };
    let verdict = match code {
        0 => "the rule held",
        1 => "DRAIN is broken",
        _ => "the case couldn't run",
    };
    finish(&record, &folder, code, verdict);
}

fn run(site: &Site, record: &Record) -> i32 {
    let store = Store::start(&site.ip(1));
    store.put_manifest(
        r#"{"version":3,"routes":{"book":{"host":"h.example","path_prefix":"/book/","execution":"at-most-once","deadline_ms":5000,"target_ms":1500,"rank":0,"service":"b","attempts":2}},"services":{"a":{"probe_path":"/health","connections":634,"protocol":"h1","tls":false},"b":{"probe_path":"/health","connections":220,"protocol":"h1","tls":false}},"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}"#,
    );
    let entry = Arc::new(site.machine(2, "m-entry", "a", "z1", store.addr));
    let owner = site.machine(3, "m-b1", "b", "z2", store.addr);
    let work = |_: &str| 300;
    let at_entry = Instance::start(&entry, "i-a1", Some(unix_ms()), record, work);
    entry.start();
    owner.start();
    at_entry.start_beats();
    thread::sleep(ms(500));

    let instance = Instance::start(&owner, "i-b1", Some(unix_ms()), record, work);
    instance.start_beats();
    if !wait_for(ms(15_000), || {
        status(&entry.request("POST", "/book/w", "1", BUDGET_MS)) == "200"
    }) {
        return 2;
    }
    thread::sleep(ms(4_000));
    record.say("the deployment serves");

    // Planned work: the daemon beside the instance is restarted.
    instance.stop_beats();
    owner.signal(SIGTERM, "SIGTERM");
    if owner.wait_or_kill(ms(GRACE_MS)) {
        return 2;
    }
    thread::sleep(ms(200));
    owner.start();
    let started = record.now();

    let clients = {
        let (entry, record) = (Arc::clone(&entry), record.clone());
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut number = 0x1000_u64;
            while record.now() < started + 0.9 + SERVES_ON + 1.0 {
                number += 1;
                let (id, entry, record) =
                    (format!("{number:x}"), Arc::clone(&entry), record.clone());
                attempts.push(thread::spawn(move || {
                    record.add(format!("client sends {id}"));
                    let outcome =
                        status(&entry.request("POST", &format!("/book/{id}"), &id, BUDGET_MS));
                    record.add(format!("client: {id} ends with {outcome}"));
                }));
                thread::sleep(ms(100));
            }
            attempts
                .into_iter()
                .for_each(|attempt| attempt.join().unwrap());
        })
    };
    // The instance reports that it is ready, and deregisters on another connection half a second later.
    record.sleep_until(started + 0.4);
    let last_report = instance.next_beat();
    record.say("the instance sends a report that it is ready");
    let late = {
        let (instance, record) = (instance.clone(), record.clone());
        thread::spawn(move || {
            if trouble() {
                thread::sleep(ms((LATE * 1_000.0) as u64));
            }
            let answer = instance.send_beat(&last_report);
            record.say(format!(
                "the report that the instance is ready arrives: {answer}"
            ));
        })
    };
    record.sleep_until(started + 0.9);
    let answer = instance.deregister_without_body();
    let acknowledged = record.now();
    record.say(format!("the instance deregisters: {answer}"));
    if answer != "200" {
        // Without a confirmation nothing was promised.
        return 2;
    }
    record.sleep_until(acknowledged + SERVES_ON);
    instance.end();
    record.say("the instance ends");
    late.join().unwrap();
    clients.join().unwrap();

    let runs = instance.runs.lock().unwrap();
    let counted_from = (acknowledged + DRAIN).max(started + CONTACT);
    let after: Vec<_> = runs.iter().filter(|run| run.at > counted_from).collect();
    let cut = after.iter().filter(|run| run.ended != "answered").count();
    if let (Some(first), Some(last)) = (after.first(), after.last()) {
        record.say(format!(
            "{} requests reached the instance later than `drain` after its leave was acknowledged, from {:.2} s to {:.2} s after it; {cut} of them were cut off by its end",
            after.len(),
            first.at - acknowledged,
            last.at - acknowledged
        ));
    } else {
        record.say(
            "no request reached the instance later than `drain` after its leave was acknowledged",
        );
    }
    i32::from(!after.is_empty())
}
