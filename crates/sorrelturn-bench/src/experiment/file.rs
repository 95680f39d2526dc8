//! The file of an experiment: services, kinds of requests, load, faults, and what is switched off.

use displaydoc::Display;
use json_comments::StripComments;
use serde::Deserialize;
use sorrelturn_policy::CRASHES_TO_QUARANTINE;
use sorrelturn_protocol::Importance;
use std::{collections::BTreeMap, io::Read, path::Path};

/// A whole experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it shows, for the head of the table.
    pub about: String,
    /// How long requests arrive.
    pub seconds: f64,
    /// How many failure domains the instances are spread over, one after the other.
    #[serde(default = "default_domains")]
    pub domains: usize,
    /// One way between two VMs.
    #[serde(default = "default_hop_ms")]
    pub hop_ms: f64,
    /// What a daemon's processor takes for its side of one hop.
    #[serde(default)]
    pub hop_side_us: f64,
    /// The part of a core that a daemon has.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Daemons learn who calls whom and which kinds are calls, as the product does; else they are told.
    #[serde(default)]
    pub learns_calls: bool,
    /// The services, by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// The kinds of requests, by name.
    pub kinds: BTreeMap<String, KindSpec>,
    /// Stretches in which more or less arrives.
    #[serde(default)]
    pub load: Vec<LoadSpec>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// The retries that all daemons may make together.
    #[serde(default)]
    pub retries: RetrySpec,
    /// In how many crashes a request was at work that is held.
    #[serde(default = "default_crashes_to_hold")]
    pub crashes_to_hold: usize,
    /// Mechanisms of the product that are switched off.
    #[serde(default)]
    pub without: Vec<Mechanism>,
}

/// A service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// How many instances it has.
    pub instances: usize,
    /// How many requests each works on at once.
    pub slots: u32,
    /// The speeds of its instances, in turn; 1 without.
    #[serde(default)]
    pub speeds: Vec<f64>,
    /// With this part of its slots taken, an instance works slower.
    #[serde(default = "default_knee")]
    pub knee: f64,
    /// So many times slower.
    #[serde(default = "default_times")]
    pub knee_times: f64,
}

/// A kind of request. One with `per_second` comes from callers, any other is called.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// The service that runs it.
    pub service: String,
    /// How many callers send in a second.
    #[serde(default)]
    pub per_second: f64,
    /// Its importance.
    #[serde(default = "default_importance")]
    pub importance: Importance,
    /// The mean time that it is worked on, its calls left out.
    pub work_ms: f64,
    /// How much that varies: the standard deviation as a part of the mean.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// Within this time its answer is worth all, later less.
    #[serde(default = "default_target_ms")]
    pub target_ms: f64,
    /// How long its callers wait.
    pub deadline_ms: f64,
    /// How long its route lets one try take; without, as long as its caller waits.
    pub timeout_ms: Option<f64>,
    /// Whether it may run twice.
    #[serde(default)]
    pub repeatable: bool,
    /// What an answer in time is worth.
    #[serde(default)]
    pub worth: f64,
    /// What a late one is worth.
    #[serde(default)]
    pub late_worth: f64,
    /// How often its callers come back.
    #[serde(default = "default_returns")]
    pub returns: u32,
    /// What it calls, one after the other, with work between.
    #[serde(default)]
    pub calls: Vec<CallSpec>,
}

/// Calls of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// The kind.
    pub kind: String,
    /// How often.
    #[serde(default = "default_calls")]
    pub times: u32,
}

/// A stretch of other load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// Its beginning.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
    /// So many times the usual load.
    pub times: f64,
    /// Requests arrive in clumps of so many, in one moment.
    #[serde(default = "default_calls")]
    pub clumps_of: u32,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "fault", rename_all = "kebab-case")]
