//! A daemon under test, as a process, with its backend server.

use super::{
    harness::{LOOK, PATIENCE, WAIT, lock},
    path::Path as Way,
};
use crate::{RoutedBackend, processes::Process};
use bytes::Bytes;
use hyper::Request;
use smol::Timer;
use sorrelturn_daemon::{ListenSettings, Settings};
use sorrelturn_platform::http::exchange;
use std::{
    io,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

/// When the first run of each backend server started, in milliseconds since the Unix epoch; each further one starts
/// a second later by its own clock.
const FIRST_BORN_MS: u64 = 1_793_099_500_000;
/// Every so many restarts the backend server has a new id; at all others it keeps the one that it had.
const NEW_ID_EVERY: u64 = 3;
/// The slots that backend servers announce: more than their callers together.
const SLOTS: u32 = 64;

/// A daemon with its backend server.
pub(super) struct Member {
    pub(super) number: usize,
    pub(super) settings: Settings,
    pub(super) addresses: ListenSettings,
    pub(super) program: &'static str,
    pub(super) file: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) way: Way,
    pub(super) backend: RoutedBackend,
    pub(super) process: Mutex<Option<Process>>,
    /// Whether the backend server is about to go.
    pub(super) leaves: AtomicBool,
    /// Held while an announcement is written and while the backend server becomes another run, so that no run is told
    /// with what another one does.
    pub(super) telling: Mutex<()>,
    pub(super) sequence: AtomicU64,
    pub(super) backend_runs: AtomicU64,
}

/// One run of a backend server.
pub(super) struct BackendRun {
    pub(super) id: String,
    pub(super) born_ms: u64,
}

impl Member {
    /// Starts a run of the daemon and waits until it says where it listens; `None` if it ends instead.
    pub(super) async fn start(&self, run: usize) -> Option<(Process, ListenSettings)> {
        let text = serde_json::to_string_pretty(&self.settings).expect("settings are JSON");
        let log = self.folder.join(format!("i-{}-{run}.log", self.number));
        let (program, file) = (self.program, self.file.clone());
        let to = log.clone();
        // A disk that is busy holds up this thread only.
        let start = smol::unblock(move || {
            std::fs::write(&file, text)?;
            let file = file.display().to_string();
            Process::start_logged(program, &["--settings", &file], &to)
        });
        let mut process = match start.await {
            Ok(process) => process,
            Err(error) => {
                log::error!("daemon {} can't be started: {error}", self.number);
                return None;
            }
        };
        let begun = Instant::now();
        while begun.elapsed() < WAIT && process.try_exit_status().is_none() {
            let from = log.clone();
            if let Some(addresses) = smol::unblock(move || addresses_in(&from)).await {
                return Some((process, addresses));
            }
            Timer::after(LOOK).await;
        }
        None
    }

    /// The backend server ends and starts again; returns the run that ended.
    pub(super) fn start_next_run(&self, daemon: usize) -> BackendRun {
        let _telling = lock(&self.telling);
        let before = self.run();
        let restarts = self.backend_runs.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("b-{daemon}-{}", restarts / NEW_ID_EVERY);
        self.backend.restart_with_id(&id);
        self.sequence.store(0, Ordering::Relaxed);
        self.leaves.store(false, Ordering::Relaxed);
        before
    }

    /// The run of the backend server that is there now.
    fn run(&self) -> BackendRun {
        let restarts = self.backend_runs.load(Ordering::Relaxed);
        BackendRun {
            id: self.backend.id(),
            born_ms: FIRST_BORN_MS + 1_000 * restarts,
        }
    }

    /// Makes an announcement of the backend server; the status of the answer.
    pub(super) async fn announce(&self) -> Result<u16, io::Error> {
        let (run, body) = {
            let _telling = lock(&self.telling);
            let leaves = self.leaves.load(Ordering::Relaxed);
            let state = if leaves { "draining" } else { "ready" };
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let run = self.run();
            let body = self.heartbeat(run.born_ms, state, sequence);
            (run, body)
        };
        self.post(&run.id, "heartbeat", body).await
    }

    pub(super) fn heartbeat(&self, born_ms: u64, state: &str, sequence: u64) -> String {
        let service = &self.settings.service;
        format!(
            r#"{{"service":"{service}","state":"{state}","sequence":{sequence},"slots":{SLOTS},"born":{born_ms}}}"#
        )
    }

    /// Makes a call of a backend server to the daemon; the status of the answer.
    pub(super) async fn post(&self, id: &str, call: &str, body: String) -> Result<u16, io::Error> {
        let path = format!("/backend/{id}/{call}");
        let req = Request::post(path).body(Bytes::from(body));
        let addr = self.addresses.announce.expect("it listens");
        let res = exchange(addr, req.expect("a request"), PATIENCE).await;
        let res = res.map_err(io::Error::other)?;
        Ok(res.status().as_u16())
    }
}

/// What a daemon printed of its addresses; its log stands in the same file.
fn addresses_in(log: &Path) -> Option<ListenSettings> {
    let text = std::fs::read_to_string(log).ok()?;
    let mut lines = text.lines().filter(|line| line.starts_with('{'));
    lines.find_map(|line| serde_json::from_str(line).ok())
}

/// An address of this process's and this daemon's own: no connection of others ever takes a port of it, so that
/// the daemon's next run finds its ports free.
pub(super) fn own_ip(number: usize) -> Ipv4Addr {
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, number as u8 + 1)
}
