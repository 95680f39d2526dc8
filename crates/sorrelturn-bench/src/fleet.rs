//! A small fleet in one process, on loopback: a stand-in for the platform, daemons, fake backends.

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

/// The operator whose key signs bundles in tests and measurements.
const OPERATOR: &str = "bench";
/// For all daemons to discover one another and put the bundle in force.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// A fixed operator key for tests and measurements. It is not secret.
pub fn operator_key() -> OperatorKey {
    let secret = "42".repeat(32);
    OperatorKey::from_hex(OPERATOR, &secret).expect("the fixed key is valid hex")
}

/// One instance of a [`FleetPlan`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstancePlan {
    /// The instance name.
    pub instance: String,
    /// The service it belongs to.
    pub service: String,
    /// The failure domain it runs in.
    pub failure_domain: String,
}

/// The configuration of a fleet to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The bundle to publish.
    pub bundle: BundleSource,
    /// The instances to start.
    pub instances: Vec<InstancePlan>,
    /// The processing time of each kind in milliseconds; 1 for kinds that are absent.
    pub work_ms: BTreeMap<String, f64>,
    /// The trace settings of the daemons.
    pub trace: Option<TraceSettings>,
    /// The metrics settings of the daemons.
    pub metrics: Option<MetricsSettings>,
    /// The keys with which the daemons authenticate one another.
    pub fleet_keys: Option<FleetKeySettings>,
}

impl FleetPlan {
    /// Creates a plan from the instance count of each service, with the instances of each service
    /// assigned to the failure domains in turn.
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

    /// The settings of one instance's daemon, which listens on free loopback ports.
    pub fn settings(
        &self,
        instance: &InstancePlan,
        platform: SocketAddr,
        backend: SocketAddr,
    ) -> Settings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let key = operator_key();
        Settings {
            instance: instance.instance.clone(),
            service: instance.service.clone(),
            failure_domain: instance.failure_domain.clone(),
            listen: ListenSettings {
                callers: any_port,
                local: any_port,
                peers: any_port,
                control: any_port,
                admin: any_port,
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
            memory_mb: None,
            once: OnceSettings::default(),
            stop: StopSettings::default(),
            trace: self.trace,
            metrics: self.metrics,
            events: EventSettings::default(),
        }
    }

    /// The indexed bundle, as version 1, for the plans of backend servers.
    pub fn indexed_bundle(&self) -> Bundle {
        Bundle::new(1, self.bundle.clone())
    }
}

/// Publishes a bundle as the version after the current one.
pub async fn publish_bundle(platform: &Platform, bundle: &BundleSource) -> SignedManifest {
    let head = read_head(platform).await.expect("the stand-in answers");
    let next = head.as_ref().map_or(1, |head| head.manifest.version + 1);
    let publication =
        Publication::sign(bundle, next, "bench", &operator_key()).expect("signing works");
    publish(platform, head.as_ref(), &publication)
        .await
        .expect("no concurrent publication");
    publication.manifest
}

/// A running fleet in this process.
pub struct LocalFleet {
    /// The executor that runs all parts.
    pub ex: Arc<Executor<'static>>,
    /// The address of the platform stand-in.
    pub platform: SocketAddr,
    /// The daemons, in the order of the plan.
    pub daemons: Vec<Daemon>,
    /// The backend servers of the daemons, in the same order.
    pub backends: Vec<FakeBackend>,
    /// The plan the fleet was started from.
    pub plan: FleetPlan,
    _tasks: Vec<Task<()>>,
}

impl LocalFleet {
    /// Publishes the bundle, starts all parts, and waits until the bundle is in force at all daemons.
    pub async fn start(ex: Arc<Executor<'static>>, plan: FleetPlan) -> Self {
        let listener = bind_listener().await;
        let platform = listener.local_addr().expect("a bound address");
        let stand_in = serve(Arc::clone(&ex), listener, StandIn::default());
        let mut tasks = vec![ex.spawn(stand_in)];
        publish_bundle(&Platform::new(platform, READY_TIMEOUT), &plan.bundle).await;
        let (mut daemons, mut backends) = (Vec::new(), Vec::new());
        for instance in &plan.instances {
            let backend = FakeBackend::default();
            let listener = bind_listener().await;
            let addr = listener.local_addr().expect("a bound address");
            tasks.push(ex.spawn(serve_backend(Arc::clone(&ex), listener, backend.clone())));
            let settings = plan.settings(instance, platform, addr);
            let daemon = Daemon::start(settings, Dialect::own(), Arc::clone(&ex))
                .await
                .expect("the daemon starts on free ports");
            let mut backend_plan =
                plan_for(&plan.indexed_bundle(), &instance.service, &plan.work_ms);
            backend_plan.local = Some(daemon.addresses.local);
            backend.set_plan(backend_plan);
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
        fleet.wait_until_ready().await;
        fleet
    }

    /// A client of one instance's daemon, by its index in the plan.
    pub fn caller(&self, instance: usize) -> Client {
        let addr = self.daemons[instance].addresses.callers;
        Client::new(Arc::clone(&self.ex), addr)
    }

    /// The backend servers of one service.
    pub fn backends_of(&self, service: &str) -> Vec<&FakeBackend> {
        self.plan
            .instances
            .iter()
            .zip(&self.backends)
            .filter(|(instance, _)| instance.service == service)
            .map(|(_, backend)| backend)
            .collect()
    }

    async fn wait_until_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        let daemon_count = self.daemons.len();
        while !self
            .daemons
            .iter()
            .all(|daemon| daemon.discovery_state() == (daemon_count, true))
        {
            assert!(
                Instant::now() < deadline,
                "the daemons did not discover one another in time"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}

async fn bind_listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port on loopback")
}
