//! A daemon's settings. `docs/SETTINGS.md` describes each field, and a test compares the
//! default file `settings/sorrelturnd.jsonc` with the defaults here.

use serde::{Deserialize, Serialize};
use sorrelturn_bundle::{Diagnostic, SourceMap, TrustedKeys, parse_settings};
use sorrelturn_platform::OBJECTS_PATH;
use sorrelturn_policy::ColdRate;
use sorrelturn_quota::{Bound, ValidityConfig};
use std::{
    collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, path::PathBuf, time::Duration,
};

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance; it is the same after a restart.
    pub instance: String,
    /// The service of the backend server.
    pub service: String,
    /// The failure domain of this VM.
    pub failure_domain: String,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The addresses at which other daemons reach this one, if they differ from those to listen
    /// on.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// The backend server.
    pub backend: BackendSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// The route table, if one replaces the signed bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<RouteSettings>,
    /// Control addresses of daemons to join through if the platform is down at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The public keys of trusted operators by name, in hexadecimal.
    #[serde(default)]
    pub operators: BTreeMap<String, String>,
    /// The fleet's keys. Without them, daemons communicate in the clear, for tests and the demo
    /// only.
    #[serde(default)]
    pub fleet_keys: Option<FleetKeySettings>,
    /// The number of threads that handle requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The limit of open connections of all listeners. At the limit, each new connection closes the
    /// one that has been idle longest; connections that carry requests stay open.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// The memory that the process may use, in megabytes. Requests are refused before those in progress take most of
    /// it. Absent if it isn't limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
    /// At-most-once execution.
    #[serde(default)]
    pub once: OnceSettings,
    /// The planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// The export of traces; off if absent.
    #[serde(default)]
    pub trace: Option<TraceSettings>,
    /// The export of metrics; off if absent.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Events retained for explanations.
    #[serde(default)]
    pub events: EventSettings,
}

/// Addresses to listen on; port 0 selects a free one. A running daemon reports its actual
/// addresses in the same form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the own backend server's calls; must be on the loopback interface.
    pub local: SocketAddr,
    /// For calls of other daemons.
    pub peers: SocketAddr,
    /// For control messages of other daemons.
    pub control: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For requests whose kind follows from host and path prefix, of callers on this VM and of
    /// the own backend server; needs [`Settings::routes`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routed: Option<SocketAddr>,
    /// For announcements of the own backend server; needs [`Settings::routes`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub announce: Option<SocketAddr>,
    /// For readiness checks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<SocketAddr>,
}

/// Addresses advertised to other daemons; an absent one defaults to that of `listen`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertiseSettings {
    /// For their calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
    /// For their control messages.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
}

/// The backend server beside this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// The timeout for a new connection to it, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u64,
}

/// The platform's object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// The timeout of one call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
    /// The path prefix of objects.
    #[serde(default = "default_objects_path")]
    pub objects_path: String,
}

/// The location of the route table that replaces a signed bundle, and the limits of retries and
/// quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// The object that holds the route table, as in `config/main`.
    pub object: String,
    /// The retries that all daemons together may make at a service for each request to it.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// The retries that all daemons together may make in addition, in each window.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// The window of `retry_ratio` and `retry_slack`, in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// The prefix of the objects that name evacuated failure domains, as in `evacuations/`. If
    /// absent, none is evacuated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<String>,
    /// With `cold_slack`, bounds the requests that all daemons may send to a cold backend server in
    /// one second: the service's `cold_rate` x `cold_overage` + `cold_slack`.
    #[serde(default = "default_cold_overage")]
    pub cold_overage: f64,
    /// See `cold_overage`.
    #[serde(default)]
    pub cold_slack: f64,
    /// How long a credential may be accepted after its revocation, even at an unreachable VM, in
    /// milliseconds. If absent, as long as the table in force has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revocation_ms: Option<u64>,
    /// The window in which a workspace's admitted requests are counted, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// The fraction of a quota by which the count may exceed it.
    #[serde(default = "default_quota_overage")]
    pub quota_overage: f64,
    /// The number of requests by which the count may exceed it in addition.
    #[serde(default)]
    pub quota_slack: f64,
    /// The minimum duration of a lease of a daemon's share of all quotas, in milliseconds; large
    /// fleets use longer leases. The shares leased to an allocator that fails stay unusable for the
    /// duration of a lease, and a new daemon has no share to lease for that long. Should be at
    /// least ten times the longest round trip between daemons; otherwise part of the quota stays
    /// unused.
    #[serde(default = "default_quota_lease_ms")]
    pub quota_lease_ms: u64,
    /// Mechanisms for callers that compete for room and for uneven backend servers.
    #[serde(default, skip_serializing_if = "ContentionSettings::is_default")]
    pub contention: ContentionSettings,
}

