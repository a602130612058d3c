//! Parsing of valid and invalid arguments.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_config::ItemKind;
use emberpin_ctl::command_line::{Command, CommandLine, UsageError};
use googletest::prelude::*;

fn parse(line: &str) -> std::result::Result<CommandLine, UsageError> {
    CommandLine::parse(line.split_whitespace().map(str::to_owned))
}

#[gtest]
fn every_command_is_parsed() {
    let addresses = || vec!["10.0.0.1:8649".to_owned(), "[::1]:9".to_owned()];
    let patch = |dry_run| Command::Patch {
        file: "f.json".into(),
        dry_run,
    };
    for (line, command) in [
        ("get", Command::Get),
        ("patch f.json", patch(false)),
        ("patch --dry-run f.json", patch(true)),
        (
            "drop route r-1 9",
            Command::Drop {
                kind: ItemKind::Route,
                name: "r-1".into(),
                version: 9,
            },
        ),
        (
            "drop service s 9",
            Command::Drop {
                kind: ItemKind::Service,
                name: "s".into(),
                version: 9,
            },
        ),
        (
            "evacuate umea-hall_1.b",
            Command::Evacuate("umea-hall_1.b".into()),
        ),
        ("return umea", Command::Return("umea".into())),
        ("lock list", Command::ListLocks),
        ("lock show l/1", Command::ShowLock("l/1".into())),
        ("lock release l1f", Command::ReleaseLock("l1f".into())),
        ("cell get g1.2d", Command::GetCell("g1.2d".into())),
        ("number next n2", Command::NextNumber("n2".into())),
        ("members", Command::Members),
        ("doctor", Command::Doctor),
    ] {
        expect_that!(
            parse(&format!("--at 10.0.0.1:8649,[::1]:9 {line}")),
            ok(eq(&CommandLine {
                addresses: addresses(),
                command
            }))
        );
    }
    expect_that!(
        parse("patch f.json --dry-run"),
        ok(eq(&CommandLine {
            addresses: vec![],
            command: patch(true)
        }))
    );
    expect_that!(
        parse("--help"),
        ok(eq(&CommandLine {
            addresses: vec![],
            command: Command::Help
        }))
    );
}

#[gtest]
fn invalid_command_lines_are_rejected() {
    let unknown = |words: &str| UsageError::UnknownCommand(words.into());
    let invalid = |address: &str| UsageError::InvalidAddress(address.into());
    for (line, error) in [
        ("--at a:1", unknown("")),
        ("--at a:1 got", unknown("got")),
        ("--at a:1 get it", unknown("get it")),
        ("--at a:1 patch", unknown("patch")),
        ("--at a:1 drop zone z 1", unknown("drop zone z 1")),
        ("--at a:1 drop route r", unknown("drop route r")),
        ("--at a:1 drop route r -- -1", unknown("drop route r -1")),
        ("--at a:1 drop route r 1.5", unknown("drop route r 1.5")),
        ("--at a:1 evacuate a/b", unknown("evacuate a/b")),
        ("--at a:1 evacuate ..", unknown("evacuate ..")),
        ("--at a:1 return a?b", unknown("return a?b")),
        ("--at a:1 lock", unknown("lock")),
        ("--at a:1 lock list l", unknown("lock list l")),
        ("--at a:1 lock release", unknown("lock release")),
        ("--at a:1 lock release ..", unknown("lock release ..")),
        ("--at a:1 lock show l 7", unknown("lock show l 7")),
        ("--at a:1 cell put c", unknown("cell put c")),
        ("--at a:1 number n", unknown("number n")),
        ("get", UsageError::MissingAddresses),
        ("patch f.json", UsageError::MissingAddresses),
        ("--at a get", invalid("a")),
        ("--at :1 get", invalid(":1")),
        ("--at a:0 get", invalid("a:0")),
        ("--at a:99999 get", invalid("a:99999")),
        ("--at a:1,,b:2 get", invalid("")),
        ("--at a:1 --dry-run get", UsageError::DryRunWithoutPatch),
    ] {
        expect_that!(parse(line), err(eq(&error)), "{line}");
    }
    let empty_zone = CommandLine::parse(["--at", "a:1", "evacuate", ""].map(str::to_owned));
    expect_that!(empty_zone, err(eq(&unknown("evacuate "))));
    let long = "n".repeat(129);
    expect_that!(
        parse(&format!("--at a:1 number next {long}")),
        err(eq(&unknown(&format!("number next {long}"))))
    );
    expect_that!(
        parse("--in a:1 get"),
        err(displays_as(eq("Unrecognized option: 'in'")))
    );
    expect_that!(
        parse("get --at"),
        err(displays_as(eq("Argument to option 'at' missing")))
    );
}
