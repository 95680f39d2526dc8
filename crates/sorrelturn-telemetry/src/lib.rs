#![doc = include_str!("../README.md")]

mod event;
pub mod events;
mod field;
pub mod metrics;
mod ring;
mod span;
mod trace_context;

pub use event::{EventKind, EventRecord};
pub use field::{Field, FieldValue};
pub use ring::EventRing;
pub use span::{Span, SpanBuffer, SpanKind, to_otlp_json};
pub use trace_context::TraceContext;
