//! ROUTE: the address of an instance that crashed goes to an instance of another service.
mod kit;

use kit::*;
use std::{path::PathBuf, sync::Arc, thread};

const BUDGET_MS: u64 = 5_000;
/// Longer than `reuse_after` of the small deployments, 2 s.
const REUSED_AFTER_MS: u64 = 2_500;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = {
        let site = Site::new(&record);
        run(&site, &record)
    };
    let verdict = match code {
        0 => "the rule held",
        1 => "ROUTE is broken",
        _ => "the case couldn't run",
    };
    finish(&record, &folder, code, verdict);
}

fn run(site: &Site, record: &Record) -> i32 {
    let store = Store::start(&site.ip(1));
    // The only manifest: /book/ goes to b, /seal/ to c.
    store.put_manifest(
        r#"{"version":3,"routes":{"book":{"host":"h.example","path_prefix":"/book/","execution":"at-most-once","deadline_ms":5000,"target_ms":1500,"rank":0,"service":"b","attempts":2},"seal":{"host":"h.example","path_prefix":"/seal/","execution":"at-most-once","deadline_ms":5000,"target_ms":1500,"rank":0,"service":"c","attempts":2}},"services":{"a":{"probe_path":"/health","connections":634,"protocol":"h1","tls":false},"b":{"probe_path":"/health","connections":220,"protocol":"h1","tls":false},"c":{"probe_path":"/health","connections":220,"protocol":"h1","tls":false}},"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}"#,
    );
    let entry = Arc::new(site.machine(2, "m-entry", "a", "z1", store.addr));
    let reused = site.machine(3, "m-reused", "b", "z2", store.addr);
    let others = [
        site.machine(4, "m-b2", "b", "z3", store.addr),
        site.machine(5, "m-b3", "b", "z3", store.addr),
        site.machine(6, "m-c", "c", "z3", store.addr),
    ];
    let work = |_: &str| 50;
    entry.start();
    reused.start();
    others.iter().for_each(Machine::start);
    let born = || Some(unix_ms());
    let mut instances = vec![Instance::start(&entry, "i-a", born(), record, work)];
    instances.extend(others.iter().map(|machine| {
        Instance::start(
            machine,
            &format!("i-{}", machine.name),
            born(),
            record,
            work,
        )
    }));
    instances.iter().for_each(Instance::start_beats);
    let first = Instance::start(&reused, "i-first-b", born(), record, work);
    first.start_beats();
    let serves = |path: &str| status(&entry.request("POST", path, "1", BUDGET_MS)) == "200";
    if !wait_for(ms(15_000), || serves("/book/w") && serves("/seal/w")) {
        return 2;
    }
    thread::sleep(ms(3_000));
    record.say("the deployment serves");

    let begin = record.now();
    let clients = {
        let (entry, record) = (Arc::clone(&entry), record.clone());
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut number = 0x1000_u64;
            while record.now() < begin + 10.0 {
                number += 1;
                let (id, entry, record) =
                    (format!("{number:x}"), Arc::clone(&entry), record.clone());
                attempts.push(thread::spawn(move || {
                    record.add(format!("client sends {id} to /book/"));
                    let answer = entry.request("POST", &format!("/book/{id}"), &id, BUDGET_MS);
                    let signature = answer.as_ref().ok().and_then(|answer| {
                        answer
                            .headers
                            .get("x-sorrelturn-response-signature")
                            .cloned()
                    });
                    record.add(format!(
                        "client: {id} ends with {}, signature {}",
                        status(&answer),
                        signature.unwrap_or_default()
                    ));
                }));
                thread::sleep(ms(50));
            }
            attempts
                .into_iter()
                .for_each(|attempt| attempt.join().unwrap());
        })
    };
    record.sleep_until(begin + 1.0);
    let second = trouble().then(|| {
        first.end();
        record.say("instance i-first-b of service b crashes for good");
        thread::sleep(ms(REUSED_AFTER_MS));
        let second = Instance::start_of(&reused, "c", "i-second-c", born(), record, work);
        record.say("instance i-second-c of service c starts at its address");
        reused.change_settings("\"service\": \"b\"", "\"service\": \"c\"");
        reused.signal(SIGHUP, "SIGHUP");
        for _ in 0..4 {
            let answer = second.send_beat(&second.next_beat());
            record.say(format!(
                "i-second-c reports that it is of service c and ready: {answer}"
            ));
            thread::sleep(ms(1_500));
        }
        second
    });
    clients.join().unwrap();
    let Some(second) = second else { return 0 };
    let runs = second.runs.lock().unwrap();
    let foreign = runs.len();
    record.say(format!("i-second-c of service c ran {foreign} requests that clients sent to /book/, which only service b may run"));
    i32::from(foreign > 0)
}
