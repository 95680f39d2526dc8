//! Errors with a position in the operator's file.

use jsonc_parser::{CollectOptions, ParseOptions, ast, common::Ranged, parse_to_ast};
use serde::Serialize;
use std::fmt;

/// A problem in a file, with its position and a suggested fix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// The file name as the operator gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
    /// The problem.
    pub message: String,
    /// The suggested fix.
    pub help: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "error: {}", self.message)?;
        writeln!(f, "  --> {}:{}:{}", self.file, self.line, self.column)?;
        write!(f, "  help: {}", self.help)
    }
}

impl std::error::Error for Diagnostic {}

/// Maps the path of a value to its position in a file.
#[derive(Clone, Copy)]
pub struct SourceMap<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> SourceMap<'a> {
    /// Creates a map of `text`. Diagnostics name it `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Creates a diagnostic at the value under `path`, or at its nearest parent that exists in the file.
    pub fn at(
        &self,
        path: &[&str],
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Diagnostic {
        let (line, column) = self.position(self.offset(path));
        Diagnostic {
            file: self.file.to_owned(),
            line,
            column,
            message: message.into(),
            help: help.into(),
        }
    }

    fn offset(&self, path: &[&str]) -> usize {
        let parsed = parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let Some(root) = parsed.ok().and_then(|parsed| parsed.value) else {
            return 0;
        };
        let mut offset = root.start();
        let mut value = &root;
        for name in path {
            let ast::Value::Object(object) = value else {
                break;
            };
            let Some(property) = object
                .properties
                .iter()
                .find(|property| property.name.as_str() == *name)
            else {
                break;
            };
            offset = property.start();
            value = &property.value;
        }
        offset
    }

    fn position(&self, offset: usize) -> (usize, usize) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        (line, column)
    }
}
