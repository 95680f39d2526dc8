//! The shape of an event.

use log::Level;
use serde::{Deserialize, Serialize};
use sorrelturn_protocol::RequestId;
use std::{borrow::Cow, fmt};

/// One kind of event; all stand in [`crate::events`] and in `docs/EVENTS.md`.
#[derive(Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Its number; never reused.
    pub number: u16,
    /// Its name, in lower case with hyphens.
    pub name: &'static str,
    /// The level at which it is logged.
    pub level: Level,
    /// What happened, for `sorrelctl explain`.
    pub text: &'static str,
}

/// One input of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Its name; nearly all are literals, which cost no allocation on a request's way.
    pub name: Cow<'static, str>,
    /// Its value, with its unit where it has one.
    pub value: String,
}

impl Field {
    /// A field from anything that can be shown.
    pub fn new(name: &'static str, value: impl fmt::Display) -> Self {
        Self {
            name: Cow::Borrowed(name),
            value: value.to_string(),
        }
    }
}

impl fmt::Display for Field {
    /// Control characters are written as escapes: values come from backend servers and peers too, and
    /// one with a line end could write a line of its own into the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}=", self.name)?;
        if !self.value.contains(char::is_control) {
            return f.write_str(&self.value);
        }
        for c in self.value.chars() {
            if c.is_control() {
                write!(f, "{}", c.escape_default())?;
            } else {
                write!(f, "{c}")?;
            }
        }
        Ok(())
    }
}

/// One event that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The instance whose daemon noted it.
    pub instance: String,
    /// The kind's number.
    pub number: u16,
    /// The kind's name.
    pub name: String,
    /// What happened.
    pub text: String,
    /// The root request that it concerns.
    pub request: Option<String>,
    /// The inputs of the decision.
    pub fields: Vec<Field>,
}

impl EventRecord {
    /// Whether it concerns this request.
    pub fn concerns(&self, request: RequestId) -> bool {
        self.request
            .as_ref()
            .is_some_and(|id| *id == request.to_string())
    }

    /// Reads a line of the log, as [`crate::EventRing`] writes it behind the level: the time, the
    /// instance, and the record. `None` for any other line.
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
        // A word without a name goes on with the value before it.
        let mut fields: Vec<Field> = Vec::new();
        for word in words {
            match (word.split_once('='), fields.last_mut()) {
                (Some((name, value)), _) => fields.push(Field {
                    name: Cow::Owned(name.to_owned()),
                    value: value.to_owned(),
                }),
                (None, Some(last)) => last.value = format!("{} {word}", last.value),
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

    /// The value of a field.
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
