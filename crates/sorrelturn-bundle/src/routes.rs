//! Routes: request kinds that are matched by host and path prefix.
//!
//! A route table is the alternative form of a bundle: a single unsigned document in the platform's
//! store, where only operators may write. `docs/BUNDLE.md` describes its fields. Unknown fields are
//! ignored, and an entry that can't be used is rejected by itself; see [`crate::TableDocument`].

use crate::{
    CredentialHash, Execution, Kind, KindEntry, RejectedEntry, Service, TableDocument,
    TableSection, Workspace, check::MAX_DEADLINE_MS,
};
use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize};
use sorrelturn_protocol::Importance;
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// The source form of a route table, as operators write it. [`RouteTable::parse`] reads it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RouteTable {
    /// The version, which increases with each change. 0 is invalid.
    pub version: u64,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Services that routes refer to, by name.
    pub services: BTreeMap<String, RoutedService>,
    /// Size and time limits of requests and connections.
    pub limits: Limits,
    /// Workspaces by name. If there are any, requests need a credential of one of them, except on
    /// open routes.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Entries that can't be used. Daemons exchange them together with the table.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rejected: Vec<RejectedEntry>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The host of a request, without a port.
    pub host: String,
    /// The prefix of request paths, which begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be executed more than once. An unknown word means the strictest one.
    #[serde(deserialize_with = "strictest_if_unknown")]
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
pub struct Share {
    /// The name of the service.
    pub service: String,
    /// The weight relative to the other shares of the route. A share of weight 0 receives no requests.
    pub weight: u32,
}

/// A service of a route table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutedService {
    /// Maximum number of connections to one instance.
    pub connections: u32,
    /// The health check path of its instances.
    pub probe_path: String,
    /// The requests per second that an instance accepts while it is cold; absent without a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<f64>,
}

/// The maximum number of connections to one instance of a service without a usable entry.
const DEFAULT_CONNECTIONS: u32 = 64;

impl Default for RoutedService {
    fn default() -> Self {
        Self {
            connections: DEFAULT_CONNECTIONS,
            probe_path: String::new(),
            cold_rate: None,
        }
    }
}

fn strictest_if_unknown<'de, D: Deserializer<'de>>(input: D) -> Result<Execution, D::Error> {
    #[derive(Deserialize)]
    #[serde(rename_all = "kebab-case")]
    enum Word {
        Repeatable,
        #[serde(other)]
        Unknown,
    }
    Ok(match Word::deserialize(input)? {
        Word::Repeatable => Execution::Repeatable,
        Word::Unknown => Execution::AtMostOnce,
    })
}

