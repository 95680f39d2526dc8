//! Routes: kinds of requests that are told by their host and the start of their path.
//!
//! A route table is the second form of a bundle. It is one document in the platform's store, which
//! is trusted because only operators may write there; `docs/BUNDLE.md` describes its fields.

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

/// A whole route table as operators wrote it, at its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// Rises with each change; 0 is no version.
    pub version: u64,
    /// The routes by name.
    pub routes: BTreeMap<String, Route>,
    /// The services that routes lead to.
    pub services: BTreeMap<String, RoutedService>,
    /// What a caller may send.
    #[serde(default)]
    pub limits: Limits,
    /// The workspaces by name. Where there are any, a request needs a credential of one of them, but on
    /// routes that are open.
    #[serde(default)]
    pub workspaces: BTreeMap<String, Workspace>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that a request names, without a port.
    pub host: String,
    /// What the path of a request starts with; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub execution: Execution,
    /// How much it matters.
    pub importance: Importance,
    /// The longest time that a request is held, in milliseconds.
    pub deadline_ms: u32,
    /// The time within which an answer is worth most, in milliseconds.
    pub target_ms: u32,
    /// The most instances that one request may run on.
    pub attempts: u32,
    /// The services that it leads to, with their weights; all of them above 0.
    pub shares: Vec<Share>,
    /// Whether a request needs no credential.
    #[serde(default)]
    pub open: bool,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight among all shares of the route.
    pub weight: u32,
}

/// What a route table says about a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedService {
    /// How many connections one instance takes.
    pub connections: u32,
    /// The path at which an instance answers whether it is well.
    pub probe_path: String,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head_bytes: u32,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// The longest time for a head to arrive, in milliseconds.
    pub head_ms: u32,
    /// The longest time that a connection may rest, in milliseconds.
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

/// Why a route table is not taken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RouteError {
    /// the route table has no version
    NoVersion,
    /// route {0}: path_prefix must begin and end with a slash
    InvalidPrefix(String),
    /// route {0}: no service, or none with a weight
    NoWeightedShare(String),
    /// route {0}: service {1} is not described
    UnknownService(String, String),
    /// route {0}: attempts must be 1 or more
    NoAttempts(String),
    /// route {0}: deadline_ms must be from 1 to 600000
    InvalidDeadline(String),
    /// routes {0} and {1} have the same host and path_prefix
    DuplicateRoute(String, String),
    /// workspaces {0} and {1} have a credential in common
    SharedCredential(String, String),
    /// workspace {0}: rate_per_second and burst must be 0 or more
    InvalidQuota(String),
}

impl std::error::Error for RouteError {}

impl RouteTable {
    /// Finds the first rule that the table breaks.
    pub fn check(&self) -> Result<(), RouteError> {
        if self.version == 0 {
            return Err(RouteError::NoVersion);
        }
        let mut places: HashMap<(&str, &str), &str> = HashMap::new();
        for (name, route) in &self.routes {
            self.check_route(name, route)?;
            let place = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(other) = places.insert(place, name) {
                return Err(RouteError::DuplicateRoute(other.to_owned(), name.clone()));
            }
        }
        self.check_workspaces()
    }

    fn check_workspaces(&self) -> Result<(), RouteError> {
        let mut holders: HashMap<CredentialHash, &str> = HashMap::new();
        for (name, workspace) in &self.workspaces {
            // Written so that a number that is none fails as well.
            if !(workspace.rate_per_second >= 0.0 && workspace.burst >= 0.0) {
                return Err(RouteError::InvalidQuota(name.clone()));
            }
            for credential in &workspace.credentials_blake3 {
                match holders.insert(*credential, name) {
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

/// A route with what the path of a request needs of it.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Its name.
    pub name: String,
    /// Whether a request needs no credential.
    pub open: bool,
    path_prefix: String,
    /// Each share's kind with the sum of the weights up to it.
    shares: Vec<(u64, Arc<KindEntry>)>,
}

impl RouteEntry {
    /// The kind of the share at `point`, a number from 0 up to 1, of all weights.
    pub fn kind_at(&self, point: f64) -> Option<&Arc<KindEntry>> {
        let (total, _) = self.shares.last()?;
        let wanted = (point * *total as f64) as u64;
        let share = self.shares.iter().find(|(upto, _)| wanted < *upto);
        share.or(self.shares.last()).map(|(_, kind)| kind)
    }

    /// The kinds of all shares.
    pub fn kinds(&self) -> impl Iterator<Item = &Arc<KindEntry>> {
        self.shares.iter().map(|(_, kind)| kind)
    }
}

/// All routes, by host and by the length of their prefix.
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
                .push(Arc::new(entry(name, route)));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// The route with the longest prefix that begins the path. A port in `host` doesn't count.
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

fn entry(name: &str, route: &Route) -> RouteEntry {
    let mut upto = 0;
    let is_split = route.shares.len() > 1;
    let shares = route
        .shares
        .iter()
        .filter(|share| share.weight > 0)
        .map(|share| {
            upto += u64::from(share.weight);
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
            (upto, Arc::new(entry))
        })
        .collect();
    RouteEntry {
        name: name.to_owned(),
        open: route.open,
        path_prefix: route.path_prefix.clone(),
        shares,
    }
}

/// What a daemon knows of a service before its instances announce their slots.
pub(crate) fn routed_service(routed: &RoutedService) -> Service {
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
