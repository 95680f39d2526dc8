//! Trace spans, one for each side of a call, and their export in OpenTelemetry format.

use crate::Field;
use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest,
    common::v1::{AnyValue, KeyValue, any_value::Value},
    resource::v1::Resource,
    trace::v1::{ResourceSpans, ScopeSpans, Span as OtlpSpan, Status, span::SpanKind as OtlpKind},
};
use sorrelturn_protocol::SpanId;
use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

/// The side of a call that a span describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanKind {
    /// The daemon received the call, or the root request as its entry.
    Server,
    /// The daemon forwarded a nested call.
    Client,
}

/// The span of one side of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The trace id.
    pub trace: u128,
    /// The id of this span.
    pub id: SpanId,
    /// `None` for a root span.
    pub parent: Option<SpanId>,
    /// The request kind's name.
    pub name: String,
    /// The side of the call.
    pub kind: SpanKind,
    /// Nanoseconds since the Unix epoch.
    pub start_ns: u64,
    /// Nanoseconds since the Unix epoch.
    pub end_ns: u64,
    /// Whether the call failed.
    pub failed: bool,
    /// Further attributes.
    pub attributes: Vec<Field>,
}

/// A bounded buffer of spans to be exported.
#[derive(Debug)]
pub struct SpanBuffer {
    capacity: usize,
    buffered: Mutex<Vec<Span>>,
    dropped: AtomicU64,
}

impl SpanBuffer {
    /// `capacity` is in spans; 0 disables the buffer.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            buffered: Mutex::new(Vec::new()),
            dropped: AtomicU64::new(0),
        }
    }

    /// Whether spans are collected.
    pub fn is_enabled(&self) -> bool {
        self.capacity > 0
    }

    /// Adds a span, or drops it if the buffer is full; never blocks a request.
    pub fn add(&self, span: Span) {
        if !self.is_enabled() {
            return;
        }
        let mut buffered = self.lock();
        if buffered.len() < self.capacity {
            buffered.push(span);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Removes and returns all spans.
    pub fn take(&self) -> Vec<Span> {
        std::mem::take(&mut *self.lock())
    }

    /// The number of spans dropped since the previous call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Span>> {
        self.buffered
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Encodes spans as the JSON body of an OTLP/HTTP export.
pub fn to_otlp_json(service: &str, instance: &str, spans: &[Span]) -> Vec<u8> {
    let scope_spans = ScopeSpans {
        spans: spans.iter().map(to_otlp).collect(),
        ..ScopeSpans::default()
    };
    let resource = Resource {
        attributes: vec![
            attribute("service.name", service),
            attribute("service.instance.id", instance),
        ],
        ..Resource::default()
    };
    let resource_spans = ResourceSpans {
        resource: Some(resource),
        scope_spans: vec![scope_spans],
        ..ResourceSpans::default()
    };
    let export = ExportTraceServiceRequest {
        resource_spans: vec![resource_spans],
    };
    serde_json::to_vec(&export).unwrap_or_default()
}

fn to_otlp(span: &Span) -> OtlpSpan {
    let kind = match span.kind {
        SpanKind::Server => OtlpKind::Server,
        SpanKind::Client => OtlpKind::Client,
    };
    let parent = span.parent.map(|parent| parent.0.to_be_bytes().to_vec());
    OtlpSpan {
        trace_id: span.trace.to_be_bytes().to_vec(),
        span_id: span.id.0.to_be_bytes().to_vec(),
        parent_span_id: parent.unwrap_or_default(),
        name: span.name.clone(),
        kind: kind as i32,
        start_time_unix_nano: span.start_ns,
        end_time_unix_nano: span.end_ns,
        attributes: span
            .attributes
            .iter()
            .map(|field| attribute(&field.name, &field.value))
            .collect(),
        status: Some(Status {
            // `StatusCode::Error` or `StatusCode::Ok`.
            code: if span.failed { 2 } else { 1 },
            ..Status::default()
        }),
        ..OtlpSpan::default()
    }
}

fn attribute(key: &str, value: &str) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: Some(AnyValue {
            value: Some(Value::StringValue(value.to_owned())),
        }),
        ..KeyValue::default()
    }
}
