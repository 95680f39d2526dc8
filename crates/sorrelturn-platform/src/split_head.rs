//! Detects a response whose head was split by an empty line, so that its rest counts as the body.
//!
//! HTTP ends a head at the first empty line. The rest then comes first in the body: as much of it as the length says, or all
//! of it if the length lies in the rest. Either body looks whole. See `docs/design/streaming.md`.

use crate::response_framing::MalformedResponse;

/// Longer names of fields, and longer rests of heads, aren't detected, since their bytes are retained until then.
const MAX_NAME_BYTES: usize = 128;
const MAX_REST_BYTES: usize = 16 << 10;
/// The media types whose content begins with fields of its own.
const MESSAGE_TYPE: &[u8] = b"message/";
const CONTENT_TYPE: &[u8] = b"content-type:";
/// The end of a line and the first byte of an empty one that hasn't arrived whole.
const MAX_EMPTY_LINE_BYTES: usize = 2;
/// Where the first digit of the status code lies, behind `HTTP/1.1 `.
const STATUS_AT: usize = 9;

/// Reads along with a connection, from the start of a response.
#[derive(Debug, Default)]
pub(crate) struct SplitHeadDetector {
    part: Part,
    /// What has arrived of the part, unless it arrived whole.
    buf: Vec<u8>,
    /// How much of a head needn't be searched for its end again.
    searched: usize,
    /// The end of the head's lines.
    line_end: &'static [u8],
}

#[derive(Clone, Copy, Debug, Default)]
enum Part {
    #[default]
    Head,
    BodyStart,
    /// The rest is of no interest.
    Over,
}

/// What the first bytes of a body are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// Lines of fields and an empty line.
    Fields,
    /// Anything else.
    Body,
    /// More bytes are needed to tell.
    Unknown,
}

impl SplitHeadDetector {
    /// Inspects the next bytes of the connection.
    ///
    /// # Errors
    ///
    /// If the head was split.
    pub(crate) fn inspect(&mut self, bytes: &[u8]) -> Result<(), MalformedResponse> {
        match self.part {
            Part::Over => Ok(()),
            _ if self.buf.is_empty() => {
                let left = self.inspect_parts(bytes)?;
                self.buf.extend_from_slice(&bytes[bytes.len() - left..]);
                Ok(())
            }
            _ => {
                let mut buf = std::mem::take(&mut self.buf);
                buf.extend_from_slice(bytes);
                let left = self.inspect_parts(&buf)?;
                if left > 0 {
                    buf.drain(..buf.len() - left);
                    self.buf = buf;
                }
                Ok(())
            }
        }
    }

    /// Returns how many of the last bytes belong to a part that hasn't arrived whole.
    fn inspect_parts(&mut self, mut bytes: &[u8]) -> Result<usize, MalformedResponse> {
        loop {
            match self.part {
                Part::Head => {
                    let Some((head, rest)) = split_at_empty_line(bytes, self.searched) else {
                        self.searched = bytes.len().saturating_sub(MAX_EMPTY_LINE_BYTES);
                        return Ok(bytes.len());
                    };
                    self.searched = 0;
                    self.line_end = line_end(head);
                    self.part = part_after(head);
                    bytes = rest;
                }
                Part::BodyStart => match start_of_body(bytes, self.line_end) {
                    Start::Fields => return Err(MalformedResponse::SplitHead),
                    Start::Unknown => return Ok(bytes.len()),
                    Start::Body => self.part = Part::Over,
                },
                Part::Over => return Ok(0),
            }
        }
    }
}

/// Splits behind the first empty line after other ones, which doesn't begin in the first `searched` bytes.
fn split_at_empty_line(bytes: &[u8], searched: usize) -> Option<(&[u8], &[u8])> {
    let mut at = start_of_head(bytes)?.max(searched);
    loop {
        at += bytes[at..].iter().position(|byte| *byte == b'\n')? + 1;
        let empty = match &bytes[at..] {
            [b'\n', ..] => 1,
            [b'\r', b'\n', ..] => 2,
            _ => continue,
        };
        return Some(bytes.split_at(at + empty));
    }
}

/// Returns where a head begins. Empty lines before it belong to nothing.
fn start_of_head(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n'))
}

fn line_end(head: &[u8]) -> &'static [u8] {
    let start = start_of_head(head).unwrap_or(0);
    let mut lines = head[start..].split(|byte| *byte == b'\n');
    match lines.next().is_some_and(|line| line.ends_with(b"\r")) {
        true => b"\r\n",
        false => b"\n",
    }
}

/// Returns what follows a head.
fn part_after(head: &[u8]) -> Part {
    let start = start_of_head(head).unwrap_or(0);
    let is_interim = head.get(start + STATUS_AT) == Some(&b'1');
    let is_message = head.split(|byte| *byte == b'\n').any(|line| {
        let (Some(name), Some(value)) = (
            line.get(..CONTENT_TYPE.len()),
            line.get(CONTENT_TYPE.len()..),
        ) else {
            return false;
        };
        let media_type = value.trim_ascii_start().get(..MESSAGE_TYPE.len());
        name.eq_ignore_ascii_case(CONTENT_TYPE)
            && media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(MESSAGE_TYPE))
    });
    match (is_interim, is_message) {
        (true, _) => Part::Head,
        (false, true) => Part::Over,
        (false, false) => Part::BodyStart,
    }
}

fn start_of_body(bytes: &[u8], line_end: &[u8]) -> Start {
    let mut rest = bytes;
    loop {
        let follows_field = rest.len() < bytes.len();
        if follows_field && rest.starts_with(line_end) {
            return Start::Fields;
        }
        if follows_field && line_end.starts_with(rest) {
            return Start::Unknown;
        }
        match field_line(rest, line_end) {
            Ok(len) => rest = &rest[len..],
            Err(Start::Unknown) if bytes.len() >= MAX_REST_BYTES => return Start::Body,
            Err(start) => return start,
        }
    }
}

/// Returns the length of the first line with its end if it is one of a field, otherwise what the bytes are.
fn field_line(bytes: &[u8], line_end: &[u8]) -> Result<usize, Start> {
    let name = bytes.iter().take_while(|byte| is_token(**byte)).count();
    match bytes.get(name) {
        None if name <= MAX_NAME_BYTES => return Err(Start::Unknown),
        Some(b':') if (1..=MAX_NAME_BYTES).contains(&name) => {}
        _ => return Err(Start::Body),
    }
    let is_in_value = |byte: &u8| *byte == b'\t' || *byte >= b' ' && *byte != 0x7f;
    let value = bytes[name..].iter().take_while(|byte| is_in_value(byte));
    let line = name + value.count();
    let end = &bytes[line..];
    if end.starts_with(line_end) {
        Ok(line + line_end.len())
    } else if line_end.starts_with(end) {
        Err(Start::Unknown)
    } else {
        Err(Start::Body)
    }
}

/// Whether a byte may be part of the name of a field.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
