//! The program's command line: which arguments and files it rejects, and with which exit status.
#![allow(missing_docs, reason = "a test has no public interface")]

use std::process::{Command, Output};

fn emberpin(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_emberpin"));
    command
        .args(arguments)
        .env_remove("GW_CONFIG")
        .output()
        .expect("runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_shipped_operator_files_are_valid_and_state_the_defaults() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");
    let file = format!("{folder}/connections.toml");
    let (with, without) = (emberpin(&["check", "--with", &file]), emberpin(&["check"]));
    assert_eq!(
        (with.status.code(), without.status.code()),
        (Some(0), Some(0))
    );
    assert_eq!(text(&with.stdout), text(&without.stdout));
    assert!(
        text(&with.stdout).contains("leaving_ms = 700 ms"),
        "{}",
        text(&with.stdout)
    );
    let (keys, log) = (
        format!("{folder}/idempotency.toml"),
        format!("{folder}/log.toml"),
    );
    let all = emberpin(&["check", "--with", &keys, "--with", &log]);
    assert_eq!(all.status.code(), Some(0), "{}", text(&all.stderr));
    assert!(
        text(&all.stdout).contains("folder = /var/lib/emberpin/{name}"),
        "{}",
        text(&all.stdout)
    );
}

#[test]
fn the_check_of_an_invalid_file_names_the_place_and_exits_with_2() {
    let path = std::env::temp_dir().join(format!("emberpin-command-{}.toml", std::process::id()));
    std::fs::write(&path, "[connections]\nclient_share = 7\n").expect("written");
    let file = path.to_str().expect("text");
    let checked = emberpin(&["check", "--with", file]);
    let started = emberpin(&["--with", file]);
    std::fs::remove_file(&path).expect("removed");
    assert_eq!(
        (checked.status.code(), started.status.code()),
        (Some(2), Some(1))
    );
    let expected =
        format!("emberpin: {file}:2:16: found 7, expected 0.1 to 0.9 of the descriptors\n");
    assert_eq!(text(&checked.stderr), expected);
    assert_eq!(text(&started.stderr), expected);
    let missing = emberpin(&["check", "--with", file]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(text(&missing.stderr).starts_with(&format!("emberpin: cannot read {file}: ")));
}

#[test]
fn callers_without_a_link_or_out_of_bounds_are_rejected_and_the_place_is_named() {
    let path = std::env::temp_dir().join(format!("emberpin-callers-{}.toml", std::process::id()));
    let file = path.to_str().expect("text");
    for (callers, problem) in [
        ("3", ": [start] callers forward the list over the link, and [link] is not set: set it, or leave callers out\n"),
        ("0", ":2:11: found 0, expected 1 to 100 limiters\n"),
    ] {
        std::fs::write(&path, format!("[start]\ncallers = {callers}\n")).expect("written");
        let checked = emberpin(&["check", "--with", file]);
        std::fs::remove_file(&path).expect("removed");
        assert_eq!(checked.status.code(), Some(2));
        assert_eq!(text(&checked.stderr), format!("emberpin: {file}{problem}"));
    }
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");
    let shipped = emberpin(&["check", "--with", &format!("{folder}/start.toml")]);
    assert_eq!(shipped.status.code(), Some(0), "{}", text(&shipped.stderr));
    assert!(
        text(&shipped.stdout).contains("callers not set"),
        "{}",
        text(&shipped.stdout)
    );
}

#[test]
fn help_and_version_succeed_and_unknown_arguments_fail() {
    assert_eq!(emberpin(&["--help"]).status.code(), Some(0));
    assert!(text(&emberpin(&["--version"]).stdout).starts_with("emberpin "));
    assert_eq!(emberpin(&["--without"]).status.code(), Some(2));
    assert_eq!(
        emberpin(&[]).status.code(),
        Some(1),
        "without arguments it needs the platform's file"
    );
}
