//! Checks that the code has each name that `docs/GLOSSARY.md` puts in backticks.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::collections::HashSet;
use std::path::Path;

const DOCUMENT: &str = include_str!("../../../docs/GLOSSARY.md");

/// Adds all words of all files in a folder.
fn words_of(folder: &Path, words: &mut HashSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            words_of(&path, words);
        } else {
            let text = std::fs::read_to_string(&path).unwrap();
            let found = text.split(|c: char| !c.is_alphanumeric() && c != '_');
            words.extend(found.map(str::to_owned));
        }
    }
}

#[test]
fn every_name_in_the_glossary_is_in_the_code() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut words = HashSet::new();
    for entry in std::fs::read_dir(crates).unwrap() {
        words_of(&entry.unwrap().path().join("src"), &mut words);
    }
    for line in DOCUMENT.lines().filter(|line| line.starts_with("| ")) {
        let names = line.split('`').skip(1).step_by(2);
        let plain = names.filter(|name| !name.contains(['.', ' ']) || name.contains("::"));
        for word in plain.flat_map(|name| name.split("::")) {
            assert!(words.contains(word), "`{word}` is not in the code: {line}");
        }
    }
}
