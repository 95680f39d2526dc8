//! The behaviour of a fake backend server for each kind of request.

use serde::{Deserialize, Serialize};
use sorrelturn_bundle::{Bundle, PathPattern};
use std::{collections::BTreeMap, net::SocketAddr};

/// The behaviour of one fake backend server. It can be replaced while the server runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The address of its daemon's local listener, for nested calls.
    pub local: Option<SocketAddr>,
    /// The number of requests that it runs concurrently; others are queued.
    pub slots: usize,
    /// The behaviour for each kind of request.
    pub kinds: Vec<KindPlan>,
    /// The factor by which work is slowed down.
    pub slow: f64,
    /// The injected fault.
    pub fault: Fault,
    /// The maximum number of attempts of nested calls. 1 means no retries, as in a well-behaved backend server.
    pub nested_tries: u32,
}

/// A fault of a fake backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It answers 500 after the work is done.
    AnswersError,
    /// It closes the connection after the work is done, without an answer.
    BreaksBeforeHead,
    /// It closes the connection in the middle of the body.
    BreaksInBody,
    /// It refuses with 503 before any work.
    Refuses,
    /// Its answers have the header that says it is draining.
    Drains,
}

/// The behaviour for one kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindPlan {
    /// The kind's name.
    pub name: String,
    /// The HTTP method.
    pub method: String,
    /// The path pattern.
    pub path: String,
    /// The execution time, in milliseconds.
    pub work_ms: f64,
    /// The nested calls, one after another.
    pub calls: Vec<PlannedCall>,
}

impl KindPlan {
    pub(crate) fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method
            && PathPattern::parse(&self.path).is_some_and(|pattern| pattern.matches(path))
    }
}

/// One nested call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedCall {
    /// The HTTP method.
    pub method: String,
    /// A concrete path.
    pub path: String,
}

/// The plan for a service of a bundle. `work_ms` holds the execution time of each kind, 1 ms by default.
pub fn plan_for(bundle: &Bundle, service: &str, work_ms: &BTreeMap<String, f64>) -> Plan {
    let Some(source) = bundle.service(service) else {
        return Plan::default();
    };
    let kinds = source
        .kinds
        .iter()
        .map(|(name, kind)| KindPlan {
            name: name.clone(),
            method: kind.method.clone(),
            path: kind.path.clone(),
            work_ms: work_ms.get(name).copied().unwrap_or(1.0),
            calls: planned_calls(bundle, &kind.calls),
        })
        .collect();
    Plan {
        local: None,
        slots: source.slots as usize,
        kinds,
        slow: 1.0,
        fault: Fault::None,
        nested_tries: 1,
    }
}

fn planned_calls(bundle: &Bundle, calls: &BTreeMap<String, u32>) -> Vec<PlannedCall> {
    calls
        .iter()
        .flat_map(|(child, times)| (0..*times).map(move |number| (child, number)))
        .filter_map(|(child, number)| {
            let kind = &bundle.kind(child)?.kind;
            Some(PlannedCall {
                method: kind.method.clone(),
                path: concrete_path(&kind.path, &format!("n{number}")),
            })
        })
        .collect()
}

/// Returns a path for a pattern, with `value` for each variable segment.
pub(crate) fn concrete_path(pattern: &str, value: &str) -> String {
    pattern
        .split('/')
        .map(|segment| {
            if segment.starts_with('{') {
                value
            } else {
                segment
            }
        })
        .collect::<Vec<_>>()
        .join("/")
}
