//! Parsing of JSON that other programs wrote and the store passes on.

use serde::de::DeserializeOwned;
use std::borrow::Cow;

/// Replaces a word that isn't JSON.
const NULL: &str = "null";

/// Parses JSON that may hold bytes other than UTF-8, words such as `NaN` and `Infinity`, and unescaped control characters.
/// Some serializers write them, and one entry that holds them must not hide the others of its page. They become replacement
/// characters, `null` and spaces.
///
/// # Errors
///
/// If the text isn't JSON otherwise, or not a `T`.
pub(crate) fn parse<T: DeserializeOwned>(json: &[u8]) -> serde_json::Result<T> {
    let text = String::from_utf8_lossy(json);
    match serde_json::from_str(&text) {
        Err(error) if error.is_syntax() => serde_json::from_str(&replace_invalid(&text)),
        parsed => parsed,
    }
}

/// Replaces words and characters that JSON doesn't allow where they stand.
fn replace_invalid(text: &str) -> String {
    let mut replaced = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        let len = match first {
            '"' => string_len(rest),
            _ if is_word_char(first) => rest.find(|c| !is_word_char(c)).unwrap_or(rest.len()),
            _ => first.len_utf8(),
        };
        let (token, after) = rest.split_at(len);
        replaced.push_str(&match first {
            '"' => Cow::Owned(token.replace(|c| c < ' ', " ")),
            _ if is_word_char(first) && !is_json(token) => Cow::Borrowed(NULL),
            _ => Cow::Borrowed(token),
        });
        rest = after;
    }
    replaced
}

/// Returns the length in bytes of the string at the start of `text`, with its quotes.
fn string_len(text: &str) -> usize {
    let mut is_escaped = false;
    let end = text.char_indices().skip(1).find(|(_, c)| {
        let is_end = *c == '"' && !is_escaped;
        is_escaped = *c == '\\' && !is_escaped;
        is_end
    });
    end.map_or(text.len(), |(at, _)| at + 1)
}

fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "+-._".contains(c)
}

fn is_json(word: &str) -> bool {
    serde_json::from_str::<serde::de::IgnoredAny>(word).is_ok()
}
