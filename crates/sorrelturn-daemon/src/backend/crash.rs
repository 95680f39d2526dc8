//! Whether the backend server crashed, and what it was working on. See `docs/design/quarantine.md`.
//!
//! When a backend server's process ends, all its connections break at once, and nobody listens at its port. A
//! connection that breaks while others last, or while a new one can be opened, is a fault of the network or of one answer.

use crate::{
    fleet::suspects,
    node::{Node, lock},
};
use smol::{Timer, future::FutureExt, lock::OnceCell, net::TcpStream};
use sorrelturn_policy::Now;
use sorrelturn_protocol::{CrashId, CrashReport, RequestFingerprint, RequestNames};
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

/// The other connections of a process that ended are seen to be closed within this time; one that is still open after
/// it spares a new connection, which backend servers pay for.
const OTHERS_CLOSE: Duration = Duration::from_millis(5);
/// A port on the own VM refuses or takes a connection within a fraction of this; one that is silent says nothing of a
/// crash.
const ASK_TIME: Duration = Duration::from_millis(100);
/// What else was at work breaks off within this time, in which a daemon handles hundreds of closed connections. It is
/// told of in a second message; what comes later still in a third, after another look.
const COLLECT_TIME: Duration = Duration::from_millis(30);

/// What was given up on is suspected as well if the backend server is found to have crashed within this time: some go on
/// with a request whose deadline is over or whose caller has gone, and some seconds pass until the next run is there.
const GIVEN_UP_KEPT: Duration = Duration::from_secs(5);
/// The most of it: what is given up on in that time by a daemon whose backend server stands still with all slots taken.
const MOST_GIVEN_UP: usize = 512;

/// What broke off at the backend server beside this daemon.
#[derive(Default)]
pub(crate) struct Crashes(Mutex<State>);

#[derive(Default)]
struct State {
    /// The look at the backend server that is going on.
    look: Option<Arc<Look>>,
    last: Option<LastCrash>,
    /// What was given up on lately, oldest first.
    given_up: VecDeque<(Now, RequestNames)>,
}

impl State {
    /// What was given up on so lately that it may be at work still.
    fn take_given_up(&mut self, now: Now) -> impl Iterator<Item = RequestFingerprint> + use<> {
        let given_up = std::mem::take(&mut self.given_up);
        let lately = move |at: Now| at + GIVEN_UP_KEPT >= now;
        let names = given_up.into_iter().filter(move |(at, _)| lately(*at));
        names.flat_map(|(_, request)| request.iter())
    }
}

/// The last crash, and how many connections had been opened to the backend server by then.
struct LastCrash {
    id: CrashId,
    opened: u64,
}

/// One look whether the backend server is there, on behalf of all exchanges that broke off with it.
#[derive(Default)]
struct Look {
    broke: Mutex<Vec<RequestFingerprint>>,
    is_gone: OnceCell<bool>,
}

/// A request that the backend server may be running, until its exchange has ended; dropped before that, it was given up on.
pub(crate) struct AtWork {
    node: Arc<Node>,
    request: RequestNames,
    has_ended: bool,
}

impl AtWork {
    pub(crate) fn new(node: &Arc<Node>, request: RequestNames) -> Self {
        Self {
            node: Arc::clone(node),
            request,
            has_ended: false,
        }
    }

    /// The backend server has answered it as a whole, or broke off, or never had it.
    pub(crate) fn ended(mut self) {
        self.has_ended = true;
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let mut state = lock(&self.node.crashes.0);
        if state.given_up.len() >= MOST_GIVEN_UP {
            state.given_up.pop_front();
        }
        state.given_up.push_back((self.node.now(), self.request));
    }
}

/// Another run is there, and the one before never said that it leaves: it crashed, also if nothing broke off with it.
pub(crate) fn was_replaced(node: &Arc<Node>) {
    report(node, false);
}

/// An exchange broke off while the backend server may have been running its request. Returns whether it crashed.
pub(crate) async fn broke_off(node: &Arc<Node>, request: RequestNames) -> bool {
    let look = {
        let mut state = lock(&node.crashes.0);
        let look = state.look.get_or_insert_with(|| start_look(node));
        lock(&look.broke).extend(request.iter());
        Arc::clone(look)
    };
    *look.is_gone.wait().await
}

/// Looks at the backend server in a task of its own, since whoever asked may go away meanwhile.
fn start_look(node: &Arc<Node>) -> Arc<Look> {
    let look = Arc::<Look>::default();
    let (node, started) = (Arc::clone(node), Arc::clone(&look));
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { look_at(&node, &started).await })
        .detach();
    look
}

/// Finds out whether the backend server is gone, and reports what broke off if it is.
async fn look_at(node: &Arc<Node>, look: &Look) {
    let is_gone = is_gone(node).await;
    if !is_gone {
        lock(&node.crashes.0).look = None;
    }
    // Nobody else sets it.
    let _ = look.is_gone.set(is_gone).await;
    if is_gone {
        report(node, false);
        Timer::after(COLLECT_TIME).await;
        report(node, true);
    }
}

async fn is_gone(node: &Node) -> bool {
    Timer::after(OTHERS_CLOSE).await;
    if node.backend.has_open_connection() {
        return false;
    }
    let connect = TcpStream::connect(node.settings.backend.address);
    let too_long = async {
        Timer::after(ASK_TIME).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let connected = connect.or(too_long).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Tells the fleet of the crash. Until a connection could be opened again, it is the one that was told of before.
/// With `ends`, what breaks off from now on is looked into anew.
fn report(node: &Arc<Node>, ends: bool) {
    let opened = node.backend.connections_opened();
    let (id, running) = {
        let mut state = lock(&node.crashes.0);
        let look = if ends {
            state.look.take()
        } else {
            state.look.clone()
        };
        let running = look.map(|look| std::mem::take(&mut *lock(&look.broke)));
        let mut running = running.unwrap_or_default();
        running.extend(state.take_given_up(node.now()));
        let same = state.last.as_ref().filter(|last| last.opened == opened);
        let id = same.map_or_else(|| CrashId(fastrand::u64(..)), |last| last.id);
        state.last = Some(LastCrash { id, opened });
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
    suspects::crashed_here(node, report);
}
