//! Parsing of JSON with comments.

use crate::{BundleSource, Diagnostic};
use json_comments::StripComments;
use serde::de::DeserializeOwned;

/// The first syntax or type error in a file, with its position.
pub type ParseError = Diagnostic;

/// Parses a bundle. `file` is used only in error messages.
pub fn parse(file: &str, text: &str) -> Result<BundleSource, ParseError> {
    parse_settings(file, text, "docs/BUNDLE.md")
}

/// Parses a file in JSON with comments. `docs_page` is the documentation page of its fields.
///
/// Comments are replaced by spaces, so that lines and columns in errors match the file.
pub fn parse_settings<T: DeserializeOwned>(
    file: &str,
    text: &str,
    docs_page: &str,
) -> Result<T, ParseError> {
    serde_json::from_reader(StripComments::new(text.as_bytes())).map_err(|error| Diagnostic {
        file: file.to_owned(),
        line: error.line(),
        column: error.column(),
        message: without_position(&error),
        help: format!("see {docs_page} for each field, its type and its unit"),
    })
}

/// Strips the position that serde_json appends, since the diagnostic prints it separately.
fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}
