//! DRAIN: late liveness reports around an acknowledged leave.
mod kit;

use kit::*;
use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
};

/// `drain` of the small deployments, in seconds.
const DRAIN: f64 = 2.0;
const BUDGET_MS: u64 = 5_000;
/// How long the leaving instance keeps serving after the confirmation; the pages say `drain` and a little more, sometimes
/// many seconds.
const SERVES_ON: f64 = 7.0;
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

    // The first boot at the address: its only report is held up by a cut, and it crashes, which sends nothing.
    let first = Instance::start(&owner, "i-first", Some(unix_ms()), record, work);
    let held_report = first.next_beat();
    record.say("instance i-first starts and sends its first report, which a cut holds up");
    thread::sleep(ms(300));
    first.end();
    record.say("instance i-first crashes");
    thread::sleep(ms(700));

    // The next boot, at the same address.
    let second = Instance::start(&owner, "i-second", Some(unix_ms()), record, work);
    second.start_beats();
    record.say("instance i-second starts at the same address");
    let warm = wait_for(ms(15_000), || {
        status(&entry.request("POST", "/book/w", "1", BUDGET_MS)) == "200"
    });
    if !warm {
        return 2;
    }
    thread::sleep(ms(3_000));
    record.say("the deployment serves");

    let sent: Arc<Mutex<Vec<(f64, String, String)>>> = Arc::default();
    let begin = record.now();
    let clients = {
        let (entry, record, sent) = (Arc::clone(&entry), record.clone(), Arc::clone(&sent));
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut number = 0x1000_u64;
            while record.now() < begin + 3.3 + SERVES_ON + 1.0 {
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
                    let outcome =
                        status(&entry.request("POST", &format!("/book/{id}"), &id, BUDGET_MS));
                    record.add(format!("client: {id} ends with {outcome}"));
                    sent.lock().unwrap().push((at, id, outcome));
                }));
                thread::sleep(ms(100));
            }
            attempts
                .into_iter()
                .for_each(|attempt| attempt.join().unwrap());
        })
    };
    if trouble() {
        let answer = first.send_beat(&held_report);
        record.say(format!("the held report of i-first arrives: {answer}"));
    }
    // A report of i-second, then its leave on another connection. It sends no report after that.
    record.sleep_until(begin + 3.0);
    second.stop_beats();
    let last_report = second.next_beat();
    record.say("instance i-second sends its last report");
    let late = {
        let (second, record) = (second.clone(), record.clone());
        thread::spawn(move || {
            if trouble() {
                thread::sleep(ms((LATE * 1_000.0) as u64));
            }
            let answer = second.send_beat(&last_report);
            record.say(format!("the last report of i-second arrives: {answer}"));
        })
    };
    record.sleep_until(begin + 3.3);
    let answer = second.deregister();
    let acknowledged = record.now();
    record.say(format!("instance i-second deregisters: {answer}"));
    if answer != "200" {
        // Without a confirmation nothing was promised.
        return 2;
    }
    record.sleep_until(acknowledged + SERVES_ON);
    second.end();
    record.say("instance i-second ends");
    late.join().unwrap();
    clients.join().unwrap();

    let runs = second.runs.lock().unwrap();
    let after: Vec<_> = runs
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN)
        .collect();
    let cut = after.iter().filter(|run| run.ended != "answered").count();
    if let (Some(first), Some(last)) = (after.first(), after.last()) {
        record.say(format!(
            "{} requests reached i-second later than `drain` after its leave was acknowledged, from {:.2} s to {:.2} s after it; {cut} of them were cut off by its end",
            after.len(), first.at - acknowledged, last.at - acknowledged
        ));
    } else {
        record
            .say("no request reached i-second later than `drain` after its leave was acknowledged");
    }
    i32::from(!after.is_empty())
}
