//! Every hop exports spans to an OpenTelemetry collector and metrics to a StatsD server, and the
//! explanation of a request covers all its hops.

mod common;

use bytes::Bytes;
use common::{chain, request};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use smol::{
    Timer,
    net::{TcpListener, UdpSocket},
};
use sorrelturn_bench::{FleetPlan, LocalFleet, run_on};
use sorrelturn_daemon::{MetricsSettings, TraceSettings};
use sorrelturn_platform::http::exchange;
use sorrelturn_platform::hyper_io;
use sorrelturn_telemetry::EventRecord;
use std::{
    collections::HashMap,
    convert::Infallible,
    sync::{Arc, Mutex},
    time::Duration,
};

const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

#[test]
fn every_hop_makes_a_span_and_the_explanation_names_every_hop() {
    run_on(2, async |ex| {
        let exports = Arc::new(Mutex::new(Vec::<ExportTraceServiceRequest>::new()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let collector = listener.local_addr().expect("address");
        let (exports_of_receiver, ex_of_receiver) = (Arc::clone(&exports), Arc::clone(&ex));
        let _receiver = ex.spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let exports = Arc::clone(&exports_of_receiver);
                let conn = async move {
                    let service = service_fn(|req: Request<Incoming>| async {
                        let body = req.into_body().collect().await.map(|body| body.to_bytes());
                        let export = serde_json::from_slice(&body.unwrap_or_default());
                        exports
                            .lock()
                            .expect("lock")
                            .push(export.expect("an OTLP export in JSON"));
                        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from("{}"))))
                    });
                    let _ = http1::Builder::new()
                        .serve_connection(hyper_io(tcp), service)
                        .await;
                };
                ex_of_receiver.spawn(conn).detach();
            }
        });
        let statsd = UdpSocket::bind("127.0.0.1:0").await.expect("bind");
        let mut plan = FleetPlan::new(chain(3, 6), &[("s0", 1), ("s1", 1), ("s2", 1)], &["a"], &[]);
        plan.trace = Some(TraceSettings {
            collector,
            buffer: 1_000,
        });
        plan.metrics = Some(MetricsSettings {
            statsd: statsd.local_addr().expect("address"),
        });
        let fleet = LocalFleet::start(ex, plan).await;

        let mut req = request("GET", "/k0/7");
        let parent = format!("00-{TRACE_ID}-00f067aa0ba902b7-01");
        req.headers_mut()
            .insert("traceparent", parent.parse().expect("a value"));
        let answer = fleet.caller(2).send(req, None).await.expect("an answer");
        assert_eq!(answer.status, 200);

        // Six spans: one for the root, one server span per owner, and one client span per nested call.
        let mut spans = HashMap::new();
        for _ in 0..1_000 {
            for export in exports.lock().expect("lock").drain(..) {
                for span in export
                    .resource_spans
                    .into_iter()
                    .flat_map(|r| r.scope_spans)
                    .flat_map(|s| s.spans)
                {
                    spans.insert(span.span_id.clone(), span);
                }
            }
            if spans.len() == 6 {
                break;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(spans.len(), 6, "{spans:?}");
        let roots = spans
            .values()
            .filter(|span| !spans.contains_key(&span.parent_span_id))
            .count();
        assert_eq!(roots, 1, "all spans belong to one tree");
        for span in spans.values() {
            let trace_id: String = span
                .trace_id
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            assert_eq!(trace_id, TRACE_ID);
        }

        let id = answer.header("sorrelturn-request-id").expect("an id");
        let req = Request::get(format!("/explain/{id}"))
            .body(Bytes::new())
            .expect("a request");
        let admin = fleet.daemons[2].addresses.admin;
        let res = exchange(admin, req, Duration::from_secs(20))
            .await
            .expect("the daemon answers");
        let records: Vec<EventRecord> = serde_json::from_slice(res.body()).expect("records");
        let served = records
            .iter()
            .filter(|record| record.name == "hop-served")
            .count();
        assert_eq!(served, 3, "{records:#?}");

        let mut buf = [0; 65_536];
        let mut metrics = String::new();
        while !(metrics.contains("sorrelturn.requests")
            && metrics.contains("sorrelturn.backend.limit"))
        {
            let len = statsd.recv(&mut buf).await.expect("a metric");
            metrics.push_str(&String::from_utf8_lossy(&buf[..len]));
        }
        assert!(metrics.contains("importance:normal"), "{metrics}");
    });
}
