//! A daemon's settings. Each field is described in `docs/SETTINGS.md`, and the default file in
//! `settings/sorrelturnd.jsonc` is tested against this code.

use serde::{Deserialize, Serialize};
use sorrelturn_bundle::{Diagnostic, SourceMap, TrustedKeys, parse_settings};
use sorrelturn_platform::OBJECTS_PATH;
use sorrelturn_quota::{Bound, ValidityConfig};
use std::{
    collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, path::PathBuf, time::Duration,
};

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance; stays the same over restarts.
    pub instance: String,
    /// The service that the backend server belongs to.
    pub service: String,
    /// The failure domain of this VM.
    pub failure_domain: String,
    /// Where to listen.
    pub listen: ListenSettings,
    /// Where other daemons reach this one, where that isn't where it listens.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// The backend server.
    pub backend: BackendSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// The route table, where one takes the place of a signed bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<RouteSettings>,
    /// Control addresses of daemons to ask when the platform is down at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The public keys of the operators whose bundles are taken, in hexadecimal.
    #[serde(default)]
    pub operators: BTreeMap<String, String>,
    /// The fleet's keys; without them daemons talk in the clear, for tests and the demo only.
    #[serde(default)]
    pub fleet_keys: Option<FleetKeySettings>,
    /// Threads that work on requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Open connections of all listeners beyond which each new one ends the one that rested longest.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// At-most-once execution.
    #[serde(default)]
    pub once: OnceSettings,
    /// The planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Traces; none are sent where this is absent.
    #[serde(default)]
    pub trace: Option<TraceSettings>,
    /// Metrics; none are sent where this is absent.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Events kept for explanations.
    #[serde(default)]
    pub events: EventSettings,
}

/// Addresses to listen on; port 0 takes a free one. A daemon that runs tells by the same form where it
/// listens.
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
    /// For requests whose kind is told by host and path prefix, of callers on this VM and of the
    /// own backend server; needs [`Settings::routes`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routed: Option<SocketAddr>,
    /// For what the own backend server says about itself; needs [`Settings::routes`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub announce: Option<SocketAddr>,
    /// For the question whether this daemon is ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<SocketAddr>,
}

/// Addresses that other daemons are told; those of `listen` where a field is absent.
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
    /// The longest time for a new connection to it, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u64,
}

/// The platform's object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// The longest time for one call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
    /// The path under which objects lie.
    #[serde(default = "default_objects_path")]
    pub objects_path: String,
}

/// Where the route table lies that takes the place of a signed bundle, and the budget of retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// The object that holds the route table, as in `config/main`.
    pub object: String,
    /// The retries that all daemons together may make at a service for each request to it.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// The retries that all daemons together may make besides, in each window of the operator's.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// The window in which both are counted, in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// How long a credential may be honoured after it was taken away, also at a VM that nobody reaches, in
    /// milliseconds; without it, as long as the table in force holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revocation_ms: Option<u64>,
    /// The window in which what runs of a workspace is counted, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// The part of a quota by which such a count may lie over it.
    #[serde(default = "default_quota_overage")]
    pub quota_overage: f64,
    /// The requests by which it may lie over that besides.
    #[serde(default)]
    pub quota_slack: f64,
    /// For how long a daemon lends its share of all quotas at a time, in milliseconds. So long an accountant that is lost
    /// is missed, and so long a daemon that starts anew has nothing to lend. Less than ten round trips
    /// between the farthest daemons leave shares unused.
    #[serde(default = "default_quota_lease_ms")]
    pub quota_lease_ms: u64,
}

impl RouteSettings {
    /// How long a credential may be honoured after it was taken away.
    pub(crate) fn revocation(&self) -> Option<Duration> {
        self.revocation_ms.map(Duration::from_millis)
    }

    /// How quotas are counted.
    pub(crate) fn quota_bound(&self) -> Bound {
        Bound {
            window: Duration::from_secs_f64(self.quota_window_s),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// For how long shares and grants are good. What is granted before a window and used in it has to fit into the
    /// overage.
    pub(crate) fn quota_validity(&self) -> ValidityConfig {
        let overage = self.quota_window_s * self.quota_overage * GRANT_FRACTION_OF_OVERAGE;
        ValidityConfig {
            min_lease_duration: Duration::from_millis(self.quota_lease_ms),
            grant_validity: MAX_GRANT_VALIDITY.min(Duration::from_secs_f64(overage)),
        }
    }
}

/// The part of the overage that grants take which lie unused; the rest is for what may be let in at once.
const GRANT_FRACTION_OF_OVERAGE: f64 = 0.3;
/// The longest time that a grant may lie unused: longer, it is taken from those who have use for it.
const MAX_GRANT_VALIDITY: Duration = Duration::from_millis(150);

/// The events that are kept for explanations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EventSettings {
    /// The most that are kept; about 700 bytes each.
    pub kept: usize,
}

impl Default for EventSettings {
    fn default() -> Self {
        Self { kept: 16_384 }
    }
}

/// Files with the keys by which daemons recognise one another, in PEM form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetKeySettings {
    /// The certificates of the authorities that are believed; two of them during a rotation.
    pub authorities: PathBuf,
    /// This daemon's certificate.
    pub certificate: PathBuf,
    /// Its secret key.
    pub key: PathBuf,
}

