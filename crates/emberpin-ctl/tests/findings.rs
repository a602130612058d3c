//! What is found in what registries say.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_ctl::findings::*;
use emberpin_ctl::status::{Instance, Limiter, Status};
use googletest::prelude::*;

const VOTERS: [&str; 3] = ["10.1.0.1", "10.2.0.1", "10.3.0.1"];

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn instance(id: &str, service: &str, zone: &str) -> Instance {
    Instance {
        id: id.into(),
        service: service.into(),
        zone: zone.into(),
        status: "up".into(),
        ..Instance::default()
    }
}

/// A registry with which all is well.
fn status(n: usize) -> Status {
    Status {
        name: format!("core-{n}"),
        settled: true,
        voters: words(&VOTERS),
        registries: words(&VOTERS),
        limiters: vec![Limiter {
            name: "edge".into(),
            zone: "umea".into(),
            behind: 0,
        }],
        instances: vec![instance("i-1", "s", "umea")],
        items: 3,
        disk: Some((80, 100)),
        disk_state: Some("writable".into()),
        clock_ms: 1_000_000,
    }
}

fn reading(n: usize, status: std::result::Result<Status, String>) -> Reading {
    Reading {
        address: format!("{}:8649", VOTERS[n]),
        status,
        at_ms: 1_000_000,
    }
}

/// Three registries, changed by their number.
fn fleet(change: impl Fn(usize, &mut Status)) -> Gathered {
    let changed = |n| {
        let mut status = status(n);
        change(n, &mut status);
        reading(n, Ok(status))
    };
    Gathered {
        readings: (0..3).map(changed).collect(),
        services: Ok(words(&["s"])),
    }
}

/// The one kind of finding there is, and that `all` has it too.
fn found(gathered: &Gathered, kind: impl Fn(&Gathered) -> Vec<Finding>) -> Vec<String> {
    let found = kind(gathered);
    expect_that!(all(gathered), eq(&found));
    for finding in &found {
        expect_that!(finding.way_out, not(eq("")));
    }
    found.into_iter().map(|finding| finding.what).collect()
}

#[gtest]
fn nothing_ails_a_fleet_that_is_well() {
    expect_that!(all(&fleet(|_, _| {})), is_empty());
}

#[gtest]
fn a_registry_that_does_not_answer_is_found() {
    let mut gathered = fleet(|_, _| {});
    gathered.readings[1] = reading(1, Err("silent for 1s".into()));
    let what = "registry 10.2.0.1:8649 gives no status: silent for 1s";
    expect_that!(found(&gathered, silent), elements_are![eq(what)]);
}

#[gtest]
fn a_registry_that_is_not_settled_is_found() {
    let gathered = fleet(|n, status| status.settled = n != 2);
    expect_that!(
        found(&gathered, unsettled),
        elements_are![eq("registry 10.3.0.1:8649 (core-2) is not settled")]
    );
}

#[gtest]
fn registries_that_name_other_voters_are_found() {
    let gathered = fleet(|n, status| {
        if n == 0 {
            status.voters[0] = "10.1.0.9".into();
        }
    });
    let what =
        "the registries disagree on who votes: 10.1.0.1 10.2.0.1 10.3.0.1 by 10.2.0.1:8649 10.3.0.1:8649; \
                10.1.0.9 10.2.0.1 10.3.0.1 by 10.1.0.1:8649";
    expect_that!(found(&gathered, disagreement), elements_are![eq(what)]);
}

#[gtest]
fn too_few_voters_and_even_numbers_are_found() {
    let with = |count: usize| {
        fleet(move |_, status| status.voters = (0..count).map(|n| format!("10.0.0.{n}")).collect())
    };
    for (count, what) in [
        (0, Some("0 voters: none of them can be lost")),
        (1, Some("1 voters: none of them can be lost")),
        (2, Some("2 voters: none of them can be lost")),
        (3, None),
        (4, Some("4 voters bear no more losses than 3 would")),
        (5, None),
        (6, Some("6 voters bear no more losses than 5 would")),
    ] {
        let found = found(&with(count), voters);
        expect_that!(
            found.iter().map(String::as_str).collect::<Vec<_>>(),
            eq(&Vec::from_iter(what)),
            "{count}"
        );
    }
}

