//! An instance answers long requests before it has read them, while instances leave as planned.

use crate::{
    BROKEN, Folder, HELD, Machine, Platform, Process, Record, exchange, free_machines, heartbeat,
    lock, read_head, read_message, report, settings, spawn_heartbeats, start_daemon,
    wait_until_ready,
};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "apliecinajums";
const SLOTS: u32 = 112;
const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];
/// The bound `drain`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long an instance serves after the confirmation of its leaving.
const SERVES_ON: Duration = Duration::from_millis(4_500);
/// Below `max_body_bytes`, and more than the sockets on its way hold.
const LONG_BODY_BYTES: usize = 24 << 20;
/// What an instance reads of a long body before it answers, and when it reads on.
const READ_BEFORE_ANSWER: usize = 64 << 10;
const READS_ON_AFTER: Duration = Duration::from_millis(4_000);
/// `garble` with `early`: the part of the instances, two of three.
const EARLY_INSTANCES: usize = 2;
const CYCLES: u32 = 6;
const CYCLE: Duration = Duration::from_millis(14_000);
/// When the long requests of a cycle are sent, and when its instance announces that it leaves.
const LONG_AT: [u64; 4] = [1_000, 1_200, 1_400, 1_600];
const LEAVES_AT: Duration = Duration::from_millis(2_000);
const REQUESTS_PER_SECOND: u64 = 60;
const WORK: Duration = Duration::from_millis(20);

struct Instance {
    machine: Machine,
    zone: &'static str,
    answers_early: bool,
    record: Arc<Record>,
    life: Mutex<Life>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

/// One boot of an instance.
#[derive(Clone)]
struct Life {
    id: String,
    ended: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
}

impl Life {
    fn new(id: String) -> Self {
        Self {
            id,
            ended: Arc::default(),
            leaving: Arc::default(),
            sequence: Arc::new(AtomicU64::new(1)),
        }
    }
}

struct Arrival {
    request: String,
    instance: String,
    at: Instant,
}

pub fn run(trouble: bool) -> Result<i32, String> {
    let record = Record::new(PathBuf::from("review/2/record.txt"));
    let folder = Folder::create()?;
    let platform = Platform::start()?;
    let machines = free_machines(ZONES.len() as u8)?;
    platform.publish(&manifest())?;
    let mut daemons: Vec<Process> = Vec::new();
    let arrivals = Arc::default();
    let mut instances = Vec::new();
    for (number, (machine, zone)) in machines.iter().zip(ZONES).enumerate() {
        let name = format!("sidecar-{zone}-1");
        let text = settings(*machine, &name, zone, SERVICE, &platform)?;
        daemons.push(start_daemon(&folder, &name, &text)?);
        let instance = Arc::new(Instance {
            machine: *machine,
            zone,
            answers_early: trouble && number < EARLY_INSTANCES,
            record: Arc::clone(&record),
            life: Mutex::new(Life::new(format!("i-{number}-0"))),
            arrivals: Arc::clone(&arrivals),
        });
        instance.start()?;
        instances.push(instance);
    }
    let begin = Instant::now() + Duration::from_secs(8);
    for machine in &machines {
        wait_until_ready(*machine)?;
    }
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    let planner = {
        let (instances, record) = (instances.clone(), Arc::clone(&record));
        thread::spawn(move || plan(&instances, begin, &record))
    };
    send_requests(&machines, begin, &record);
    let acknowledged = planner.join().map_err(|_| "the plan failed".to_owned())?;
    thread::sleep(Duration::from_secs(1));
    drop(daemons);
    let broken = check(&acknowledged, &lock(&arrivals), &record);
    record.write().map_err(|error| error.to_string())?;
    Ok(if broken { BROKEN } else { HELD })
}

fn manifest() -> String {
    let service = format!(
        r#""{SERVICE}":{{"probe_path":"/health","connections":772,"protocol":"h1","tls":false}}"#
    );
    format!(
        r#"{{"version":7,"routes":{{"r-certify":{{"host":"certify.example","path_prefix":"/certify/",
        "execution":"at-most-once","deadline_ms":5000,"target_ms":1500,"rank":0,"service":"{SERVICE}",
        "attempts":2}}}},"services":{{{service}}},
        "limits":{{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}}}"#
    )
}

impl Instance {
    fn life(&self) -> Life {
        lock(&self.life).clone()
    }

