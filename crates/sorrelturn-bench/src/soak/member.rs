//! A daemon under test, as a process of its own, with its backend server.

use super::{
    harness::{POLL_INTERVAL, RESPONSE_TIMEOUT, START_TIMEOUT, lock},
    path::FaultyPath,
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

/// The announced start of each backend server's first incarnation since the Unix epoch; each further one announces a
/// second more.
const FIRST_START_MS: u64 = 1_793_099_500_000;
/// The number of restarts after which a backend server changes its id.
const RESTARTS_PER_ID: u64 = 3;
/// More than all callers use together.
const ANNOUNCED_SLOTS: u32 = 64;

/// A daemon with its backend server.
pub(super) struct Member {
    pub(super) number: usize,
    pub(super) settings: Settings,
    pub(super) addresses: ListenSettings,
    pub(super) program: &'static str,
    pub(super) file: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) path: FaultyPath,
    pub(super) backend: RoutedBackend,
    pub(super) process: Mutex<Option<Process>>,
    pub(super) is_leaving: AtomicBool,
    /// Whether its backend server has deregistered and sends no heartbeats any more.
    pub(super) is_silent: AtomicBool,
    /// Held while an announcement is built and while the incarnation changes, so that none mixes two incarnations.
    pub(super) announce_lock: Mutex<()>,
    pub(super) sequence: AtomicU64,
    pub(super) backend_restarts: AtomicU64,
}

pub(super) struct BackendIncarnation {
    pub(super) id: String,
    pub(super) started_ms: u64,
}

impl Member {
    /// Starts an incarnation of the daemon and waits until it prints its addresses; `None` if it exits instead.
    pub(super) async fn start(&self, incarnation: usize) -> Option<(Process, ListenSettings)> {
        let text = serde_json::to_string_pretty(&self.settings).expect("settings are JSON");
        let log = self
            .folder
            .join(format!("i-{}-{incarnation}.log", self.number));
        let (program, file) = (self.program, self.file.clone());
        let log_path = log.clone();
        // A busy disk must not block the executor.
        let start = smol::unblock(move || {
            std::fs::write(&file, text)?;
            let file = file.display().to_string();
            Process::start_logged(program, &["--settings", &file], &log_path)
        });
        let mut process = match start.await {
            Ok(process) => process,
            Err(error) => {
                log::error!("daemon {} can't be started: {error}", self.number);
                return None;
            }
        };
        let started_at = Instant::now();
        while started_at.elapsed() < START_TIMEOUT && process.try_exit_status().is_none() {
            let log_path = log.clone();
            if let Some(addresses) = smol::unblock(move || addresses_in(&log_path)).await {
                return Some((process, addresses));
            }
            Timer::after(POLL_INTERVAL).await;
        }
        None
    }

    /// Restarts the backend server; returns the previous incarnation.
    pub(super) fn start_next_incarnation(&self, daemon: usize) -> BackendIncarnation {
        let _guard = lock(&self.announce_lock);
        let previous = self.current_incarnation();
        let restarts = self.backend_restarts.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("b-{daemon}-{}", restarts / RESTARTS_PER_ID);
        self.backend.restart_with_id(&id);
        self.sequence.store(0, Ordering::Relaxed);
        self.is_leaving.store(false, Ordering::Relaxed);
        self.is_silent.store(false, Ordering::Relaxed);
        previous
    }

    fn current_incarnation(&self) -> BackendIncarnation {
        let restarts = self.backend_restarts.load(Ordering::Relaxed);
        BackendIncarnation {
            id: self.backend.id(),
            started_ms: FIRST_START_MS + 1_000 * restarts,
        }
    }

    /// Sends a heartbeat; returns the status of the response.
    pub(super) async fn announce(&self) -> Result<u16, io::Error> {
        let (incarnation, body) = {
            let _guard = lock(&self.announce_lock);
            let is_leaving = self.is_leaving.load(Ordering::Relaxed);
            let state = if is_leaving { "draining" } else { "ready" };
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let incarnation = self.current_incarnation();
            let body = self.heartbeat(incarnation.started_ms, state, sequence);
            (incarnation, body)
        };
        self.post(&incarnation.id, "heartbeat", body).await
    }

    /// Deregisters the backend server, which says nothing more then; returns the status of the response.
    pub(super) async fn deregister(&self) -> Result<u16, io::Error> {
        let incarnation = self.current_incarnation();
        let body = format!(r#"{{"born":{}}}"#, incarnation.started_ms);
        self.post(&incarnation.id, "deregister", body).await
    }

    pub(super) fn heartbeat(&self, started_ms: u64, state: &str, sequence: u64) -> String {
        let service = &self.settings.service;
        format!(
            r#"{{"service":"{service}","state":"{state}","sequence":{sequence},"slots":{ANNOUNCED_SLOTS},"born":{started_ms}}}"#
        )
    }

    /// Sends a call of a backend server to the daemon; returns the status of the response.
    pub(super) async fn post(&self, id: &str, call: &str, body: String) -> Result<u16, io::Error> {
        let path = format!("/backend/{id}/{call}");
        let req = Request::post(path).body(Bytes::from(body));
        let addr = self.addresses.announce.expect("it listens");
        let res = exchange(addr, req.expect("a request"), RESPONSE_TIMEOUT).await;
        let res = res.map_err(io::Error::other)?;
        Ok(res.status().as_u16())
    }
}

/// The addresses that a daemon printed into the file, which also holds its log.
fn addresses_in(log: &Path) -> Option<ListenSettings> {
    let text = std::fs::read_to_string(log).ok()?;
    let mut lines = text.lines().filter(|line| line.starts_with('{'));
    lines.find_map(|line| serde_json::from_str(line).ok())
}

/// Returns a loopback address that only this daemon of this process uses, so that its ports are still free when the
/// daemon restarts.
pub(super) fn own_ip(number: usize) -> Ipv4Addr {
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, number as u8 + 1)
}