/// Mechanisms that a deployment asks for. An absent one is on if the deployment calls for it: if workspaces have
/// quotas, or if backend servers report their work time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ContentionSettings {
    /// Whether refusals at the entry follow from the room of all instances of a service together. Absent: if backend
    /// servers report their work time. See `docs/design/service-room.md`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pooled_room: Option<bool>,
    /// Whether root requests wait for room at their entry. Absent: if workspaces have quotas or backend servers report
    /// their work time. See `docs/design/entry-queue.md`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry_queue: Option<bool>,
    /// Whether scarce retries go to the calls of the root requests that come first. Absent: if workspaces have quotas
    /// or backend servers report their work time. See `docs/design/retry-order.md`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_order: Option<bool>,
    /// Whether workspaces are refused by their fair shares. Absent: if workspaces have quotas. See
    /// `docs/design/fair-shares.md`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fair_shares: Option<bool>,
}

impl ContentionSettings {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl RouteSettings {
    /// Returns how long a credential may be accepted after its revocation.
    pub(crate) fn revocation(&self) -> Option<Duration> {
        self.revocation_ms.map(Duration::from_millis)
    }

    /// Returns the limit for a backend server that accepts `per_second` requests while it is cold.
    pub(crate) fn cold_rate(&self, per_second: f64) -> ColdRate {
        ColdRate {
            per_second,
            max_per_second: per_second * self.cold_overage + self.cold_slack,
        }
    }

    /// Returns the bound within which quotas are counted.
    pub(crate) fn quota_bound(&self) -> Bound {
        Bound {
            window: Duration::from_secs_f64(self.quota_window_s),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// Returns the validity of leases (of a daemon's share to an allocator) and of grants (of
    /// single requests by an allocator). Grants issued before a window may be used in it, so they
    /// have to fit into the overage.
    pub(crate) fn quota_validity(&self) -> ValidityConfig {
        let overage = self.quota_window_s * self.quota_overage * GRANT_FRACTION_OF_OVERAGE;
        ValidityConfig {
            min_lease_duration: Duration::from_millis(self.quota_lease_ms),
            grant_validity: MAX_GRANT_VALIDITY.min(Duration::from_secs_f64(overage)),
        }
    }
}

/// The fraction of the overage for grants that were issued before a window and are used in it;
/// the rest is for bursts.
const GRANT_FRACTION_OF_OVERAGE: f64 = 0.3;
/// The maximum validity of a grant; until it expires, no other daemon can use it.
const MAX_GRANT_VALIDITY: Duration = Duration::from_millis(150);

/// The events retained for explanations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EventSettings {
    /// The maximum number of retained events, about 700 bytes each.
    pub kept: usize,
}

impl Default for EventSettings {
    fn default() -> Self {
        Self { kept: 16_384 }
    }
}

/// PEM files with the keys by which daemons authenticate each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetKeySettings {
    /// The certificates of the trusted authorities; two of them during a rotation.
    pub authorities: PathBuf,
    /// This daemon's certificate.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
}

/// At-most-once execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnceSettings {
    /// How long a token is valid and its response can be requested again, in seconds.
    pub ttl_s: u64,
    /// The maximum number of unexpired tokens.
    pub capacity: usize,
    /// The maximum bytes of responses retained for repeats.
    pub kept_bytes: usize,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            ttl_s: 600,
            capacity: 20_000,
            kept_bytes: 16_000_000,
        }
    }
}

