//! Tests of route tables: matching, weighted shares and validation.

use assert_matches::assert_matches;
use sorrelturn_bundle::{
    Bundle, Execution, Limits, Route, RouteError, RouteTable, RoutedService, Share,
};
use sorrelturn_protocol::Importance;
use std::collections::BTreeMap;

fn route(host: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    Route {
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        execution: Execution::Repeatable,
        importance: Importance::Normal,
        deadline_ms: 1_000,
        target_ms: 100,
        attempts: 2,
        open: false,
        shares: shares
            .iter()
            .map(|(service, weight)| Share {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
    }
}

fn table(routes: Vec<(&str, Route)>) -> RouteTable {
    let service = RoutedService {
        connections: 10,
        probe_path: "/health".to_owned(),
        cold_rate: None,
    };
    RouteTable {
        version: 3,
        routes: routes
            .into_iter()
            .map(|(name, route)| (name.to_owned(), route))
            .collect(),
        services: ["a", "b"]
            .map(|name| (name.to_owned(), service.clone()))
            .into(),
        limits: Limits::default(),
        workspaces: BTreeMap::new(),
        rejected: Vec::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let bundle = Bundle::from_route_table(&table(vec![
        ("short", route("h.example", "/x/", &[("a", 1)])),
        ("long", route("h.example", "/x/y/", &[("b", 1)])),
        ("other", route("o.example", "/x/y/z/", &[("a", 1)])),
    ]));
    let name = |host, path| {
        bundle
            .match_route(host, path)
            .map(|route| route.name.as_str())
    };
    assert_eq!(name("h.example", "/x/1"), Some("short"));
    assert_eq!(name("h.example:80", "/x/y/z/1"), Some("long"));
    assert_eq!(name("H.Example", "/x/"), Some("short"));
    assert_eq!(name("h.example", "/xy"), None);
    assert_eq!(name("p.example", "/x/1"), None);
}

#[test]
fn shares_follow_their_weights_and_zero_gets_nothing() {
    let routes = vec![("r", route("h", "/", &[("a", 90), ("b", 10)]))];
    let bundle = Bundle::from_route_table(&table(routes));
    let route = bundle.match_route("h", "/1").expect("a matching route");
    let count_of_a = (0..1_000)
        .filter(|step| {
            let kind = route.kind_at(f64::from(*step) / 1_000.0);
            kind.is_some_and(|kind| kind.service == "a")
        })
        .count();
    assert_eq!(count_of_a, 900);
    let routes = vec![("r", route_with_zero_weight())];
    let bundle = Bundle::from_route_table(&table(routes));
    let route = bundle.match_route("h", "/1").expect("a matching route");
    assert!(route.kinds().all(|kind| kind.service == "b"));
}

fn route_with_zero_weight() -> Route {
    route("h", "/", &[("a", 0), ("b", 5)])
}

#[test]
fn invalid_route_tables_are_rejected_with_the_reason() {
    let check = |route| table(vec![("r", route)]).check();
    assert_matches!(
        check(route("h", "/x", &[("a", 1)])),
        Err(RouteError::InvalidPrefix(_))
    );
    assert_matches!(
        check(route("h", "/", &[("a", 0)])),
        Err(RouteError::NoWeightedShare(_))
    );
    assert_matches!(
        check(route("h", "/", &[("z", 1)])),
        Err(RouteError::UnknownService(_, service)) if service == "z"
    );
    let mut without_attempts = route("h", "/", &[("a", 1)]);
    without_attempts.attempts = 0;
    assert_matches!(check(without_attempts), Err(RouteError::NoAttempts(_)));
    let mut long_deadline = route("h", "/", &[("a", 1)]);
    long_deadline.deadline_ms = 700_000;
    assert_matches!(check(long_deadline), Err(RouteError::InvalidDeadline(_)));
    let duplicate = table(vec![
        ("one", route("h", "/", &[("a", 1)])),
        ("two", route("h", "/", &[("b", 1)])),
    ]);
    assert_matches!(duplicate.check(), Err(RouteError::DuplicateRoute(_, _)));
    let unversioned = RouteTable {
        version: 0,
        ..table(Vec::new())
    };
    assert_matches!(unversioned.check(), Err(RouteError::NoVersion));
    assert_matches!(
        table(vec![("r", route("h", "/", &[("a", 1)]))]).check(),
        Ok(())
    );
}
