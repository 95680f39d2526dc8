//! One scenario against one system: normal load, pressure, normal load again.

use crate::{
    backend::{FakeBackend, serve_backend},
    baseline::{Baseline, BaselineKind},
    client::Client,
    fleet::LocalFleet,
    load::{Load, OnceWay, Retries, Stretch},
    plan::plan_for,
    summary::{Context, Summary},
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

/// The share of the capacity that callers ask for in normal times.
const NORMAL_SHARE: f64 = 0.7;

/// What happens between the normal times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Callers ask for so many times the normal load.
    pub surge: f64,
    /// A deep service is so many times slower.
    pub slow: f64,
    /// How often a caller asks in all.
    pub tries: u32,
    /// How often the pressure comes, with a short normal time between.
    pub pressures: usize,
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "surge x3",
        surge: 3.0,
        slow: 1.0,
        tries: 1,
        pressures: 1,
    },
    Scenario {
        name: "deep service x5 slower",
        surge: 1.0,
        slow: 5.0,
        tries: 1,
        pressures: 1,
    },
    Scenario {
        name: "hard retries, surge x1.5",
        surge: 1.5,
        slow: 1.0,
        tries: 5,
        pressures: 1,
    },
    Scenario {
        name: "all together",
        surge: 3.0,
        slow: 5.0,
        tries: 5,
        pressures: 1,
    },
    Scenario {
        name: "all together, twice in a row",
        surge: 3.0,
        slow: 5.0,
        tries: 5,
        pressures: 2,
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

/// How long the stretches last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lengths {
    /// The normal time before.
    pub before: Duration,
    /// Each pressure.
    pub pressure: Duration,
    /// The normal time between two pressures.
    pub between: Duration,
    /// The normal time after.
    pub after: Duration,
}

impl Lengths {
    /// Normal times and pressures by turns, with a normal time first and last.
    fn stretches(&self, normal: f64, scenario: &Scenario) -> Vec<Stretch> {
        let last = 2 * scenario.pressures;
        (0..=last)
            .map(|at| Stretch {
                rate: if is_pressure(at) {
                    normal * scenario.surge
                } else {
                    normal
                },
                length: match at {
                    0 => self.before,
                    at if is_pressure(at) => self.pressure,
                    at if at == last => self.after,
                    _ => self.between,
                },
            })
            .collect()
    }
}

/// Whether a stretch is one of pressure.
fn is_pressure(at: usize) -> bool {
    at % 2 == 1
}

/// From when to when there is pressure, since the start of the load.
fn pressures(stretches: &[Stretch]) -> Vec<Range<Duration>> {
    let mut begin = Duration::ZERO;
    let mut pressures = Vec::new();
    for (at, stretch) in stretches.iter().enumerate() {
        let end = begin + stretch.length;
        if is_pressure(at) {
            pressures.push(begin..end);
        }
        begin = end;
    }
    pressures
}

/// Runs one scenario against one system; `progress` hears of each stretch.
pub async fn run_scenario(
    ex: Arc<Executor<'static>>,
    workload: &Arc<Workload>,
    scenario: &Scenario,
    system: System,
    lengths: Lengths,
    progress: impl Fn(&str),
) -> Summary {
    let running = start(&ex, workload, system).await;
    let normal = workload.capacity * NORMAL_SHARE;
    let stretches = lengths.stretches(normal, scenario);
    let load = Load {
        ex: Arc::clone(&ex),
        entries: running.entries.clone(),
        workload: Arc::clone(workload),
        retries: Retries {
            tries: scenario.tries,
            pause: Duration::from_millis(20),
        },
        once: match system {
            System::Sorrelturn => OnceWay::Token,
            System::Baseline(_) => OnceWay::Plain,
        },
    };
    let deep = running.backends_of(workload.deep_service);
    let records = load
        .run(&stretches, |at| {
            let slow = if is_pressure(at) { scenario.slow } else { 1.0 };
            for backend in &deep {
                backend.change_plan(|plan| plan.slow = slow);
            }
            progress(if is_pressure(at) {
                "pressure"
            } else {
                "normal load"
            });
        })
        .await;
    let pressures = pressures(&stretches);
    let best = workload.best(normal * scenario.surge, scenario.slow);
    summarize(&running, workload, system, &pressures, best, &records)
}

fn summarize(
    running: &Running,
    workload: &Workload,
    system: System,
    pressures: &[Range<Duration>],
    best: BTreeMap<Importance, f64>,
    records: &[crate::load::Record],
) -> Summary {
    let bundle = workload.fleet.indexed();
    let mut ran: HashMap<String, u32> = HashMap::new();
    for (_, backend) in &running.backends {
        for (name, count) in backend.ran() {
            *ran.entry(name).or_default() += count;
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
    let need = kinds()
        .map(|kind| (kind.name.clone(), kind.min_executions))
        .collect();
    let once: Vec<String> = kinds()
        .filter(|kind| kind.at_most_once())
        .map(|kind| kind.name.clone())
        .collect();
    let executions = running
        .backends
        .iter()
        .map(|(_, backend)| backend.executions())
        .sum();
    Summary::of(
        records,
        &Context {
            system: system.name(),
            pressures,
            best,
            executions,
            ran: &ran,
            need: &need,
            once: &once,
        },
    )
}

/// A system under load.
struct Running {
    entries: Vec<Client>,
    backends: Vec<(String, FakeBackend)>,
    _fleet: Option<LocalFleet>,
    _tasks: Vec<smol::Task<()>>,
}

impl Running {
    fn backends_of(&self, service: &str) -> Vec<FakeBackend> {
        self.backends
            .iter()
            .filter(|(name, _)| name == service)
            .map(|(_, backend)| backend.clone())
            .collect()
    }
}

async fn start(ex: &Arc<Executor<'static>>, workload: &Workload, system: System) -> Running {
    match system {
        System::Sorrelturn => start_daemons(ex, workload).await,
        System::Baseline(kind) => start_baseline(ex, workload, kind).await,
    }
}

async fn start_daemons(ex: &Arc<Executor<'static>>, workload: &Workload) -> Running {
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
    Running {
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
) -> Running {
    let bundle = workload.fleet.indexed();
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
        proxy.add(ex, &instance.service, backend_addr);
        // Each backend server has a proxy of its own beside it, as each has a daemon.
        let listener = bind().await;
        let local = listener.local_addr().expect("a bound address");
        tasks.push(ex.spawn(proxy.clone().serve(Arc::clone(ex), listener)));
        let mut plan = plan_for(&bundle, &instance.service, &workload.fleet.work_ms);
        plan.local = Some(local);
        backend.set_plan(plan);
        backends.push((instance.service.clone(), backend));
        entries.push(Client::new(Arc::clone(ex), local));
    }
    Running {
        entries,
        backends,
        _fleet: None,
        _tasks: tasks,
    }
}
