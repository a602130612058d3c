//! A run that is ended by a signal must leave no process behind, and no file unless it is killed.
#![allow(missing_docs, reason = "a test has no public interface")]

use googletest::prelude::*;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The time-out for every condition that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The number of child processes: three core machines with two processes each, and three edges.
const PROCESSES: usize = 9;

fn wait_until<T>(description: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(started_at.elapsed() < TIMEOUT, "not in time: {description}");
        sleep(Duration::from_millis(10));
    }
}

/// Starts a run with its files in this folder and waits until all of its child processes have started. Returns the run
/// and the process ids of the children.
fn start_run(folder: &TempDir) -> (Child, Vec<u32>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_emberpin-demo"));
    let run = command
        .args(["--seconds", "60"])
        .env("TMPDIR", folder.path())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn();
    let run = run.expect("it starts");
    let children = format!("/proc/{0}/task/{0}/children", run.id());
    let processes = wait_until("its processes", || {
        let text = std::fs::read_to_string(&children).ok()?;
        let processes: Vec<u32> = text
            .split_whitespace()
            .filter_map(|id| id.parse().ok())
            .collect();
        (processes.len() == PROCESSES).then_some(processes)
    });
    (run, processes)
}

fn expect_all_ended(processes: &[u32]) {
    wait_until("the end of its processes", || {
        processes
            .iter()
            .all(|id| !Path::new(&format!("/proc/{id}")).exists())
            .then_some(())
    });
}

fn send_signal(run: &Child, signal: Signal) {
    kill(Pid::from_raw(run.id() as i32), signal).expect("a signal");
}

#[gtest]
fn a_run_that_is_interrupted_ends_its_processes() {
    for signal in [Signal::SIGINT, Signal::SIGTERM] {
        let folder = TempDir::new().expect("a folder");
        let (run, processes) = start_run(&folder);
        send_signal(&run, signal);
        let ended = run.wait_with_output().expect("it ends");
        expect_that!(ended.status.code(), some(eq(2)));
        expect_that!(
            String::from_utf8_lossy(&ended.stderr),
            eq("emberpin-demo: interrupted\n")
        );
        expect_all_ended(&processes);
        expect_that!(
            std::fs::read_dir(folder.path()).expect("listed").count(),
            eq(0)
        );
    }
}

#[gtest]
fn a_run_that_is_killed_leaves_no_processes() {
    let folder = TempDir::new().expect("a folder");
    let (mut run, processes) = start_run(&folder);
    send_signal(&run, Signal::SIGKILL);
    run.wait().expect("it ends");
    expect_all_ended(&processes);
}
