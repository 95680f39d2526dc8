//! The output of a command, as text and as JSON.

use serde::Serialize;
use serde_json::Value;

/// The result of a command in both output formats.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// The text for `--output table`.
    pub text: String,
    /// The value for `--output json`.
    pub json: Value,
}

impl Output {
    /// Creates an output from a text and a serializable value.
    pub fn new(text: impl Into<String>, json: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(json).unwrap_or_default(),
        }
    }

    /// Creates an output whose text is a table with the column titles `titles`.
    pub fn table(titles: &[&str], rows: &[Vec<String>], json: &impl Serialize) -> Self {
        Self::new(table(titles, rows), json)
    }
}

fn table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(titles[column].chars().count())
    };
    let widths: Vec<usize> = (0..titles.len()).map(width).collect();
    let format_row = |cells: Vec<&str>| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut lines = vec![format_row(titles.to_vec())];
    lines.extend(
        rows.iter()
            .map(|row| format_row(row.iter().map(String::as_str).collect())),
    );
    lines.join("\n")
}
