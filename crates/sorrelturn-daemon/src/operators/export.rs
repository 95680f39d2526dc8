//! Exports metrics to StatsD and spans to the trace collector.

use crate::{
    backend::work_times,
    net::connections::ListenerKind,
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
use sorrelturn_protocol::{Priority, RequestRate, Verdict};
use sorrelturn_telemetry::{
    Field, events,
    metrics::{self, Metric},
    to_otlp_json,
};
use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// The prefix of every metric.
const METRIC_PREFIX: &str = "sorrelturn";
/// How often gauges and spans are sent.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout for sending spans to the collector.
const SPAN_EXPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of queued metrics above which new ones are dropped, so that a request never waits for StatsD.
const METRIC_QUEUE_CAPACITY: usize = 4_096;

/// Creates a client that records metrics on the page and sends them to `statsd` if that is set.
pub(crate) fn client(
    statsd: Option<SocketAddr>,
    page: &Arc<MetricsPage>,
) -> io::Result<StatsdClient> {
    let statsd = statsd.map(statsd_sink).transpose()?;
    let page = Arc::clone(page);
    Ok(StatsdClient::from_sink(
        METRIC_PREFIX,
        PageSink { page, statsd },
    ))
}

fn statsd_sink(addr: SocketAddr) -> io::Result<QueuingMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let udp = UdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
    Ok(QueuingMetricSink::with_capacity(udp, METRIC_QUEUE_CAPACITY))
}

/// Increments a counter by one.
pub(crate) fn count<'t>(node: &'t Node, metric: &'t Metric, tags: &[(&'t str, &'t str)]) {
    if node.has_metrics() {
        let builder = node.metrics.count_with_tags(metric.name, 1);
        send(builder, tags);
    }
}

/// Records a duration in a histogram.
pub(crate) fn record_duration<'t>(
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

/// Records the metrics of a request that entered here and was answered. `importance` is `none` if it isn't known.
pub(crate) fn record_request(node: &Node, importance: &str, verdict: Verdict, took: Duration) {
    let tags = [("importance", importance), ("verdict", verdict.name())];
    count(node, &metrics::REQUESTS, &tags);
    record_duration(node, &metrics::HOP_TIME, took, &tags[..1]);
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

/// Exports gauges and spans, and records events about the limit and the load, every second.
pub(crate) async fn run(node: Arc<Node>) {
    let mut last_limit = None;
    loop {
        Timer::after(EXPORT_INTERVAL).await;
        record_limit_change(&node, &mut last_limit);
        record_load(&node);
        send_gauges(&node);
        export_spans(&node).await;
    }
}

fn record_limit_change(node: &Node, last: &mut Option<u32>) {
    let limit = node.admission.with_gate(|gate, now| gate.steady_limit(now));
    if let Some(before) = last.replace(limit)
        && before != limit
    {
        let fields = vec![Field::new("before", before), Field::new("now", limit)];
        node.record_event(&events::LIMIT_CHANGED, fields);
    }
}

fn record_load(node: &Node) {
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
        let mut fields = vec![
            Field::new("in_flight", in_flight),
            Field::new("waiting", waiting),
            Field::new("limit", limit),
            Field::new("threshold", threshold.0),
        ];
        let room_used = own_room_used_percent(node);
        fields.extend(room_used.map(|percent| Field::new("room_used_percent", percent)));
        node.record_event(&events::UNDER_LOAD, fields);
    }
}

/// Returns the load of the own backend server in percent of its room; `None` if unknown or if room isn't pooled.
fn own_room_used_percent(node: &Node) -> Option<u64> {
    if !node.contention.pools_room() {
        return None;
    }
    let room = node.admission.with_gate(|gate, now| gate.room(now));
    (u64::from(room.offered) * 100).checked_div(u64::from(room.capacity))
}

fn send_gauges(node: &Node) {
    if !node.has_metrics() {
        return;
    }
    let (in_flight, waiting, limit) = node
        .admission
        .with_gate(|gate, now| (gate.in_flight(), gate.queued(), gate.steady_limit(now)));
    let rate_limit = node
        .admission
        .with_gate(|gate, _| gate.announced_limit().rate());
    let waiting_at_entry = node.counts.waiting_at_entry.load(Ordering::Relaxed);
    let members = lock(&node.membership).present().count();
    let tokens = lock(&node.ledger).unexpired_count();
    let version = lock(&node.bundle_tracker).in_force();
    for (metric, value) in [
        (&metrics::IN_FLIGHT, u64::from(in_flight)),
        (&metrics::WAITING, waiting as u64),
        (&metrics::ENTRY_WAITING, waiting_at_entry as u64),
        (&metrics::LIMIT, u64::from(limit)),
        (&metrics::RATE_LIMIT, rate_limit.map_or(0, rate_limit_gauge)),
        (&metrics::MEMBERS, members as u64),
        (&metrics::TOKENS, tokens as u64),
        (&metrics::BUNDLE_VERSION, version),
        (&metrics::TO_PEERS, node.peer_connections.open() as u64),
        (&metrics::IDLE_TO_PEERS, node.peer_connections.idle() as u64),
    ] {
        let _ = node.metrics.gauge(metric.name, value);
    }
    for kind in ListenerKind::ALL {
        let open = node.connections.open_count(kind) as u64;
        let _ = node
            .metrics
            .gauge_with_tags(metrics::CONNECTIONS.name, open)
            .with_tag("listener", kind.name())
            .try_send();
    }
    send_work_time_gauges(node);
    if let Some(age_ms) = node.route_staleness.age_ms(node.now()) {
        let _ = node
            .metrics
            .gauge(metrics::KNOWLEDGE_AGE.name, u64::from(age_ms));
    }
    if let Some(percent) = own_room_used_percent(node) {
        let _ = node.metrics.gauge(metrics::ROOM_USED.name, percent);
    }
    let dropped = node.spans.take_dropped();
    if dropped > 0 {
        let _ = node.metrics.count(metrics::SPANS_DROPPED.name, dropped);
    }
}

/// Sends how long the backend server takes, where backend servers report work times.
fn send_work_time_gauges(node: &Node) {
    let Some(routed) = &node.routed else {
        return;
    };
    if !node.contention.work_times_reported() {
        return;
    }
    let expected_ms = work_times::expected_ms(node);
    let work_time = work_times::reported(routed, node.now()).unwrap_or(0);
    for (metric, value) in [
        (&metrics::EXPECTED_MS, expected_ms),
        (&metrics::WORK_TIME, work_time),
    ] {
        let _ = node.metrics.gauge(metric.name, u64::from(value));
    }
}

/// Returns the rate in thousandths of a request per second, at least 1, since 0 stands for no limit.
fn rate_limit_gauge(rate: RequestRate) -> u64 {
    ((rate.per_second() * 1_000.0) as u64).max(1)
}

async fn export_spans(node: &Node) {
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
        let _ = exchange(trace.collector, req, SPAN_EXPORT_TIMEOUT).await;
    }
}
