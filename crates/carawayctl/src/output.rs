//! Prints results as tables or as JSON.

use serde::Serialize;

use crate::args::Output;

/// Prints the value as JSON, or the rows as a table, as `output` says.
pub(crate) fn print<T: Serialize>(
    output: Output,
    value: &T,
    headings: &[&str],
    rows: &[Vec<String>],
) -> eyre::Result<()> {
    match output {
        Output::Json => println!("{}", serde_json::to_string_pretty(value)?),
        Output::Table => print_table(headings, rows),
    }
    Ok(())
}

/// Prints a table with columns as wide as their widest cell.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(headings[column].chars().count())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths);
        let padded = padded.map(|(cell, width)| format!("{cell:<width$}"));
        let text = padded.collect::<Vec<_>>().join("  ");
        println!("{}", text.trim_end());
    };
    line(headings.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}
