//! What a fake backend server does with each kind of request.

use serde::{Deserialize, Serialize};
use sorrelturn_bundle::{Bundle, PathPattern};
use std::{collections::BTreeMap, net::SocketAddr};

/// The behaviour of one fake backend server; can be replaced while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The local listener of its daemon, for nested calls.
    pub local: Option<SocketAddr>,
    /// How many requests it works on at once; more wait.
    pub slots: usize,
    /// What it does with each kind of request.
    pub kinds: Vec<KindPlan>,
    /// Work takes this many times as long.
    pub slow: f64,
    /// What goes wrong.
    pub fault: Fault,
    /// Nested calls are tried this often; 1 means no retry, as in a well-behaved backend server.
    pub nested_tries: u32,
}

/// What goes wrong at a fake backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It answers 500 after its work.
    AnswersError,
    /// It closes the connection after its work, without an answer.
    BreaksBeforeHead,
    /// It closes the connection in the middle of the body.
    BreaksInBody,
    /// It refuses with 503 before any work.
    Refuses,
    /// It says in its answers that it drains.
    Drains,
}

/// What it does with one kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindPlan {
    /// The kind's name.
    pub name: String,
    /// The HTTP method.
    pub method: String,
    /// The path pattern.
    pub path: String,
    /// How long it works, in milliseconds.
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
    /// A path of the kind.
    pub path: String,
}

/// The plan that a bundle gives for one of its services; `work_ms` gives the work of each kind.
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

/// A path of a pattern, with `value` in the place of each variable segment.
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
