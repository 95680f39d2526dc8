//! Metrics and spans on their way out.

use crate::{
    node::{Node, lock},
    operators::metrics_page::{MetricsPage, PageSink},
};
use bytes::Bytes;
use cadence::{
    Counted, Gauged, MetricBuilder, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use hyper::{Request, header::CONTENT_TYPE};
use smol::Timer;
use sorrelturn_platform::http::exchange;
use sorrelturn_protocol::{Priority, Verdict};
use sorrelturn_telemetry::{
    Field, events,
    metrics::{self, Metric},
    to_otlp_json,
};
use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

/// The prefix of every metric.
const PREFIX: &str = "sorrelturn";
/// How often gauges and spans are sent.
const SEND_EVERY: Duration = Duration::from_secs(1);
/// The longest time for sending spans.
const SEND_TIME: Duration = Duration::from_secs(2);
/// Metrics that wait to be sent; more are dropped, so that they never hold a request up.
const METRIC_QUEUE: usize = 4_096;

/// A client for metrics: they go to the page, and to a receiver of StatsD where there is one.
pub(crate) fn client(
    statsd: Option<SocketAddr>,
    page: &Arc<MetricsPage>,
) -> io::Result<StatsdClient> {
    let statsd = statsd.map(queue).transpose()?;
    let page = Arc::clone(page);
    Ok(StatsdClient::from_sink(PREFIX, PageSink { page, statsd }))
}

fn queue(addr: SocketAddr) -> io::Result<QueuingMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let udp = UdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
    Ok(QueuingMetricSink::with_capacity(udp, METRIC_QUEUE))
}

/// Counts one.
pub(crate) fn count<'t>(node: &'t Node, metric: &'t Metric, tags: &[(&'t str, &'t str)]) {
    if node.has_metrics() {
        let builder = node.metrics.count_with_tags(metric.name, 1);
        send(builder, tags);
    }
}

/// Notes a duration.
pub(crate) fn time<'t>(
    node: &'t Node,
    metric: &'t Metric,
    took: Duration,
    tags: &[(&'t str, &'t str)],
) {
    if node.has_metrics() {
        let builder = node.metrics.time_with_tags(metric.name, took);
        send(builder, tags);
    }
}

/// A request that began here has its answer; its importance is `none` where that wasn't found out.
pub(crate) fn request_done(node: &Node, importance: &str, verdict: Verdict, took: Duration) {
    let tags = [("importance", importance), ("verdict", verdict.name())];
    count(node, &metrics::REQUESTS, &tags);
    time(node, &metrics::HOP_TIME, took, &tags[..1]);
}

fn send<'t, T: cadence::Metric + From<String>>(
    builder: MetricBuilder<'t, '_, T>,
    tags: &[(&'t str, &'t str)],
) {
    tags.iter()
        .fold(builder, |builder, (name, value)| {
            builder.with_tag(name, value)
        })
        .send();
}

/// Sends gauges and spans every second.
pub(crate) async fn run(node: Arc<Node>) {
    let mut last_limit = None;
    loop {
        Timer::after(SEND_EVERY).await;
        note_limit(&node, &mut last_limit);
        note_load(&node);
        gauges(&node);
        spans(&node).await;
    }
}

fn note_limit(node: &Node, last: &mut Option<u32>) {
    let limit = node.admission.with_gate(|gate, now| gate.steady_limit(now));
    if let Some(before) = last.replace(limit)
        && before != limit
    {
        let fields = vec![Field::new("before", before), Field::new("now", limit)];
        node.note(&events::LIMIT_CHANGED, fields);
    }
}

fn note_load(node: &Node) {
    let (in_flight, waiting, limit, threshold) = node.admission.with_gate(|gate, now| {
        let threshold = gate.threshold(now);
        (
            gate.in_flight(),
            gate.queued(),
            gate.steady_limit(now),
            threshold,
        )
    });
    if threshold > Priority::LOWEST {
        let fields = vec![
            Field::new("in_flight", in_flight),
            Field::new("waiting", waiting),
            Field::new("limit", limit),
            Field::new("threshold", threshold.0),
        ];
        node.note(&events::UNDER_LOAD, fields);
    }
}

fn gauges(node: &Node) {
    if !node.has_metrics() {
        return;
    }
    let (in_flight, waiting, limit) = node
        .admission
        .with_gate(|gate, now| (gate.in_flight(), gate.queued(), gate.steady_limit(now)));
    let members = lock(&node.membership).present().count();
    let tokens = lock(&node.ledger).unexpired_count();
    let version = lock(&node.bundle_tracker).in_force();
    for (metric, value) in [
        (&metrics::IN_FLIGHT, u64::from(in_flight)),
        (&metrics::WAITING, waiting as u64),
        (&metrics::LIMIT, u64::from(limit)),
        (&metrics::MEMBERS, members as u64),
        (&metrics::TOKENS, tokens as u64),
        (&metrics::BUNDLE_VERSION, version),
    ] {
        let _ = node.metrics.gauge(metric.name, value);
    }
    if let Some(age_ms) = node.route_staleness.age_ms(node.now()) {
        let _ = node
            .metrics
            .gauge(metrics::KNOWLEDGE_AGE.name, u64::from(age_ms));
    }
    let dropped = node.spans.take_dropped();
    if dropped > 0 {
        let _ = node.metrics.count(metrics::SPANS_DROPPED.name, dropped);
    }
}

async fn spans(node: &Node) {
    let Some(trace) = node.settings.trace else {
        return;
    };
    let spans = node.spans.take();
    if spans.is_empty() {
        return;
    }
    let body = to_otlp_json(&node.settings.service, &node.settings.instance, &spans);
    let req = Request::post("/v1/traces")
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(body));
    if let Ok(req) = req {
        let _ = exchange(trace.collector, req, SEND_TIME).await;
    }
}
