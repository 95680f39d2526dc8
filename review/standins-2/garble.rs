//! MIXED: an instance spoils some of its answers; a success whose body was cut looks complete.
mod kit;

use kit::*;
use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    thread,
};

const BUDGET_MS: u64 = 5_000;
/// How long the instance spoils answers, in seconds, and one in how many.
const SPOILS_FOR: f64 = 5.5;
const SPOILS_ONE_IN: u64 = 50;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = {
        let site = Site::new(&record);
        run(&site, &record)
    };
    let verdict = match code {
        0 => "the rule held",
        1 => "MIXED is broken",
        _ => "the case couldn't run",
    };
    finish(&record, &folder, code, verdict);
}

fn run(site: &Site, record: &Record) -> i32 {
    let store = Store::start(&site.ip(1));
    store.put_manifest(
        r#"{"version":3,"routes":{"certify":{"host":"h.example","path_prefix":"/certify/","execution":"at-most-once","deadline_ms":5000,"target_ms":1500,"rank":0,"service":"b","attempts":2}},"services":{"a":{"probe_path":"/health","connections":634,"protocol":"h1","tls":false},"b":{"probe_path":"/health","connections":772,"protocol":"h1","tls":false}},"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}"#,
    );
    let entry = Arc::new(site.machine(2, "m-entry", "a", "z1", store.addr));
    let others: Vec<Machine> = (0..3)
        .map(|n| {
            site.machine(
                3 + n,
                &format!("m-b{n}"),
                "b",
                &format!("z{}", 1 + n),
                store.addr,
            )
        })
        .collect();
    entry.start();
    others.iter().for_each(Machine::start);
    // One of three instances spoils answers, as soon as the spoiling has begun.
    let begin_ms = Arc::new(AtomicU64::new(u64::MAX));
    let mut instances = vec![Instance::start(&entry, "i-a", None, record, |_| 20)];
    for (number, machine) in others.iter().enumerate() {
        let (begin_ms, record_of_work, answers) =
            (Arc::clone(&begin_ms), record.clone(), AtomicU64::new(0));
        let work = move |_: &str| {
            let (now, begin) = (
                record_of_work.now(),
                begin_ms.load(Relaxed) as f64 / 1_000.0,
            );
            let is_spoiling = number == 0 && now >= begin && now < begin + SPOILS_FOR;
            let is_spoiled =
                is_spoiling && answers.fetch_add(1, Relaxed) % SPOILS_ONE_IN == SPOILS_ONE_IN / 2;
            if is_spoiled { 20 + SPOILED } else { 20 }
        };
        instances.push(Instance::start(
            machine,
            &format!("i-b{number}"),
            None,
            record,
            work,
        ));
    }
    instances.iter().for_each(Instance::start_beats);
    if !wait_for(ms(15_000), || {
        status(&entry.request("POST", "/certify/w", "1", BUDGET_MS)) == "200"
    }) {
        return 2;
    }
    thread::sleep(ms(3_000));
    record.say("the deployment serves");
    if trouble() {
        begin_ms.store((record.now() * 1_000.0) as u64, Relaxed);
        record.say(format!(
            "instance i-b0 begins to spoil one in {SPOILS_ONE_IN} of its answers"
        ));
    }

    let begin = record.now();
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut attempts = Vec::new();
    let mut number = 0x1000_u64;
    while record.now() < begin + SPOILS_FOR {
        number += 1;
        let (id, entry, record, wrong) = (
            format!("{number:x}"),
            Arc::clone(&entry),
            record.clone(),
            Arc::clone(&wrong),
        );
        attempts.push(thread::spawn(move || {
            let answer = entry.request("POST", &format!("/certify/{id}"), &id, BUDGET_MS);
            record.add(format!("client: {id} ends with {}", status(&answer)));
            let Ok(answer) = answer else { return };
            let is_success = answer.first_line.split(' ').nth(1).is_some_and(|status| status.starts_with('2'));
            let whole = answer_body(&id);
            if is_success && answer.body != whole.as_bytes() {
                wrong.lock().unwrap().push(format!(
                    "{id} got a success with the digest {:?} and a complete body of {} bytes; the instance's whole body has {}",
                    answer.headers.get("x-sorrelturn-response-signature"),
                    answer.body.len(),
                    whole.len()
                ));
            }
        }));
        thread::sleep(ms(5));
    }
    let total = attempts.len();
    attempts
        .into_iter()
        .for_each(|attempt| attempt.join().unwrap());
    let wrong = wrong.lock().unwrap();
    wrong.iter().for_each(|line| record.say(line.clone()));
    record.say(format!(
        "{total} requests, {} successes with a body that was cut",
        wrong.len()
    ));
    i32::from(!wrong.is_empty())
}
