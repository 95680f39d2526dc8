//! The experiment file: services, kinds of requests, load, faults, and disabled mechanisms.

use displaydoc::Display;
use json_comments::StripComments;
use serde::Deserialize;
use sorrelturn_policy::CRASHES_TO_QUARANTINE;
use sorrelturn_protocol::Importance;
use std::{collections::BTreeMap, io::Read, path::Path};

/// An experiment as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Printed above the tables.
    pub about: String,
    /// How long callers send new requests, in seconds.
    pub seconds: f64,
    /// The number of failure domains; instances are assigned to them in turn.
    #[serde(default = "default_domains")]
    pub domains: usize,
    /// The one-way delay between two VMs, in milliseconds.
    #[serde(default = "default_hop_ms")]
    pub hop_ms: f64,
    /// Processor time of a daemon for its side of one hop, in microseconds.
    #[serde(default)]
    pub hop_side_us: f64,
    /// The number of cores of a daemon; may be a fraction.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Whether daemons learn the call graph, as in the product. Otherwise they know it from the start.
    #[serde(default)]
    pub learns_calls: bool,
    /// Whether scarce retries go to the calls of the root requests that come first.
    #[serde(default)]
    pub orders_retries: bool,
    /// The services, by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// The kinds of requests, by name.
    pub kinds: BTreeMap<String, KindSpec>,
    /// Intervals with a different load.
    #[serde(default)]
    pub load: Vec<LoadSpec>,
    /// The injected faults.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// The limit on retries of all daemons together.
    #[serde(default)]
    pub retries: RetrySpec,
    /// A request is quarantined after it was in progress in this many crashes.
    #[serde(default = "default_crashes_to_hold")]
    pub crashes_to_hold: usize,
    /// The disabled mechanisms of the product.
    #[serde(default)]
    pub without: Vec<Mechanism>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    pub instances: usize,
    /// Requests that each instance runs concurrently.
    pub slots: u32,
    /// Relative speeds, assigned to the instances in turn; 1 if empty.
    #[serde(default)]
    pub speeds: Vec<f64>,
    /// An instance slows down if more than this fraction of its slots is in use.
    #[serde(default = "default_knee")]
    pub knee: f64,
    /// The slowdown factor above the knee.
    #[serde(default = "default_times")]
    pub knee_times: f64,
}

/// A kind of request. Callers send kinds with a rate in `per_second`; the others are nested calls only.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    pub service: String,
    /// The rate at which callers send it, in requests per second.
    #[serde(default)]
    pub per_second: f64,
    #[serde(default = "default_importance")]
    pub importance: Importance,
    /// The mean execution time without nested calls.
    pub work_ms: f64,
    /// The standard deviation of the execution time, as a fraction of the mean.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// An answer within this time earns `worth`, a later one `late_worth`.
    #[serde(default = "default_target_ms")]
    pub target_ms: f64,
    /// How long its callers wait.
    pub deadline_ms: f64,
    /// The timeout of one attempt; without it, `deadline_ms`.
    pub timeout_ms: Option<f64>,
    #[serde(default)]
    pub repeatable: bool,
    #[serde(default)]
    pub worth: f64,
    #[serde(default)]
    pub late_worth: f64,
    /// The maximum number of retries of a caller.
    #[serde(default = "default_returns")]
    pub returns: u32,
    /// Its nested calls, made one after the other with work in between.
    #[serde(default)]
    pub calls: Vec<CallSpec>,
}

/// Nested calls of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    pub kind: String,
    #[serde(default = "default_calls")]
    pub times: u32,
}

/// An interval with a different load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    pub from_s: f64,
    pub to_s: f64,
    /// A multiple of the normal load.
    pub times: f64,
    /// The number of requests that arrive at the same moment.
    #[serde(default = "default_calls")]
    pub clumps_of: u32,
}

