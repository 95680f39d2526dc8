//! Event kinds and event records.

use crate::Field;
use log::Level;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::RequestId;
use std::{borrow::Cow, fmt};

/// One kind of event. [`crate::events`] and `docs/EVENTS.md` list all kinds.
#[derive(Debug, PartialEq, Eq)]
pub struct EventKind {
    /// The number, which is never reused.
    pub number: u16,
    /// The name, in lower case with hyphens.
    pub name: &'static str,
    /// The log level.
    pub level: Level,
    /// The description that `sorrelctl explain` shows.
    pub text: &'static str,
}

/// One recorded event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The recording daemon's instance.
    pub instance: String,
    /// The event kind's number.
    pub number: u16,
    /// The event kind's name.
    pub name: String,
    /// The event kind's description.
    pub text: String,
    /// The root request's id, if the event concerns one.
    pub request: Option<String>,
    /// Fields, such as the inputs of a decision.
    pub fields: Vec<Field>,
}

impl EventRecord {
    /// Whether the event concerns `request`.
    pub fn concerns(&self, request: RequestId) -> bool {
        self.request
            .as_ref()
            .is_some_and(|id| *id == request.to_string())
    }

    /// Parses a log line of [`crate::EventRing`]; `None` for any other line.
    pub fn from_log_line(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace().skip(1).peekable();
        let at_ms = words.next()?.parse().ok()?;
        let instance = words.next()?.to_owned();
        let number = words.next()?.strip_prefix('S')?.parse().ok()?;
        let name = words.next()?.to_owned();
        let request = words.peek().and_then(|word| word.strip_prefix("request="));
        let request = request.map(str::to_owned);
        if request.is_some() {
            words.next();
        }
        // A word without `=` continues the value of the previous field.
        let mut fields: Vec<Field> = Vec::new();
        for word in words {
            match (word.split_once('='), fields.last_mut()) {
                (Some((name, value)), _) => fields.push(Field {
                    name: Cow::Owned(name.to_owned()),
                    value: value.into(),
                }),
                (None, Some(last)) => last.value = format!("{} {word}", last.value).into(),
                (None, None) => return None,
            }
        }
        let kind = crate::events::CATALOGUE
            .iter()
            .find(|kind| kind.number == number);
        Some(Self {
            at_ms,
            instance,
            number,
            name,
            text: kind.map_or_else(String::new, |kind| kind.text.to_owned()),
            request,
            fields,
        })
    }

    /// The value of the named field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|field| field.name == name)
            .map(|field| field.value.as_str())
    }
}

impl fmt::Display for EventRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "S{:03} {}", self.number, self.name)?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        for field in &self.fields {
            write!(f, " {field}")?;
        }
        Ok(())
    }
}