    /// Serves a boot and sends its heartbeats until it leaves.
    fn start(self: &Arc<Self>) -> Result<(), String> {
        let life = self.life();
        let listener = TcpListener::bind(self.machine.application());
        let listener = listener.map_err(|error| error.to_string())?;
        listener
            .set_nonblocking(true)
            .map_err(|error| error.to_string())?;
        spawn_heartbeats(
            self.machine,
            life.id.clone(),
            SERVICE.to_owned(),
            self.zone.to_owned(),
            SLOTS,
            Arc::clone(&life.leaving),
            Arc::clone(&life.sequence),
        );
        let instance = Arc::clone(self);
        thread::spawn(move || {
            while !life.ended.load(Ordering::Relaxed) {
                let Ok((tcp, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (instance, life) = (Arc::clone(&instance), life.clone());
                // An error of a connection concerns only that connection.
                thread::spawn(move || instance.serve_connection(tcp, &life));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, tcp: TcpStream, life: &Life) -> std::io::Result<()> {
        tcp.set_nonblocking(false)?;
        tcp.set_nodelay(true)?;
        // Checks at intervals whether the boot has ended.
        let closer = tcp.try_clone()?;
        let ended = Arc::clone(&life.ended);
        thread::spawn(move || {
            let until = Instant::now() + Duration::from_secs(120);
            while !ended.load(Ordering::Relaxed) && Instant::now() < until {
                thread::sleep(Duration::from_millis(50));
            }
            let _ = closer.shutdown(std::net::Shutdown::Both);
        });
        let mut reader = BufReader::new(tcp.try_clone()?);
        let mut tcp = tcp;
        while let Some(request) = read_head(&mut reader)? {
            if request.first_line.starts_with("GET /health") {
                let status = if life.leaving.load(Ordering::Relaxed) {
                    "503 Leaving"
                } else {
                    "200 OK"
                };
                let answer = format!(
                    "HTTP/1.1 {status}\r\nx-sorrelturn-instance-id: {}\r\n\
                     x-sorrelturn-server-load: 0,0,{SLOTS}\r\ncontent-length: 0\r\n\r\n",
                    life.id
                );
                tcp.write_all(answer.as_bytes())?;
                continue;
            }
            let id = request
                .header("x-sorrelturn-request-id")
                .unwrap_or_default()
                .to_owned();
            let at = Instant::now();
            let expected = request.header("x-sorrelturn-expected-instance");
            if expected.is_some_and(|expected| expected != life.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nx-sorrelturn-request-id: {id}\r\n\
                     x-sorrelturn-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                    life.id
                );
                tcp.write_all(answer.as_bytes())?;
                continue;
            }
            let instance = life.id.clone();
            self.record.add(format!("{instance} receives {id}"));
            lock(&self.arrivals).push(Arrival {
                request: id.clone(),
                instance,
                at,
            });
            let len = request
                .header("content-length")
                .and_then(|text| text.parse().ok());
            let len: usize = len.unwrap_or(0);
            let is_long = len > READ_BEFORE_ANSWER;
            let answers_early = is_long && self.answers_early;
            let first = if answers_early {
                READ_BEFORE_ANSWER
            } else {
                len
            };
            skip(&mut reader, first)?;
            thread::sleep(WORK);
            let body = format!("done by {}", life.id);
            let connection = if life.leaving.load(Ordering::Relaxed) {
                "connection: close\r\n"
            } else {
                ""
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-sorrelturn-request-id: {id}\r\n\
                 x-sorrelturn-response-signature: {id}.{}\r\n{connection}content-length: {}\r\n\r\n{body}",
                life.id,
                body.len()
            );
            tcp.write_all(answer.as_bytes())?;
            if answers_early {
                self.record.add(format!(
                    "{} has answered {id} and reads its body later",
                    life.id
                ));
                thread::sleep(READS_ON_AFTER);
                skip(&mut reader, len - first)?;
                self.record
                    .add(format!("{} has read the body of {id}", life.id));
            }
            if !connection.is_empty() {
                return Ok(());
            }
        }
        Ok(())
    }
}

fn skip(reader: &mut impl BufRead, len: usize) -> std::io::Result<()> {
    let skipped = std::io::copy(&mut reader.take(len as u64), &mut std::io::sink())?;
    match skipped == len as u64 {
        true => Ok(()),
        false => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Lets the instances leave in turn, each followed by a new boot. Returns when each leaving was
/// acknowledged.
fn plan(instances: &[Arc<Instance>], begin: Instant, record: &Record) -> Vec<(String, Instant)> {
    let mut acknowledged = Vec::new();
    for cycle in 0..CYCLES {
        let cycle_begin = begin + CYCLE * cycle;
        thread::sleep((cycle_begin + LEAVES_AT).saturating_duration_since(Instant::now()));
        let number = cycle as usize % instances.len();
        let instance = &instances[number];
        let life = instance.life();
        life.leaving.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(50));
        let sequence = life.sequence.fetch_add(1, Ordering::Relaxed);
        let text = heartbeat(
            instance.machine,
            SERVICE,
            instance.zone,
            SLOTS,
            "draining",
            sequence,
        );
        let status = report(instance.machine, &life.id, "heartbeat", &text);
        let at = Instant::now();
        record.add(format!("{} announces that it leaves: {status:?}", life.id));
        if status.is_ok_and(|status| status == 200) {
            acknowledged.push((life.id.clone(), at));
        }
        thread::sleep((at + SERVES_ON).saturating_duration_since(Instant::now()));
        let _ = report(instance.machine, &life.id, "deregister", "");
        life.ended.store(true, Ordering::Relaxed);
        record.add(format!("{} ends", life.id));
        thread::sleep(Duration::from_millis(1_500));
        *lock(&instance.life) = Life::new(format!("i-{number}-{}", cycle + 1));
        if let Err(error) = instance.start() {
            record.add(format!("the new boot of {number} can't start: {error}"));
        }
    }
    acknowledged
}

/// Sends at-most-once requests, most of them short, each attempt with its own id.
fn send_requests(machines: &[Machine], begin: Instant, record: &Arc<Record>) {
    let total = u64::from(CYCLES) * CYCLE.as_secs() * REQUESTS_PER_SECOND;
    let mut senders = Vec::new();
    for cycle in 0..CYCLES {
        for (number, at) in LONG_AT.iter().enumerate() {
            let due = begin + CYCLE * cycle + Duration::from_millis(*at);
            // The instance that leaves in this cycle is the one on this machine.
            let machine = machines[(cycle as usize + number) % machines.len()];
            let id = format!(
                "{:016x}",
                0x0010_0000_0000 + u64::from(cycle) * 16 + number as u64
            );
            let record = Arc::clone(record);
            senders.push(thread::spawn(move || {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let status = send_long(machine, &id);
                record.add(format!("client gets {status} for the long request {id}"));
            }));
        }
    }
    for number in 0..total {
        let due = begin + Duration::from_micros(number * 1_000_000 / REQUESTS_PER_SECOND);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let machine = machines[number as usize % machines.len()];
        let record = Arc::clone(record);
        senders.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x00c0_ffee_0000_0000 + number);
            let request = format!(
                "POST /certify/{number} HTTP/1.1\r\nhost: certify.example\r\nx-sorrelturn-request-id: {id}\r\n\
                 x-sorrelturn-deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n"
            );
            let answer = exchange(machine.outbound(), request.as_bytes(), Duration::from_millis(6_000));
            let status = answer.map_or(0, |answer| answer.status());
            record.add(format!("client gets {status} for {id}"));
        }));
    }
    for sender in senders {
        let _ = sender.join();
    }
}

/// Sends a request with a long body and reads the answer, which may come before the body is sent.
fn send_long(machine: Machine, id: &str) -> u16 {
    let Ok(tcp) = TcpStream::connect(machine.outbound()) else {
        return 0;
    };
    let head = format!(
        "POST /certify/long HTTP/1.1\r\nhost: certify.example\r\nx-sorrelturn-request-id: {id}\r\n\
         x-sorrelturn-deadline-ms: 5000\r\ncontent-length: {LONG_BODY_BYTES}\r\n\r\n"
    );
    let Ok(mut writer) = tcp.try_clone() else {
        return 0;
    };
    let sender = thread::spawn(move || {
        let chunk = vec![b'x'; 1 << 20];
        let mut sent = writer.write_all(head.as_bytes());
        for _ in 0..LONG_BODY_BYTES >> 20 {
            sent = sent.and_then(|()| writer.write_all(&chunk));
        }
        let _ = sent;
    });
    let _ = tcp.set_read_timeout(Some(Duration::from_secs(8)));
    let answer = read_message(&mut BufReader::new(&tcp));
    let _ = sender.join();
    answer.ok().flatten().map_or(0, |answer| answer.status())
}

/// DRAIN, as written: no request reaches an instance later than `drain` after its leaving was
/// acknowledged.
fn check(acknowledged: &[(String, Instant)], arrivals: &[Arrival], record: &Record) -> bool {
    let mut late = 0;
    for arrival in arrivals {
        let ack = acknowledged.iter().find(|(id, _)| *id == arrival.instance);
        let Some((_, ack)) = ack else {
            continue;
        };
        let after = arrival.at.saturating_duration_since(*ack);
        if after > DRAIN {
            late += 1;
            record.add(format!(
                "DRAIN broken: {} reached {} {} ms after the acknowledgement",
                arrival.request,
                arrival.instance,
                after.as_millis()
            ));
        }
    }
    let summary = format!(
        "{} arrivals, {} leavings acknowledged; DRAIN broken {late} times",
        arrivals.len(),
        acknowledged.len()
    );
    println!("{summary}");
    record.add(summary);
    late > 0
}
