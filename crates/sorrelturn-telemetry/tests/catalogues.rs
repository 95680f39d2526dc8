//! The tables in docs/ match the catalogues in the code.

use sorrelturn_telemetry::{events, metrics};
use std::{collections::HashSet, path::Path};

fn page(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(file).expect("the page is in the repository")
}

#[test]
fn the_events_page_lists_exactly_the_events_of_the_catalogue() {
    let page = page("EVENTS.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| S"))
        .collect();
    assert_eq!(rows.len(), events::CATALOGUE.len());
    for (row, kind) in rows.iter().zip(events::CATALOGUE) {
        let level = kind.level.as_str().to_lowercase();
        let start = format!(
            "| S{:03} | {} | {level} | {} |",
            kind.number, kind.name, kind.text
        );
        assert!(row.starts_with(&start), "{row}\n{start}");
    }
}

#[test]
fn numbers_of_events_increase_and_names_are_unique() {
    let numbers: Vec<u16> = events::CATALOGUE.iter().map(|kind| kind.number).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right));
    let names: HashSet<&str> = events::CATALOGUE.iter().map(|kind| kind.name).collect();
    assert_eq!(names.len(), numbers.len());
}

#[test]
fn the_metrics_page_lists_exactly_the_metrics_of_the_catalogue() {
    let page = page("METRICS.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    assert_eq!(rows.len(), metrics::CATALOGUE.len());
    for (row, metric) in rows.iter().zip(metrics::CATALOGUE) {
        let kind = format!("{:?}", metric.kind).to_lowercase();
        let start = format!("| `{}` | {kind} |", metric.name);
        assert!(row.starts_with(&start), "{row}\n{start}");
    }
}
