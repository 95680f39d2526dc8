//! A ring buffer of recent events.

use crate::{EventKind, EventRecord, Field};
use sorrelturn_protocol::RequestId;
use std::{
    collections::VecDeque,
    fmt,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

/// Logs events and retains the most recent ones.
#[derive(Debug)]
pub struct EventRing {
    instance: String,
    capacity: usize,
    events: Mutex<VecDeque<BufferedEvent>>,
}

/// The texts of its kind are added when it is read.
#[derive(Debug)]
struct BufferedEvent {
    at_ms: u64,
    kind: &'static EventKind,
    request: Option<RequestId>,
    fields: Vec<Field>,
}

impl fmt::Display for BufferedEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "S{:03} {}", self.kind.number, self.kind.name)?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        for field in &self.fields {
            write!(f, " {field}")?;
        }
        Ok(())
    }
}

impl EventRing {
    /// Retains up to `capacity` events.
    pub fn new(instance: &str, capacity: usize) -> Self {
        Self {
            instance: instance.to_owned(),
            capacity,
            events: Mutex::new(VecDeque::with_capacity(capacity.min(1024))),
        }
    }

    /// Logs and retains an event.
    pub fn record(&self, kind: &'static EventKind, request: Option<RequestId>, fields: Vec<Field>) {
        let event = BufferedEvent {
            at_ms: unix_ms(),
            kind,
            request,
            fields,
        };
        let (at_ms, instance) = (event.at_ms, &self.instance);
        log::log!(target: "sorrelturn", kind.level, "{at_ms} {instance} {event}");
        let mut events = self.lock();
        if events.len() == self.capacity {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The retained events of one request, oldest first.
    pub fn request_events(&self, request: RequestId) -> Vec<EventRecord> {
        self.lock()
            .iter()
            .filter(|event| event.request == Some(request))
            .map(|event| self.to_record(event))
            .collect()
    }

    /// The retained events that concern no single request, oldest first.
    pub fn fleet_events(&self) -> Vec<EventRecord> {
        self.lock()
            .iter()
            .filter(|event| event.request.is_none())
            .map(|event| self.to_record(event))
            .collect()
    }

    fn to_record(&self, event: &BufferedEvent) -> EventRecord {
        EventRecord {
            at_ms: event.at_ms,
            instance: self.instance.clone(),
            number: event.kind.number,
            name: event.kind.name.to_owned(),
            text: event.kind.text.to_owned(),
            request: event.request.map(|id| id.to_string()),
            fields: event.fields.clone(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<BufferedEvent>> {
        self.events
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
