//! Writes the log to standard output without blocking requests.
//!
//! Lines go into a bounded buffer, which a separate thread writes out at an interval. If the reader of standard output
//! is slow, lines are dropped and the next flush logs their count.

use crate::node::lock;
use env_logger::{Builder, Env, Target, WriteStyle};
use std::{
    io::{self, Write},
    mem,
    sync::{Mutex, MutexGuard, OnceLock, mpsc},
    thread,
    time::Duration,
};

/// The capacity of the buffer; lines beyond it are dropped.
const BUF_CAPACITY_BYTES: usize = 1 << 20;
/// The capacity that a buffer retains between two flushes.
const RETAINED_BUF_BYTES: usize = 64 << 10;
/// How often the buffer is written out.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Default)]
struct LogBuffer {
    buf: Vec<u8>,
    /// The empty buffer of the previous flush, reused to save an allocation.
    spare: Vec<u8>,
    dropped: u64,
}

fn log_buffer() -> MutexGuard<'static, LogBuffer> {
    static LOG_BUFFER: OnceLock<Mutex<LogBuffer>> = OnceLock::new();
    lock(LOG_BUFFER.get_or_init(Mutex::default))
}

struct Sink;

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut log_buffer = log_buffer();
        if log_buffer.buf.len() + line.len() > BUF_CAPACITY_BYTES {
            log_buffer.dropped += 1;
        } else {
            log_buffer.buf.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Initializes the logger and starts the flush thread.
pub(crate) fn start() {
    Builder::from_env(Env::default().default_filter_or("sorrelturn=info"))
        .target(Target::Pipe(Box::new(Sink)))
        // Any other style scans each line for escape sequences to remove.
        .write_style(WriteStyle::Always)
        .format(|buf, record| writeln!(buf, "{:<5} {}", record.level(), record.args()))
        .init();
    thread::spawn(|| {
        loop {
            thread::sleep(FLUSH_INTERVAL);
            flush();
        }
    });
}

/// As [`flush`], for at most `timeout`: the reader of standard output may have stopped reading.
pub(crate) fn flush_within(timeout: Duration) {
    let (tx, flushed) = mpsc::channel();
    thread::spawn(move || {
        flush();
        // Nobody waits any more after the timeout.
        let _ = tx.send(());
    });
    let _ = flushed.recv_timeout(timeout);
}

/// Writes the buffered lines to standard output.
fn flush() {
    let (mut buf, dropped) = {
        let mut log_buffer = log_buffer();
        let spare = mem::take(&mut log_buffer.spare);
        let buf = mem::replace(&mut log_buffer.buf, spare);
        (buf, mem::take(&mut log_buffer.dropped))
    };
    let mut out = io::stdout().lock();
    // Errors can't be reported if standard output is closed.
    let _ = out.write_all(&buf);
    if dropped > 0 {
        let _ = writeln!(out, "WARN  log lines dropped={dropped} reason=slow-reader");
    }
    let _ = out.flush();
    buf.clear();
    buf.shrink_to(RETAINED_BUF_BYTES);
    log_buffer().spare = buf;
}