/// Size and time limits of requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
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
    /// Parses a table. Entries that can't be parsed are in [`RouteTable::rejected`]. Fails if the
    /// text is not a JSON object with a version.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut document = TableDocument::parse(text)?;
        document.take_over_rejected();
        Ok(Self {
            version: document.version(),
            routes: document.section(TableSection::Routes, |route: Route| route),
            services: document.section(TableSection::Services, |service: RoutedService| service),
            limits: document.limits(|limits: Limits| limits),
            workspaces: document
                .section(TableSection::Workspaces, |workspace: Workspace| workspace),
            rejected: document.into_rejected(),
        })
    }

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

    /// Moves each invalid entry to [`RouteTable::rejected`], so that the others can be used.
    ///
    /// A service that lacks a usable entry gets the one of `before`, the table in force, or the
    /// default. Of a credential that several workspaces have, all copies are removed.
    pub fn reject_invalid(&mut self, before: Option<&BTreeMap<String, RoutedService>>) {
        self.fill_in_services(before);
        for (name, reason) in self.invalid_routes() {
            let Some(route) = self.routes.remove(&name) else {
                continue;
            };
            let mut rejected = RejectedEntry::new(TableSection::Routes, &name, reason);
            rejected.host = Some(route.host);
            rejected.path_prefix = Some(route.path_prefix);
            self.rejected.push(rejected);
        }
        self.reject_invalid_quotas();
        self.reject_shared_credentials();
    }

    fn fill_in_services(&mut self, before: Option<&BTreeMap<String, RoutedService>>) {
        let shares = self.routes.values().flat_map(|route| &route.shares);
        for share in shares {
            if self.services.contains_key(&share.service) {
                continue;
            }
            let known = before.and_then(|before| before.get(&share.service));
            let service = known.cloned().unwrap_or_default();
            self.services.insert(share.service.clone(), service);
        }
    }

    fn invalid_routes(&self) -> Vec<(String, String)> {
        let mut invalid = Vec::new();
        let mut by_prefix: BTreeMap<(String, &str), Vec<&str>> = BTreeMap::new();
        for (name, route) in &self.routes {
            if let Err(error) = self.check_route(name, route) {
                invalid.push((name.clone(), error.to_string()));
                continue;
            }
            let host_and_prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            by_prefix.entry(host_and_prefix).or_default().push(name);
        }
        for names in by_prefix.values().filter(|names| names.len() > 1) {
            for name in names {
                let other = names.iter().find(|other| *other != name);
                let other = other.map_or("", |other| other);
                let error = RouteError::DuplicateRoute((*name).to_owned(), other.to_owned());
                invalid.push(((*name).to_owned(), error.to_string()));
            }
        }
        invalid
    }

    fn reject_invalid_quotas(&mut self) {
        let has_valid_quota = |workspace: &Workspace| {
            // Comparisons with NaN are false.
            workspace.rate_per_second >= 0.0 && workspace.burst >= 0.0
        };
        let invalid: Vec<String> = self
            .workspaces
            .iter()
            .filter(|(_, workspace)| !has_valid_quota(workspace))
            .map(|(name, _)| name.clone())
            .collect();
        for name in invalid {
            self.workspaces.remove(&name);
            let reason = RouteError::InvalidQuota(name.clone()).to_string();
            let rejected = RejectedEntry::new(TableSection::Workspaces, &name, reason);
            self.rejected.push(rejected);
        }
    }

    fn reject_shared_credentials(&mut self) {
        let mut owners: BTreeMap<CredentialHash, &str> = BTreeMap::new();
        let mut shared: BTreeMap<CredentialHash, String> = BTreeMap::new();
        for (name, workspace) in &self.workspaces {
            for credential in &workspace.credentials_blake3 {
                match owners.insert(*credential, name) {
                    Some(other) if other != name => {
                        let error = RouteError::SharedCredential(other.to_owned(), name.to_owned());
                        shared.insert(*credential, error.to_string());
                    }
                    _ => {}
                }
            }
        }
        for workspace in self.workspaces.values_mut() {
            workspace
                .credentials_blake3
                .retain(|credential| !shared.contains_key(credential));
        }
        for (credential, reason) in shared {
            let name = format!("credential {}", credential.short());
            let rejected = RejectedEntry::new(TableSection::Workspaces, &name, reason);
            self.rejected.push(rejected);
        }
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
    /// The kind of each share with the cumulative weight up to and including it. Empty for a route
    /// whose entry in the table was rejected.
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

    /// Returns whether the entry in the table was rejected. Its requests match no other route.
    pub fn is_rejected(&self) -> bool {
        self.shares.is_empty()
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
    /// Whether some entry was rejected whose host or path prefix is unknown.
    has_unlocated_rejection: bool,
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
        let mut has_unlocated_rejection = false;
        for entry in &table.rejected {
            match rejected_route(entry) {
                Some((host, route)) => by_host.entry(host).or_default().push(Arc::new(route)),
                None => has_unlocated_rejection |= entry.section == TableSection::Routes,
            }
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            by_host,
            has_unlocated_rejection,
        }
    }

    /// Returns whether a request that matches no route may belong to a rejected one.
    pub(crate) fn has_unlocated_rejection(&self) -> bool {
        self.has_unlocated_rejection
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

/// Returns the host of a rejected route and an entry for it without shares; `None` if the host or
/// the path prefix is unknown, or the entry is not a route.
fn rejected_route(entry: &RejectedEntry) -> Option<(String, RouteEntry)> {
    if entry.section != TableSection::Routes {
        return None;
    }
    let path_prefix = match entry.path_prefix.as_ref()?.trim_matches('/') {
        "" => "/".to_owned(),
        // Without the slash at the end it would match paths of other routes.
        path => format!("/{path}/"),
    };
    let route = RouteEntry {
        name: entry.name.clone(),
        open: true,
        path_prefix,
        shares: Vec::new(),
    };
    Some((entry.host.as_ref()?.to_ascii_lowercase(), route))
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
