//! Runs one scenario against one system: normal load, overload, normal load again.

use crate::{
    backend::{FakeBackend, serve_backend},
    baseline::{Baseline, BaselineKind},
    client::Client,
    fleet::LocalFleet,
    load::{Load, LoadPhase, RetryConfig, TokenMode},
    plan::plan_for,
    summary::{Summary, SummaryInput},
    workload::Workload,
};
use smol::{Executor, net::TcpListener};
use sorrelturn_protocol::Importance;
use std::{
    collections::{BTreeMap, HashMap},
    net::Ipv4Addr,
    ops::Range,
    sync::Arc,
    time::Duration,
};

/// The normal load as a fraction of the capacity.
const NORMAL_LOAD_FRACTION: f64 = 0.7;

/// An overload, and what causes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// The load during the overload, as a multiple of the normal load.
    pub surge: f64,
    /// The slowdown factor of the deep service.
    pub slow: f64,
    /// The maximum number of attempts of a caller.
    pub tries: u32,
    /// The number of overload phases, with a short normal phase between them.
    pub overloads: usize,
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "surge x3",
        surge: 3.0,
        slow: 1.0,
        tries: 1,
        overloads: 1,
    },
    Scenario {
        name: "deep service x5 slower",
        surge: 1.0,
        slow: 5.0,
        tries: 1,
        overloads: 1,
    },
    Scenario {
        name: "hard retries, surge x1.5",
        surge: 1.5,
        slow: 1.0,
        tries: 5,
        overloads: 1,
    },
    Scenario {
        name: "all together",
        surge: 3.0,
        slow: 5.0,
        tries: 5,
        overloads: 1,
    },
    Scenario {
        name: "all together, twice in a row",
        surge: 3.0,
        slow: 5.0,
        tries: 5,
        overloads: 2,
    },
];

/// Which system carries the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum System {
    /// The daemons.
    Sorrelturn,
    /// A baseline.
    Baseline(BaselineKind),
}

impl System {
    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sorrelturn => "sorrelturn",
            Self::Baseline(BaselineKind::PassThrough) => "pass-through",
            Self::Baseline(BaselineKind::FixedLimits) => "fixed limits",
        }
    }
}

/// The durations of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PhaseDurations {
    /// The first normal phase.
    pub before: Duration,
    /// Each overload phase.
    pub overload: Duration,
    /// The normal phase between two overloads.
    pub between: Duration,
    /// The last normal phase.
    pub after: Duration,
}

impl PhaseDurations {
    /// The phases: normal and overload in turn, beginning and ending with a normal phase.
    fn phases(&self, normal: f64, scenario: &Scenario) -> Vec<LoadPhase> {
        let last = 2 * scenario.overloads;
        (0..=last)
            .map(|at| LoadPhase {
                rate: if is_overload(at) {
                    normal * scenario.surge
                } else {
                    normal
                },
                duration: match at {
                    0 => self.before,
                    at if is_overload(at) => self.overload,
                    at if at == last => self.after,
                    _ => self.between,
                },
            })
            .collect()
    }
}

fn is_overload(at: usize) -> bool {
    at % 2 == 1
}

/// The time ranges of the overload phases, since the start of the load.
fn overloads(phases: &[LoadPhase]) -> Vec<Range<Duration>> {
    let mut begin = Duration::ZERO;
    let mut overloads = Vec::new();
    for (at, phase) in phases.iter().enumerate() {
        let end = begin + phase.duration;
        if is_overload(at) {
            overloads.push(begin..end);
        }
        begin = end;
    }
    overloads
}

/// Runs one scenario against one system. `progress` is called with the name of each phase.
pub async fn run_scenario(
    ex: Arc<Executor<'static>>,
    workload: &Arc<Workload>,
    scenario: &Scenario,
    system: System,
    durations: PhaseDurations,
    progress: impl Fn(&str),
) -> Summary {
    let running = start(&ex, workload, system).await;
    let normal = workload.capacity * NORMAL_LOAD_FRACTION;
    let phases = durations.phases(normal, scenario);
    let load = Load {
        ex: Arc::clone(&ex),
        entries: running.entries.clone(),
        workload: Arc::clone(workload),
        retries: RetryConfig {
            max_attempts: scenario.tries,
            interval: Duration::from_millis(20),
        },
        token_mode: match system {
            System::Sorrelturn => TokenMode::WithToken,
            System::Baseline(_) => TokenMode::WithoutToken,
        },
    };
    let deep = running.backends_of(workload.deep_service);
    let records = load
        .run(&phases, |at| {
            let slow = if is_overload(at) { scenario.slow } else { 1.0 };
            for backend in &deep {
                backend.change_plan(|plan| plan.slow = slow);
            }
            progress(if is_overload(at) {
                "pressure"
            } else {
                "normal load"
            });
        })
        .await;
    let overloads = overloads(&phases);
    let max_goodput = workload.max_goodput(normal * scenario.surge, scenario.slow);
    summarize(
        &running,
        workload,
        system,
        &overloads,
        max_goodput,
        &records,
    )
}

