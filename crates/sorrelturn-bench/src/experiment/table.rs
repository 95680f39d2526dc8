//! The tables of an experiment.

use super::outcome::{Counts, Outcome};

/// Returns one table of the kinds and one of the services, as Markdown. Each outcome comes with its name.
/// `intervals` are ranges of seconds that are shown in addition to the whole time.
pub fn table(outcomes: &[(&str, &Outcome)], intervals: &[(usize, usize)]) -> String {
    let mut lines = vec![
        "| played | seconds | kind | asked | good % | late % | refused % | again % | failed % | \
         worth |"
            .to_owned(),
        "|---|---|---|---|---|---|---|---|---|---|".to_owned(),
    ];
    for (name, outcome) in outcomes {
        let seconds = outcome.kinds.first().map_or(0, |kind| kind.by_second.len());
        let all = std::iter::once((0, seconds)).chain(intervals.iter().copied());
        for (from, to) in all {
            for kind in &outcome.kinds {
                let counts = kind.between(from, to);
                lines.push(format!(
                    "| {name} | {from} to {to} | {} | {} | {} | |",
                    kind.kind,
                    counts.requested,
                    percentages(&counts)
                ));
            }
            let worth = outcome.worth_between(from, to);
            lines.push(format!(
                "| {name} | {from} to {to} | **all** | | | | | | | **{worth:.3}** |"
            ));
        }
    }
    lines.push(String::new());
    lines.push(
        "| played | service | seconds | slots at work % | of half seconds, p10 to p90 apart % | \
         arrived | again % | from other failure domains % | crashes |"
            .to_owned(),
    );
    lines.push("|---|---|---|---|---|---|---|---|---|".to_owned());
    for (name, outcome) in outcomes {
        let seconds = outcome.kinds.first().map_or(0, |kind| kind.by_second.len());
        let all = std::iter::once((0, seconds)).chain(intervals.iter().copied());
        for (from, to) in all {
            for service in &outcome.services {
                let (mean, spread) = outcome.slot_usage_between(&service.service, from, to);
                lines.push(format!(
                    "| {name} | {} | {from} to {to} | {:.1} | {:.1} | {} | {} | {} | {} |",
                    service.service,
                    mean * 100.0,
                    spread * 100.0,
                    service.arrived,
                    percent(service.repeated as f64, service.arrived as f64),
                    percent(service.cross_domain as f64, service.arrived as f64),
                    service.crashes,
                ));
            }
        }
    }
    lines.push(String::new());
    lines.join("\n")
}

fn percentages(counts: &Counts) -> String {
    let percent_of = |count: u32| percent(f64::from(count), f64::from(counts.requested));
    [
        percent_of(counts.good),
        percent_of(counts.late),
        percent_of(counts.refused),
        percent_of(counts.refused_again),
        percent_of(counts.failed),
    ]
    .join(" | ")
}

fn percent(count: f64, whole: f64) -> String {
    if whole == 0.0 {
        return "-".to_owned();
    }
    format!("{:.1}", count * 100.0 / whole)
}
