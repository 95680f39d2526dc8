//! An extra answer that arrives late, while instances turn a part of their requests away.

use crate::{
    BROKEN, Folder, HELD, Machine, Message, Platform, Process, Record, Rng, Runs, exchange,
    free_machines, lock, read_message, settings, spawn_heartbeats, start_daemon, wait_until_ready,
};
use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "grafiks";
const SLOTS: u32 = 20;
/// Three instances, each on its own machine in its own zone, as `grafiks` has.
const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];
/// `srv_grey` with `shed all`: the part of the requests that all instances of the service turn away.
const SHED_PART: f64 = 0.2;
const SHED_TIME: Duration = Duration::from_millis(8_500);
/// `garble` with `extra late`: the part of the instances, the part of their answers, and the time.
const GARBLING_INSTANCES: usize = 2;
const EXTRA_PART: f64 = 0.03;
const GARBLE_TIME: Duration = Duration::from_millis(5_000);
/// The disruptions come again with a pause, so that the retry budget has room each time.
const PERIOD: Duration = Duration::from_millis(11_000);
const PERIODS: u32 = 8;
const REQUESTS_PER_SECOND: u64 = 300;
const WORK: Duration = Duration::from_millis(5);

struct Instance {
    id: String,
    is_garbling: bool,
    trouble: bool,
    begin: Instant,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

/// The answer of a request, for the check.
struct Outcome {
    id: String,
    status: u16,
}

pub fn run(trouble: bool) -> Result<i32, String> {
    let record = Record::new(PathBuf::from("review/1/record.txt"));
    let folder = Folder::create()?;
    let platform = Platform::start()?;
    let machines = free_machines(ZONES.len() as u8)?;
    platform.publish(&manifest())?;
    let mut daemons: Vec<Process> = Vec::new();
    for (machine, zone) in machines.iter().zip(ZONES) {
        let name = format!("sidecar-{zone}-1");
        let text = settings(*machine, &name, zone, SERVICE, &platform)?;
        daemons.push(start_daemon(&folder, &name, &text)?);
    }
    let runs = Arc::new(Runs::default());
    let stop = Arc::new(AtomicBool::new(false));
    // Traffic starts 8 s after the machines do.
    let begin = Instant::now() + Duration::from_secs(8);
    for (number, (machine, zone)) in machines.iter().zip(ZONES).enumerate() {
        let instance = Instance {
            id: format!("i-{number}"),
            is_garbling: number < GARBLING_INSTANCES,
            trouble,
            begin,
            runs: Arc::clone(&runs),
            record: Arc::clone(&record),
        };
        let id = instance.id.clone();
        serve(*machine, instance)?;
        let (service, zone) = (SERVICE.to_owned(), zone.to_owned());
        spawn_heartbeats(
            *machine,
            id,
            service,
            zone,
            SLOTS,
            Arc::clone(&stop),
            Arc::new(AtomicU64::new(1)),
        );
    }
    for machine in &machines {
        wait_until_ready(*machine)?;
    }
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    let outcomes = send_requests(&machines, begin, &record);
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    let broken = check(&outcomes, &runs, &record);
    drop(daemons);
    record.write().map_err(|error| error.to_string())?;
    Ok(if broken { BROKEN } else { HELD })
}

fn manifest() -> String {
    let service = format!(
        r#""{SERVICE}":{{"probe_path":"/health","connections":220,"protocol":"h1","tls":false}}"#
    );
    format!(
        r#"{{"version":7,"routes":{{"r-book":{{"host":"book.example","path_prefix":"/book/","execution":"at-most-once",
        "deadline_ms":1000,"target_ms":250,"rank":0,"service":"{SERVICE}","attempts":2}}}},"services":{{{service}}},
        "limits":{{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}}}"#
    )
}

/// Serves an instance on its machine.
fn serve(machine: Machine, instance: Instance) -> Result<(), String> {
    let listener = TcpListener::bind(machine.application()).map_err(|error| error.to_string())?;
    let instance = Arc::new(instance);
    thread::spawn(move || {
        for (number, tcp) in listener.incoming().flatten().enumerate() {
            let instance = Arc::clone(&instance);
            let seed = 0x9e37_79b9_7f4a_7c15
                ^ ((number as u64 + 1) << 20)
                ^ u64::from(u32::from(machine.ip) & 0xff);
            // An error of a connection concerns only that connection.
            thread::spawn(move || instance.serve_connection(tcp, Rng(seed)));
        }
    });
    Ok(())
}

impl Instance {
    /// The time since the beginning of the current period; `None` without disruption.
    fn period_time(&self) -> Option<Duration> {
        let since = Instant::now().checked_duration_since(self.begin)?;
        let is_over = since >= PERIOD * PERIODS;
        (self.trouble && !is_over)
            .then(|| Duration::from_nanos((since.as_nanos() % PERIOD.as_nanos()) as u64))
    }

