//! The results of a run: goodput, wasted work, recovery time, and error counts that must be zero.

use crate::load::Record;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::Importance;
use std::{
    collections::{BTreeMap, HashMap},
    ops::Range,
    time::Duration,
};

/// The width of the windows in which recovery is measured.
const WINDOW_DURATION: Duration = Duration::from_millis(250);
/// A window counts as recovered if at least this fraction of its requests got a good answer.
const RECOVERED_FRACTION: f64 = 0.95;

/// Good answers of one importance in one phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goodput {
    /// The number of root requests sent.
    pub offered: u64,
    /// The number of root requests with a complete and correct answer in time.
    pub good: u64,
}

impl Goodput {
    /// The good answers in percent of the requests.
    pub fn percent(self) -> f64 {
        self.good as f64 * 100.0 / self.offered.max(1) as f64
    }
}

/// The result of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The name of the system under load.
    pub system: String,
    /// Results before the overload, by importance.
    pub before: BTreeMap<String, Goodput>,
    /// Results during the overload, by importance.
    pub under: BTreeMap<String, Goodput>,
    /// Good answers per second before the overload.
    pub goodput_before: f64,
    /// Good answers per second during the overload.
    pub goodput_under: f64,
    /// The maximum good answers per second that the slots allow during the overload.
    pub best_under: f64,
    /// The longest time from the end of an overload to recovery, in seconds.
    pub recovery_s: f64,
    /// Executions at backend servers.
    pub executions: u64,
    /// Executions that didn't contribute to a good answer, in percent.
    pub wasted_percent: f64,
    /// The mean number of attempts of a root request.
    pub tries_per_request: f64,
    /// Keys of at-most-once kinds that ran more than once.
    pub double_runs: u64,
    /// Answers that belonged to another caller, or were truncated but presented as complete.
    pub wrong_answers: u64,
    /// Failed requests by phase, kind, last status and reason.
    pub failures: BTreeMap<String, u64>,
    /// Requests that ran although all their attempts were answered "not run".
    pub false_not_run: u64,
}

/// The input of the summary besides the records.
pub struct SummaryInput<'a> {
    pub system: &'a str,
    /// The time ranges of the overloads, since the start of the load.
    pub overloads: &'a [Range<Duration>],
    /// The maximum good answers per second that the slots allow during the overload, if more important requests go
    /// first.
    pub max_goodput: BTreeMap<Importance, f64>,
    pub executions: u64,
    /// Executions by key and kind.
    pub executions_by_key: &'a HashMap<String, u32>,
    /// The minimum number of executions for a good answer, by kind.
    pub min_executions: &'a HashMap<String, u32>,
    pub at_most_once_kinds: &'a [String],
}

impl SummaryInput<'_> {
    fn is_during_overload(&self, record: &Record) -> bool {
        self.overloads
            .iter()
            .any(|overload| overload.contains(&record.sent))
    }
}

impl Summary {
    /// Summarizes the records of a run.
    pub fn from_records(records: &[Record], input: &SummaryInput) -> Self {
        let begin = input
            .overloads
            .first()
            .map_or(Duration::MAX, |first| first.start);
        let before = || records.iter().filter(|record| record.sent < begin);
        let under = || {
            let is_during_overload = |record: &&Record| input.is_during_overload(record);
            records.iter().filter(is_during_overload)
        };
        let length = input
            .overloads
            .iter()
            .map(|range| range.end - range.start)
            .sum();
        let useful: u64 = records
            .iter()
            .filter(|record| record.good)
            .map(|record| u64::from(input.min_executions.get(&record.kind).copied().unwrap_or(1)))
            .sum();
        let wasted = input.executions.saturating_sub(useful);
        let tries: u64 = records
            .iter()
            .map(|record| u64::from(record.attempts))
            .sum();
        let per_second = |good: usize, length: Duration| good as f64 / length.as_secs_f64();
        let good = |record: &&Record| record.good;
        Self {
            system: input.system.to_owned(),
            before: by_importance(before()),
            under: by_importance(under()),
            goodput_before: per_second(before().filter(good).count(), begin),
            goodput_under: per_second(under().filter(good).count(), length),
            best_under: input.max_goodput.values().sum(),
            recovery_s: worst_recovery(records, input).as_secs_f64(),
            executions: input.executions,
            wasted_percent: wasted as f64 * 100.0 / input.executions.max(1) as f64,
            tries_per_request: tries as f64 / records.len().max(1) as f64,
            double_runs: double_runs(input),
            wrong_answers: records.iter().filter(|record| record.wrong).count() as u64,
            failures: failures(records, input),
            false_not_run: false_not_run(records, input),
        }
    }
}

fn by_importance<'a>(records: impl Iterator<Item = &'a Record>) -> BTreeMap<String, Goodput> {
    let mut sums: BTreeMap<Importance, Goodput> = BTreeMap::new();
    for record in records {
        let sum = sums.entry(record.importance).or_default();
        sum.offered += 1;
        sum.good += u64::from(record.good);
    }
    sums.into_iter()
        .map(|(importance, sum)| (importance.name().to_owned(), sum))
        .collect()
}

fn worst_recovery(records: &[Record], input: &SummaryInput) -> Duration {
    let recoveries = input.overloads.iter().enumerate().map(|(at, overload)| {
        let next = input.overloads.get(at + 1);
        let until = next.map_or(Duration::MAX, |next| next.start);
        recovery(records, overload.end..until)
    });
    recoveries.max().unwrap_or(Duration::ZERO)
}

/// From the start of a normal phase to the end of its last window that hadn't recovered.
fn recovery(records: &[Record], normal: Range<Duration>) -> Duration {
    let end = normal.start;
    let mut windows: BTreeMap<u32, Goodput> = BTreeMap::new();
    for record in records
        .iter()
        .filter(|record| normal.contains(&record.sent))
    {
        let window = (record.sent - end).as_nanos() / WINDOW_DURATION.as_nanos();
        let sum = windows.entry(window as u32).or_default();
        sum.offered += 1;
        sum.good += u64::from(record.good);
    }
    let last_bad = windows
        .iter()
        .rfind(|(_, sum)| sum.percent() < RECOVERED_FRACTION * 100.0)
        .map(|(window, _)| *window);
    last_bad.map_or(Duration::ZERO, |window| WINDOW_DURATION * (window + 1))
}

fn failures(records: &[Record], input: &SummaryInput) -> BTreeMap<String, u64> {
    let mut failures = BTreeMap::new();
    for record in records.iter().filter(|record| !record.good) {
        let stretch = if input.is_during_overload(record) {
            "under"
        } else {
            "normal"
        };
        let Record {
            kind,
            status,
            reason,
            ..
        } = record;
        let name = format!("{stretch} {kind} {status} {reason}");
        *failures.entry(name).or_default() += 1;
    }
    failures
}

fn double_runs(input: &SummaryInput) -> u64 {
    input
        .executions_by_key
        .iter()
        .filter(|(name, count)| {
            let kind = name.split(' ').next_back().unwrap_or_default();
            **count > 1 && input.at_most_once_kinds.iter().any(|once| once == kind)
        })
        .count() as u64
}

fn false_not_run(records: &[Record], input: &SummaryInput) -> u64 {
    records
        .iter()
        .filter(|record| record.not_run_answers == record.attempts)
        .filter(|record| {
            let name = format!("{} {}", record.key, record.kind);
            input
                .executions_by_key
                .get(&name)
                .is_some_and(|count| *count > 0)
        })
        .count() as u64
}