#[gtest]
fn a_zone_without_a_limiter_in_session_is_found() {
    let gathered = fleet(|_, status| status.instances.push(instance("i-2", "s", "lulea")));
    expect_that!(
        found(&gathered, zones),
        elements_are![eq("no limiter of zone lulea is in session")]
    );
    let one_knows = fleet(|n, status| {
        status.instances.push(instance("i-2", "s", "lulea"));
        if n == 1 {
            status.limiters.push(Limiter {
                name: "edge-2".into(),
                zone: "lulea".into(),
                behind: 0,
            });
        }
    });
    expect_that!(all(&one_knows), is_empty());
}

#[gtest]
fn a_service_without_a_living_server_is_found() {
    let mut gathered = fleet(|_, status| {
        status.instances.push(Instance {
            status: "drain".into(),
            ..instance("i-2", "t", "umea")
        });
    });
    expect_that!(all(&gathered), is_empty());
    gathered.services = Ok(words(&["s", "t", "u"]));
    expect_that!(
        found(&gathered, services),
        elements_are![
            eq("service t has no living server"),
            eq("service u has no living server")
        ]
    );
    gathered.services = Err("silent".into());
    expect_that!(
        found(&gathered, services),
        elements_are![eq("the configuration cannot be read: silent")]
    );
}

#[gtest]
fn a_life_that_only_one_registry_knows_is_found() {
    let gathered = fleet(|n, status| match n {
        0 => {
            status.instances.push(instance("i-2", "s", "umea"));
            status.instances.push(instance("i-2", "s", "umea"));
        }
        1 => status.instances.push(instance("i-3", "s", "umea")),
        _ => status.instances.push(instance("i-3", "s", "umea")),
    });
    expect_that!(
        found(&gathered, lone_lives),
        elements_are![eq("only registry 10.1.0.1:8649 knows server i-2")]
    );
    let mut alone = fleet(|_, _| {});
    alone.readings.truncate(1);
    expect_that!(all(&alone), is_empty());
}

#[gtest]
fn clocks_that_are_apart_are_found() {
    let mut gathered = fleet(|n, status| status.clock_ms += [0, 400, 1000][n]);
    expect_that!(all(&gathered), is_empty());
    gathered.readings[0].at_ms += 1;
    let what = "the clock of registry 10.3.0.1:8649 is 1001 ms ahead of that of 10.1.0.1:8649";
    expect_that!(found(&gathered, clocks), elements_are![eq(what)]);
    // All of them apart from ours is our fault.
    for reading in &mut gathered.readings {
        reading.at_ms = 0;
    }
    expect_that!(all(&gathered), is_empty());
    let absurd = fleet(|n, status| status.clock_ms = [0, u64::MAX, 7][n]);
    expect_that!(clocks(&absurd).len(), eq(1));
}

#[gtest]
fn disks_that_are_nearly_full_are_found() {
    let gathered =
        fleet(|n, status| status.disk = [None, Some((81, 100)), Some((u64::MAX / 2, u64::MAX))][n]);
    let what = "registry 10.2.0.1:8649 has used 81 of the 100 bytes of its disk";
    expect_that!(found(&gathered, disks), elements_are![eq(what)]);
}

#[gtest]
fn disks_that_take_no_changes_are_found() {
    let gathered = fleet(|n, status| {
        status.disk_state = [None, Some("full".into()), Some("writable".into())][n].clone();
    });
    let what = "the disk of the store beside registry 10.2.0.1:8649 is full";
    expect_that!(found(&gathered, disk_states), elements_are![eq(what)]);
}