/// At-most-once execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnceSettings {
    /// How long a token can be used and its answer be asked for again, in seconds.
    pub ttl_s: u64,
    /// The most tokens that are out at once.
    pub capacity: usize,
    /// The most bytes of answers that are kept for repeats.
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
    /// The longest time from the signal to the exit, in milliseconds: everybody has a final answer by then,
    /// and whoever sent the signal may kill the process soon after.
    pub most_ms: u64,
    /// So long requests are still taken after the daemon stopped being ready, in milliseconds,
    /// since whoever asks for readiness needs some time to notice.
    pub linger_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            most_ms: 60_000,
            linger_ms: 500,
        }
    }
}

/// Where traces go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSettings {
    /// A receiver of OTLP over HTTP, with JSON bodies.
    pub collector: SocketAddr,
    /// The most spans that wait to be sent.
    #[serde(default = "default_span_buffer")]
    pub buffer: usize,
}

/// Where metrics go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// A receiver of StatsD over UDP.
    pub statsd: SocketAddr,
}

fn default_threads() -> usize {
    2
}

/// Half of the file descriptors of a daemon with 4,100; the backend server's connections take up to
/// 1,800 of the rest.
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

fn default_quota_overage() -> f64 {
    0.1
}

fn default_span_buffer() -> usize {
    4_096
}

/// The most threads that make sense beside a backend server.
const MAX_THREADS: usize = 64;

/// The most tokens that can be out: about 41 bytes each, and the store's values end at a megabyte.
const MAX_TOKENS: usize = 20_000;

/// The windows in which retries can be counted, in seconds: a shorter one holds hardly a request of a rare kind, and
/// of a longer one operators would notice nothing.
const MIN_RETRY_WINDOW_S: f64 = 0.1;
const MAX_RETRY_WINDOW_S: f64 = 3_600.0;

/// The windows in which quotas can be counted, in seconds.
const QUOTA_WINDOW_RANGE_S: RangeInclusive<f64> = 0.1..=3_600.0;
/// For how long shares of quotas can be lent, in milliseconds. In less, renewals would be most of what daemons do.
const QUOTA_LEASE_RANGE_MS: RangeInclusive<u64> = 100..=10_000;
/// The shortest time after which a credential that was taken away can be kept out for sure: twice the time between
/// two reads of the table.
const MIN_REVOCATION_MS: u64 = 3_000;

/// What is left for requests after the linger time has to be worth something, in milliseconds: most
/// requests end within a second.
const MIN_TIME_AFTER_LINGER_MS: u64 = 1_000;

impl Settings {
    /// Reads and checks a settings file; `file` is its name for errors.
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
                at(&[name], &format!("{name} is {value:?}"), help);
            }
        }
        if !self.listen.local.ip().is_loopback() {
            at(
                &["listen", "local"],
                "the local listener would be open to others, who could pass for the backend server",
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
                    "others would be told an address that they can't connect to",
                    &format!("write the address of this VM here, or in advertise.{name}"),
                );
            }
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            let help = format!("write a number from 1 to {MAX_THREADS}");
            at(&["threads"], &format!("threads is {}", self.threads), &help);
        }
        if let Some(routes) = &self.routes
            && !(MIN_RETRY_WINDOW_S..=MAX_RETRY_WINDOW_S).contains(&routes.retry_window_s)
        {
            at(
                &["routes", "retry_window_s"],
                &format!("routes.retry_window_s is {}", routes.retry_window_s),
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
                "routes.quota_window_s, routes.quota_overage or routes.quota_slack can't be used",
                &format!(
                    "write seconds from {minimum} to {maximum}, a part from 0 to 1, and 0 or more"
                ),
            );
        }
        if let Some(routes) = &self.routes
            && !QUOTA_LEASE_RANGE_MS.contains(&routes.quota_lease_ms)
        {
            let (minimum, maximum) = (QUOTA_LEASE_RANGE_MS.start(), QUOTA_LEASE_RANGE_MS.end());
            at(
                &["routes", "quota_lease_ms"],
                &format!("routes.quota_lease_ms is {}", routes.quota_lease_ms),
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
                "no operator is trusted, so no bundle could ever come in force",
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
                "a timeout of 0 ms lets no call succeed",
                "write milliseconds, 1 or more",
            );
        }
        if let Some(routes) = &self.routes
            && !routes.object.contains('/')
        {
            at(
                &["routes", "object"],
                &format!("routes.object is {:?}", routes.object),
                "write a kind, a slash and a name, as in config/main",
            );
        }
        if (self.listen.routed.is_some() || self.listen.announce.is_some()) && self.routes.is_none()
        {
            at(
                &["listen"],
                "listen.routed and listen.announce need a route table",
                "write where it lies, as in \"routes\": { \"object\": \"config/main\" }",
            );
        }
        if self.stop.most_ms < self.stop.linger_ms.saturating_add(MIN_TIME_AFTER_LINGER_MS) {
            at(
                &["stop", "most_ms"],
                "a stop would be over before the requests that it took are answered",
                &format!("write stop.linger_ms and {MIN_TIME_AFTER_LINGER_MS} ms, or more"),
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