/// The planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// The time from the signal until the platform kills the process, as in `6`, `6s` or `6000ms`. All requests have
    /// final responses shortly before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub grace: Option<Grace>,
    /// Without `grace`: the maximum time from the signal to the exit, in milliseconds. All requests have a final
    /// response by then, and the process may be killed soon after.
    pub most_ms: u64,
    /// Without `grace`: the maximum time from the signal to the final responses of requests that are passed on after it, in
    /// milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// How long requests are still accepted after the daemon stops being ready, in milliseconds,
    /// so that readiness checks can notice.
    pub linger_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            grace: None,
            most_ms: 60_000,
            late_ms: None,
            linger_ms: 500,
        }
    }
}

/// The maximum times from the signal to the ends of the parts of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopLimits {
    /// To the exit.
    pub most: Duration,
    /// To the final responses of requests that are passed on after the signal.
    pub late: Duration,
    /// To the last request that is accepted.
    pub linger: Duration,
}

impl StopSettings {
    /// Returns the limits of the stop. Where the platform tells when it kills, they follow from that.
    pub fn limits(&self) -> StopLimits {
        let told = self.grace.map(Grace::before_kill);
        let most = told.unwrap_or(Duration::from_millis(self.most_ms));
        let late = self.late_ms.map(Duration::from_millis);
        let min_after_linger = Duration::from_millis(MIN_TIME_AFTER_LINGER_MS);
        StopLimits {
            most,
            late: late.filter(|_| told.is_none()).unwrap_or(most).min(most),
            linger: Duration::from_millis(self.linger_ms)
                .min(most.saturating_sub(min_after_linger)),
        }
    }
}

/// The time from the signal to stop until the process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Grace(Duration);

impl Grace {
    fn before_kill(self) -> Duration {
        self.0.saturating_sub(KILL_MARGIN)
    }
}

impl TryFrom<String> for Grace {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (number, unit) = match text.strip_suffix("ms") {
            Some(number) => (number, Duration::from_millis(1)),
            None => (
                text.strip_suffix('s').unwrap_or(&text),
                Duration::from_secs(1),
            ),
        };
        let number = number.trim().parse::<f64>().ok();
        let time =
            number.and_then(|number| Duration::try_from_secs_f64(number * unit.as_secs_f64()).ok());
        match time.filter(|time| !time.is_zero()) {
            Some(time) => Ok(Self(time)),
            None => Err(format!("{text:?} is not a time, write it as in \"6s\"")),
        }
    }
}

impl From<Grace> for String {
    fn from(grace: Grace) -> Self {
        format!("{}ms", grace.0.as_millis())
    }
}

/// The export of traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSettings {
    /// A receiver of OTLP over HTTP, with JSON bodies.
    pub collector: SocketAddr,
    /// The maximum number of queued spans.
    #[serde(default = "default_span_buffer")]
    pub buffer: usize,
}

/// The export of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// A receiver of StatsD over UDP.
    pub statsd: SocketAddr,
}

fn default_threads() -> usize {
    2
}

/// Leaves file descriptors for the connections to the backend server.
fn default_connections() -> usize {
    2_048
}

fn default_connect_ms() -> u64 {
    300
}

fn default_platform_timeout_ms() -> u64 {
    1_000
}

fn default_objects_path() -> String {
    OBJECTS_PATH.to_owned()
}

fn default_retry_ratio() -> f64 {
    0.1
}

fn default_retry_slack() -> f64 {
    10.0
}

fn default_retry_window_s() -> f64 {
    10.0
}

fn default_quota_window_s() -> f64 {
    5.0
}

fn default_quota_lease_ms() -> u64 {
    1_000
}

fn default_cold_overage() -> f64 {
    1.0
}

fn default_quota_overage() -> f64 {
    0.1
}

fn default_span_buffer() -> usize {
    4_096
}

const MAX_THREADS: usize = 64;

/// The maximum of `once.capacity`: if all tokens are issued within one segment of outcomes, which
/// covers a minute, their outcomes have to fit into one object of the store.
const MAX_TOKENS: usize = 20_000;

