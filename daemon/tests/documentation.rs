//! Checks that the files, folders and tests named on the architecture page exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Path of the architecture page, relative to the root of the workspace.
const PAGE: &str = "docs/ARCHITECTURE.md";

/// Extensions by which a code span is recognized as a file.
const FILE_ENDINGS: [&str; 4] = [".rs", ".md", ".json", ".toml"];

/// Minimum number of words in a code span that counts as a test name.
const MIN_TEST_NAME_WORDS: usize = 4;

/// Returns the root of the workspace, to which paths on the page are relative.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("the daemon's package is in the workspace's folder")
        .to_owned()
}

/// Returns the code spans of a page, without those in code blocks.
fn code_spans(page: &str) -> Vec<String> {
    let mut spans = Vec::new();
    let mut is_block = false;
    for line in page.lines() {
        if line.trim_start().starts_with("```") {
            is_block = !is_block;
            continue;
        }
        if is_block {
            continue;
        }
        assert!(
            line.matches('`').count() % 2 == 0,
            "a code span is not closed in its line: {line}"
        );
        let inside = line.split('`').skip(1).step_by(2);
        spans.extend(inside.map(str::to_owned));
    }
    spans
}

/// Returns whether a code span names a file or folder. A span with a space is a command.
fn is_path(span: &str) -> bool {
    let has_ending = FILE_ENDINGS.iter().any(|ending| span.ends_with(ending));
    !span.contains(' ') && (span.ends_with('/') || has_ending)
}

/// Returns whether a code span is a test name, which is a sentence in snake case.
fn is_test_name(span: &str) -> bool {
    let is_word = |word: &str| {
        !word.is_empty()
            && word
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit())
    };
    let words: Vec<&str> = span.split('_').collect();
    words.len() >= MIN_TEST_NAME_WORDS && words.iter().all(|word| is_word(word))
}

/// Returns whether a path exists, as a folder if it ends in a slash and as a file otherwise.
fn exists(root: &Path, path: &str) -> bool {
    let found = root.join(path);
    if path.ends_with('/') {
        found.is_dir()
    } else {
        found.is_file()
    }
}

/// Adds the names of all test functions in the text of a Rust file.
fn add_tests_of_file(text: &str, tests: &mut BTreeSet<String>) {
    let mut is_marked = false;
    for line in text.lines().map(str::trim) {
        if line == "#[test]" {
            is_marked = true;
        } else if let Some(rest) = line.strip_prefix("fn ").filter(|_| is_marked) {
            let name: String = rest
                .chars()
                .take_while(|c| c.is_alphanumeric() || *c == '_')
                .collect();
            tests.insert(name);
            is_marked = false;
        }
    }
}

/// Adds the tests of all Rust files under a folder, recursively.
fn add_tests_under(folder: &Path, tests: &mut BTreeSet<String>) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries {
        let path = entry.expect("the folder can be read").path();
        if path.is_dir() {
            add_tests_under(&path, tests);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            let text = fs::read_to_string(&path).expect("the file can be read");
            add_tests_of_file(&text, tests);
        }
    }
}

/// Returns the names of all tests under `tests` and under each package's `tests`.
fn tests_of_workspace(root: &Path) -> BTreeSet<String> {
    let mut tests = BTreeSet::new();
    add_tests_under(&root.join("tests"), &mut tests);
    for entry in fs::read_dir(root).expect("the workspace can be read") {
        let package = entry.expect("the workspace can be read").path();
        if package.join("Cargo.toml").is_file() {
            add_tests_under(&package.join("tests"), &mut tests);
        }
    }
    tests
}

/// Returns the code spans of the architecture page.
fn spans_of_page(root: &Path) -> Vec<String> {
    let page = fs::read_to_string(root.join(PAGE)).expect("the page can be read");
    code_spans(&page)
}

#[test]
fn the_architecture_page_names_only_files_and_folders_that_exist() {
    let root = root();
    let spans = spans_of_page(&root);
    let paths: Vec<&String> = spans.iter().filter(|span| is_path(span)).collect();
    assert!(paths.len() >= 50, "the page names {} paths", paths.len());
    let missing: Vec<&&String> = paths.iter().filter(|path| !exists(&root, path)).collect();
    assert!(missing.is_empty(), "{PAGE} names {missing:#?}");
}

#[test]
fn the_architecture_page_names_only_tests_that_exist() {
    let root = root();
    let spans = spans_of_page(&root);
    let names: Vec<&String> = spans.iter().filter(|span| is_test_name(span)).collect();
    assert!(names.len() >= 20, "the page names {} tests", names.len());
    let tests = tests_of_workspace(&root);
    let missing: Vec<&&String> = names
        .iter()
        .filter(|name| !tests.contains(**name))
        .collect();
    assert!(missing.is_empty(), "{PAGE} names {missing:#?}");
}

#[test]
fn paths_and_test_names_are_distinguished_from_other_code_spans() {
    let page = "`src/lib.rs` and `docs/`, not `a b.rs` or `Router`, but `one_final_answer_each`\n\
        ```\n`in/a/block.rs`\n```\n`bus_again_us`";
    let spans = code_spans(page);
    let of = |kind: fn(&str) -> bool| -> Vec<&str> {
        let matching = spans.iter().filter(|span| kind(span));
        matching.map(String::as_str).collect()
    };
    assert_eq!(of(is_path), ["src/lib.rs", "docs/"]);
    assert_eq!(of(is_test_name), ["one_final_answer_each"]);
}
