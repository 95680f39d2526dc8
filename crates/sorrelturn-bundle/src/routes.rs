//! Routes: request kinds that are matched by host and path prefix.
//!
//! A route table is the alternative form of a bundle: a single unsigned document in the platform's
//! store, where only operators may write. `docs/BUNDLE.md` describes its fields.

use crate::{
    CredentialHash, Execution, Kind, KindEntry, Service, Workspace, check::MAX_DEADLINE_MS,
};
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::Importance;
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// The source form of a route table, as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// The version, which increases with each change. 0 is invalid.
    pub version: u64,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Services that routes refer to, by name.
    pub services: BTreeMap<String, RoutedService>,
    /// Size and time limits of requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Workspaces by name. If there are any, requests need a credential of one of them, except on
    /// open routes.
    #[serde(default)]
    pub workspaces: BTreeMap<String, Workspace>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host of a request, without a port.
    pub host: String,
    /// The prefix of request paths, which begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be executed more than once.
    pub execution: Execution,
    /// The importance of requests.
    pub importance: Importance,
    /// Maximum time that a daemon holds a request, in milliseconds.
    pub deadline_ms: u32,
    /// The target latency, in milliseconds.
    pub target_ms: u32,
    /// Maximum number of instances that a request is tried on.
    pub attempts: u32,
    /// The services that share the requests, with their weights. At least one weight is above 0.
    pub shares: Vec<Share>,
    /// Whether requests are accepted without a credential.
    #[serde(default)]
    pub open: bool,
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The name of the service.
    pub service: String,
    /// The weight relative to the other shares of the route. A share of weight 0 receives no requests.
    pub weight: u32,
}

/// A service of a route table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedService {
    /// Maximum number of connections to one instance.
    pub connections: u32,
    /// The health check path of its instances.
    pub probe_path: String,
}

/// Size and time limits of requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub head_ms: u32,
    /// Maximum time that a connection is idle, in milliseconds.
    pub idle_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            body_bytes: 64 << 20,
            head_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

/// The reason why a route table is rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RouteError {
    /// the version of the route table must be 1 or more
    NoVersion,
    /// route {0}: path_prefix must begin and end with a slash
    InvalidPrefix(String),
    /// route {0}: shares must name a service with a weight above 0
    NoWeightedShare(String),
    /// route {0}: service {1} is missing from services
    UnknownService(String, String),
    /// route {0}: attempts must be 1 or more
    NoAttempts(String),
    /// route {0}: deadline_ms must be from 1 to 600000
    InvalidDeadline(String),
    /// routes {0} and {1} have the same host and path_prefix
    DuplicateRoute(String, String),
    /// workspaces {0} and {1} have the same credential
    SharedCredential(String, String),
    /// workspace {0}: rate_per_second and burst must be 0 or more
    InvalidQuota(String),
}

impl std::error::Error for RouteError {}

impl RouteTable {
    /// Validates the table and returns the first error.
    pub fn check(&self) -> Result<(), RouteError> {
        if self.version == 0 {
            return Err(RouteError::NoVersion);
        }
        let mut routes_by_prefix: HashMap<(&str, &str), &str> = HashMap::new();
        for (name, route) in &self.routes {
            self.check_route(name, route)?;
            let host_and_prefix = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(other) = routes_by_prefix.insert(host_and_prefix, name) {
                return Err(RouteError::DuplicateRoute(other.to_owned(), name.clone()));
            }
        }
        self.check_workspaces()
    }

