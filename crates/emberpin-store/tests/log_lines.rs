//! Compares the log lines in the store's sources with the operators' page, which lists each event with its level and
//! fields.

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// A level, an event, and the names of the event's fields.
type LogLine = (String, String, Vec<String>);

/// The levels that the program logs.
const LEVELS: [&str; 2] = ["error", "warn"];

/// Returns all files below a folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .flat_map(|path| match path.is_dir() {
            true => source_files(&path),
            false => vec![path],
        })
        .collect()
}

/// Parses a format string: `disk state changed: state={:?} previous={:?}` is an event with two fields.
fn parse_line(level: &str, text: &str) -> LogLine {
    let (event, fields) = text.split_once(": ").expect("an event and its fields");
    let fields = fields
        .split(' ')
        .filter_map(|field| field.split_once('='))
        .map(|(name, _)| name.into());
    (level.into(), event.into(), fields.collect())
}

/// Returns the log lines in a source file.
fn log_lines_in(source: &str) -> Vec<LogLine> {
    let mut lines = Vec::new();
    for level in LEVELS {
        for call in source.split(&format!("log::{level}!(")).skip(1) {
            let text = call.split('"').nth(1).expect("a format string");
            lines.push(parse_line(level, text));
        }
    }
    lines
}

/// Returns the names in backticks in a table cell.
fn backticked_names(cell: &str) -> Vec<String> {
    cell.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Returns the log lines in the table of the operators' page.
fn documented_log_lines(page: &str) -> BTreeSet<LogLine> {
    let (_, section) = page
        .split_once("## Log lines of a store")
        .expect("a section on log lines");
    let mut lines = BTreeSet::new();
    for row in section.lines().filter(|line| line.starts_with('|')) {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let [_, level, events, fields, ..] = cells[..] else {
            continue;
        };
        if LEVELS.contains(&level) {
            lines.extend(
                backticked_names(events)
                    .into_iter()
                    .map(|event| (level.to_owned(), event, backticked_names(fields))),
            );
        }
    }
    lines
}

#[gtest]
fn the_operators_page_lists_each_log_line_with_its_level_and_fields() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let logged: BTreeSet<LogLine> = source_files(&package.join("src"))
        .iter()
        .flat_map(|file| log_lines_in(&fs::read_to_string(file).expect("a source file")))
        .collect();
    let page = fs::read_to_string(package.join("../../docs/operators/core.md")).expect("a page");
    expect_that!(logged.len(), ge(10));
    expect_that!(documented_log_lines(&page), eq(&logged));
}
