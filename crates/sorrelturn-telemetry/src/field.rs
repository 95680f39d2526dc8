//! Named values of events and spans.

use serde::{Deserialize, Serialize};
use std::{
    borrow::Cow,
    fmt::{self, Write},
    ops::Deref,
};

/// The longest value without an allocation. Most names of kinds, instances and reasons are shorter.
const INLINE_CAPACITY_BYTES: usize = 22;

/// A named value of an event, such as an input of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// The name; mostly a literal, which avoids an allocation per request.
    pub name: Cow<'static, str>,
    /// The value as text.
    pub value: FieldValue,
}

impl Field {
    /// Formats any value that implements `Display`.
    pub fn new(name: &'static str, value: impl fmt::Display) -> Self {
        let mut text = FieldValue::default();
        // Writing to memory doesn't fail, and a `Display` that fails leaves what it has written.
        let _ = write!(text, "{value}");
        Self {
            name: Cow::Borrowed(name),
            value: text,
        }
    }

    /// Writes the field as in a log line. Escapes control characters, so that a value from a backend server or peer can't
    /// inject a log line.
    pub(crate) fn write_to(&self, out: &mut impl Write) -> fmt::Result {
        out.write_str(&self.name)?;
        out.write_char('=')?;
        let is_printable_ascii = self.value.bytes().all(|byte| matches!(byte, b' '..=b'~'));
        if is_printable_ascii {
            return out.write_str(&self.value);
        }
        for c in self.value.chars() {
            if c.is_control() {
                write!(out, "{}", c.escape_default())?;
            } else {
                out.write_char(c)?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_to(f)
    }
}

/// The value of a field, as text; a short one is stored without an allocation, since each request has some dozen.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct FieldValue(Repr);

#[derive(Clone, Debug)]
enum Repr {
    Inline {
        len: u8,
        bytes: [u8; INLINE_CAPACITY_BYTES],
    },
    Heap(String),
}

impl FieldValue {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        match &self.0 {
            Repr::Inline { len, bytes } => {
                let bytes = &bytes[..usize::from(*len)];
                // Only whole strings were appended.
                str::from_utf8(bytes).unwrap_or_default()
            }
            Repr::Heap(text) => text,
        }
    }
}

impl Default for FieldValue {
    fn default() -> Self {
        Self(Repr::Inline {
            len: 0,
            bytes: [0; INLINE_CAPACITY_BYTES],
        })
    }
}

impl Write for FieldValue {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        match &mut self.0 {
            Repr::Heap(heap) => heap.push_str(text),
            Repr::Inline { len, bytes } => {
                let start = usize::from(*len);
                let end = start + text.len();
                if let Some(free) = bytes.get_mut(start..end) {
                    free.copy_from_slice(text.as_bytes());
                    *len = end as u8;
                } else {
                    self.0 = Repr::Heap(format!("{}{text}", self.as_str()));
                }
            }
        }
        Ok(())
    }
}

impl Deref for FieldValue {
    type Target = str;

    fn deref(&self) -> &str {
        self.as_str()
    }
}

impl fmt::Display for FieldValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self)
    }
}

impl PartialEq for FieldValue {
    fn eq(&self, other: &Self) -> bool {
        self.as_str() == other.as_str()
    }
}

impl Eq for FieldValue {}

impl From<&str> for FieldValue {
    fn from(text: &str) -> Self {
        let mut value = Self::default();
        let _ = value.write_str(text);
        value
    }
}

impl From<String> for FieldValue {
    fn from(text: String) -> Self {
        Self::from(text.as_str())
    }
}

impl From<FieldValue> for String {
    fn from(value: FieldValue) -> Self {
        match value.0 {
            Repr::Heap(text) => text,
            Repr::Inline { .. } => value.as_str().to_owned(),
        }
    }
}
