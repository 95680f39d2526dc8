//! Counters and latency histograms as text, for whoever fetches them from the admin listener.

use crate::node::lock;
use cadence::{MetricSink, QueuingMetricSink};
use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex},
};

/// The upper bounds of a histogram's buckets, in milliseconds; they cover the targets and deadlines
/// of requests, 250 ms to 6 s, and a hop's own time.
const BOUNDS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

#[derive(Clone, Debug)]
enum Value {
    Counter(u64),
    Gauge(u64),
    Histogram { counts: [u64; 14], sum_ms: u64 },
}

/// All metrics by name and tags.
#[derive(Debug, Default)]
pub(crate) struct MetricsPage {
    values: Mutex<BTreeMap<String, Value>>,
}

/// Takes metrics for the page, and passes them on to a receiver of StatsD where there is one.
pub(crate) struct PageSink {
    pub(crate) page: Arc<MetricsPage>,
    pub(crate) statsd: Option<QueuingMetricSink>,
}

impl MetricSink for PageSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.page.take(metric);
        match &self.statsd {
            Some(statsd) => statsd.emit(metric),
            None => Ok(metric.len()),
        }
    }
}

impl MetricsPage {
    /// Takes one line of StatsD, as in `name:1|c|#tag:value`; a line of another form is no metric
    /// of this program and is passed over.
    fn take(&self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else {
            return;
        };
        let mut parts = rest.split('|');
        let (Some(number), Some(kind)) = (parts.next(), parts.next()) else {
            return;
        };
        let Ok(number) = number.parse::<u64>() else {
            return;
        };
        let tags = parts.next().unwrap_or_default().trim_start_matches('#');
        let mut values = lock(&self.values);
        let key = format!("{name}{{{tags}}}");
        let value = values.entry(key).or_insert_with(|| fresh(kind));
        match value {
            Value::Counter(sum) => *sum += number,
            Value::Gauge(last) => *last = number,
            Value::Histogram { counts, sum_ms } => {
                let bucket = BOUNDS_MS.iter().position(|bound| number <= *bound);
                counts[bucket.unwrap_or(BOUNDS_MS.len())] += 1;
                *sum_ms += number;
            }
        }
    }

    /// The page's text: a line a counter or gauge, a line a bucket of a histogram.
    pub(crate) fn text(&self) -> String {
        let values = lock(&self.values).clone();
        let mut text = String::new();
        for (key, value) in &values {
            let written = match value {
                Value::Counter(number) | Value::Gauge(number) => {
                    writeln!(text, "{key} {number}")
                }
                Value::Histogram { counts, sum_ms } => histogram(&mut text, key, counts, *sum_ms),
            };
            debug_assert!(written.is_ok(), "a string takes every text");
        }
        text
    }
}

fn fresh(kind: &str) -> Value {
    match kind {
        "c" => Value::Counter(0),
        "g" => Value::Gauge(0),
        _ => Value::Histogram {
            counts: [0; 14],
            sum_ms: 0,
        },
    }
}

fn histogram(text: &mut String, key: &str, counts: &[u64; 14], sum_ms: u64) -> std::fmt::Result {
    let mut upto = 0;
    for (bound, count) in BOUNDS_MS.iter().zip(counts) {
        upto += count;
        writeln!(text, "{key} le_ms={bound} {upto}")?;
    }
    let all: u64 = counts.iter().sum();
    writeln!(text, "{key} count {all}")?;
    writeln!(text, "{key} sum_ms {sum_ms}")
}
