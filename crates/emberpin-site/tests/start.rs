//! Starts of many limiters at once, each a process of its own, between stand-ins that have just started too.
#![allow(missing_docs)]

use emberpin_site::process::Program;
use emberpin_site::report::{stories, Summary};
use emberpin_site::scenario::Scenario;
use emberpin_site::site::{run, Outcome};
use emberpin_site::trace::What;

fn play(text: &str, seed: u64) -> Outcome {
    let head = format!("name = \"t\"\nabout = \"A test's own site.\"\nseed = {seed}\n");
    let scenario = Scenario::parse("test", &format!("{head}{text}")).expect("sound");
    let program = Program {
        path: env!("CARGO_BIN_EXE_emberpin-site").into(),
        arguments: vec!["limiter".into()],
        logs: false,
        links: false,
    };
    run(&scenario, &program, |_| ()).unwrap_or_else(|e| panic!("seed {seed}: {e}"))
}

#[track_caller]
fn holds(outcome: &Outcome) {
    assert!(!outcome.judgement.is_broken(), "seed {}:{}", outcome.scenario.seed, stories(&outcome.judgement));
}

/// Once nothing was served before the first server was warm: what cold ones may get was a part of what warm ones
/// were seen to carry.
#[test]
fn limiters_that_start_with_servers_that_are_all_cold_serve_at_once() {
    for seed in [5, 6] {
        let text = "seconds = 5\n[site]\nwarm_s = 20\ncold = true\nnotice_ms = [1, 20]\n[load]\nrate = 20\nusage = 0.3\n";
        let outcome = play(text, seed);
        holds(&outcome);
        let cold = outcome.events.iter().filter(|e| matches!(e.what, What::ServerUp { warm_after: 1.., .. }));
        assert_eq!(cold.count(), 9, "all servers were cold, and none fell");
        let total = Summary::of(&outcome).total;
        assert!(total.in_time * 10 >= total.asked * 7, "seed {seed}: {total:?}");
    }
}