/// The range of the window for retries, in seconds.
const MIN_RETRY_WINDOW_S: f64 = 0.1;
const MAX_RETRY_WINDOW_S: f64 = 3_600.0;

/// The range of the window for quotas, in seconds.
const QUOTA_WINDOW_RANGE_S: RangeInclusive<f64> = 0.1..=3_600.0;
/// The range of the minimum duration of quota leases, in milliseconds; shorter ones would cause
/// too many renewals.
const QUOTA_LEASE_RANGE_MS: RangeInclusive<u64> = 100..=10_000;
/// The minimum revocation time: the minimum staleness at which a request refreshes the table, plus
/// the revocation margin.
const MIN_REVOCATION_MS: u64 = 3_000;

/// The time by which a stop ends before the platform kills the process. A busy daemon notices the signal up to half a second
/// late.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// The minimum time for requests after the linger time, in milliseconds. Most requests end within a second.
const MIN_TIME_AFTER_LINGER_MS: u64 = 1_000;

impl Settings {
    /// Parses and checks a settings file; `file` is its name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let settings: Self =
            parse_settings(file, text, "docs/SETTINGS.md").map_err(|error| vec![error])?;
        let findings = settings.check(&SourceMap::new(file, text));
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(findings)
        }
    }

    fn check(&self, map: &SourceMap) -> Vec<Diagnostic> {
        let mut findings = Vec::new();
        let mut at = |path: &[&str], message: &str, help: &str| {
            findings.push(map.at(path, message, help));
        };
        for (name, value) in [
            ("instance", &self.instance),
            ("service", &self.service),
            ("failure_domain", &self.failure_domain),
        ] {
            if !is_name(value) {
                let help = "write lower-case letters, digits, hyphens and dots, 63 at most";
                at(
                    &[name],
                    &format!("{name} is not a valid name: {value:?}"),
                    help,
                );
            }
        }
        if !self.listen.local.ip().is_loopback() {
            at(
                &["listen", "local"],
                "the local listener would be reachable from other hosts, which could act as the backend server",
                "write an address of the loopback interface, as in 127.0.0.1:7001",
            );
        }
        if self.has_duplicate_listeners() {
            at(
                &["listen"],
                "two listeners have the same address",
                "give each a port of its own, or port 0 for a free one",
            );
        }
        let advertised = [
            ("peers", self.listen.peers, self.advertise.peers),
            ("control", self.listen.control, self.advertise.control),
        ];
        for (name, listen, advertise) in advertised {
            if advertise.unwrap_or(listen).ip().is_unspecified() {
                at(
                    &["listen", name],
                    "other daemons would get an address that they can't connect to",
                    &format!("write the address of this VM here, or in advertise.{name}"),
                );
            }
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            let help = format!("write a number from 1 to {MAX_THREADS}");
            at(
                &["threads"],
                &format!("threads is {}, which is out of range", self.threads),
                &help,
            );
        }
        if let Some(routes) = &self.routes
            && !(MIN_RETRY_WINDOW_S..=MAX_RETRY_WINDOW_S).contains(&routes.retry_window_s)
        {
            at(
                &["routes", "retry_window_s"],
                &format!(
                    "routes.retry_window_s is {}, which is out of range",
                    routes.retry_window_s
                ),
                &format!("write seconds from {MIN_RETRY_WINDOW_S} to {MAX_RETRY_WINDOW_S}"),
            );
        }
        if let Some(routes) = &self.routes
            && !(QUOTA_WINDOW_RANGE_S.contains(&routes.quota_window_s)
                && (0.0..=1.0).contains(&routes.quota_overage)
                && routes.quota_slack >= 0.0)
        {
            let (minimum, maximum) = (QUOTA_WINDOW_RANGE_S.start(), QUOTA_WINDOW_RANGE_S.end());
            at(
                &["routes", "quota_window_s"],
                "routes.quota_window_s, routes.quota_overage or routes.quota_slack is out of range",
                &format!(
                    "quota_window_s: {minimum} to {maximum}; quota_overage: 0 to 1; quota_slack: 0 or more"
                ),
            );
        }
        if let Some(routes) = &self.routes
            && !QUOTA_LEASE_RANGE_MS.contains(&routes.quota_lease_ms)
        {
            let (minimum, maximum) = (QUOTA_LEASE_RANGE_MS.start(), QUOTA_LEASE_RANGE_MS.end());
            at(
                &["routes", "quota_lease_ms"],
                &format!(
                    "routes.quota_lease_ms is {}, which is out of range",
                    routes.quota_lease_ms
                ),
                &format!("write milliseconds from {minimum} to {maximum}"),
            );
        }
        if self.routes.as_ref().is_some_and(|routes| {
            let revocation_ms = routes.revocation_ms;
            revocation_ms.is_some_and(|ms| ms < MIN_REVOCATION_MS)
        }) {
            at(
                &["routes", "revocation_ms"],
                "credentials would be refused between two reads of the route table",
                &format!("write milliseconds, {MIN_REVOCATION_MS} or more"),
            );
        }
        if self.operators.is_empty() && self.routes.is_none() {
            at(
                &["operators"],
                "no operator is trusted, so no bundle could ever be put in force",
                "add a name and the public key that `sorrelctl key new` printed",
            );
        }
        if let Err(error) = TrustedKeys::from_hex(&self.operators) {
            let help = "copy the public key that `sorrelctl key new` printed";
            at(&["operators"], &error.to_string(), help);
        }
        if self.platform.timeout_ms == 0 || self.backend.connect_ms == 0 {
            at(
                &["platform", "timeout_ms"],
                "platform.timeout_ms or backend.connect_ms is 0, so every call would time out",
                "write milliseconds, 1 or more",
            );
        }
        if let Some(routes) = &self.routes
            && !routes.object.contains('/')
        {
            at(
                &["routes", "object"],
                &format!("routes.object has no slash: {:?}", routes.object),
                "write a kind, a slash and a name, as in config/main",
            );
        }
        if let Some(routes) = &self.routes
            && let Some(prefix) = &routes.evacuations
            && !prefix.ends_with('/')
        {
            at(
                &["routes", "evacuations"],
                &format!("routes.evacuations doesn't end with a slash: {prefix:?}"),
                "write a kind and a slash, as in evacuations/",
            );
        }
        if let Some(routes) = &self.routes
            && !(routes.cold_overage >= 0.0 && routes.cold_slack >= 0.0)
        {
            at(
                &["routes", "cold_overage"],
                "routes.cold_overage or routes.cold_slack is below 0",
                "write numbers, 0 or more",
            );
        }
        if (self.listen.routed.is_some() || self.listen.announce.is_some()) && self.routes.is_none()
        {
            at(
                &["listen"],
                "listen.routed and listen.announce need a route table",
                "write its location, as in \"routes\": { \"object\": \"config/main\" }",
            );
        }
        if self.stop.most_ms < self.stop.linger_ms.saturating_add(MIN_TIME_AFTER_LINGER_MS) {
            at(
                &["stop", "most_ms"],
                "the stop would end before accepted requests are answered",
                &format!("write at least stop.linger_ms + {MIN_TIME_AFTER_LINGER_MS}"),
            );
        }
        if self.once.ttl_s == 0 || self.once.capacity == 0 {
            at(
                &["once"],
                "no token could ever be used",
                "write a ttl_s and a capacity of 1 or more",
            );
        }
        if self.once.capacity > MAX_TOKENS {
            at(
                &["once", "capacity"],
                "the outcomes of a minute would not fit into one object of the platform's store",
                &format!("write {MAX_TOKENS} or less"),
            );
        }
        findings
    }

    fn has_duplicate_listeners(&self) -> bool {
        let listen = &self.listen;
        let mut addrs: Vec<SocketAddr> = [
            listen.callers,
            listen.local,
            listen.peers,
            listen.control,
            listen.admin,
        ]
        .into_iter()
        .chain(listen.routed)
        .chain(listen.announce)
        .chain(listen.ready)
        .filter(|addr| addr.port() != 0)
        .collect();
        let count = addrs.len();
        addrs.sort();
        addrs.dedup();
        addrs.len() < count
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    !text.is_empty() && text.len() <= 63 && text.bytes().all(is_allowed)
}
