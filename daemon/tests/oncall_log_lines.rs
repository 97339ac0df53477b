//! Checks that the table of log lines in `docs/ONCALL.md` matches the lines that the daemon logs at warn and error.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The heading of the table in `docs/ONCALL.md`.
const HEADING: &str = "## Lines at warn and error";

/// Macros that may log at warn or error.
const MACROS: [&str; 3] = ["log::warn!(", "log::error!(", "log::log!("];

/// Level and message of a log line in the code, with its format arguments as `{name}`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    level: &'static str,
    message: String,
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the folder's entries can be read").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the source files of the packages that the daemon is built from.
fn daemon_sources() -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(repository_root()).expect("the repository can be read") {
        let path = entry.expect("the folder's entries can be read").path();
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

/// Returns the string literal whose quotation mark is at `start`, and the position after it.
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
    panic!("unterminated string literal");
}

/// Returns the message of a macro call whose arguments begin at `start`: the first literal, or the first literal after
/// the semicolon that ends the key-values.
fn first_message(text: &str, start: usize) -> Option<String> {
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

fn log_lines(text: &str) -> Vec<LogLine> {
    let mut lines = Vec::new();
    for name in MACROS {
        for (at, _) in text.match_indices(name) {
            let level = match name {
                "log::warn!(" => "warn",
                "log::error!(" => "error",
                _ => "varies",
            };
            let message = first_message(text, at + name.len()).expect("a log call has a message");
            lines.push(LogLine { level, message });
        }
    }
    lines
}

fn lines_in_code() -> BTreeSet<LogLine> {
    let texts = daemon_sources()
        .into_iter()
        .map(|path| fs::read_to_string(path).expect("a source file is text"));
    texts.flat_map(|text| log_lines(&text)).collect()
}

fn lines_in_table() -> BTreeSet<LogLine> {
    let page = fs::read_to_string(repository_root().join("docs/ONCALL.md"))
        .expect("docs/ONCALL.md can be read");
    let section = page
        .split(HEADING)
        .nth(1)
        .expect("docs/ONCALL.md has the section");
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
            other => panic!("unknown level '{other}'"),
        };
        let explained = cells.all(|cell| cell.split_whitespace().count() >= 2);
        assert!(explained, "a row needs a meaning and a remedy: {line}");
        LogLine { level, message }
    };
    rows.map(row).collect()
}

#[test]
fn every_warn_or_error_line_is_listed_in_the_on_call_table() {
    let (code, table) = (lines_in_code(), lines_in_table());
    let missing: Vec<&LogLine> = code.difference(&table).collect();
    assert!(missing.is_empty(), "not in docs/ONCALL.md: {missing:#?}");
    let stale: Vec<&LogLine> = table.difference(&code).collect();
    assert!(stale.is_empty(), "not in the code any more: {stale:#?}");
}

#[test]
fn every_warn_or_error_message_has_fixed_words() {
    for line in lines_in_code() {
        let words = line.message.split_whitespace();
        let fixed_words = words.filter(|word| !word.contains('{')).count();
        assert!(fixed_words >= 2, "{line:?}");
    }
}

#[test]
fn messages_are_found_after_key_values_and_across_lines() {
    let code = r#"
        log::warn!("plain {e}");
        log::error!(peer = name.join(" "), code = 3; "with {count} \
            values");
        log::log!(if a { "b" } else { "c" }, "chosen \"level\"");
    "#;
    let found: BTreeSet<String> = log_lines(code)
        .into_iter()
        .map(|line| line.message)
        .collect();
    let expected = ["plain {e}", "with {count} values", "chosen \"level\""].map(str::to_owned);
    assert_eq!(found, BTreeSet::from(expected));
}
