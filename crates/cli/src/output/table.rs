//! Prints tables as text.

use {
    crate::output::show_line,
    console::{measure_text_width, pad_str},
    serde_json::Value,
};

/// Space between columns, in characters.
const COLUMN_GAP: usize = 2;

/// Prints a header and one line for each row, with one column for each key.
pub(crate) fn show_table<'a>(keys: &[&str], rows: impl IntoIterator<Item = &'a Value>) {
    let mut lines: Vec<Vec<String>> = vec![keys.iter().map(|key| key.replace('_', " ")).collect()];
    for row in rows {
        lines.push(keys.iter().map(|key| cell_text(&row[*key])).collect());
    }
    let widths: Vec<usize> = (0..keys.len())
        .map(|column| column_width(&lines, column))
        .collect();
    for line in &lines {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| {
                pad_str(cell, width + COLUMN_GAP, console::Alignment::Left, None).into_owned()
            })
            .collect();
        show_line(format_args!("{}", cells.concat().trim_end()));
    }
}

fn column_width(lines: &[Vec<String>], column: usize) -> usize {
    let widths = lines.iter().map(|line| measure_text_width(&line[column]));
    widths.max().unwrap_or_default()
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
