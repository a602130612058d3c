//! Checks that the documentation refers only to what exists: the targets of links, source files and folders, the types,
//! constants and functions that the architecture page and the glossary name, and the log lines of the operators' page.

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The pages whose types, constants and functions must be defined in the code.
const PAGES_THAT_NAME_CODE: [&str; 2] = ["docs/ARCHITECTURE.md", "docs/GLOSSARY.md"];
/// Names in code spans that are defined in the standard library or in dependencies.
const FOREIGN_NAMES: [&str; 5] = ["Duration", "Instant", "TcpListener", "Result", "Option"];
/// A code span that begins with one of these is a path from the root of the repository.
const TOP_FOLDERS: [&str; 3] = ["crates/", "docs/", "deploy/"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All files below a folder, as paths from the root, separated by slashes.
fn files_below(folder: &str) -> Vec<String> {
    let mut files = Vec::new();
    for entry in fs::read_dir(root().join(folder)).expect("a folder") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().into_string().expect("a name in UTF-8");
        let path = format!("{folder}/{name}");
        if entry.file_type().expect("a type").is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The paths of all pages: the README files and the pages below `docs`.
fn pages() -> Vec<String> {
    let mut pages = files_below("docs");
    pages.push("README.md".into());
    let readme = files_below("crates");
    pages.extend(readme.into_iter().filter(|path| path.ends_with(".md")));
    pages.retain(|path| path.ends_with(".md"));
    pages
}

/// The text of a page without its fenced and indented blocks, which contain drawings and examples.
fn prose(page: &str) -> String {
    let mut fenced = false;
    let mut prose = String::new();
    for line in page.lines() {
        if line.trim_start().starts_with("```") {
            fenced = !fenced;
        } else if !fenced && !line.starts_with("    ") {
            prose.push_str(line);
            prose.push('\n');
        }
    }
    prose
}

/// The targets of the links of a page, without anchors, except those to other sites or within the page.
fn link_targets(page: &str) -> Vec<String> {
    let ends = page.split("](").skip(1);
    let targets = ends.filter_map(|rest| rest.split_once(')').map(|(target, _)| target));
    let files = targets.filter(|target| !target.starts_with('#') && !target.contains("://"));
    let path = |target: &str| target.split('#').next().unwrap_or_default().to_owned();
    files.map(path).collect()
}

/// The code spans of a page: the texts between single backticks.
fn code_spans(page: &str) -> Vec<String> {
    let spans = page
        .lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2));
    spans.map(str::to_owned).collect()
}

/// Whether a code span is the path of a source file, or a path from the root.
fn is_path(span: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_-./".contains(c);
    let from_root = TOP_FOLDERS.iter().any(|folder| span.starts_with(folder));
    span.chars().all(plain) && (from_root || span.ends_with(".rs"))
}

/// Whether a path in a page names one of the files, or a folder that contains one of them.
fn exists(path: &str, files: &[String]) -> bool {
    let path = path.trim_end_matches('/');
    let below = format!("{path}/");
    let within = format!("/{path}");
    files
        .iter()
        .any(|file| file == path || file.starts_with(&below) || file.ends_with(&within))
}

/// Every word of the code in `src` folders, without comment lines. Any of them can be a name.
fn words_of_the_code() -> BTreeSet<String> {
    let sources = files_below("crates");
    let sources = sources
        .iter()
        .filter(|path| path.ends_with(".rs") && path.contains("/src/"));
    let mut words = BTreeSet::new();
    for path in sources {
        let text = read(path);
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        let is_separator = |c: char| !c.is_alphanumeric() && c != '_';
        words.extend(
            code.flat_map(|line| line.split(is_separator))
                .map(str::to_owned),
        );
    }
    words
}

