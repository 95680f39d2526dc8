//! DRAIN: a late report of an instance's earlier boot arrives after the leave of the next one, which has the same id.
mod kit;

use kit::*;
use std::{path::PathBuf, sync::Arc, thread};

/// `drain` of the small deployments, in seconds.
const DRAIN: f64 = 2.0;
const BUDGET_MS: u64 = 5_000;
/// How long the leaving instance keeps serving after the confirmation; the pages say `drain` and a little more, sometimes
/// many seconds.
const SERVES_ON: f64 = 8.0;
/// When the held report arrives, in seconds after the confirmation.
const ARRIVES: f64 = 4.5;

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

    // The first boot: its only report is held up by a cut, and it crashes, which sends nothing.
    let first = Instance::start(&owner, "i-b1", Some(unix_ms()), record, work);
    let held_report = first.next_beat();
    record.say(format!(
        "instance i-b1 starts and sends its first report: {held_report}"
    ));
    let sent_at = record.now();
    if trouble() {
        record.say("a cut holds the report up");
    } else {
        let answer = first.send_beat(&held_report);
        record.say(format!("the report of the first boot arrives: {answer}"));
    }
    thread::sleep(ms(300));
    first.end();
    record.say("instance i-b1 crashes");
    thread::sleep(ms(700));

    // The next boot, at the same address, under the same id.
    let second = Instance::start(&owner, "i-b1", Some(unix_ms()), record, work);
    second.start_beats();
    record.say(format!(
        "instance i-b1 starts again under its id, born {}",
        second.born.unwrap_or_default()
    ));
    let warm = wait_for(ms(10_000), || {
        status(&entry.request("POST", "/book/w", "1", BUDGET_MS)) == "200"
    });
    if !warm {
        return 2;
    }
    thread::sleep(ms(1_500));
    record.say("the deployment serves");

    let begin = record.now();
    let clients = {
        let (entry, record) = (Arc::clone(&entry), record.clone());
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut number = 0x1000_u64;
            while record.now() < begin + 1.0 + SERVES_ON + 1.0 {
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
    record.sleep_until(begin + 1.0);
    second.stop_beats();
    let answer = second.deregister();
    let acknowledged = record.now();
    record.say(format!(
        "instance i-b1 deregisters, with its start: {answer}"
    ));
    if answer != "200" {
        // Without a confirmation nothing was promised.
        return 2;
    }
    if trouble() {
        record.sleep_until(acknowledged + ARRIVES);
        let answer = first.send_beat(&held_report);
        let late = record.now() - sent_at;
        record.say(format!(
            "the report of the first boot arrives, {late:.1} s late: {answer}"
        ));
    }
    record.sleep_until(acknowledged + SERVES_ON);
    second.end();
    record.say("instance i-b1 ends");
    clients.join().unwrap();

    let runs = second.runs.lock().unwrap();
    let after: Vec<_> = runs
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN)
        .collect();
    let cut = after.iter().filter(|run| run.ended != "answered").count();
    if let (Some(first), Some(last)) = (after.first(), after.last()) {
        record.say(format!(
            "{} requests reached i-b1 later than `drain` after its leave was acknowledged, from {:.2} s to {:.2} s after it; {cut} of them were cut off by its end",
            after.len(),
            first.at - acknowledged,
            last.at - acknowledged
        ));
    } else {
        record.say("no request reached i-b1 later than `drain` after its leave was acknowledged");
    }
    i32::from(!after.is_empty())
}
