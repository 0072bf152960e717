//! Checks that `docs/EVENTS.md` and the code have the same numbered events.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::collections::BTreeMap;
use std::path::Path;

const DOCUMENT: &str = include_str!("../../../docs/EVENTS.md");
/// The start of the method of `NumberedEvent` that maps variants to their numbers.
const NUMBERS: &str = "fn number(&self) -> u16 {";
/// The start of a log line that is written as a literal, without an event type.
const LITERAL: &str = "\"event=";

/// An event that the code logs.
#[derive(Debug)]
struct Used {
    number: u16,
    /// The text of its log line, with `{}` in place of values.
    line: String,
    /// The level, if the line is written as a literal.
    level: Option<String>,
}

/// A row of the tables in `docs/EVENTS.md`.
struct Row<'a> {
    level: &'a str,
    name: &'a str,
    fields: Vec<&'a str>,
}

/// Returns the rows of `docs/EVENTS.md` by event number.
fn catalogue() -> BTreeMap<u16, Row<'static>> {
    let mut rows = BTreeMap::new();
    for line in DOCUMENT.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let [number, level, name, fields, meaning] = cells[..] else {
            panic!("the row doesn't have five cells: {line}");
        };
        let Ok(number) = number.parse() else {
            continue;
        };
        assert!(
            meaning.ends_with('.'),
            "the meaning doesn't end with a full stop: {line}"
        );
        let fields = fields.split(", ").map(|field| field.trim_matches('`'));
        let row = Row {
            level,
            name: name.trim_matches('`'),
            fields: fields.collect(),
        };
        assert!(
            rows.insert(number, row).is_none(),
            "{number} is listed twice"
        );
    }
    rows
}

/// Returns every event in the sources of all crates.
fn used() -> Vec<Used> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    for entry in std::fs::read_dir(crates).unwrap() {
        scan_folder(&entry.unwrap().path().join("src"), &mut found);
    }
    let platform = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../platform/src");
    scan_folder(&platform, &mut found);
    found
}

fn scan_folder(folder: &Path, found: &mut Vec<Used>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            scan_folder(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            scan(&std::fs::read_to_string(&path).unwrap(), found);
        }
    }
}

fn scan(source: &str, found: &mut Vec<Used>) {
    for (at, _) in source.match_indices(LITERAL) {
        let line = &source[at + LITERAL.len()..];
        let line = &line[..line.find('"').unwrap()];
        let (number, line) = line.split_once(' ').unwrap();
        // Skips `event={number}`, which logs the events of all types.
        if let Ok(number) = number.parse() {
            let before = source[..at].rsplit("log::").next().unwrap();
            let level = before.split('!').next().unwrap();
            found.push(Used {
                number,
                line: line.to_owned(),
                level: Some(level.to_owned()),
            });
        }
    }
    for (at, _) in source.match_indices(NUMBERS) {
        scan_type(&source[at + NUMBERS.len()..], found);
    }
}

/// Scans the method that numbers the events of a type, and the `Display` that follows it.
fn scan_type(source: &str, found: &mut Vec<Used>) {
    let numbers = &source[..source.find("\n    }").unwrap()];
    for arm in numbers.lines().filter(|line| line.contains("Self::")) {
        let (variant, number) = arm.split_once(" => ").unwrap();
        let variant = variant.split_whitespace().next().unwrap();
        let display = &source[source.find("impl fmt::Display").unwrap()..];
        let shown = &display[display.find(&format!("{variant} ")).unwrap()..];
        let shown = &shown[shown.find("write!(").unwrap()..];
        let shown = shown.split('"').nth(1).unwrap();
        found.push(Used {
            number: number.trim_end_matches(',').parse().unwrap(),
            line: shown.to_owned(),
            level: None,
        });
    }
}

#[test]
fn every_event_of_the_code_is_in_the_catalogue() {
    let catalogue = catalogue();
    for used in used() {
        let row = catalogue.get(&used.number);
        let row = row.unwrap_or_else(|| panic!("not in the catalogue: {used:?}"));
        let mut words = used.line.split_whitespace();
        assert_eq!(words.next(), Some(row.name), "{used:?}");
        for field in words.filter_map(|word| word.split_once('=')) {
            assert!(row.fields.contains(&field.0), "{}: {used:?}", field.0);
        }
        if let Some(level) = &used.level {
            assert_eq!(level, row.level, "{used:?}");
        }
    }
}

#[test]
fn every_event_of_the_catalogue_is_in_the_code() {
    let used: Vec<_> = used().iter().map(|used| used.number).collect();
    assert!(!used.is_empty());
    for number in catalogue().keys() {
        assert!(used.contains(number), "not in the code: {number}");
    }
}

#[test]
fn no_number_is_used_for_two_events() {
    let mut names = BTreeMap::new();
    for used in used() {
        let name = used.line.split_whitespace().next().unwrap().to_owned();
        let first = names.entry(used.number).or_insert_with(|| name.clone());
        assert_eq!(*first, name, "{} is used twice", used.number);
    }
}