/// The names in a code span that has the form `Type`, `Type::method`, `CONSTANT_NAME` or `function()`; none for any
/// other form.
fn names(span: &str) -> Vec<String> {
    let called = span.ends_with("()");
    let path = span.trim_end_matches("()");
    let is_identifier = |part: &str| {
        !part.is_empty() && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    let parts: Vec<&str> = path.split("::").collect();
    if !parts.iter().all(|part| is_identifier(part)) {
        return Vec::new();
    }
    let first = parts[0];
    let camel_case = first.starts_with(|c: char| c.is_ascii_uppercase())
        && first.contains(|c: char| c.is_ascii_lowercase());
    let constant = first.contains('_') && !first.contains(|c: char| c.is_ascii_lowercase());
    if called || camel_case || constant || parts.len() > 1 {
        parts.into_iter().map(str::to_owned).collect()
    } else {
        Vec::new()
    }
}

/// Log lines of the page whose sentence is not in the code, because a dependency or the operating system words it.
const FOREIGN_LOG_LINES: [&str; 1] = ["storage engine"];

/// The sentence of a log line, without its fields, from a table row of the page on logs:
/// `| level | `sentence: field=…` | … |`.
fn logged_sentence(row: &str) -> Option<&str> {
    let mut cells = row.split(" | ");
    let level = cells.next()?.trim_start_matches("| ");
    if !["error", "warn", "info", "debug"].contains(&level) {
        return None;
    }
    let line = cells.next()?.trim_matches('`');
    line.split([':', '=', '…']).next()
}

/// All sources in `src` folders as one text, in which strings that are continued on the next line are joined.
fn sources() -> String {
    let paths = files_below("crates");
    let sources = paths
        .iter()
        .filter(|path| path.ends_with(".rs") && path.contains("/src/"));
    let mut text = String::new();
    for line in sources.map(|path| read(path)).collect::<String>().lines() {
        match line.strip_suffix('\\') {
            Some(continued) => text.push_str(continued.trim_start()),
            None => {
                text.push_str(line.trim_start());
                text.push('\n');
            }
        }
    }
    text
}

#[gtest]
fn each_log_line_of_the_operators_page_is_in_the_code() {
    let sources = sources();
    let page = read("docs/operators/logs.md");
    let sentences = page.lines().filter_map(logged_sentence);
    let ours = sentences.filter(|sentence| !FOREIGN_LOG_LINES.contains(sentence));
    let mut checked = 0;
    for sentence in ours {
        expect_that!(
            sources.contains(sentence),
            eq(true),
            "the page has: {sentence}"
        );
        checked += 1;
    }
    expect_that!(checked, gt(20), "lines were found at all");
}

#[gtest]
fn each_link_of_a_page_leads_to_a_file() {
    let mut checked = 0;
    for page in pages() {
        let folder = root().join(&page);
        let folder = folder.parent().expect("a folder");
        for target in link_targets(&prose(&read(&page))) {
            expect_that!(
                folder.join(&target).exists(),
                eq(true),
                "{page} links to {target}"
            );
            checked += 1;
        }
    }
    expect_that!(checked, gt(100), "links were found at all");
}

#[gtest]
fn each_path_that_a_page_names_exists() {
    let mut files = files_below("crates");
    files.extend(files_below("docs"));
    files.extend(files_below("deploy"));
    let mut checked = 0;
    for page in pages() {
        for span in code_spans(&prose(&read(&page)))
            .iter()
            .filter(|span| is_path(span))
        {
            expect_that!(exists(span, &files), eq(true), "{page} names {span}");
            checked += 1;
        }
    }
    expect_that!(checked, gt(100), "paths were found at all");
}

#[gtest]
fn each_name_of_the_code_on_the_architecture_page_and_in_the_glossary_is_defined() {
    let defined = words_of_the_code();
    let mut checked = 0;
    for page in PAGES_THAT_NAME_CODE {
        let spans = code_spans(&prose(&read(page)));
        for name in spans.iter().flat_map(|span| names(span)) {
            let known = defined.contains(&name) || FOREIGN_NAMES.contains(&name.as_str());
            expect_that!(known, eq(true), "{page} names {name}");
            checked += 1;
        }
    }
    expect_that!(checked, gt(30), "names were found at all");
}