/// An injected fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "fault", rename_all = "kebab-case")]
pub enum FaultSpec {
    /// Backend servers refuse requests although they have free slots.
    TurnsAway {
        service: String,
        share: f64,
        from_s: f64,
        to_s: f64,
    },
    /// Instances slow down.
    Slow {
        service: String,
        instances: usize,
        /// The slowdown factor.
        times: f64,
        from_s: f64,
        to_s: f64,
    },
    /// Instances are down, together with their daemons.
    Lost {
        service: String,
        instances: usize,
        from_s: f64,
        to_s: f64,
    },
    /// All daemons restart and lose their requests in flight.
    RestartAll {
        /// When they stop.
        at_s: f64,
        /// How long no requests are accepted.
        for_s: f64,
        /// How long backend servers are slow after that.
        #[serde(default)]
        cold_s: f64,
        /// The slowdown factor of cold backend servers.
        #[serde(default = "default_times")]
        cold_times: f64,
    },
    /// A request that crashes each backend server that runs it is sent repeatedly to random VMs.
    Crashes {
        kind: String,
        per_second: f64,
        /// How long a backend server is down after a crash.
        away_s: f64,
        from_s: f64,
        to_s: f64,
    },
    /// Instances name a limit on the requests that they accept.
    Limits {
        service: String,
        instances: usize,
        /// For each instance.
        per_second: f64,
        from_s: f64,
        to_s: f64,
    },
    /// Some callers ignore Retry-After and retry more often.
    Repeats {
        share: f64,
        /// The number of additional attempts.
        tries: u32,
        from_s: f64,
        to_s: f64,
    },
}

/// A period in which the backend servers of a service refuse requests although they have free slots.
#[derive(Clone, Copy, Debug)]
pub struct Rejection<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The share of the requests that they refuse.
    pub share: f64,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
}

impl Experiment {
    /// Injects these rejections in place of the faults of the file.
    pub fn replace_faults(&mut self, rejections: &[Rejection<'_>]) {
        let faults = rejections.iter().map(|rejection| FaultSpec::TurnsAway {
            service: rejection.service.to_owned(),
            share: rejection.share,
            from_s: rejection.from_s,
            to_s: rejection.to_s,
        });
        self.faults = faults.collect();
    }
}

/// The limit on retries of a service.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySpec {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, within the retry window.
    pub slack: f64,
}

impl Default for RetrySpec {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
        }
    }
}

/// A mechanism of the product that can be disabled.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Entries shed load by the learned level.
    EntryAdmission,
    /// Retries of refused requests are shed before first attempts.
    ReturnOrder,
    /// Retry-After depends on how long the entry has been refusing requests.
    ReturnTime,
    /// Requests refused by a backend server are sent to another instance.
    SendingAgain,
    /// Instances are chosen by their load.
    ChoiceByLoad,
    /// Instances in the same failure domain are preferred.
    NearFirst,
    /// The gate tunes the number of concurrent requests of its backend server.
    BestSlots,
    /// Requests that crash backend servers are quarantined.
    Quarantine,
    /// Entries shed load by the level that the limits of all instances of a service call for.
    LimitLevels,
}

impl Mechanism {
    /// All mechanisms with their names on the command line.
    pub const ALL: [(&'static str, Self); 9] = [
        ("entry-admission", Self::EntryAdmission),
        ("return-order", Self::ReturnOrder),
        ("return-time", Self::ReturnTime),
        ("sending-again", Self::SendingAgain),
        ("choice-by-load", Self::ChoiceByLoad),
        ("near-first", Self::NearFirst),
        ("best-slots", Self::BestSlots),
        ("quarantine", Self::Quarantine),
        ("limit-levels", Self::LimitLevels),
    ];
}

/// Why an experiment file is rejected.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum ExperimentError {
    /// {path} can't be read: {error}
    Unreadable {
        /// The file.
        path: String,
        /// The I/O error.
        error: String,
    },
    /// {path}, line {line}: {error}; `docs/EXPERIMENTS.md` lists the fields
    Malformed {
        /// The file.
        path: String,
        /// The line number.
        line: usize,
        /// What is wrong there.
        error: String,
    },
    /// {path}: {error}
    Invalid {
        /// The file.
        path: String,
        /// What is wrong and how to fix it.
        error: String,
    },
}

impl std::error::Error for ExperimentError {}