    fn is_shedding(&self) -> bool {
        self.period_time().is_some_and(|time| time < SHED_TIME)
    }

    fn has_extra_answers(&self) -> bool {
        self.is_garbling && self.period_time().is_some_and(|time| time < GARBLE_TIME)
    }

    fn serve_connection(&self, tcp: TcpStream, mut rng: Rng) -> std::io::Result<()> {
        tcp.set_nodelay(true)?;
        let mut reader = BufReader::new(tcp.try_clone()?);
        let mut tcp = tcp;
        // A second copy of an answer, which comes in the place of the next one.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = read_message(&mut reader)? {
            if request.first_line.starts_with("GET /health") {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-sorrelturn-instance-id: {}\r\n",
                    self.id
                );
                tcp.write_all(
                    format!(
                        "{head}x-sorrelturn-server-load: 0,0,{SLOTS}\r\ncontent-length: 0\r\n\r\n"
                    )
                    .as_bytes(),
                )?;
                continue;
            }
            let id = request
                .header("x-sorrelturn-request-id")
                .unwrap_or_default()
                .to_owned();
            if let Some(late) = extra.take() {
                self.record.add(format!(
                    "{} sends a late extra answer in the place of the answer to {id}",
                    self.id
                ));
                tcp.write_all(&late)?;
            }
            let answer = self.answer(&request, &id, &mut rng);
            if self.has_extra_answers() && rng.fraction() < EXTRA_PART {
                extra = Some(answer.clone());
            }
            tcp.write_all(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, id: &str, rng: &mut Rng) -> Vec<u8> {
        let expected = request.header("x-sorrelturn-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let head =
                format!("HTTP/1.1 421 Misdirected Request\r\nx-sorrelturn-request-id: {id}\r\n");
            return format!(
                "{head}x-sorrelturn-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        if self.is_shedding() && rng.fraction() < SHED_PART {
            self.record
                .add(format!("{} turns {id} away: 503, not executed", self.id));
            let head =
                format!("HTTP/1.1 503 Service Unavailable\r\nx-sorrelturn-request-id: {id}\r\n");
            return format!("{head}x-sorrelturn-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
                .into_bytes();
        }
        self.runs.add(id, &self.id);
        self.record.add(format!("{} runs {id}", self.id));
        thread::sleep(WORK);
        let body = format!("done by {}", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-sorrelturn-request-id: {id}\r\nx-sorrelturn-response-signature: {id}.{}\r\n",
            self.id
        );
        format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

/// Sends at-most-once requests in the name of clients on all machines, each attempt with its own id.
fn send_requests(machines: &[Machine], begin: Instant, record: &Arc<Record>) -> Vec<Outcome> {
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let total = u64::from(PERIODS) * PERIOD.as_secs() * REQUESTS_PER_SECOND;
    let mut senders = Vec::new();
    for number in 0..total {
        let due = begin + Duration::from_micros(number * 1_000_000 / REQUESTS_PER_SECOND);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let machine = machines[number as usize % machines.len()];
        let (outcomes, record) = (Arc::clone(&outcomes), Arc::clone(record));
        senders.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x00c0_ffee_0000_0000 + number);
            let request = format!(
                "POST /book/{number} HTTP/1.1\r\nhost: book.example\r\nx-sorrelturn-request-id: {id}\r\n\
                 x-sorrelturn-deadline-ms: 1000\r\ncontent-length: 0\r\n\r\n"
            );
            let answer = exchange(machine.outbound(), request.as_bytes(), Duration::from_millis(1_500));
            let status = answer.map_or(0, |answer| answer.status());
            record.add(format!("client gets {status} for {id}"));
            lock(&outcomes).push(Outcome { id, status });
        }));
        if senders.len() > 200 {
            for sender in senders.drain(..100) {
                let _ = sender.join();
            }
        }
    }
    for sender in senders {
        let _ = sender.join();
    }
    std::mem::take(&mut lock(&outcomes))
}

/// REFUSED and TWICE, as written.
fn check(outcomes: &[Outcome], runs: &Runs, record: &Record) -> bool {
    let (mut refused, mut twice, mut served) = (0, 0, 0);
    for outcome in outcomes {
        let ran_at = runs.of(&outcome.id);
        let is_promise = [408, 421, 429, 503].contains(&outcome.status);
        served += u32::from(outcome.status == 200);
        if is_promise && !ran_at.is_empty() {
            refused += 1;
            record.add(format!(
                "REFUSED broken: {} got {}, but ran at {}",
                outcome.id,
                outcome.status,
                ran_at.join(", ")
            ));
        }
        if ran_at.len() > 1 {
            twice += 1;
            record.add(format!(
                "TWICE broken: {} ran at {}",
                outcome.id,
                ran_at.join(", ")
            ));
        }
    }
    let summary = format!(
        "{} requests, {served} served; REFUSED broken {refused} times, TWICE {twice} times",
        outcomes.len()
    );
    println!("{summary}");
    record.add(summary);
    refused + twice > 0
}
