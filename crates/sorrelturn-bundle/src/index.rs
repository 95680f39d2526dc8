//! A bundle indexed for matching requests.

use crate::{
    BundleSource, Caller, CredentialHash, Execution, Kind, Limits, PathPattern, RouteEntry,
    RouteTable, RoutedService, Service, TableSection, WorkspaceEntry,
    routes::{RouteIndex, default_service},
    workspaces::{WorkspaceIndex, caller_id},
};
use sorrelturn_protocol::{CallerId, Importance};
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

/// A request kind with its parsed path pattern.
#[derive(Clone, Debug)]
pub struct KindEntry {
    /// The name of the kind.
    pub name: String,
    /// The service that handles it.
    pub service: String,
    /// The kind as written in the bundle.
    pub kind: Kind,
    /// The target latency, if the bundle sets one.
    pub target: Option<Duration>,
    /// The number of executions without retries: the request and all calls below it.
    pub min_executions: u32,
    /// Absent for kinds of routes, which are matched by host and path prefix.
    pattern: Option<PathPattern>,
}

impl KindEntry {
    /// Creates the kind for requests of a route at one service. It counts one execution, since calls
    /// that a backend server makes for it are independent requests.
    pub fn for_route(name: String, service: &str, kind: Kind, target: Option<Duration>) -> Self {
        Self {
            name,
            service: service.to_owned(),
            kind,
            target,
            min_executions: 1,
            pattern: None,
        }
    }

    /// Returns whether requests of this kind are executed at most once.
    pub fn at_most_once(&self) -> bool {
        self.kind.execution == Execution::AtMostOnce
    }

    /// Returns the importance of root requests of this kind.
    pub fn importance(&self) -> Importance {
        self.kind.importance
    }
}

/// A caller with its id and its parsed networks.
#[derive(Clone, Debug)]
pub struct CallerEntry {
    /// The id of the caller.
    pub id: CallerId,
    /// The name of the caller.
    pub name: String,
    /// The caller as written in the bundle.
    pub caller: Caller,
    networks: Vec<Network>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Network {
    address: IpAddr,
    prefix_bits: u32,
}

impl Network {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (address, bits) = text.split_once('/')?;
        let address: IpAddr = address.parse().ok()?;
        let prefix_bits: u32 = bits.parse().ok()?;
        let max_prefix_bits = if address.is_ipv4() { 32 } else { 128 };
        (prefix_bits <= max_prefix_bits).then_some(Self {
            address,
            prefix_bits,
        })
    }

    fn contains(self, address: IpAddr) -> bool {
        match (self.address, address) {
            (IpAddr::V4(net), IpAddr::V4(ip)) => {
                let host_bits = 32 - self.prefix_bits;
                (u64::from(net.to_bits()) >> host_bits) == (u64::from(ip.to_bits()) >> host_bits)
            }
            (IpAddr::V6(net), IpAddr::V6(ip)) => {
                let shift = |bits: u128| bits.checked_shr(128 - self.prefix_bits).unwrap_or(0);
                shift(net.to_bits()) == shift(ip.to_bits())
            }
            _ => false,
        }
    }
}

/// An indexed bundle.
#[derive(Clone, Debug, Default)]
pub struct Bundle {
    /// The version, which increases with each publication.
    pub version: u64,
    source: BundleSource,
    kinds: HashMap<String, Arc<KindEntry>>,
    by_method: HashMap<String, Vec<Arc<KindEntry>>>,
    callers: Vec<Arc<CallerEntry>>,
    routes: RouteIndex,
    routed_services: BTreeMap<String, RoutedService>,
    limits: Limits,
    workspaces: WorkspaceIndex,
    has_rejected_workspace: bool,
}

impl Bundle {
    /// Indexes a bundle. The publisher has run [`check`](crate::check()); kinds with invalid paths and invalid networks
    /// are skipped.
    pub fn new(version: u64, source: BundleSource) -> Self {
        let min_executions = min_executions_by_kind(&source);
        let mut kinds = HashMap::new();
        let mut by_method: HashMap<String, Vec<Arc<KindEntry>>> = HashMap::new();
        for (service_name, service) in &source.services {
            for (name, kind) in &service.kinds {
                let Some(pattern) = PathPattern::parse(&kind.path) else {
                    continue;
                };
                let entry = Arc::new(KindEntry {
                    target: None,
                    name: name.clone(),
                    service: service_name.clone(),
                    kind: kind.clone(),
                    min_executions: min_executions.get(name.as_str()).copied().unwrap_or(1),
                    pattern: Some(pattern),
                });
                kinds.insert(name.clone(), Arc::clone(&entry));
                by_method
                    .entry(kind.method.clone())
                    .or_default()
                    .push(entry);
            }
        }
        let callers = source.callers.iter().map(caller_entry).collect();
        Self {
            version,
            source,
            kinds,
            by_method,
            callers,
            ..Self::default()
        }
    }

