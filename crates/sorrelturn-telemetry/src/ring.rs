//! A ring buffer of recent events.

use crate::{EventKind, EventRecord, Field};
use sorrelturn_protocol::RequestId;
use std::{
    cell::Cell,
    collections::VecDeque,
    fmt::{self, Write},
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

/// The target of all log lines of events.
const LOG_TARGET: &str = "sorrelturn";
/// The capacity of a line's buffer that is retained for the next line.
const RETAINED_LINE_BYTES: usize = 1 << 10;

thread_local! {
    /// The buffer of the last log line, reused to save an allocation.
    static LOG_LINE: Cell<String> = const { Cell::new(String::new()) };
}

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

impl BufferedEvent {
    /// Writes the log line of the event.
    fn write_to(&self, instance: &str, out: &mut impl Write) -> fmt::Result {
        let (number, name) = (self.kind.number, self.kind.name);
        write!(out, "{} {instance} S{number:03} {name}", self.at_ms)?;
        if let Some(request) = &self.request {
            write!(out, " request={request}")?;
        }
        for field in &self.fields {
            out.write_char(' ')?;
            field.write_to(out)?;
        }
        Ok(())
    }

    /// Logs the event, if events of its level are logged.
    fn log(&self, instance: &str) {
        if !log::log_enabled!(target: LOG_TARGET, self.kind.level) {
            return;
        }
        // Written in one piece, since the logger handles each piece of a line by itself.
        let mut line = LOG_LINE.take();
        line.clear();
        let _ = self.write_to(instance, &mut line);
        log::log!(target: LOG_TARGET, self.kind.level, "{line}");
        line.clear();
        line.shrink_to(RETAINED_LINE_BYTES);
        LOG_LINE.set(line);
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
        event.log(&self.instance);
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
