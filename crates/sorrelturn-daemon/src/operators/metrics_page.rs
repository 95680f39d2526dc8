//! Metrics as text, for the admin listener.

use crate::node::lock;
use cadence::{MetricSink, QueuingMetricSink};
use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex},
};

/// The upper bounds of the histogram buckets, in milliseconds. One further bucket holds all longer durations. They
/// cover targets and deadlines from 250 ms to 6 s, and the time of a hop.
const BUCKET_BOUNDS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

#[derive(Clone, Debug)]
enum Value {
    Counter(u64),
    Gauge(u64),
    Histogram { counts: [u64; 14], sum_ms: u64 },
}

/// The values of all metrics by name and tags.
#[derive(Debug, Default)]
pub(crate) struct MetricsPage {
    values: Mutex<BTreeMap<String, Value>>,
}

/// Records metrics for the page and forwards them to a StatsD server if one is configured.
pub(crate) struct PageSink {
    pub(crate) page: Arc<MetricsPage>,
    pub(crate) statsd: Option<QueuingMetricSink>,
}

impl MetricSink for PageSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.page.record(metric);
        match &self.statsd {
            Some(statsd) => statsd.emit(metric),
            None => Ok(metric.len()),
        }
    }
}

impl MetricsPage {
    /// Records a metric in StatsD format, such as `name:1|c|#tag:value`. Ignores lines in another format.
    fn record(&self, metric: &str) {
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
        let mut key = String::with_capacity(name.len() + tags.len() + "{}".len());
        for part in [name, "{", tags, "}"] {
            key.push_str(part);
        }
        let mut values = lock(&self.values);
        let value = values.entry(key).or_insert_with(|| empty_value(kind));
        match value {
            Value::Counter(sum) => *sum += number,
            Value::Gauge(last) => *last = number,
            Value::Histogram { counts, sum_ms } => {
                let bucket = BUCKET_BOUNDS_MS.iter().position(|bound| number <= *bound);
                counts[bucket.unwrap_or(BUCKET_BOUNDS_MS.len())] += 1;
                *sum_ms += number;
            }
        }
    }

    /// Returns the page: one line per counter, gauge and histogram bucket.
    pub(crate) fn text(&self) -> String {
        let values = lock(&self.values).clone();
        let mut text = String::new();
        for (key, value) in &values {
            let written = match value {
                Value::Counter(number) | Value::Gauge(number) => {
                    writeln!(text, "{key} {number}")
                }
                Value::Histogram { counts, sum_ms } => {
                    write_histogram(&mut text, key, counts, *sum_ms)
                }
            };
            debug_assert!(written.is_ok(), "writing to a string can't fail");
        }
        text
    }
}

fn empty_value(kind: &str) -> Value {
    match kind {
        "c" => Value::Counter(0),
        "g" => Value::Gauge(0),
        _ => Value::Histogram {
            counts: [0; 14],
            sum_ms: 0,
        },
    }
}

fn write_histogram(
    text: &mut String,
    key: &str,
    counts: &[u64; 14],
    sum_ms: u64,
) -> std::fmt::Result {
    let mut cumulative = 0;
    for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(counts) {
        cumulative += count;
        writeln!(text, "{key} le_ms={bound} {cumulative}")?;
    }
    let total: u64 = counts.iter().sum();
    writeln!(text, "{key} count {total}")?;
    writeln!(text, "{key} sum_ms {sum_ms}")
}
