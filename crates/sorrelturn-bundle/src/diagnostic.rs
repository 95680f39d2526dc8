//! Errors that point into the operator's own file.

use jsonc_parser::{CollectOptions, ParseOptions, ast, common::Ranged, parse_to_ast};
use serde::Serialize;
use std::fmt;

/// One finding: what is wrong, where, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// The file, as the operator named it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
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

/// Finds the place in a file that a value was read from.
#[derive(Clone, Copy)]
pub struct SourceMap<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> SourceMap<'a> {
    /// Looks into `text`, which errors call `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// A finding at the value under `path`, or at its nearest parent that the file has.
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
            let Some(prop) = object
                .properties
                .iter()
                .find(|prop| prop.name.as_str() == *name)
            else {
                break;
            };
            offset = prop.start();
            value = &prop.value;
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
