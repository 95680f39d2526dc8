//! Results for people and for programs.

use serde::Serialize;
use serde_json::Value;

/// What a command prints.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Output {
    /// A result with its text.
    pub fn new(text: impl Into<String>, json: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(json).unwrap_or_default(),
        }
    }

    /// A result as a table.
    pub fn table(heads: &[&str], rows: &[Vec<String>], json: &impl Serialize) -> Self {
        Self::new(table(heads, rows), json)
    }
}

fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(heads[column].chars().count())
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(heads.to_vec())];
    lines.extend(
        rows.iter()
            .map(|row| line(row.iter().map(String::as_str).collect())),
    );
    lines.join("\n")
}
