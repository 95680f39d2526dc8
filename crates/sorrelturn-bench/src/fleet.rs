//! A small fleet in one process, on loopback: the platform's stand-in, daemons, fake backends.

use crate::{
    backend::{FakeBackend, serve_backend},
    client::Client,
    plan::plan_for,
};
use smol::{Executor, Task, Timer, net::TcpListener};
use sorrelturn_bundle::{Bundle, BundleSource, OperatorKey, SignedManifest};
use sorrelturn_command::{Publication, publish, read_head};
use sorrelturn_daemon::{
    AdvertiseSettings, BackendSettings, Daemon, Dialect, EventSettings, FleetKeySettings,
    ListenSettings, MetricsSettings, OnceSettings, PlatformSettings, Settings, StopSettings,
    TraceSettings,
};
use sorrelturn_platform::{OBJECTS_PATH, Platform, StandIn, serve};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

/// The name of the operator who signs in tests and measurements.
const OPERATOR: &str = "bench";
/// The longest time for a small fleet to know itself.
const READY_TIME: Duration = Duration::from_secs(60);

/// A key that is the same in every run; it protects nothing.
pub fn operator_key() -> OperatorKey {
    let secret = "42".repeat(32);
    OperatorKey::from_hex(OPERATOR, &secret).expect("the text has the form of a key")
}

/// One instance of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstancePlan {
    /// Its name.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// A fleet to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The bundle to publish.
    pub bundle: BundleSource,
    /// The instances.
    pub instances: Vec<InstancePlan>,
    /// The work of each kind, in milliseconds; 1 where it is absent.
    pub work_ms: BTreeMap<String, f64>,
    /// Where the daemons send traces.
    pub trace: Option<TraceSettings>,
    /// Where the daemons send metrics.
    pub metrics: Option<MetricsSettings>,
    /// The keys by which the daemons recognise one another.
    pub fleet_keys: Option<FleetKeySettings>,
}

impl FleetPlan {
    /// A fleet with so many instances of each service, spread over failure domains in turn.
    pub fn new(
        bundle: BundleSource,
        instances: &[(&str, usize)],
        failure_domains: &[&str],
        work_ms: &[(&str, f64)],
    ) -> Self {
        let instances = instances
            .iter()
            .flat_map(|(service, count)| (0..*count).map(move |number| (*service, number)))
            .map(|(service, number)| InstancePlan {
                instance: format!("{service}-{number}"),
                service: service.to_owned(),
                failure_domain: failure_domains[number % failure_domains.len()].to_owned(),
            })
            .collect();
        let work_ms = work_ms
            .iter()
            .map(|(kind, ms)| ((*kind).to_owned(), *ms))
            .collect();
        Self {
            bundle,
            instances,
            work_ms,
            trace: None,
            metrics: None,
            fleet_keys: None,
        }
    }

    /// The settings of one instance's daemon, with free ports.
    pub fn settings(
        &self,
        instance: &InstancePlan,
        platform: SocketAddr,
        backend: SocketAddr,
    ) -> Settings {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let key = operator_key();
        Settings {
            instance: instance.instance.clone(),
            service: instance.service.clone(),
            failure_domain: instance.failure_domain.clone(),
            listen: ListenSettings {
                callers: free,
                local: free,
                peers: free,
                control: free,
                admin: free,
                routed: None,
                announce: None,
                ready: None,
            },
            advertise: AdvertiseSettings::default(),
            backend: BackendSettings {
                address: backend,
                connect_ms: 300,
            },
            platform: PlatformSettings {
                address: platform,
                timeout_ms: 1_000,
                objects_path: OBJECTS_PATH.to_owned(),
            },
            routes: None,
            seeds: Vec::new(),
            operators: BTreeMap::from([(OPERATOR.to_owned(), key.public_hex())]),
            fleet_keys: self.fleet_keys.clone(),
            threads: 1,
            connections: 2_048,
            once: OnceSettings::default(),
            stop: StopSettings::default(),
            trace: self.trace,
            metrics: self.metrics,
            events: EventSettings::default(),
        }
    }

    /// The bundle as version 1, for plans of backend servers.
    pub fn indexed_bundle(&self) -> Bundle {
        Bundle::new(1, self.bundle.clone())
    }
}

/// Publishes a bundle on top of whatever there is.
pub async fn publish_bundle(platform: &Platform, bundle: &BundleSource) -> SignedManifest {
    let head = read_head(platform).await.expect("the stand-in answers");
    let next = head.as_ref().map_or(1, |head| head.manifest.version + 1);
    let publication =
        Publication::sign(bundle, next, "bench", &operator_key()).expect("signing works");
    publish(platform, head.as_ref(), &publication)
        .await
        .expect("nobody else publishes");
    publication.manifest
}

/// A fleet in this process.
pub struct LocalFleet {
    /// Runs everything.
    pub ex: Arc<Executor<'static>>,
    /// The stand-in.
    pub platform: SocketAddr,
    /// The daemons, in the order of the plan.
    pub daemons: Vec<Daemon>,
    /// Their backend servers.
    pub backends: Vec<FakeBackend>,
    /// The plan.
    pub plan: FleetPlan,
    _tasks: Vec<Task<()>>,
}

impl LocalFleet {
    /// Starts everything, publishes the bundle, and waits until it is in force everywhere.
    pub async fn start(ex: Arc<Executor<'static>>, plan: FleetPlan) -> Self {
        let listener = bind().await;
        let platform = listener.local_addr().expect("a bound address");
        let stand_in = serve(Arc::clone(&ex), listener, StandIn::default());
        let mut tasks = vec![ex.spawn(stand_in)];
        publish_bundle(&Platform::new(platform, READY_TIME), &plan.bundle).await;
        let (mut daemons, mut backends) = (Vec::new(), Vec::new());
        for instance in &plan.instances {
            let backend = FakeBackend::default();
            let listener = bind().await;
            let addr = listener.local_addr().expect("a bound address");
            tasks.push(ex.spawn(serve_backend(Arc::clone(&ex), listener, backend.clone())));
            let settings = plan.settings(instance, platform, addr);
            let daemon = Daemon::start(settings, Dialect::own(), Arc::clone(&ex))
                .await
                .expect("the daemon starts on free ports");
            let mut work = plan_for(&plan.indexed_bundle(), &instance.service, &plan.work_ms);
            work.local = Some(daemon.addresses.local);
            backend.set_plan(work);
            daemons.push(daemon);
            backends.push(backend);
        }
        let fleet = Self {
            ex,
            platform,
            daemons,
            backends,
            plan,
            _tasks: tasks,
        };
        fleet.until_ready().await;
        fleet
    }

    /// A caller of one instance's daemon.
    pub fn caller(&self, instance: usize) -> Client {
        let addr = self.daemons[instance].addresses.callers;
        Client::new(Arc::clone(&self.ex), addr)
    }

    /// The backend servers of a service.
    pub fn backends_of(&self, service: &str) -> Vec<&FakeBackend> {
        self.plan
            .instances
            .iter()
            .zip(&self.backends)
            .filter(|(instance, _)| instance.service == service)
            .map(|(_, backend)| backend)
            .collect()
    }

    async fn until_ready(&self) {
        let until = Instant::now() + READY_TIME;
        let all = self.daemons.len();
        while !self
            .daemons
            .iter()
            .all(|daemon| daemon.discovery_state() == (all, true))
        {
            assert!(Instant::now() < until, "the fleet doesn't know itself");
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port on loopback")
}
