//! Checks the promises against what callers and backend servers observed. Takes the time as an argument and opens no
//! socket, so that a test can feed it breaches.

use super::{
    harness::SoakTarget,
    route_tables::{self, RouteTables},
    workspaces::{CredentialKind, WorkspaceObservations},
};
use std::{
    collections::{HashMap, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

/// The time after a fault from which the platform's rules consider a machine undisturbed again.
const UNDISTURBED_AFTER: Duration = Duration::from_secs(3);
/// The maximum time between sending a request and a close that crosses it, which may leave it without a response.
const CLOSE_RACE_WINDOW: Duration = Duration::from_secs(1);
/// The time within which a stopping daemon has to report that it isn't ready: one readiness check of the platform.
const NOT_READY_TIMEOUT: Duration = Duration::from_secs(1);
/// The tolerated delay of an exit after the stop timeout.
const EXIT_SLACK: Duration = Duration::from_secs(1);
/// The limit on crashes by a request, and on further ones that come later than [`UNDISTURBED_AFTER`] after those, so
/// that daemons could have prevented them.
const TOLERATED_CRASHES: usize = 3;
/// Connections that a daemon may close without a byte because a fault cut a response off before its head was written.
/// The platform's rules allow a machine three.
const MAX_BROKEN_HEADS: u32 = 3;
/// The window in which requests for a backend server with a limit are counted, and what is allowed in it beyond the
/// limit: a multiple of it, and some more requests.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_OVERAGE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// The time after the deadline of its route in which a request has to have its response.
const MAX_TIME_PAST_DEADLINE: Duration = Duration::from_millis(500);
/// The time in which requests may still reach a backend server after its leave was acknowledged, or may still be sent to it
/// after a response that says that it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The statuses which state that the request was not and will not be executed.
const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A promise that the soak checks; see `docs/PROMISES.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A refused request is never executed.
    Refused,
    /// A request of an at-most-once kind is executed at most once.
    AtMostOnce,
    /// Only requests that callers sent are executed.
    Asked,
    /// A success is the complete response to its own request.
    OwnWhole,
    /// A valid request is not denied.
    Denied,
    /// Every request that a daemon read gets a final response.
    Answered,
    /// A daemon that was told to stop exits in time and cuts no request off.
    ExitsInTime,
    /// A daemon doesn't exit by itself.
    GoesOn,
    /// A daemon that was told to stop reports that it isn't ready.
    NotReady,
    /// A backend server gets no new requests after its leave was acknowledged.
    Leaves,
    /// An incarnation never returns to an older route table.
    Newest,
    /// A route table that the store confirmed is in force in time, with all its routes.
    InForce,
    /// Every request has its response by the deadline of its route.
    InTime,
    /// All requests are served again after the faults.
    Recovers,
    /// A request that crashes backend servers is quarantined.
    Held,
    /// No request with a revoked credential is executed.
    Revoked,
    /// No window exceeds a workspace's quota.
    Quota,
    /// No window exceeds the limit that a backend server names.
    Limit,
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may be executed repeatedly.
    Safe,
    /// It is executed at most once.
    Once,
    /// Only the route table of this version has a route for it.
    Version(u64),
    /// It may be executed repeatedly, and each version of the route table leads it to the next service.
    Moved,
    /// It may be executed repeatedly, and all services share its route by their weights.
    Shared,
    /// It may be executed repeatedly, but backend servers never respond, and the deadline of its route differs between
    /// versions of the route table.
    Timed,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete response.
    Answer {
        /// The status.
        status: u16,
        /// Whether the body belongs to the request and is complete.
        own: bool,
        /// Whether it has another request's id, or surplus bytes followed it.
        foreign: bool,
    },
    /// The connection ended within the response.
    Cut,
    /// The connection ended before the first byte of a response.
    Closed,
    /// No byte of a response arrived until long after the route's deadline.
    Silent,
    /// A response began but was still incomplete long after the route's deadline.
    Stalled,
}

/// The arrival of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The number of the daemon that the backend server belongs to.
    pub daemon: usize,
    /// Whether the backend server begins to execute the request.
    pub runs: bool,
    /// Whether the backend server is misbehaving.
    pub misbehaves: bool,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// When it was observed, since the start of the soak.
    pub at: Duration,
    /// The broken promise.
    pub promise: Promise,
    /// A description for the report.
    pub what: String,
}

/// The totals of a soak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that callers were about to send.
    pub sent: u64,
    /// Responses with a status of 2xx.
    pub succeeded: u64,
    /// Responses which state that the request was not executed.
    pub refused: u64,
    /// Other responses.
    pub failed: u64,
    /// Requests without a complete response, each for a reason that the promises exempt.
    pub lost: u64,
    /// Executions at backend servers.
    pub ran: u64,
    /// Exits of daemons that were told to stop.
    pub stops: u64,
}

struct Request {
    kind: Kind,
    credential_kind: CredentialKind,
    daemon: usize,
    incarnation: usize,
    sent_at: Duration,
    places: Vec<Place>,
    is_refused: bool,
    /// Whether it was sent before the response to the one before it on the connection.
    is_behind_another: bool,
}

/// What was observed of one incarnation of a daemon.
#[derive(Default)]
struct Incarnation {
    /// When it printed its addresses.
    up_since: Duration,
    stop_requested: Option<Duration>,
    killed: bool,
    ended: bool,
    /// The periods in which it was suspended; the last may still be open.
    paused: Vec<(Duration, Option<Duration>)>,
    has_reported_not_ready: bool,
    /// The newest observed version of the route table, and when it was first observed.
    newest: Option<(u64, Duration)>,
    is_overdue: bool,
    /// The time and code of an exit that reports cut-off requests.
    cut_exit: Option<(Duration, Option<i32>)>,
    /// Whether a request was cut off for an exempt reason.
    has_excused_cut: bool,
}

/// A limit that a backend server names in its responses.
struct NamedLimit {
    since: Duration,
    per_second: u64,
    /// Arrivals within the last [`LIMIT_WINDOW`].
    arrivals: VecDeque<Duration>,
}

/// A leave that a backend server names in its responses only.
struct NamedLeave {
    since: Duration,
    /// When a caller first got such a response.
    passed_on_at: Option<Duration>,
}

#[derive(Default)]
struct DaemonObservations {
    named_limit: Option<NamedLimit>,
    named_leave: Option<NamedLeave>,
    incarnations: Vec<Incarnation>,
    path_faulted: Vec<(Duration, Duration)>,
    leave_acknowledged_at: Option<Duration>,
    killed: Vec<Duration>,
    /// When its backend server began to execute a request that crashes it.
    crashed: Vec<Duration>,
    /// Connections closed without a byte because of a fault behind it.
    broken_heads: u32,
}

/// Checks the promises of a soak from reported observations.
pub struct Checker {
    stop_timeout: Duration,
    /// The maximum delay of the soak itself, which extends all time limits.
    lag: Duration,
    daemons: Vec<DaemonObservations>,
    requests: HashMap<String, Request>,
    tables: RouteTables,
    store_faulted: Vec<(Duration, Duration)>,
    /// When reads of the store failed or were slow.
    store_unreadable: Vec<(Duration, Duration)>,
    /// When backend servers began to execute the crashing request.
    crashes: Vec<Duration>,
    /// Of these crashes, those that undisturbed daemons could have prevented.
    avoidable_crashes: usize,
    workspaces: WorkspaceObservations,
    breaches: Vec<Breach>,
    counts: Counts,
}

impl Checker {
    /// Creates a checker for a number of daemons with this stop timeout.
    pub fn new(daemons: usize, stop_timeout: Duration) -> Self {
        Self {
            stop_timeout,
            lag: Duration::ZERO,
            daemons: (0..daemons)
                .map(|_| DaemonObservations::default())
                .collect(),
            requests: HashMap::new(),
            tables: RouteTables::default(),
            store_faulted: Vec::new(),
            store_unreadable: Vec::new(),
            crashes: Vec::new(),
            avoidable_crashes: 0,
            workspaces: WorkspaceObservations::default(),
            breaches: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// The breaches so far.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// The totals so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Records a delay of the soak itself.
    pub fn record_lag(&mut self, lag: Duration) {
        self.lag = self.lag.max(lag);
    }

    /// The maximum delay of the soak itself.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Records that an incarnation of a daemon starts.
    pub fn started(&mut self, daemon: usize) {
        self.daemons[daemon]
            .incarnations
            .push(Incarnation::default());
    }

    /// Records that the last incarnation of a daemon listens.
    pub fn came_up(&mut self, at: Duration, daemon: usize) {
        self.last_incarnation(daemon).up_since = at;
    }

    /// The number of a daemon's last incarnation.
    pub fn current_incarnation(&self, daemon: usize) -> usize {
        self.daemons[daemon].incarnations.len().saturating_sub(1)
    }

    /// Records that a daemon is told to stop.
    pub fn stop_requested(&mut self, at: Duration, daemon: usize) {
        self.last_incarnation(daemon)
            .stop_requested
            .get_or_insert(at);
    }

    /// Records that a daemon is killed.
    pub fn killed(&mut self, at: Duration, daemon: usize) {
        self.last_incarnation(daemon).killed = true;
        self.daemons[daemon].killed.push(at);
    }

    /// Records that a daemon is suspended.
    pub fn paused(&mut self, at: Duration, daemon: usize) {
        self.last_incarnation(daemon).paused.push((at, None));
    }

    /// Records that a daemon is resumed.
    pub fn resumed(&mut self, at: Duration, daemon: usize) {
        let open = self.last_incarnation(daemon).paused.iter_mut();
        for (_, until) in open.filter(|(_, until)| until.is_none()) {
            *until = Some(at);
        }
    }

    /// Records a fault of the path to a daemon.
    pub fn path_faulted(&mut self, from: Duration, until: Duration, daemon: usize) {
        self.daemons[daemon].path_faulted.push((from, until));
    }

    /// Records a fault of the store.
    pub fn store_faulted(&mut self, from: Duration, until: Duration) {
        self.store_faulted.push((from, until));
    }

    /// Records a fault of the store because of which daemons can't read a new route table in time.
    pub fn store_unreadable(&mut self, from: Duration, until: Duration) {
        self.store_unreadable.push((from, until));
    }

    /// Records that a backend server begins to execute the request that crashes it.
    pub fn running_crashing_request(&mut self, at: Duration, id: &str, daemon: usize) {
        let since = at.saturating_sub(UNDISTURBED_AFTER);
        let last_tolerated = self.crashes.get(TOLERATED_CRASHES - 1).copied();
        self.crashes.push(at);
        self.daemons[daemon].crashed.push(at);
        let entry = self
            .requests
            .get(id)
            .map_or(daemon, |request| request.daemon);
        let overlaps = |(from, until): &(Duration, Duration)| *from <= at && *until >= since;
        let is_in_touch = !self.store_faulted.iter().any(overlaps)
            && self.was_in_touch(entry, at)
            && self.was_in_touch(daemon, at);
        let is_avoidable = last_tolerated
            .is_some_and(|last_tolerated| last_tolerated + UNDISTURBED_AFTER + self.lag < at);
        self.avoidable_crashes += usize::from(is_avoidable && is_in_touch);
        if self.avoidable_crashes > TOLERATED_CRASHES {
            let description = format!(
                "{id} reaches daemon {daemon} from {entry}; {} earlier crashes, {} of them avoidable",
                self.crashes.len() - 1,
                self.avoidable_crashes - 1
            );
            self.add_breach(at, Promise::Held, description);
        }
    }

    /// Whether a daemon has run undisturbed for [`UNDISTURBED_AFTER`].
    fn was_in_touch(&self, daemon: usize, at: Duration) -> bool {
        let observed = &self.daemons[daemon];
        let since = at.saturating_sub(UNDISTURBED_AFTER);
        let incarnation = observed.incarnations.last();
        let is_running = incarnation.is_some_and(|incarnation| {
            incarnation.stop_requested.is_none() && incarnation.up_since <= since
        });
        is_running && !observed.was_disturbed(since, at)
    }

    /// Records that a route table may be in force from now on.
    pub fn table_published(&mut self, version: u64) {
        self.tables.published(version);
    }

    /// Records that the store confirmed the route table of a version.
    pub fn table_confirmed(&mut self, at: Duration, version: u64) {
        self.workspaces.table_confirmed(at, version);
        self.tables.confirmed(at, version);
    }

    /// Records that an earlier route table is about to be written again.
    pub fn reverting_to(&mut self, version: u64) {
        self.workspaces.reverting_to(version);
        self.tables.reverting();
    }

    /// Records that the leave of a backend server was acknowledged.
    pub fn leave_acknowledged(&mut self, at: Duration, daemon: usize) {
        self.daemons[daemon].leave_acknowledged_at = Some(at);
    }

    /// Records that a new incarnation of a backend server is about to announce itself.
    pub fn backend_joining(&mut self, daemon: usize) {
        let observed = &mut self.daemons[daemon];
        observed.leave_acknowledged_at = None;
        observed.named_leave = None;
    }

    /// Records that a backend server names a limit in its responses from now on, or none.
    pub fn limit_named(&mut self, at: Duration, daemon: usize, per_second: Option<u64>) {
        self.daemons[daemon].named_limit = per_second.map(|per_second| NamedLimit {
            since: at,
            per_second,
            arrivals: VecDeque::new(),
        });
    }

    /// Records that a backend server says in its responses from now on that it is leaving.
    pub fn leave_named(&mut self, at: Duration, daemon: usize) {
        self.daemons[daemon].named_leave = Some(NamedLeave {
            since: at,
            passed_on_at: None,
        });
    }

    /// Checks an arrival against the limit that the backend server names.
    fn check_limit(&mut self, at: Duration, daemon: usize) {
        let lag = self.lag;
        let Some(limit) = &mut self.daemons[daemon].named_limit else {
            return;
        };
        if at < limit.since + UNDISTURBED_AFTER + lag {
            return;
        }
        limit.arrivals.push_back(at);
        while limit
            .arrivals
            .front()
            .is_some_and(|first| *first + LIMIT_WINDOW <= at)
        {
            limit.arrivals.pop_front();
        }
        let limited = limit.per_second as f64 * (LIMIT_WINDOW + lag).as_secs_f64();
        let allowed = limited * LIMIT_OVERAGE + LIMIT_SLACK;
        let count = limit.arrivals.len();
        if count as f64 > allowed {
            let description = format!(
                "backend server {daemon}, which names a limit of {}, gets {count} requests in {LIMIT_WINDOW:?}",
                limit.per_second
            );
            limit.arrivals.clear();
            self.add_breach(at, Promise::Limit, description);
        }
    }

    /// Records that a caller got the response of a backend server that may name a leave.
    fn record_passed_on_leave(&mut self, at: Duration, id: &str) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(place) = request.places.last() else {
            return;
        };
        let leave = &mut self.daemons[place.daemon].named_leave;
        if let Some(leave) = leave.as_mut().filter(|leave| request.sent_at > leave.since) {
            leave.passed_on_at.get_or_insert(at);
        }
    }

    /// Records the exit of a daemon's process.
    pub fn exited(&mut self, at: Duration, daemon: usize, code: Option<i32>) {
        self.check_exit_time(at, daemon);
        let incarnation = self.last_incarnation(daemon);
        incarnation.ended = true;
        let (stop_requested, killed, is_overdue) = (
            incarnation.stop_requested,
            incarnation.killed,
            incarnation.is_overdue,
        );
        let from = stop_requested
            .unwrap_or_default()
            .saturating_sub(UNDISTURBED_AFTER);
        let disturbed = incarnation.was_disturbed(from, at);
        if killed {
            return;
        }
        if stop_requested.is_none() {
            let description = format!("daemon {daemon} exited by itself with {code:?}");
            return self.add_breach(at, Promise::GoesOn, description);
        }
        self.counts.stops += 1;
        if code != Some(0) && !disturbed && !is_overdue {
            self.last_incarnation(daemon).cut_exit = Some((at, code));
        }
    }

    /// Checks what can be judged only after the last observation.
    pub fn finish(&mut self, at: Duration) {
        for description in self.tables.wrong_totals() {
            self.add_breach(at, Promise::InForce, description);
        }
        let mut cut_exits = Vec::new();
        for (daemon, observed) in self.daemons.iter().enumerate() {
            let incarnations = observed
                .incarnations
                .iter()
                .filter(|incarnation| !incarnation.has_excused_cut);
            cut_exits.extend(incarnations.filter_map(|incarnation| {
                Some((daemon, incarnation.stop_requested?, incarnation.cut_exit?))
            }));
        }
        for (daemon, stop_requested, (at, code)) in cut_exits {
            let description =
                format!("daemon {daemon}, told to stop at {stop_requested:?}, exits with {code:?}");
            self.add_breach(at, Promise::ExitsInTime, description);
        }
    }

    /// Returns whether a stopping daemon exceeds its stop timeout, which is reported once; it may then be killed.
    pub fn check_exit_time(&mut self, at: Duration, daemon: usize) -> bool {
        let allowed = self.stop_timeout + EXIT_SLACK + self.lag;
        let incarnation = self.last_incarnation(daemon);
        let Some(stop_requested) = incarnation
            .stop_requested
            .filter(|_| !incarnation.killed && !incarnation.ended && !incarnation.is_overdue)
        else {
            return false;
        };
        if at <= stop_requested + allowed + incarnation.paused_duration(stop_requested, at) {
            return false;
        }
        incarnation.is_overdue = true;
        let description =
            format!("daemon {daemon}, told to stop at {stop_requested:?}, still runs");
        self.add_breach(at, Promise::ExitsInTime, description);
        true
    }

    /// Records the result of a readiness check that was sent at `sent_at`.
    pub fn readiness_reported(
        &mut self,
        sent_at: Duration,
        daemon: usize,
        incarnation: usize,
        ready: bool,
    ) {
        let timeout = NOT_READY_TIMEOUT + self.lag;
        let Some(observed) = self.daemons[daemon].incarnations.get_mut(incarnation) else {
            return;
        };
        let Some(stop_requested) = observed
            .stop_requested
            .filter(|stop_requested| sent_at > *stop_requested)
        else {
            return;
        };
        let is_overdue =
            sent_at > stop_requested + timeout + observed.paused_duration(stop_requested, sent_at);
        let was_not_ready = observed.has_reported_not_ready;
        observed.has_reported_not_ready |= !ready;
        if ready && (is_overdue || was_not_ready) {
            let description = format!(
                "daemon {daemon}, told to stop at {stop_requested:?}, reports that it is ready"
            );
            self.add_breach(sent_at, Promise::NotReady, description);
        }
    }

    /// Records that a request is about to be sent to an incarnation of a daemon.
    pub fn sending(
        &mut self,
        at: Duration,
        id: &str,
        kind: Kind,
        daemon: usize,
        incarnation: usize,
    ) {
        self.sending_with_credential(at, id, kind, (daemon, incarnation), CredentialKind::Steady);
    }

    /// As [`Checker::sending`], with another credential.
    pub fn sending_with_credential(
        &mut self,
        at: Duration,
        id: &str,
        kind: Kind,
        (daemon, incarnation): (usize, usize),
        credential_kind: CredentialKind,
    ) {
        self.counts.sent += 1;
        let request = Request {
            kind,
            credential_kind,
            daemon,
            incarnation,
            sent_at: at,
            places: Vec::new(),
            is_refused: false,
            is_behind_another: false,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// Records that a request is sent before the response to the one before it on the connection. It may be closed unless
    /// it was passed on.
    pub fn sent_behind_another(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.is_behind_another = true;
        }
    }

    /// Records that a request reaches a backend server.
    pub fn reached_backend(&mut self, at: Duration, id: &str, place: Place) {
        let Some(request) = self.requests.get_mut(id) else {
            let description = format!("no caller sent {id}");
            return self.add_breach(at, Promise::Asked, description);
        };
        request.places.push(place);
        let (kind, sent_at, is_refused) = (request.kind, request.sent_at, request.is_refused);
        let credential_kind = request.credential_kind;
        let run_count = request.places.iter().filter(|place| place.runs).count();
        let max_wait = DRAIN_TIME + self.lag;
        if self.daemons[place.daemon]
            .leave_acknowledged_at
            .is_some_and(|acknowledged_at| {
                sent_at > acknowledged_at || at > acknowledged_at + max_wait
            })
        {
            let description = format!(
                "{id}, sent at {sent_at:?}, reaches backend server {} after its leave",
                place.daemon
            );
            self.add_breach(at, Promise::Leaves, description);
        }
        let named_leave = self.daemons[place.daemon].named_leave.as_ref();
        let passed_on_at = named_leave.and_then(|leave| leave.passed_on_at);
        if let Some(passed_on_at) = passed_on_at
            && sent_at > passed_on_at + DRAIN_TIME
        {
            let description = format!(
                "{id}, sent at {sent_at:?}, reaches backend server {}, whose leave was passed on at {passed_on_at:?}",
                place.daemon
            );
            self.add_breach(at, Promise::Leaves, description);
        }
        self.check_limit(at, place.daemon);
        if !place.runs {
            return;
        }
        self.check_route(at, id, place.daemon);
        self.counts.ran += 1;
        if let Some(wrong) = self
            .workspaces
            .check_run(at, sent_at, credential_kind, self.lag)
        {
            let promise = match credential_kind {
                CredentialKind::Limited => Promise::Quota,
                _ => Promise::Revoked,
            };
            self.add_breach(
                at,
                promise,
                format!("{id} runs at {}, {wrong}", place.daemon),
            );
        }
        if kind == Kind::Once && run_count > 1 {
            let description = format!("{id} runs {run_count} times, now at {}", place.daemon);
            self.add_breach(at, Promise::AtMostOnce, description);
        }
        if is_refused {
            let description = format!("{id} runs at {} after it was refused", place.daemon);
            self.add_breach(at, Promise::Refused, description);
        }
    }

    /// Records how a request ended for its caller.
    pub fn ended(&mut self, at: Duration, id: &str, ending: Ending) {
        self.count_served(at, id, ending);
        match ending {
            Ending::Answer {
                status,
                own,
                foreign,
            } => {
                self.check_time(at, id);
                if own && status == 200 {
                    self.record_passed_on_leave(at, id);
                }
                self.check_answer(at, id, status, own, foreign);
            }
            Ending::Cut | Ending::Closed | Ending::Silent | Ending::Stalled => {
                self.check_lost(at, id, ending);
            }
        }
    }

    /// Records that something isn't served again after the faults.
    pub fn did_not_recover(&mut self, at: Duration, description: String) {
        self.add_breach(at, Promise::Recovers, description);
    }

    fn check_answer(&mut self, at: Duration, id: &str, status: u16, own: bool, foreign: bool) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let is_success = (200..300).contains(&status);
        let is_refused = REFUSAL_STATUSES.contains(&status);
        request.is_refused = is_refused;
        let (kind, credential_kind, ran_at) = (
            request.kind,
            request.credential_kind,
            request.daemons_run_at(),
        );
        match (is_success, is_refused) {
            (true, _) => self.counts.succeeded += 1,
            (_, true) => self.counts.refused += 1,
            _ => self.counts.failed += 1,
        }
        if foreign || (is_success && !own) {
            let description =
                format!("{id} got a response {status} that is incomplete or of another request");
            self.add_breach(at, Promise::OwnWhole, description);
        }
        if is_refused && !ran_at.is_empty() {
            let description = format!("{id} is refused with {status} and ran at {ran_at:?}");
            self.add_breach(at, Promise::Refused, description);
        }
        if let Kind::Version(version) = kind {
            self.check_version(at, id, version, status);
            self.check_in_force(at, id, version, status);
        } else if (300..500).contains(&status)
            && !is_refused
            && !credential_kind.may_be_unknown(status)
        {
            let description = format!("{id} is denied with {status}");
            self.add_breach(at, Promise::Denied, description);
        }
    }

    /// Derives the route table in force at the daemon from a response, and checks that it isn't older than before.
    fn check_version(&mut self, at: Duration, id: &str, version: u64, status: u16) {
        let request = &self.requests[id];
        let (daemon, incarnation, sent_at) = (request.daemon, request.incarnation, request.sent_at);
        let published = self.tables.newest_published();
        let Some(observed) = self.daemons[daemon].incarnations.get_mut(incarnation) else {
            return;
        };
        // The newest version observed before this request was sent.
        let newest_before = observed.newest.filter(|(_, when)| *when < sent_at);
        let newest_before = newest_before.map_or(0, |(version, _)| version);
        let went_back = match status {
            200 => version < newest_before,
            // Only a newer table lacks the route.
            404 => version == newest_before && version == published,
            _ => false,
        };
        if status == 200 && observed.newest.is_none_or(|(newest, _)| version > newest) {
            observed.newest = Some((version, at));
        }
        if went_back {
            let description = format!(
                "daemon {daemon} answers {status} to version {version} after {newest_before}"
            );
            self.add_breach(at, Promise::Newest, description);
        }
    }

    /// Checks that a response doesn't show an older route table than the one that has to be in force.
    fn check_in_force(&mut self, at: Duration, id: &str, version: u64, status: u16) {
        let request = &self.requests[id];
        let (daemon, sent_at) = (request.daemon, request.sent_at);
        let Some(possible) = self.possible_versions(at, daemon, sent_at) else {
            return;
        };
        let (oldest, newest) = (*possible.start(), *possible.end());
        let is_older = match status {
            200 => version < oldest,
            // Only a newer table lacks the route.
            404 => version == oldest && version == newest,
            _ => false,
        };
        if is_older {
            let description = format!(
                "daemon {daemon} answers {status} to version {version}, sent at {sent_at:?}, when {oldest} has to be in force"
            );
            self.add_breach(at, Promise::InForce, description);
        }
    }

    /// Returns the versions that may be in force at a daemon for a request that was sent to it and is observed at `at`;
    /// `None` if none has to be, because the daemon was disturbed.
    fn possible_versions(
        &self,
        at: Duration,
        daemon: usize,
        sent_at: Duration,
    ) -> Option<RangeInclusive<u64>> {
        let possible = self.tables.possible(sent_at, self.lag)?;
        let since = sent_at.saturating_sub(UNDISTURBED_AFTER);
        let was_readable = !self
            .store_unreadable
            .iter()
            .any(|(from, until)| *from <= at && *until >= since);
        let is_in_touch = self.was_in_touch(daemon, sent_at) && self.was_in_touch(daemon, at);
        (was_readable && is_in_touch).then_some(possible)
    }

    /// Checks that a request on the moved route runs where a version that may be in force leads it, and counts those on
    /// the shared route.
    fn check_route(&mut self, at: Duration, id: &str, daemon: usize) {
        let request = &self.requests[id];
        let (kind, entry, sent_at) = (request.kind, request.daemon, request.sent_at);
        let is_first = request.places.len() == 1;
        if !matches!(kind, Kind::Moved | Kind::Shared) {
            return;
        }
        let Some(possible) = self.possible_versions(at, entry, sent_at) else {
            return;
        };
        if kind == Kind::Shared && is_first {
            self.tables.record_shared(daemon);
        }
        let is_possible = |version| route_tables::leads_to(version, daemon);
        if kind == Kind::Moved && !possible.clone().any(is_possible) {
            let description = format!(
                "{id}, sent to daemon {entry} at {sent_at:?}, runs at {daemon}, where none of the versions {possible:?} leads"
            );
            self.add_breach(at, Promise::InForce, description);
        }
    }

    /// Counts a response for the comparison of added routes with others.
    fn count_served(&mut self, at: Duration, id: &str, ending: Ending) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let added_by = match request.kind {
            Kind::Version(version) => Some(version),
            Kind::Safe => None,
            _ => return,
        };
        let is_served = matches!(ending, Ending::Answer { status: 200, .. });
        if let Some(possible) = self.possible_versions(at, request.daemon, request.sent_at) {
            self.tables.record_answer(&possible, added_by, is_served);
        }
    }

    /// Checks that a response came by the deadline, unless its daemon was disturbed. A request behind another one may have
    /// been read much later than it was sent.
    fn check_time(&mut self, at: Duration, id: &str) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (daemon, sent_at) = (request.daemon, request.sent_at);
        let longest = Duration::from_millis(SoakTarget::DEADLINE_MS);
        let deadline = match request.kind {
            Kind::Timed => {
                let possible = self.possible_versions(at, daemon, sent_at);
                let deadlines = possible
                    .into_iter()
                    .flatten()
                    .map(route_tables::timed_deadline);
                deadlines.max().unwrap_or(longest)
            }
            _ => longest,
        };
        let is_late = at > sent_at + deadline + MAX_TIME_PAST_DEADLINE + self.lag;
        let is_late = is_late && !request.is_behind_another;
        if is_late && self.was_in_touch(daemon, sent_at) && self.was_in_touch(daemon, at) {
            let description = format!(
                "{id}, sent to daemon {daemon} at {sent_at:?}, is answered later than {deadline:?}"
            );
            self.add_breach(at, Promise::InTime, description);
        }
    }

    fn check_lost(&mut self, at: Duration, id: &str, ending: Ending) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (daemon, sent_at) = (request.daemon, request.sent_at);
        let from = sent_at.saturating_sub(UNDISTURBED_AFTER);
        let incarnation = self.daemons[daemon].incarnations.get(request.incarnation);
        let is_entry_disturbed = incarnation
            .is_none_or(|incarnation| incarnation.killed || incarnation.was_disturbed(from, at));
        // The rest of the response was behind a fault.
        let is_behind_fault = request
            .places
            .iter()
            .any(|place| place.misbehaves || self.daemons[place.daemon].may_break_off(from, at));
        let is_close_race = request.places.is_empty()
            && (request.is_behind_another || at - sent_at <= CLOSE_RACE_WINDOW + self.lag);
        let broken_heads = self.daemons[daemon].broken_heads;
        let is_excepted = match ending {
            Ending::Closed => is_close_race || (is_behind_fault && broken_heads < MAX_BROKEN_HEADS),
            Ending::Cut => is_behind_fault,
            _ => false,
        };
        let stop_requested = incarnation.and_then(|incarnation| incarnation.stop_requested);
        if is_entry_disturbed || is_excepted {
            let is_broken_head = !is_entry_disturbed && !is_close_race && ending == Ending::Closed;
            self.daemons[daemon].broken_heads += u32::from(is_broken_head);
            self.counts.lost += 1;
            let number = request.incarnation;
            if let Some(incarnation) = self.daemons[daemon].incarnations.get_mut(number) {
                incarnation.has_excused_cut |= !is_close_race;
            }
            return;
        }
        let description = format!(
            "{id} {:?} sent to daemon {daemon} at {sent_at:?} ends with {ending:?}; told to stop: \
             {stop_requested:?}; reached {:?}",
            request.kind, request.places
        );
        self.add_breach(at, Promise::Answered, description);
    }

    fn last_incarnation(&mut self, daemon: usize) -> &mut Incarnation {
        let incarnations = &mut self.daemons[daemon].incarnations;
        if incarnations.is_empty() {
            incarnations.push(Incarnation::default());
        }
        incarnations.last_mut().expect("the list is not empty")
    }

    fn add_breach(&mut self, at: Duration, promise: Promise, description: String) {
        self.breaches.push(Breach {
            at,
            promise,
            what: description,
        });
    }
}

impl Request {
    fn daemons_run_at(&self) -> Vec<usize> {
        let places = self.places.iter().filter(|place| place.runs);
        places.map(|place| place.daemon).collect()
    }
}

impl Incarnation {
    fn was_disturbed(&self, from: Duration, until: Duration) -> bool {
        self.paused
            .iter()
            .any(|(start, end)| *start <= until && end.is_none_or(|end| end >= from))
    }

    fn paused_duration(&self, from: Duration, until: Duration) -> Duration {
        self.paused
            .iter()
            .map(|(start, end)| {
                let (start, end) = ((*start).max(from), end.unwrap_or(until).min(until));
                end.saturating_sub(start)
            })
            .sum()
    }
}

impl DaemonObservations {
    /// Whether requests at its backend server may have been cut off.
    fn may_break_off(&self, from: Duration, until: Duration) -> bool {
        let crashed = self.crashed.iter().any(|at| *at >= from && *at <= until);
        crashed || self.was_disturbed(from, until)
    }

    fn was_disturbed(&self, from: Duration, until: Duration) -> bool {
        let overlaps = |start: Duration, end: Duration| start <= until && end >= from;
        self.incarnations
            .iter()
            .any(|incarnation| incarnation.was_disturbed(from, until))
            || self.killed.iter().any(|at| overlaps(*at, *at))
            || self
                .path_faulted
                .iter()
                .any(|(start, end)| overlaps(*start, *end))
    }
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = self.at.as_millis();
        write!(f, "{ms:>7} ms  {:?}: {}", self.promise, self.what)
    }
}