    /// Indexes a route table whose invalid entries were removed by [`RouteTable::reject_invalid`].
    pub fn from_route_table(table: &RouteTable) -> Self {
        let routes = RouteIndex::new(table);
        let kinds = routes
            .all()
            .flat_map(|route| route.kinds())
            .map(|kind| (kind.name.clone(), Arc::clone(kind)))
            .collect();
        let services = table
            .services
            .iter()
            .map(|(name, service)| (name.clone(), default_service(service)))
            .collect();
        let mut rejected = table.rejected.iter();
        let has_rejected_workspace =
            rejected.any(|entry| entry.section == TableSection::Workspaces);
        Self {
            version: table.version,
            source: BundleSource {
                services,
                callers: BTreeMap::new(),
            },
            kinds,
            routes,
            routed_services: table.services.clone(),
            limits: table.limits,
            workspaces: WorkspaceIndex::new(&table.workspaces),
            has_rejected_workspace,
            ..Self::default()
        }
    }

    /// Returns the route that matches a host and a path without its query.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        self.routes.find(host, path)
    }

    /// Returns whether a request that matches no route may belong to an entry that was rejected.
    pub fn has_unlocated_rejection(&self) -> bool {
        self.routes.has_unlocated_rejection()
    }

    /// Returns whether an unknown credential may belong to an entry that was rejected.
    pub fn has_rejected_workspace(&self) -> bool {
        self.has_rejected_workspace
    }

    /// Returns the services of the route table.
    pub fn routed_services(&self) -> &BTreeMap<String, RoutedService> {
        &self.routed_services
    }

    /// Returns the kinds of all routes.
    pub fn route_kinds(&self) -> impl Iterator<Item = &Arc<KindEntry>> {
        self.routes.all().flat_map(|route| route.kinds())
    }

    /// Returns the health check path of a service.
    pub fn probe_path(&self, service: &str) -> Option<&str> {
        let service = self.routed_services.get(service)?;
        Some(service.probe_path.as_str()).filter(|path| !path.is_empty())
    }

    /// Returns whether requests need a credential, except on open routes.
    pub fn has_workspaces(&self) -> bool {
        self.has_rejected_workspace || self.workspaces().next().is_some()
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceEntry>> {
        self.workspaces.all()
    }

    /// Returns the workspace that a credential belongs to.
    pub fn workspace_of(&self, credential: &CredentialHash) -> Option<&Arc<WorkspaceEntry>> {
        self.workspaces.of_credential(credential)
    }

    /// Returns the workspace with an id.
    pub fn workspace(&self, id: CallerId) -> Option<&Arc<WorkspaceEntry>> {
        self.workspaces.of_id(id)
    }

    /// Returns the size and time limits of requests.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the source form of the bundle.
    pub fn source(&self) -> &BundleSource {
        &self.source
    }

    /// Returns the kind with a name.
    pub fn kind(&self, name: &str) -> Option<&Arc<KindEntry>> {
        self.kinds.get(name)
    }

    /// Returns the kind that matches a method and a path without its query.
    pub fn match_kind(&self, method: &str, path: &str) -> Option<&Arc<KindEntry>> {
        self.by_method.get(method)?.iter().find(|entry| {
            let pattern = entry.pattern.as_ref();
            pattern.is_some_and(|pattern| pattern.matches(path))
        })
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.source.services.get(name)
    }

    /// Returns the id of the caller with a name.
    pub fn caller_id(&self, name: &str) -> Option<CallerId> {
        let entry = self.callers.iter().find(|entry| entry.name == name)?;
        Some(entry.id)
    }

    /// Identifies a caller by its bearer token if it sends one, otherwise by its address.
    pub fn match_caller(&self, bearer: Option<&str>, address: IpAddr) -> Option<&Arc<CallerEntry>> {
        if let Some(token) = bearer {
            let hash = blake3::hash(token.as_bytes()).to_hex();
            return self.callers.iter().find(|entry| {
                let expected = entry.caller.token_blake3.as_deref();
                expected.is_some_and(|expected| expected.eq_ignore_ascii_case(&hash))
            });
        }
        self.callers
            .iter()
            .find(|entry| entry.networks.iter().any(|net| net.contains(address)))
    }
}

fn caller_entry((name, caller): (&String, &Caller)) -> Arc<CallerEntry> {
    Arc::new(CallerEntry {
        id: caller_id(name),
        name: name.clone(),
        caller: caller.clone(),
        networks: caller
            .networks
            .iter()
            .filter_map(|text| Network::parse(text))
            .collect(),
    })
}

/// Returns, for each kind, the number of executions without retries.
pub(crate) fn min_executions_by_kind(source: &BundleSource) -> BTreeMap<&str, u32> {
    let kinds: BTreeMap<&str, &Kind> = source
        .services
        .values()
        .flat_map(|service| &service.kinds)
        .map(|(name, kind)| (name.as_str(), kind))
        .collect();
    kinds
        .keys()
        .map(|name| (*name, count_executions(&kinds, name, 0)))
        .collect()
}

/// Bounds the recursion, so that it ends even if the call graph has a cycle.
const MAX_CALL_DEPTH: u32 = 16;

fn count_executions(kinds: &BTreeMap<&str, &Kind>, name: &str, depth: u32) -> u32 {
    let Some(kind) = kinds.get(name) else {
        return 1;
    };
    if depth >= MAX_CALL_DEPTH {
        return 1;
    }
    kind.calls.iter().fold(1, |sum: u32, (child, call_count)| {
        sum.saturating_add(count_executions(kinds, child, depth + 1).saturating_mul(*call_count))
    })
}
