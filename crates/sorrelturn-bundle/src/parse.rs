//! Reading JSON with comments.

use crate::{BundleSource, Diagnostic};
use json_comments::StripComments;
use serde::de::DeserializeOwned;

/// The first thing in a file that can't be read, with its place.
pub type ParseError = Diagnostic;

/// Reads a bundle; `file` is only for errors.
pub fn parse(file: &str, text: &str) -> Result<BundleSource, ParseError> {
    parse_settings(file, text, "docs/BUNDLE.md")
}

/// Reads any settings file in JSON with comments; `page` is where its fields are described.
///
/// Comments are blanked out and not cut out, so that line and column stay the operator's own.
pub fn parse_settings<T: DeserializeOwned>(
    file: &str,
    text: &str,
    page: &str,
) -> Result<T, ParseError> {
    serde_json::from_reader(StripComments::new(text.as_bytes())).map_err(|error| Diagnostic {
        file: file.to_owned(),
        line: error.line(),
        column: error.column(),
        message: without_position(&error),
        help: format!("see {page} for each field, its type and its unit"),
    })
}

/// The library appends the position to its text; the diagnostic shows it on a line of its own.
fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}