impl Experiment {
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ExperimentError::Unreadable {
            path: shown.clone(),
            error: error.to_string(),
        })?;
        Self::parse(&shown, &text)
    }

    /// Parses and validates the text of a file. `path` is used in errors only.
    pub fn parse(path: &str, text: &str) -> Result<Self, ExperimentError> {
        let malformed = |line, error| ExperimentError::Malformed {
            path: path.to_owned(),
            line,
            error,
        };
        let mut plain = String::new();
        StripComments::new(text.as_bytes())
            .read_to_string(&mut plain)
            .map_err(|error| malformed(1, error.to_string()))?;
        let experiment: Self = serde_json::from_str(&plain)
            .map_err(|error| malformed(error.line(), error.to_string()))?;
        experiment
            .check()
            .map_err(|error| ExperimentError::Invalid {
                path: path.to_owned(),
                error,
            })?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), String> {
        check_positive("seconds", self.seconds)?;
        check_positive("cores", self.cores)?;
        if self.domains == 0 {
            return Err("domains is 0; write the number of failure domains".to_owned());
        }
        for (name, service) in &self.services {
            if service.instances == 0 || service.slots == 0 {
                return Err(format!(
                    "service {name} has no instances or no slots; write at least 1 of each"
                ));
            }
            for speed in &service.speeds {
                check_positive(&format!("a speed of service {name}"), *speed)?;
            }
        }
        for (name, kind) in &self.kinds {
            self.check_service(&kind.service, &format!("kind {name}"))?;
            check_positive(&format!("work_ms of kind {name}"), kind.work_ms)?;
            check_positive(&format!("deadline_ms of kind {name}"), kind.deadline_ms)?;
            if let Some(timeout_ms) = kind.timeout_ms {
                check_positive(&format!("timeout_ms of kind {name}"), timeout_ms)?;
            }
            for call in &kind.calls {
                if !self.kinds.contains_key(&call.kind) {
                    let known: Vec<&str> = self.kinds.keys().map(String::as_str).collect();
                    return Err(format!(
                        "kind {name} calls {}, which is not defined; write one of: {}",
                        call.kind,
                        known.join(", ")
                    ));
                }
            }
        }
        self.check_calls_are_acyclic()?;
        for fault in &self.faults {
            if let FaultSpec::Crashes { kind, .. } = fault {
                self.check_root_kind(kind)?;
            }
            let (FaultSpec::TurnsAway { service, .. }
            | FaultSpec::Slow { service, .. }
            | FaultSpec::Limits { service, .. }
            | FaultSpec::Lost { service, .. }) = fault
            else {
                continue;
            };
            self.check_service(service, "a fault")?;
        }
        Ok(())
    }

    fn check_service(&self, name: &str, of: &str) -> Result<(), String> {
        if self.services.contains_key(name) {
            return Ok(());
        }
        let known: Vec<&str> = self.services.keys().map(String::as_str).collect();
        Err(format!(
            "{of} names service {name}, which is not defined; write one of: {}",
            known.join(", ")
        ))
    }

    fn check_root_kind(&self, name: &str) -> Result<(), String> {
        let found = self.kinds.get(name);
        if found.is_some_and(|kind| kind.per_second > 0.0) {
            return Ok(());
        }
        let root_kinds = self.kinds.iter().filter(|(_, kind)| kind.per_second > 0.0);
        let known: Vec<&str> = root_kinds.map(|(name, _)| name.as_str()).collect();
        Err(format!(
            "a fault names kind {name}, which no caller sends; write one of: {}",
            known.join(", ")
        ))
    }

    fn check_calls_are_acyclic(&self) -> Result<(), String> {
        for name in self.kinds.keys() {
            let mut descendants: Vec<&str> = vec![name];
            for _ in 0..=self.kinds.len() {
                descendants = descendants
                    .iter()
                    .flat_map(|kind| &self.kinds[*kind].calls)
                    .map(|call| call.kind.as_str())
                    .collect();
                descendants.sort_unstable();
                descendants.dedup();
            }
            if !descendants.is_empty() {
                return Err(format!(
                    "the calls of kind {name} form a cycle; remove one of them"
                ));
            }
        }
        Ok(())
    }

    pub(super) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}

fn check_positive(what: &str, value: f64) -> Result<(), String> {
    if value > 0.0 {
        return Ok(());
    }
    Err(format!("{what} is {value}; write a number above 0"))
}

fn default_domains() -> usize {
    3
}

fn default_hop_ms() -> f64 {
    0.5
}

fn default_cores() -> f64 {
    1.0
}

fn default_knee() -> f64 {
    1.0
}

fn default_times() -> f64 {
    1.0
}

fn default_importance() -> Importance {
    Importance::Normal
}

fn default_spread() -> f64 {
    0.5
}

fn default_target_ms() -> f64 {
    1_000.0
}

fn default_returns() -> u32 {
    1
}

fn default_crashes_to_hold() -> usize {
    CRASHES_TO_QUARANTINE
}

fn default_calls() -> u32 {
    1
}
