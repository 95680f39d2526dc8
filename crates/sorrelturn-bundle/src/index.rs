//! A bundle in force: indexed for the path of a request.

use crate::{
    BundleSource, Caller, CredentialHash, Execution, Kind, Limits, PathPattern, RouteEntry,
    RouteTable, Service, WorkspaceEntry,
    routes::{RouteIndex, routed_service},
    workspaces::{WorkspaceIndex, caller_id},
};
use sorrelturn_protocol::{CallerId, Importance};
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

/// A kind of request with what the path of a request needs of it.
#[derive(Clone, Debug)]
pub struct KindEntry {
    /// Its name.
    pub name: String,
    /// The service that answers it.
    pub service: String,
    /// As the operators wrote it.
    pub kind: Kind,
    /// The time within which an answer is worth most, where the bundle names one.
    pub target: Option<Duration>,
    /// The executions that it needs when nothing fails: itself and all that it calls.
    pub min_executions: u32,
    /// Absent for the kinds of routes, which are told by host and path prefix.
    pattern: Option<PathPattern>,
}

impl KindEntry {
    /// The kind that a route's requests have at one service. It needs one execution: what a
    /// backend server calls for it is a request of its own.
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

    /// Whether it runs at most once.
    pub fn at_most_once(&self) -> bool {
        self.kind.execution == Execution::AtMostOnce
    }

    /// The importance of its root requests.
    pub fn importance(&self) -> Importance {
        self.kind.importance
    }
}

/// A caller with what the entry needs of it.
#[derive(Clone, Debug)]
pub struct CallerEntry {
    /// Its id.
    pub id: CallerId,
    /// Its name.
    pub name: String,
    /// As the operators wrote it.
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
        let most = if address.is_ipv4() { 32 } else { 128 };
        (prefix_bits <= most).then_some(Self {
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

/// A checked bundle at its version.
#[derive(Clone, Debug, Default)]
pub struct Bundle {
    /// Its version; rises with each publication.
    pub version: u64,
    source: BundleSource,
    kinds: HashMap<String, Arc<KindEntry>>,
    by_method: HashMap<String, Vec<Arc<KindEntry>>>,
    callers: Vec<Arc<CallerEntry>>,
    routes: RouteIndex,
    probe_paths: HashMap<String, String>,
    limits: Limits,
    workspaces: WorkspaceIndex,
}

impl Bundle {
    /// Indexes a bundle that passed [`check`](crate::check()); what doesn't fit is left out.
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

    /// Indexes a route table that passed [`RouteTable::check`].
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
            .map(|(name, service)| (name.clone(), routed_service(service)))
            .collect();
        let probe_paths = table
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.probe_path.clone()))
            .collect();
        Self {
            version: table.version,
            source: BundleSource {
                services,
                callers: BTreeMap::new(),
            },
            kinds,
            routes,
            probe_paths,
            limits: table.limits,
            workspaces: WorkspaceIndex::new(&table.workspaces),
            ..Self::default()
        }
    }

    /// The route of a request, by its host and its path without the query.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        self.routes.find(host, path)
    }

    /// The kinds of all routes.
    pub fn route_kinds(&self) -> impl Iterator<Item = &Arc<KindEntry>> {
        self.routes.all().flat_map(|route| route.kinds())
    }

    /// The path at which an instance of a service answers whether it is well.
    pub fn probe_path(&self, service: &str) -> Option<&str> {
        self.probe_paths.get(service).map(String::as_str)
    }

    /// Whether requests need credentials.
    pub fn has_workspaces(&self) -> bool {
        self.workspaces().next().is_some()
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceEntry>> {
        self.workspaces.all()
    }

    /// The workspace that holds a credential.
    pub fn workspace_of(&self, credential: &CredentialHash) -> Option<&Arc<WorkspaceEntry>> {
        self.workspaces.of_credential(credential)
    }

    /// The workspace with this id.
    pub fn workspace(&self, id: CallerId) -> Option<&Arc<WorkspaceEntry>> {
        self.workspaces.of_id(id)
    }

    /// What a caller may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The bundle as operators wrote it.
    pub fn source(&self) -> &BundleSource {
        &self.source
    }

    /// The kind with this name.
    pub fn kind(&self, name: &str) -> Option<&Arc<KindEntry>> {
        self.kinds.get(name)
    }

    /// The kind of a request, by its method and its path without the query.
    pub fn match_kind(&self, method: &str, path: &str) -> Option<&Arc<KindEntry>> {
        self.by_method.get(method)?.iter().find(|entry| {
            let pattern = entry.pattern.as_ref();
            pattern.is_some_and(|pattern| pattern.matches(path))
        })
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.source.services.get(name)
    }

    /// The id of the caller with this name.
    pub fn caller_id(&self, name: &str) -> Option<CallerId> {
        let entry = self.callers.iter().find(|entry| entry.name == name)?;
        Some(entry.id)
    }

    /// Recognises a caller: by its bearer token if it sends one, else by its address.
    pub fn match_caller(&self, bearer: Option<&str>, address: IpAddr) -> Option<&Arc<CallerEntry>> {
        if let Some(token) = bearer {
            let hash = blake3::hash(token.as_bytes()).to_hex();
            return self
                .callers
                .iter()
                .find(|entry| entry.caller.token_blake3.as_deref() == Some(hash.as_str()));
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

/// For each kind, the executions that it needs when nothing fails.
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

/// Chains deeper than this are refused by the check, so the recursion ends even in a cycle.
pub(crate) const MAX_CALL_DEPTH: u32 = 16;

fn count_executions(kinds: &BTreeMap<&str, &Kind>, name: &str, depth: u32) -> u32 {
    let Some(kind) = kinds.get(name) else {
        return 1;
    };
    if depth >= MAX_CALL_DEPTH {
        return 1;
    }
    kind.calls.iter().fold(1, |sum: u32, (child, times)| {
        sum.saturating_add(count_executions(kinds, child, depth + 1).saturating_mul(*times))
    })
}
