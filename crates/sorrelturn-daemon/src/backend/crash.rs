//! Detects crashes of the backend server and reports the requests in progress. See
//! `docs/design/quarantine.md`.
//!
//! When the process of a backend server ends, all its connections close at once and its port
//! refuses new ones. A connection that closes while others stay open, or while a new one can be
//! opened, is a fault of the network or of a single response.

use crate::{
    backend::state,
    fleet::suspects,
    node::{Node, lock},
};
use smol::{Timer, future::FutureExt, lock::OnceCell, net::TcpStream};
use sorrelturn_policy::Now;
use sorrelturn_protocol::{CrashId, CrashReport, RequestFingerprint, RequestFingerprints};
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

/// The time for the other connections of a process that ended to be seen as closed.
const CLOSE_DETECTION_DELAY: Duration = Duration::from_millis(5);
/// A port on the same VM accepts or refuses connections well within this time. A timeout is no
/// sign of a crash.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The time in which further interrupted requests are collected for a second report. A daemon
/// handles hundreds of closed connections within it.
const COLLECT_DURATION: Duration = Duration::from_millis(30);

/// Abandoned requests are suspected, too, if a crash is detected within this time: the backend
/// server may still run them.
const ABANDONED_RETENTION: Duration = Duration::from_secs(5);
/// The maximum number of retained abandoned requests. As many as a daemon gives up in that time
/// while its backend server stands still with all slots taken.
const MAX_ABANDONED: usize = 512;

/// Interrupted and abandoned requests at the backend server, and its last crash.
#[derive(Default)]
pub(crate) struct Crashes(Mutex<State>);

#[derive(Default)]
struct State {
    /// The check in progress.
    check: Option<Arc<CrashCheck>>,
    last: Option<LastCrash>,
    /// Requests that were abandoned lately, oldest first.
    abandoned: VecDeque<(Now, RequestFingerprints)>,
}

impl State {
    /// Removes all abandoned requests and returns those that may still be in progress.
    fn take_abandoned(&mut self, now: Now) -> impl Iterator<Item = RequestFingerprint> + use<> {
        let abandoned = std::mem::take(&mut self.abandoned);
        let is_recent = move |at: Now| at + ABANDONED_RETENTION >= now;
        let recent = abandoned.into_iter().filter(move |(at, _)| is_recent(*at));
        recent.flat_map(|(_, request)| request.iter())
    }
}

/// The last crash, and how many connections had been opened before it.
struct LastCrash {
    id: CrashId,
    connections_opened: u64,
}

/// A check whether the backend server has crashed, shared by all exchanges that were interrupted.
#[derive(Default)]
struct CrashCheck {
    interrupted: Mutex<Vec<RequestFingerprint>>,
    has_crashed: OnceCell<bool>,
}

/// A request that the backend server may be running. If it is dropped before
/// [`Self::mark_finished`], the request counts as abandoned.
pub(crate) struct BackendRequestGuard {
    node: Arc<Node>,
    request: RequestFingerprints,
    is_finished: bool,
}

impl BackendRequestGuard {
    pub(crate) fn new(node: &Arc<Node>, request: RequestFingerprints) -> Self {
        Self {
            node: Arc::clone(node),
            request,
            is_finished: false,
        }
    }

    /// Records that the request is no longer running at the backend server or never reached it, or
    /// that its exchange was interrupted.
    pub(crate) fn mark_finished(mut self) {
        self.is_finished = true;
    }
}

impl Drop for BackendRequestGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let mut state = lock(&self.node.crashes.0);
        if state.abandoned.len() >= MAX_ABANDONED {
            state.abandoned.pop_front();
        }
        state.abandoned.push_back((self.node.now(), self.request));
    }
}

/// Reports a crash that was detected because another incarnation is ready without the earlier one
/// having announced that it was leaving.
pub(crate) fn report_replaced(node: &Arc<Node>) {
    report(node, false);
}

/// Returns whether the backend server has crashed, after an exchange was interrupted while it may
/// have been running `request`.
pub(crate) async fn check_for_crash(node: &Arc<Node>, request: RequestFingerprints) -> bool {
    let check = {
        let mut state = lock(&node.crashes.0);
        let check = state.check.get_or_insert_with(|| start_check(node));
        lock(&check.interrupted).extend(request.iter());
        Arc::clone(check)
    };
    *check.has_crashed.wait().await
}

/// Runs the check in a task of its own, since the request that needs it may be cancelled.
fn start_check(node: &Arc<Node>) -> Arc<CrashCheck> {
    let check = Arc::<CrashCheck>::default();
    let (node, started) = (Arc::clone(node), Arc::clone(&check));
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { run_check(&node, &started).await })
        .detach();
    check
}

/// Checks whether the backend server has crashed, and reports the interrupted requests if so.
async fn run_check(node: &Arc<Node>, check: &CrashCheck) {
    let has_crashed = has_crashed(node).await;
    if !has_crashed {
        lock(&node.crashes.0).check = None;
    }
    // Only this task sets it.
    let _ = check.has_crashed.set(has_crashed).await;
    if has_crashed {
        state::assume_cold(node);
        report(node, false);
        Timer::after(COLLECT_DURATION).await;
        report(node, true);
    }
}

async fn has_crashed(node: &Node) -> bool {
    Timer::after(CLOSE_DETECTION_DELAY).await;
    if node.backend.has_open_connection() {
        return false;
    }
    let connect = TcpStream::connect(node.settings.backend.address);
    let timed_out = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let connected = connect.or(timed_out).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Reports the crash to the fleet. The id stays the same until a new connection is opened. If
/// `is_final`, requests that are interrupted later start a new check.
fn report(node: &Arc<Node>, is_final: bool) {
    let connections_opened = node.backend.connections_opened();
    let (id, running) = {
        let mut state = lock(&node.crashes.0);
        let check = if is_final {
            state.check.take()
        } else {
            state.check.clone()
        };
        let running = check.map(|check| std::mem::take(&mut *lock(&check.interrupted)));
        let mut running = running.unwrap_or_default();
        running.extend(state.take_abandoned(node.now()));
        let same_crash = state
            .last
            .as_ref()
            .filter(|last| last.connections_opened == connections_opened);
        let id = same_crash.map_or_else(|| CrashId(fastrand::u64(..)), |last| last.id);
        state.last = Some(LastCrash {
            id,
            connections_opened,
        });
        (id, running)
    };
    if running.is_empty() {
        return;
    }
    let fields = vec![
        Field::new("crash", format!("{:016x}", id.0)),
        Field::new("names", running.len()),
    ];
    node.record_event(&events::BACKEND_CRASHED, fields);
    let report = CrashReport {
        id,
        age_ms: 0,
        running,
    };
    suspects::record_own_crash(node, report);
}
