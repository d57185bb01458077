//! Markdown tables and numbers in the format of the page. This module knows nothing of the meaning of
//! the values.

use std::fmt::Write as _;

/// A table with a header row.
pub struct Table {
    columns: usize,
    text: String,
}

impl Table {
    /// Creates a table that has only the header row.
    pub fn new(columns: &[&str]) -> Self {
        let mut table = Table {
            columns: columns.len(),
            text: String::new(),
        };
        table.row(columns.iter().map(ToString::to_string));
        table.row(columns.iter().map(|_| "---".to_string()));
        table
    }

    /// Adds a row. Missing cells are left empty. A vertical bar within a cell is escaped.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        let mut cells: Vec<String> = cells
            .into_iter()
            .map(|cell| cell.replace('|', "\\|"))
            .collect();
        cells.resize(self.columns, String::new());
        let joined: Vec<&str> = cells.iter().map(|cell| cell.trim()).collect();
        writeln!(self.text, "| {} |", joined.join(" | "))
            .expect("writing to a string does not fail");
    }

    /// Returns the table as Markdown text.
    pub fn finish(self) -> String {
        self.text
    }
}

/// Text in place of a figure that was not measured.
pub const NOT_MEASURED: &str = "*not measured*";

/// Numbers of at least this size are printed without decimals.
const WHOLE_NUMBERS_MIN: f64 = 100.0;

/// Formats a number with three significant digits, or as a whole number from 100 on, with commas
/// between thousands.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let size = value.abs();
    if size >= WHOLE_NUMBERS_MIN {
        return grouped(value);
    }
    // Decimals that give three significant digits, also for numbers far below 1.
    let decimals = (2.0 - size.log10().floor()).clamp(0.0, 12.0) as usize;
    let text = format!("{value:.decimals$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

fn grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut out = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    if value < 0.0 { format!("-{out}") } else { out }
}

/// Formats a figure. `None` means that it was not measured.
pub fn figure(value: Option<f64>) -> String {
    value.map_or(NOT_MEASURED.to_string(), number)
}

/// Formats several values of a figure, or a single one if all are printed alike.
pub fn figures(values: &[Option<f64>]) -> String {
    let texts: Vec<String> = values.iter().map(|value| figure(*value)).collect();
    match texts.windows(2).all(|pair| pair[0] == pair[1]) {
        true => texts.into_iter().next().unwrap_or_default(),
        false => texts.join(" / "),
    }
}