pub enum FaultSpec {
    /// Instances turn requests away although they have slots.
    TurnsAway {
        /// The service.
        service: String,
        /// Of what arrives.
        share: f64,
        /// Begin.
        from_s: f64,
        /// End.
        to_s: f64,
    },
    /// Instances work slower.
    Slow {
        /// The service.
        service: String,
        /// How many of its instances.
        instances: usize,
        /// So many times.
        times: f64,
        /// Begin.
        from_s: f64,
        /// End.
        to_s: f64,
    },
    /// Instances are gone, with their daemons.
    Lost {
        /// The service.
        service: String,
        /// How many of its instances.
        instances: usize,
        /// Begin.
        from_s: f64,
        /// End.
        to_s: f64,
    },
    /// All daemons end and start anew; what they carry is lost.
    RestartAll {
        /// When they end.
        at_s: f64,
        /// For so long nothing is taken.
        for_s: f64,
        /// For so long after that, backend servers are cold.
        #[serde(default)]
        cold_s: f64,
        /// And so many times slower.
        #[serde(default = "default_times")]
        cold_times: f64,
    },
    /// One request crashes each backend server that runs it, and is sent again and again, at any VM.
    Crashes {
        /// The kind that it is of.
        kind: String,
        /// How often it is sent in a second.
        per_second: f64,
        /// For so long a backend server that crashed is away.
        away_s: f64,
        /// Begin.
        from_s: f64,
        /// End.
        to_s: f64,
    },
    /// Some callers come back at once, and more often.
    Repeats {
        /// Of the callers.
        share: f64,
        /// So many tries more.
        tries: u32,
        /// Begin.
        from_s: f64,
        /// End.
        to_s: f64,
    },
}

/// The bound on retries.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySpec {
    /// For each request of a service.
    pub ratio: f64,
    /// And so many besides.
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

/// A mechanism of the product that can be switched off.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Refusing at the entry by the learnt level.
    EntryAdmission,
    /// Refusing again those who were refused, rather than others at their first try.
    ReturnOrder,
    /// Telling callers to come back by how long the entry has refused.
    ReturnTime,
    /// Sending again what a backend server turned away.
    SendingAgain,
    /// Choosing instances by their load.
    ChoiceByLoad,
    /// Choosing near instances first.
    NearFirst,
    /// Finding how many of its slots a backend server works best with.
    BestSlots,
    /// Holding requests that crash backend servers.
    Quarantine,
}

impl Mechanism {
    /// All of them, with their words.
    pub const ALL: [(&'static str, Self); 8] = [
        ("entry-admission", Self::EntryAdmission),
        ("return-order", Self::ReturnOrder),
        ("return-time", Self::ReturnTime),
        ("sending-again", Self::SendingAgain),
        ("choice-by-load", Self::ChoiceByLoad),
        ("near-first", Self::NearFirst),
        ("best-slots", Self::BestSlots),
        ("quarantine", Self::Quarantine),
    ];
}

/// Why an experiment can't be played.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum ExperimentError {
    /// {path} can't be read: {error}
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        error: String,
    },
    /// {path}, line {line}: {error}; `docs/EXPERIMENTS.md` lists the fields
    Malformed {
        /// The file.
        path: String,
        /// Where.
        line: usize,
        /// What.
        error: String,
    },
    /// {path}: {error}
    Invalid {
        /// The file.
        path: String,
        /// What, and what to write instead.
        error: String,
    },
}

impl std::error::Error for ExperimentError {}

impl Experiment {
    /// Reads a file and checks it.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ExperimentError::Unreadable {
            path: shown.clone(),
            error: error.to_string(),
        })?;
        Self::parse(&shown, &text)
    }

    /// Reads a file's text and checks it; `path` is for errors.
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
            return Err("domains is 0; write how many failure domains there are".to_owned());
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
                        "kind {name} calls {}, which isn't there; write one of: {}",
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
            "{of} names service {name}, which isn't there; write one of: {}",
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

    /// A kind that calls itself, by whatever way, would never end.
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
                    "the calls of kind {name} lead in a circle; take one of them out"
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
