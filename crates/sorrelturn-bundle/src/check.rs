//! Validation of a bundle before it is published.

use crate::{
    BundleSource, Diagnostic, Execution, Kind, MAX_SECTION_BYTES, PathPattern, SourceMap,
    index::{Network, min_executions_by_kind},
    split,
};
use sorrelturn_protocol::Importance;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum deadline of a request. Longer ones probably have the wrong unit.
pub(crate) const MAX_DEADLINE_MS: u32 = 600_000;

/// Validates a bundle and returns all problems, grouped by check.
pub fn check(source: &BundleSource, map: &SourceMap) -> Vec<Diagnostic> {
    let mut findings = Vec::new();
    check_services(source, map, &mut findings);
    check_kind_names(source, map, &mut findings);
    check_overlaps(source, map, &mut findings);
    check_calls(source, map, &mut findings);
    check_callers(source, map, &mut findings);
    check_sizes(source, map, &mut findings);
    findings
}

fn kinds(source: &BundleSource) -> impl Iterator<Item = (&str, &str, &Kind)> {
    source.services.iter().flat_map(|(service, entry)| {
        entry
            .kinds
            .iter()
            .map(move |(name, kind)| (service.as_str(), name.as_str(), kind))
    })
}

fn check_services(source: &BundleSource, map: &SourceMap, findings: &mut Vec<Diagnostic>) {
    if source.services.is_empty() {
        findings.push(map.at(
            &["services"],
            "the bundle has no service",
            "define at least one service",
        ));
    }
    for (name, service) in &source.services {
        let path = ["services", name, "slots"];
        if service.slots == 0 {
            findings.push(map.at(
                &path,
                format!("service {name} has no slots"),
                "write 1 or more",
            ));
        }
        if service.connections < service.slots {
            findings.push(map.at(
                &["services", name, "connections"],
                format!("service {name} accepts fewer connections than it has slots"),
                format!("write {} or more", service.slots),
            ));
        }
        if service.kinds.is_empty() {
            findings.push(map.at(
                &["services", name, "kinds"],
                format!("service {name} defines no request kind"),
                "define one or remove the service",
            ));
        }
    }
    let min_executions = min_executions_by_kind(source);
    for (service, name, kind) in kinds(source) {
        check_kind(service, name, kind, min_executions[name], map, findings);
    }
}

fn check_kind(
    service: &str,
    name: &str,
    kind: &Kind,
    min_executions: u32,
    map: &SourceMap,
    findings: &mut Vec<Diagnostic>,
) {
    let mut at = |field: &str, message: String, help: String| {
        let path = ["services", service, "kinds", name, field];
        findings.push(map.at(&path, message, help));
    };
    if PathPattern::parse(&kind.path).is_none() {
        at(
            "path",
            format!("kind {name} has the invalid path pattern {:?}", kind.path),
            "write literal segments and {names}, as in /transcripts/{id}".to_owned(),
        );
    }
    if kind.method.is_empty() || kind.method.bytes().any(|b| !b.is_ascii_uppercase()) {
        at(
            "method",
            format!("kind {name} has the invalid HTTP method {:?}", kind.method),
            "write an HTTP method in upper case, as in GET".to_owned(),
        );
    }
    if kind.deadline_ms == 0 || kind.deadline_ms > MAX_DEADLINE_MS {
        at(
            "deadline_ms",
            format!(
                "kind {name} has a deadline of {} ms, which is out of range",
                kind.deadline_ms
            ),
            format!("write a time in milliseconds, from 1 to {MAX_DEADLINE_MS}"),
        );
    }
    if kind.attempts < min_executions {
        at(
            "attempts",
            format!(
                "kind {name} has {} attempts, but one request needs {min_executions} executions",
                kind.attempts
            ),
            format!(
                "write {min_executions} or more: one for the request and one for each call below it"
            ),
        );
    }
    if kind.importance == Importance::Critical
        && kind.method != "GET"
        && kind.execution != Execution::AtMostOnce
    {
        at(
            "execution",
            format!("kind {name} is critical and changes something but may run twice"),
            "write \"at-most-once\", or make it a GET if it changes nothing".to_owned(),
        );
    }
}

fn check_kind_names(source: &BundleSource, map: &SourceMap, findings: &mut Vec<Diagnostic>) {
    let mut seen = BTreeMap::new();
    for (service, name, _) in kinds(source) {
        if let Some(first) = seen.insert(name, service) {
            findings.push(map.at(
                &["services", service, "kinds", name],
                format!("kind {name} is defined in both {first} and {service}"),
                "give each kind a unique name",
            ));
        }
    }
}

fn check_overlaps(source: &BundleSource, map: &SourceMap, findings: &mut Vec<Diagnostic>) {
    let patterns: Vec<_> = kinds(source)
        .filter_map(|(service, name, kind)| {
            Some((service, name, &kind.method, PathPattern::parse(&kind.path)?))
        })
        .collect();
    for (i, (service, name, method, pattern)) in patterns.iter().enumerate() {
        for (_, earlier, earlier_method, earlier_pattern) in &patterns[..i] {
            if method == earlier_method && pattern.overlaps(earlier_pattern) {
                findings.push(map.at(
                    &["services", service, "kinds", name, "path"],
                    format!("kind {name} is ambiguous: kind {earlier} has paths in common"),
                    "give them different paths or methods",
                ));
            }
        }
    }
}