    fn check_workspaces(&self) -> Result<(), RouteError> {
        let mut owners: HashMap<CredentialHash, &str> = HashMap::new();
        for (name, workspace) in &self.workspaces {
            // The negation also rejects NaN.
            if !(workspace.rate_per_second >= 0.0 && workspace.burst >= 0.0) {
                return Err(RouteError::InvalidQuota(name.clone()));
            }
            for credential in &workspace.credentials_blake3 {
                match owners.insert(*credential, name) {
                    Some(other) if other != name => {
                        let other = other.to_owned();
                        return Err(RouteError::SharedCredential(other, name.clone()));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    fn check_route(&self, name: &str, route: &Route) -> Result<(), RouteError> {
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(RouteError::InvalidPrefix(name.to_owned()));
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            return Err(RouteError::NoWeightedShare(name.to_owned()));
        }
        if route.attempts == 0 {
            return Err(RouteError::NoAttempts(name.to_owned()));
        }
        if route.deadline_ms == 0 || route.deadline_ms > MAX_DEADLINE_MS {
            return Err(RouteError::InvalidDeadline(name.to_owned()));
        }
        let unknown = route
            .shares
            .iter()
            .find(|share| !self.services.contains_key(&share.service));
        match unknown {
            Some(share) => {
                let service = share.service.clone();
                Err(RouteError::UnknownService(name.to_owned(), service))
            }
            None => Ok(()),
        }
    }
}

/// An indexed route with the request kinds of its shares.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The name of the route.
    pub name: String,
    /// Whether requests are accepted without a credential.
    pub open: bool,
    path_prefix: String,
    /// The kind of each share with the cumulative weight up to and including it.
    shares: Vec<(u64, Arc<KindEntry>)>,
}

impl RouteEntry {
    /// Returns the kind of the share at `fraction` of the total weight, from 0 to below 1. A random
    /// fraction distributes requests by weight.
    pub fn kind_at(&self, fraction: f64) -> Option<&Arc<KindEntry>> {
        let (total, _) = self.shares.last()?;
        let position = (fraction * *total as f64) as u64;
        let share = self
            .shares
            .iter()
            .find(|(cumulative_weight, _)| position < *cumulative_weight);
        share.or(self.shares.last()).map(|(_, kind)| kind)
    }

    /// Returns the kinds of all shares.
    pub fn kinds(&self) -> impl Iterator<Item = &Arc<KindEntry>> {
        self.shares.iter().map(|(_, kind)| kind)
    }
}

/// All routes by host, sorted by descending prefix length.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteIndex {
    by_host: HashMap<String, Vec<Arc<RouteEntry>>>,
}

impl RouteIndex {
    pub(crate) fn new(table: &RouteTable) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<RouteEntry>>> = HashMap::new();
        for (name, route) in &table.routes {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route_entry(name, route)));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route with the longest prefix of `path`. A port in `host` is ignored.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.by_host.values().flatten()
    }
}

fn route_entry(name: &str, route: &Route) -> RouteEntry {
    let mut cumulative_weight = 0;
    let is_split = route.shares.len() > 1;
    let shares = route
        .shares
        .iter()
        .filter(|share| share.weight > 0)
        .map(|share| {
            cumulative_weight += u64::from(share.weight);
            let kind_name = if is_split {
                format!("{name}@{}", share.service)
            } else {
                name.to_owned()
            };
            let kind = Kind {
                method: String::new(),
                path: route.path_prefix.clone(),
                importance: route.importance,
                execution: route.execution,
                deadline_ms: route.deadline_ms,
                attempts: route.attempts,
                exposed: true,
                calls: BTreeMap::new(),
            };
            let target = Some(Duration::from_millis(route.target_ms.into()));
            let entry = KindEntry::for_route(kind_name, &share.service, kind, target);
            (cumulative_weight, Arc::new(entry))
        })
        .collect();
    RouteEntry {
        name: name.to_owned(),
        open: route.open,
        path_prefix: route.path_prefix.clone(),
        shares,
    }
}

/// Returns the defaults of a service until its instances announce their slots.
pub(crate) fn default_service(routed: &RoutedService) -> Service {
    Service {
        slots: 1,
        connections: routed.connections,
        queue: None,
        queue_wait_ms: 0,
        refused_statuses: Vec::new(),
        drain_header: None,
        deadline_header: None,
        cold_start_ms: 0,
        kinds: BTreeMap::new(),
    }
}
