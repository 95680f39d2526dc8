//! The events of the last minutes, in bounded memory.

use crate::{EventKind, EventRecord, Field};
use sorrelturn_protocol::RequestId;
use std::{
    collections::VecDeque,
    fmt,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

/// Notes events, logs them, and keeps the latest.
#[derive(Debug)]
pub struct EventRing {
    instance: String,
    capacity: usize,
    kept: Mutex<VecDeque<Noted>>,
}

/// An event as it is kept; what its kind says is added when somebody asks.
#[derive(Debug)]
struct Noted {
    at_ms: u64,
    kind: &'static EventKind,
    request: Option<RequestId>,
    fields: Vec<Field>,
}

impl fmt::Display for Noted {
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
    /// A ring that keeps `capacity` events of this instance's daemon.
    pub fn new(instance: &str, capacity: usize) -> Self {
        Self {
            instance: instance.to_owned(),
            capacity,
            kept: Mutex::new(VecDeque::with_capacity(capacity.min(1024))),
        }
    }

    /// Notes an event.
    pub fn note(&self, kind: &'static EventKind, request: Option<RequestId>, fields: Vec<Field>) {
        let noted = Noted {
            at_ms: unix_ms(),
            kind,
            request,
            fields,
        };
        let (at_ms, instance) = (noted.at_ms, &self.instance);
        log::log!(target: "sorrelturn", kind.level, "{at_ms} {instance} {noted}");
        let mut kept = self.lock();
        if kept.len() == self.capacity {
            kept.pop_front();
        }
        kept.push_back(noted);
    }

    /// The kept events of one request, oldest first.
    pub fn of_request(&self, request: RequestId) -> Vec<EventRecord> {
        self.lock()
            .iter()
            .filter(|noted| noted.request == Some(request))
            .map(|noted| self.record(noted))
            .collect()
    }

    /// The latest events that concern no single request, oldest first.
    pub fn of_fleet(&self) -> Vec<EventRecord> {
        self.lock()
            .iter()
            .filter(|noted| noted.request.is_none())
            .map(|noted| self.record(noted))
            .collect()
    }

    fn record(&self, noted: &Noted) -> EventRecord {
        EventRecord {
            at_ms: noted.at_ms,
            instance: self.instance.clone(),
            number: noted.kind.number,
            name: noted.kind.name.to_owned(),
            text: noted.kind.text.to_owned(),
            request: noted.request.map(|id| id.to_string()),
            fields: noted.fields.clone(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Noted>> {
        self.kept
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