fn check_calls(source: &BundleSource, map: &SourceMap, findings: &mut Vec<Diagnostic>) {
    let by_name: BTreeMap<&str, &Kind> =
        kinds(source).map(|(_, name, kind)| (name, kind)).collect();
    let mut called = BTreeSet::new();
    for (service, name, kind) in kinds(source) {
        for child in kind.calls.keys() {
            called.insert(child.as_str());
            if !by_name.contains_key(child.as_str()) {
                findings.push(map.at(
                    &["services", service, "kinds", name, "calls", child],
                    format!("kind {name} calls {child}, which no service defines"),
                    "correct the name or define that kind",
                ));
            }
        }
        for child in at_most_once_children(kind, &by_name) {
            findings.push(map.at(
                &["services", service, "kinds", name, "execution"],
                format!("kind {name} may run twice but calls {child}, which may not"),
                "write \"at-most-once\": each execution repeats its calls",
            ));
        }
        if is_in_cycle(&by_name, name) {
            findings.push(map.at(
                &["services", service, "kinds", name, "calls"],
                format!("kind {name} calls itself directly or through other kinds"),
                "remove a call, so that the call graph has no cycle",
            ));
        }
    }
    for (service, name, kind) in kinds(source) {
        if !kind.exposed && !called.contains(name) {
            findings.push(map.at(
                &["services", service, "kinds", name],
                format!("kind {name} is unreachable: it is not exposed and nothing calls it"),
                "write \"exposed\": true, or name it in the calls of another kind",
            ));
        }
    }
}

/// Returns the at-most-once kinds that a repeatable kind calls.
fn at_most_once_children<'a>(
    kind: &'a Kind,
    by_name: &'a BTreeMap<&str, &Kind>,
) -> impl Iterator<Item = &'a String> {
    let repeatable = kind.execution == Execution::Repeatable;
    kind.calls.keys().filter(move |child| {
        let child = by_name.get(child.as_str());
        repeatable && child.is_some_and(|child| child.execution == Execution::AtMostOnce)
    })
}

/// Returns whether a kind calls itself, directly or through others.
fn is_in_cycle(by_name: &BTreeMap<&str, &Kind>, name: &str) -> bool {
    let mut reached = BTreeSet::new();
    let mut next = vec![name];
    while let Some(kind) = next.pop().and_then(|kind| by_name.get(kind)) {
        for child in kind.calls.keys() {
            if child == name {
                return true;
            }
            if by_name.contains_key(child.as_str()) && reached.insert(child.as_str()) {
                next.push(child);
            }
        }
    }
    false
}

fn check_callers(source: &BundleSource, map: &SourceMap, findings: &mut Vec<Diagnostic>) {
    let names: BTreeSet<&str> = kinds(source).map(|(_, name, _)| name).collect();
    for (name, caller) in &source.callers {
        let mut at = |field: &str, message: String, help: &str| {
            findings.push(map.at(&["callers", name, field], message, help));
        };
        if caller.token_blake3.is_none() && caller.networks.is_empty() {
            at(
                "networks",
                format!("caller {name} can't be identified"),
                "give token_blake3 or networks",
            );
        }
        for network in &caller.networks {
            if Network::parse(network).is_none() {
                at(
                    "networks",
                    format!("caller {name} has the invalid network {network:?}"),
                    "write an address and its prefix length, as in 10.1.0.0/16",
                );
            }
        }
        if caller
            .token_blake3
            .as_ref()
            .is_some_and(|hash| !is_hash(hash))
        {
            at(
                "token_blake3",
                format!("caller {name} has an invalid token hash"),
                "write the 64 hexadecimal digits of the token's BLAKE3 hash",
            );
        }
        if caller.rate_per_second.is_nan() || caller.rate_per_second <= 0.0 {
            at(
                "rate_per_second",
                format!("rate_per_second of caller {name} must be above 0"),
                "write a rate in requests per second, above 0",
            );
        }
        if !(0.0..=1.0).contains(&caller.retry_fraction) {
            at(
                "retry_fraction",
                format!(
                    "caller {name} has the retry fraction {}, which is out of range",
                    caller.retry_fraction
                ),
                "write a number from 0 to 1",
            );
        }
        for kind in &caller.kinds {
            if !names.contains(kind.as_str()) {
                at(
                    "kinds",
                    format!("caller {name} may use {kind}, which no service defines"),
                    "correct the name or define that kind",
                );
            }
        }
    }
}

fn is_hash(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn check_sizes(source: &BundleSource, map: &SourceMap, findings: &mut Vec<Diagnostic>) {
    for section in split(source) {
        if section.bytes.len() > MAX_SECTION_BYTES {
            findings.push(map.at(
                &["services", &section.name],
                format!("section {} has {} bytes", section.name, section.bytes.len()),
                format!(
                    "the maximum is {MAX_SECTION_BYTES} bytes: split the service or remove callers"
                ),
            ));
        }
    }
}
