//! The log: lines to standard output that never hold a request up.
//!
//! Lines go into a bounded buffer; a thread of its own writes it out a few times a second. Where the
//! reader of standard output is slow, lines are dropped and the next flush says how many.

use crate::node::lock;
use env_logger::{Builder, Env, Target, WriteStyle};
use std::{
    io::{self, Write},
    mem,
    sync::{Mutex, MutexGuard, OnceLock},
    thread,
    time::Duration,
};

/// The most that waits to be written, in bytes: more than a second of the busiest daemon.
const BUF_LIMIT_BYTES: usize = 1 << 20;
/// What a buffer keeps of its memory between two flushes: a flush of a daemon under ordinary load.
const KEPT_BYTES: usize = 64 << 10;
/// How often the buffer is written out. Each time costs a wake-up and a system call.
const FLUSH_EVERY: Duration = Duration::from_millis(250);

#[derive(Default)]
struct Waiting {
    buf: Vec<u8>,
    /// The buffer before it, empty, so that it needn't grow anew.
    spare: Vec<u8>,
    dropped: u64,
}

fn waiting() -> MutexGuard<'static, Waiting> {
    static WAITING: OnceLock<Mutex<Waiting>> = OnceLock::new();
    lock(WAITING.get_or_init(Mutex::default))
}

struct Sink;

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = waiting();
        if waiting.buf.len() + line.len() > BUF_LIMIT_BYTES {
            waiting.dropped += 1;
        } else {
            waiting.buf.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the log of this process.
pub(crate) fn start() {
    Builder::from_env(Env::default().default_filter_or("sorrelturn=info"))
        .target(Target::Pipe(Box::new(Sink)))
        // Else each line is searched for colours to be taken out.
        .write_style(WriteStyle::Always)
        .format(|buf, record| writeln!(buf, "{:<5} {}", record.level(), record.args()))
        .init();
    thread::spawn(|| {
        loop {
            thread::sleep(FLUSH_EVERY);
            flush();
        }
    });
}

/// Writes out what waits.
pub(crate) fn flush() {
    let (mut buf, dropped) = {
        let mut waiting = waiting();
        let spare = mem::take(&mut waiting.spare);
        let buf = mem::replace(&mut waiting.buf, spare);
        (buf, mem::take(&mut waiting.dropped))
    };
    let mut out = io::stdout().lock();
    // Nobody is left to tell if standard output is gone.
    let _ = out.write_all(&buf);
    if dropped > 0 {
        let _ = writeln!(out, "WARN  log lines dropped={dropped} reason=slow-reader");
    }
    let _ = out.flush();
    buf.clear();
    buf.shrink_to(KEPT_BYTES);
    waiting().spare = buf;
}