fn summarize(
    running: &RunningSystem,
    workload: &Workload,
    system: System,
    overloads: &[Range<Duration>],
    max_goodput: BTreeMap<Importance, f64>,
    records: &[crate::load::Record],
) -> Summary {
    let bundle = workload.fleet.indexed_bundle();
    let mut executions_by_key: HashMap<String, u32> = HashMap::new();
    for (_, backend) in &running.backends {
        for (name, count) in backend.executions_by_key() {
            *executions_by_key.entry(name).or_default() += count;
        }
    }
    let kinds = || {
        bundle
            .source()
            .services
            .values()
            .flat_map(|service| service.kinds.keys())
            .filter_map(|name| bundle.kind(name))
    };
    let min_executions = kinds()
        .map(|kind| (kind.name.clone(), kind.min_executions))
        .collect();
    let at_most_once_kinds: Vec<String> = kinds()
        .filter(|kind| kind.at_most_once())
        .map(|kind| kind.name.clone())
        .collect();
    let executions = running
        .backends
        .iter()
        .map(|(_, backend)| backend.executions())
        .sum();
    Summary::from_records(
        records,
        &SummaryInput {
            system: system.name(),
            overloads,
            max_goodput,
            executions,
            executions_by_key: &executions_by_key,
            min_executions: &min_executions,
            at_most_once_kinds: &at_most_once_kinds,
        },
    )
}

struct RunningSystem {
    entries: Vec<Client>,
    backends: Vec<(String, FakeBackend)>,
    _fleet: Option<LocalFleet>,
    _tasks: Vec<smol::Task<()>>,
}

impl RunningSystem {
    fn backends_of(&self, service: &str) -> Vec<FakeBackend> {
        self.backends
            .iter()
            .filter(|(name, _)| name == service)
            .map(|(_, backend)| backend.clone())
            .collect()
    }
}

async fn start(ex: &Arc<Executor<'static>>, workload: &Workload, system: System) -> RunningSystem {
    match system {
        System::Sorrelturn => start_daemons(ex, workload).await,
        System::Baseline(kind) => start_baseline(ex, workload, kind).await,
    }
}

async fn start_daemons(ex: &Arc<Executor<'static>>, workload: &Workload) -> RunningSystem {
    let fleet = LocalFleet::start(Arc::clone(ex), workload.fleet.clone()).await;
    let entries = (0..fleet.daemons.len())
        .map(|at| fleet.caller(at))
        .collect();
    let backends = fleet
        .plan
        .instances
        .iter()
        .zip(&fleet.backends)
        .map(|(instance, backend)| (instance.service.clone(), backend.clone()))
        .collect();
    RunningSystem {
        entries,
        backends,
        _fleet: Some(fleet),
        _tasks: Vec::new(),
    }
}

async fn start_baseline(
    ex: &Arc<Executor<'static>>,
    workload: &Workload,
    kind: BaselineKind,
) -> RunningSystem {
    let bundle = workload.fleet.indexed_bundle();
    let proxy = Baseline::new(kind, bundle.clone());
    let (mut tasks, mut backends, mut entries) = (Vec::new(), Vec::new(), Vec::new());
    let bind = async || {
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port on loopback")
    };
    for instance in &workload.fleet.instances {
        let listener = bind().await;
        let backend_addr = listener.local_addr().expect("a bound address");
        let backend = FakeBackend::default();
        tasks.push(ex.spawn(serve_backend(Arc::clone(ex), listener, backend.clone())));
        proxy.add_backend(ex, &instance.service, backend_addr);
        // Each backend server has its own local proxy, like its own daemon.
        let listener = bind().await;
        let local = listener.local_addr().expect("a bound address");
        tasks.push(ex.spawn(proxy.clone().serve(Arc::clone(ex), listener)));
        let mut plan = plan_for(&bundle, &instance.service, &workload.fleet.work_ms);
        plan.local = Some(local);
        backend.set_plan(plan);
        backends.push((instance.service.clone(), backend));
        entries.push(Client::new(Arc::clone(ex), local));
    }
    RunningSystem {
        entries,
        backends,
        _fleet: None,
        _tasks: tasks,
    }
}
