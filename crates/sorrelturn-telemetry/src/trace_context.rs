//! Parsing and formatting of the W3C Trace Context header `traceparent`.

use sorrelturn_protocol::SpanId;
use std::{fmt, str::FromStr};

/// A `traceparent` header. Later versions are parsed too; it is formatted as version 00.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Never zero.
    pub trace: u128,
    /// The caller's span.
    pub parent: SpanId,
    /// Whether the caller samples this trace.
    pub sampled: bool,
}

impl FromStr for TraceContext {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.trim().split('-');
        let version = parts.next().ok_or(())?;
        let trace = hex(parts.next(), 32)?;
        let parent = hex(parts.next(), 16)? as u64;
        let flags = hex(parts.next(), 2)?;
        let is_version_valid = version.len() == 2 && version != "ff";
        let has_trailing_data = version == "00" && parts.next().is_some();
        if !is_version_valid || has_trailing_data || trace == 0 || parent == 0 {
            return Err(());
        }
        Ok(Self {
            trace,
            parent: SpanId(parent),
            sampled: flags & 1 == 1,
        })
    }
}

fn hex(text: Option<&str>, len: usize) -> Result<u128, ()> {
    let text = text.filter(|text| text.len() == len).ok_or(())?;
    if text
        .bytes()
        .any(|b| !b.is_ascii_hexdigit() || b.is_ascii_uppercase())
    {
        return Err(());
    }
    u128::from_str_radix(text, 16).map_err(|_| ())
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{:032x}-{}-{flags:02x}", self.trace, self.parent)
    }
}
