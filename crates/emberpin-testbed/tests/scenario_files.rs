//! Scenario files: the contents of error messages, and the validity of the shipped scenarios.

use emberpin_testbed::scenario::{Fault, Scenario, TimedFault};
use emberpin_testbed::trace::SECOND;
use std::path::Path;

const HEAD: &str = "name = \"t\"\nabout = \"t\"\nseed = 1\nseconds = 2\n";

#[test]
fn errors_name_the_position_the_found_value_and_the_expected_one() {
    let cases = [
        (
            "[site]\nlimiters = 0",
            "t.toml:5:1: found limiters = 0, expected 1 to 400",
        ),
        (
            "[site]\nserver = 3",
            "t.toml:6:1: unknown field `server`, expected one of",
        ),
        (
            "[load]\nsubmit = 1.5",
            "t.toml:5:1: found submit = 1.5, expected 0 to 1",
        ),
        (
            "[load]\npatience = [0.9, 0.1]",
            "t.toml:5:1: found patience = [0.9, 0.1], expected the second",
        ),
        (
            "[[fault]]\nat_s = 1\nwhat = \"meteor\"",
            "t.toml:7:8: unknown variant `meteor`, expected one of",
        ),
        (
            "[[fault]]\nat_s = 1\nwhat = \"rush\"\ntimes = 2",
            "t.toml:5:1: expected for_s",
        ),
        (
            "[[fault]]\nat_s = 1\nwhat = \"server-moved\"\nserver = 9",
            "t.toml:5:1: found server = 9, expected 0 to 8",
        ),
        (
            "[[fault]]\nat_s = 1\nwhat = \"server-moved\"\nserver = 1\nshare = 0.5",
            "t.toml:5:1: found share, which this fault does not use: remove it",
        ),
        (
            "[[fault]]\nat_s = 1\nwhat = \"firm-hammers\"\nplan = \"gold\"\ntimes = 2\nfor_s = 1",
            "t.toml:5:1: found plan = \"gold\", expected one of bas, mellan, stor",
        ),
        ("seconds = 3", "t.toml:5:1: duplicate key"),
    ];
    for (text, expected) in cases {
        let error = Scenario::parse("t.toml", &format!("{HEAD}{text}")).expect_err(text);
        let problem = error.to_string();
        assert!(problem.starts_with(expected), "{text:?}: {problem}");
        assert!(!problem.contains('\n'), "{problem:?}");
    }
    let too_long = HEAD.replace("seconds = 2", "seconds = 1e9");
    let error = Scenario::parse("t.toml", &too_long).expect_err("a run that is too long");
    assert_eq!(
        error.to_string(),
        "t.toml:4:11: found seconds = 1000000000, expected 0.1 to 7200"
    );
    assert!(Scenario::parse("t.toml", &HEAD.replace("seconds = 2", "seconds = nan")).is_err());
}

#[test]
fn a_rolling_deploy_replaces_one_server_after_the_other() {
    let text = format!("{HEAD}[[fault]]\nat_s = 1\nwhat = \"servers-rolled\"\nevery_s = 0.5");
    let scenario = Scenario::parse("t.toml", &text).expect("a valid scenario");
    assert_eq!(scenario.faults.len(), 9);
    assert_eq!(
        scenario.faults[8],
        TimedFault {
            at: 5 * SECOND,
            fault: Fault::ServerReplaced { server: 8 }
        }
    );
}

#[test]
fn every_shipped_scenario_is_valid_and_described() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let scenario = Scenario::read(&path).expect("a valid scenario");
        assert!(scenario.about.len() > 20, "{}", path.display());
        assert_eq!(
            path.file_stem().and_then(|s| s.to_str()),
            Some(scenario.name.as_str())
        );
        count += 1;
    }
    assert!(count >= 12, "{count} scenarios");
}
