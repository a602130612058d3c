//! Checks on the source files of the decisions: all are listed in the deploy file, and no function or line is too
//! long.
#![allow(missing_docs, reason = "a test has no public interface")]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Maximum length of a function in lines, so that a decision can be read at once.
const MAX_FUNCTION_LINES: usize = 100;

/// Maximum length of a line in characters. `rustfmt` keeps code shorter, but does not break strings and comments.
const MAX_LINE_WIDTH: usize = 110;

/// The length of the longest function of a file, in lines: from its `fn` to the brace at the same indentation.
fn longest_function(text: &str) -> usize {
    let lines: Vec<&str> = text.lines().collect();
    let indentation = |line: &str| line.len() - line.trim_start().len();
    let starts = |line: &&str| {
        line.trim_start()
            .split(' ')
            .take(3)
            .any(|word| word == "fn")
    };
    let length = |first: usize| {
        let end =
            |line: &&str| line.trim() == "}" && indentation(line) == indentation(lines[first]);
        lines[first..]
            .iter()
            .position(end)
            .map_or(0, |last| last + 1)
    };
    let functions = (0..lines.len()).filter(|number| starts(&lines[*number]));
    functions.map(length).max().unwrap_or(0)
}

#[test]
fn the_deploy_file_lists_all_decision_files_and_none_has_a_long_function() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read =
        |path: &str| fs::read_to_string(root.join(path)).unwrap_or_else(|e| panic!("{path}: {e}"));
    let deploy = read("deploy/balancer.toml");
    let (_, list) = deploy
        .split_once("policy = [")
        .expect("the deploy file lists the decision files");
    let (list, _) = list.split_once(']').expect("the list ends");
    let listed: BTreeSet<&str> = list.split('"').skip(1).step_by(2).collect();
    let folder = "crates/emberpin-balancer/src/decisions";
    let present = fs::read_dir(root.join(folder))
        .expect("the folder of the decision files")
        .map(|entry| {
            let name = entry.expect("readable").file_name();
            format!("{folder}/{}", name.to_str().expect("a plain name"))
        });
    let present: BTreeSet<String> = present.collect();
    assert!(
        present
            .iter()
            .map(String::as_str)
            .eq(listed.iter().copied()),
        "{present:?} but {listed:?} listed"
    );
    for path in listed {
        let text = read(path);
        let longest = longest_function(&text);
        assert!(longest > 0, "{path}: no function found");
        assert!(
            longest <= MAX_FUNCTION_LINES,
            "{path}: a function of {longest} lines"
        );
        for (number, line) in text.lines().enumerate() {
            assert!(
                line.chars().count() <= MAX_LINE_WIDTH,
                "{path}: line {} is too long",
                number + 1
            );
        }
    }
}
