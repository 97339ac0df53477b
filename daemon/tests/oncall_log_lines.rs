//! Every line that the daemon logs at the levels warn and error stands in the table of `docs/ONCALL.md`, and every row of
//! that table is a line of the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The heading of the table in `docs/ONCALL.md`.
const HEADING: &str = "## Lines at warn and error";

/// Macros whose lines may come at warn or error.
const MACROS: [&str; 3] = ["log::warn!(", "log::error!(", "log::log!("];

/// A line as the code has it: level and message, with the names of what is put in between braces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    level: &'static str,
    message: String,
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("its entries too").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// The sources of the packages that the daemon is built from.
fn daemon_sources() -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(repository()).expect("the repository can be read") {
        let path = entry.expect("its entries too").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let is_other_program = [
            "rehearse",
            "harness",
            "drill",
            "simulator-adapter",
            "target",
        ]
        .contains(&name.as_str());
        if is_other_program {
            continue;
        }
        let source = if name == "src" {
            path
        } else {
            path.join("src")
        };
        if source.is_dir() {
            source_files(&source, &mut files);
        }
    }
    files
}

/// The literal that begins at the quotation mark at `start`, and where it ends.
fn string_literal(text: &str, start: usize) -> (String, usize) {
    let mut literal = String::new();
    let mut characters = text[start + 1..].char_indices();
    while let Some((offset, character)) = characters.next() {
        match character {
            '"' => return (literal, start + 1 + offset + 1),
            '\\' => match characters.next() {
                Some((_, '\n')) => {
                    let rest = characters.as_str();
                    let skipped = rest.len() - rest.trim_start().len();
                    for _ in 0..rest[..skipped].chars().count() {
                        characters.next();
                    }
                }
                Some((_, escaped)) => literal.push(escaped),
                None => break,
            },
            _ => literal.push(character),
        }
    }
    panic!("a string literal without an end");
}

/// The message of a macro's call, whose arguments begin at `start`: its first literal, or the first behind the key-values
/// and their semicolon.
fn message(text: &str, start: usize) -> Option<String> {
    let (mut depth, mut at, mut found) = (1, start, None);
    while depth > 0 {
        let character = text[at..].chars().next()?;
        match character {
            '(' | '{' | '[' => depth += 1,
            ')' | '}' | ']' => depth -= 1,
            ';' if depth == 1 => found = None,
            '"' => {
                let (literal, end) = string_literal(text, at);
                if depth == 1 && found.is_none() {
                    found = Some(literal);
                }
                at = end;
                continue;
            }
            _ => {}
        }
        at += character.len_utf8();
    }
    found
}

fn lines_of(text: &str) -> Vec<LogLine> {
    let mut lines = Vec::new();
    for name in MACROS {
        for (at, _) in text.match_indices(name) {
            let level = match name {
                "log::warn!(" => "warn",
                "log::error!(" => "error",
                _ => "varies",
            };
            let message = message(text, at + name.len()).expect("each line has a message");
            lines.push(LogLine { level, message });
        }
    }
    lines
}

fn lines_in_code() -> BTreeSet<LogLine> {
    let texts = daemon_sources()
        .into_iter()
        .map(|path| fs::read_to_string(path).expect("a source file is text"));
    texts.flat_map(|text| lines_of(&text)).collect()
}

fn lines_in_table() -> BTreeSet<LogLine> {
    let page = fs::read_to_string(repository().join("docs/ONCALL.md")).expect("the page is there");
    let section = page
        .split(HEADING)
        .nth(1)
        .expect("the page has the section");
    let section = section.split("\n## ").next().unwrap_or(section);
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let row = |line: &str| {
        let mut cells = line.trim_matches('|').split(" | ").map(str::trim);
        let message = cells
            .next()
            .expect("a message")
            .trim_matches('`')
            .to_owned();
        let level = match cells.next().expect("a level") {
            "warn" => "warn",
            "error" => "error",
            "varies" => "varies",
            other => panic!("'{other}' is no level"),
        };
        let explained = cells.all(|cell| cell.split_whitespace().count() >= 2);
        assert!(explained, "meaning and remedy of: {line}");
        LogLine { level, message }
    };
    rows.map(row).collect()
}

#[test]
fn every_line_at_warn_or_error_stands_in_the_table_for_on_call_engineers() {
    let (code, table) = (lines_in_code(), lines_in_table());
    let missing: Vec<&LogLine> = code.difference(&table).collect();
    assert!(missing.is_empty(), "not in docs/ONCALL.md: {missing:#?}");
    let stale: Vec<&LogLine> = table.difference(&code).collect();
    assert!(stale.is_empty(), "not in the code any more: {stale:#?}");
}

#[test]
fn every_line_at_warn_or_error_says_something_by_itself() {
    for line in lines_in_code() {
        let words = line.message.split_whitespace();
        let own = words.filter(|word| !word.contains('{')).count();
        assert!(own >= 2, "{line:?}");
    }
}

#[test]
fn messages_are_found_behind_key_values_and_across_lines() {
    let code = r#"
        log::warn!("plain {e}");
        log::error!(peer = name.join(" "), code = 3; "with {count} \
            values");
        log::log!(if a { "b" } else { "c" }, "chosen \"level\"");
    "#;
    let found: BTreeSet<String> = lines_of(code)
        .into_iter()
        .map(|line| line.message)
        .collect();
    let expected = ["plain {e}", "with {count} values", "chosen \"level\""].map(str::to_owned);
    assert_eq!(found, BTreeSet::from(expected));
}
