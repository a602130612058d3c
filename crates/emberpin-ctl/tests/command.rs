//! What command lines ask for, and which are refused.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_config::ItemKind;
use emberpin_ctl::command::{Command, Order, Usage};
use googletest::prelude::*;

fn read(line: &str) -> std::result::Result<Command, Usage> {
    Command::read(line.split_whitespace().map(str::to_owned))
}

#[gtest]
fn command_lines_are_read() {
    let at = || vec!["10.0.0.1:8649".to_owned(), "[::1]:9".to_owned()];
    let patch = |dry_run| Order::Patch {
        file: "f.json".into(),
        dry_run,
    };
    for (line, order) in [
        ("get", Order::Get),
        ("patch f.json", patch(false)),
        ("patch --dry-run f.json", patch(true)),
        (
            "drop route r-1 9",
            Order::Drop {
                kind: ItemKind::Route,
                name: "r-1".into(),
                ver: 9,
            },
        ),
        (
            "drop service s 9",
            Order::Drop {
                kind: ItemKind::Service,
                name: "s".into(),
                ver: 9,
            },
        ),
        (
            "evacuate umea-hall_1.b",
            Order::Evacuate("umea-hall_1.b".into()),
        ),
        ("return umea", Order::Return("umea".into())),
        ("members", Order::Members),
        ("doctor", Order::Doctor),
    ] {
        expect_that!(
            read(&format!("--at 10.0.0.1:8649,[::1]:9 {line}")),
            ok(eq(&Command { at: at(), order }))
        );
    }
    expect_that!(
        read("patch f.json --dry-run"),
        ok(eq(&Command {
            at: vec![],
            order: patch(true)
        }))
    );
    expect_that!(
        read("--help"),
        ok(eq(&Command {
            at: vec![],
            order: Order::Help
        }))
    );
}

#[gtest]
fn wrong_command_lines_are_refused() {
    let command = |words: &str| Usage(format!("not a command: {words}"));
    for (line, wrong) in [
        ("--at a:1", command("")),
        ("--at a:1 got", command("got")),
        ("--at a:1 get it", command("get it")),
        ("--at a:1 patch", command("patch")),
        ("--at a:1 drop zone z 1", command("drop zone z 1")),
        ("--at a:1 drop route r", command("drop route r")),
        ("--at a:1 drop route r -- -1", command("drop route r -1")),
        ("--at a:1 drop route r 1.5", command("drop route r 1.5")),
        ("--at a:1 evacuate a/b", command("evacuate a/b")),
        ("--at a:1 evacuate ..", command("evacuate ..")),
        ("--at a:1 return a?b", command("return a?b")),
        ("get", Usage("--at is missing".into())),
        ("patch f.json", Usage("--at is missing".into())),
        ("--at a get", Usage("not an address: a".into())),
        ("--at :1 get", Usage("not an address: :1".into())),
        ("--at a:0 get", Usage("not an address: a:0".into())),
        ("--at a:99999 get", Usage("not an address: a:99999".into())),
        ("--at a:1,,b:2 get", Usage("not an address: ".into())),
        (
            "--at a:1 --dry-run get",
            Usage("only patch has a --dry-run".into()),
        ),
    ] {
        expect_that!(read(line), err(eq(&wrong)), "{line}");
    }
    let empty_zone = Command::read(["--at", "a:1", "evacuate", ""].map(str::to_owned));
    expect_that!(empty_zone, err(eq(&command("evacuate "))));
    expect_that!(
        read("--in a:1 get"),
        err(eq(&Usage("Unrecognized option: 'in'".into())))
    );
    expect_that!(
        read("get --at"),
        err(eq(&Usage("Argument to option 'at' missing".into())))
    );
}
