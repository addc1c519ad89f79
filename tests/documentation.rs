//! Checks that the documents mention only code that exists: files, types, functions and fields.
//! Guards against documents that a renaming left out of date.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const ROOT: &str = env!("CARGO_MANIFEST_DIR");
/// Documents that describe the current sources.
const DOCUMENTS: [&str; 5] = [
    "README.md",
    "docs/architecture.md",
    "docs/design.md",
    "docs/duty-leases.md",
    "docs/operations.md",
];
/// Directories in which the names must occur.
const SOURCES: [&str; 5] = ["src", "crates", "tests", "examples", "deploy"];
/// Names from the paper that the design follows; they do not occur in the sources.
const NAMES_FROM_THE_PAPER: [&str; 3] = ["WaitOnPermit", "minCount", "backoff_max_s"];

fn collect_files(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_files(&path, found);
        } else {
            found.push(path);
        }
    }
}

fn is_word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}

/// All words in the sources and the deploy files.
fn source_words() -> BTreeSet<String> {
    let mut paths = Vec::new();
    for directory in SOURCES {
        collect_files(&Path::new(ROOT).join(directory), &mut paths);
    }
    let mut words = BTreeSet::new();
    for path in paths {
        let stem = path.file_stem().map(|stem| stem.to_string_lossy());
        words.extend(stem.map(std::borrow::Cow::into_owned));
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        words.extend(text.split(|c| !is_word_character(c)).map(str::to_string));
    }
    words
}

/// The texts between single backticks in a document, without code blocks.
fn code_spans(document: &str) -> Vec<String> {
    let text = fs::read_to_string(Path::new(ROOT).join(document)).expect("a document");
    let prose: String = text.split("```").step_by(2).collect();
    let spans = prose.split('`').skip(1).step_by(2);
    spans.map(str::to_string).collect()
}

fn is_path(span: &str) -> bool {
    let is_plain = |c: char| is_word_character(c) || matches!(c, '/' | '.' | '-');
    let first = span.split('/').next().unwrap_or("");
    let is_rooted = SOURCES.contains(&first) || matches!(first, "docs" | "days" | ".ci");
    span.contains('/') && is_rooted && span.chars().all(is_plain)
}

/// The parts of a code name such as `module::Type::function`; `None` for other texts.
fn code_name(span: &str) -> Option<Vec<&str>> {
    let name = span.trim_end_matches("()");
    let parts: Vec<&str> = name.split("::").collect();
    let is_identifier = |part: &&str| {
        let starts_well = part.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_');
        starts_well && part.chars().all(is_word_character)
    };
    let has_inner_capital = name.chars().skip(1).any(|c| c.is_ascii_uppercase());
    let is_code = name.contains("::") || name.contains('_') || has_inner_capital;
    (is_code && parts.iter().all(is_identifier)).then_some(parts)
}

#[test]
fn names_in_the_documents_exist() {
    let words = source_words();
    let mut unknown = Vec::new();
    for document in DOCUMENTS {
        for span in code_spans(document) {
            let exists = if is_path(&span) {
                Path::new(ROOT).join(&span).exists()
            } else if let Some(parts) = code_name(&span) {
                let is_known = |part: &&str| words.contains(*part);
                parts.iter().all(is_known) || NAMES_FROM_THE_PAPER.contains(&span.as_str())
            } else {
                true
            };
            if !exists {
                unknown.push(format!("{document}: {span}"));
            }
        }
    }
    assert!(
        unknown.is_empty(),
        "the documents mention names that do not occur in the sources: {unknown:#?}"
    );
}
