//! The checks of `doctor`: each must find its problem in the reports of the registries, and no check may report a
//! healthy fleet.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_ctl::checks::{
    check_all, clock_skew, disk_usage, disks_without_writes, instances_known_to_one_registry,
    services_without_server, stuck_locks, unreachable_registries, unreadable_locks,
    unsettled_registries, voter_count, voter_disagreement, zones_without_proxy, Finding,
};
use emberpin_ctl::client::{AttemptError, CallError};
use emberpin_ctl::fleet::{FleetReport, RegistryReport, StatusError};
use emberpin_ctl::locks::HeldLock;
use emberpin_ctl::status::{Disk, Instance, ProxySession, Status};
use googletest::prelude::*;
use std::time::Duration;

/// The clock of every machine, as time since the Unix epoch.
const NOW: Duration = Duration::from_secs(1_000);
const VOTERS: [&str; 3] = ["10.1.0.1", "10.2.0.1", "10.3.0.1"];

fn texts(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
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

/// The status of the healthy registry of this index.
fn healthy_status(n: usize) -> Status {
    Status {
        name: format!("core-{n}"),
        settled: true,
        voters: texts(&VOTERS),
        registries: texts(&VOTERS),
        proxy_sessions: vec![ProxySession {
            name: "edge".into(),
            zone: "umea".into(),
            changes_behind: 0,
        }],
        instances: vec![instance("i-1", "s", "umea")],
        items: 3,
        disk: Some(disk(80, 100)),
        clock: NOW,
    }
}

fn disk(used_bytes: u64, limit_bytes: u64) -> Disk {
    Disk {
        used_bytes,
        limit_bytes,
        state: Some("writable".into()),
    }
}

fn report(n: usize, status: std::result::Result<Status, StatusError>) -> RegistryReport {
    RegistryReport {
        address: format!("{}:8649", VOTERS[n]),
        status,
        received_at: NOW,
    }
}

/// Three healthy registries, of which `change` modifies each by its index.
fn fleet(change: impl Fn(usize, &mut Status)) -> FleetReport {
    let changed = |n| {
        let mut status = healthy_status(n);
        change(n, &mut status);
        report(n, Ok(status))
    };
    FleetReport {
        registries: (0..3).map(changed).collect(),
        services: Ok(texts(&["s"])),
        locks: Ok(Some(vec![lock(Duration::from_secs(36))])),
    }
}

/// A lock with a lease of 3 s, which was renewed this long ago.
fn lock(min_renewal_age: Duration) -> HeldLock {
    HeldLock {
        name: "l".into(),
        owner: "a3.7".into(),
        fencing_token: 41,
        lease: Duration::from_secs(3),
        min_renewal_age,
    }
}

/// The problems that `check` finds. Expects that the other checks find none, and that each finding has a remedy.
fn found(fleet: &FleetReport, check: impl Fn(&FleetReport) -> Vec<Finding>) -> Vec<String> {
    let found = check(fleet);
    expect_that!(check_all(fleet), eq(&found));
    for finding in &found {
        expect_that!(finding.remedy, not(eq("")));
    }
    found.into_iter().map(|finding| finding.problem).collect()
}

#[gtest]
fn nothing_is_found_in_a_healthy_fleet() {
    expect_that!(check_all(&fleet(|_, _| {})), is_empty());
}

#[gtest]
fn a_registry_without_a_status_is_found() {
    let mut fleet_report = fleet(|_, _| {});
    let timed_out = AttemptError::TimedOut(Duration::from_secs(1));
    fleet_report.registries[1] = report(1, Err(timed_out.into()));
    let problem = "registry 10.2.0.1:8649 gives no status: no complete response within 1s";
    expect_that!(
        found(&fleet_report, unreachable_registries),
        elements_are![eq(problem)]
    );
}

#[gtest]
fn an_unsettled_registry_is_found() {
    let fleet_report = fleet(|n, status| status.settled = n != 2);
    expect_that!(
        found(&fleet_report, unsettled_registries),
        elements_are![eq("registry 10.3.0.1:8649 (core-2) is not settled")]
    );
}

#[gtest]
fn registries_that_name_different_voters_are_found() {
    let fleet_report = fleet(|n, status| {
        if n == 0 {
            status.voters[0] = "10.1.0.9".into();
        }
    });
    let problem =
        "the registries disagree on who votes: 10.1.0.1 10.2.0.1 10.3.0.1 by 10.2.0.1:8649 10.3.0.1:8649; \
                10.1.0.9 10.2.0.1 10.3.0.1 by 10.1.0.1:8649";
    expect_that!(
        found(&fleet_report, voter_disagreement),
        elements_are![eq(problem)]
    );
}

#[gtest]
fn too_few_voters_and_even_numbers_are_found() {
    let fleet_with_voters = |count: usize| {
        fleet(move |_, status| status.voters = (0..count).map(|n| format!("10.0.0.{n}")).collect())
    };
    for (count, problem) in [
        (0, Some("0 voters: none of them can be lost")),
        (1, Some("1 voters: none of them can be lost")),
        (2, Some("2 voters: none of them can be lost")),
        (3, None),
        (4, Some("4 voters bear no more losses than 3 would")),
        (5, None),
        (6, Some("6 voters bear no more losses than 5 would")),
    ] {
        let found = found(&fleet_with_voters(count), voter_count);
        expect_that!(
            found.iter().map(String::as_str).collect::<Vec<_>>(),
            eq(&Vec::from_iter(problem)),
            "{count}"
        );
    }
}

#[gtest]
fn a_zone_with_servers_and_no_proxy_is_found() {
    let fleet_report = fleet(|_, status| status.instances.push(instance("i-2", "s", "lulea")));
    expect_that!(
        found(&fleet_report, zones_without_proxy),
        elements_are![eq("no limiter of zone lulea is in session")]
    );
    let proxy_known_to_one_registry = fleet(|n, status| {
        status.instances.push(instance("i-2", "s", "lulea"));
        if n == 1 {
            status.proxy_sessions.push(ProxySession {
                name: "edge-2".into(),
                zone: "lulea".into(),
                changes_behind: 0,
            });
        }
    });
    expect_that!(check_all(&proxy_known_to_one_registry), is_empty());
}

#[gtest]
fn a_service_without_a_server_that_is_up_is_found() {
    let mut fleet_report = fleet(|_, status| {
        status.instances.push(Instance {
            status: "drain".into(),
            ..instance("i-2", "t", "umea")
        });
    });
    expect_that!(check_all(&fleet_report), is_empty());
    fleet_report.services = Ok(texts(&["s", "t", "u"]));
    expect_that!(
        found(&fleet_report, services_without_server),
        elements_are![
            eq("service t has no living server"),
            eq("service u has no living server")
        ]
    );
    fleet_report.services = Err(CallError::NoAddress.into());
    expect_that!(
        found(&fleet_report, services_without_server),
        elements_are![eq(
            "the configuration cannot be read: no registry address is given; nothing was sent"
        )]
    );
}

#[gtest]
fn an_instance_that_only_one_registry_knows_is_found() {
    let fleet_report = fleet(|n, status| match n {
        0 => {
            status.instances.push(instance("i-2", "s", "umea"));
            status.instances.push(instance("i-2", "s", "umea"));
        }
        1 => status.instances.push(instance("i-3", "s", "umea")),
        _ => status.instances.push(instance("i-3", "s", "umea")),
    });
    expect_that!(
        found(&fleet_report, instances_known_to_one_registry),
        elements_are![eq("only registry 10.1.0.1:8649 knows server i-2")]
    );
    let mut single_registry = fleet(|_, _| {});
    single_registry.registries.truncate(1);
    expect_that!(check_all(&single_registry), is_empty());
}

#[gtest]
fn clock_skew_of_more_than_a_second_is_found() {
    let mut fleet_report =
        fleet(|n, status| status.clock += Duration::from_millis([0, 400, 1000][n]));
    expect_that!(check_all(&fleet_report), is_empty());
    fleet_report.registries[0].received_at += Duration::from_millis(1);
    let problem = "the clock of registry 10.3.0.1:8649 is 1001 ms ahead of that of 10.1.0.1:8649";
    expect_that!(found(&fleet_report, clock_skew), elements_are![eq(problem)]);
    // All registries differ from the clock of this machine by the same time: the clock of this machine is wrong.
    for report in &mut fleet_report.registries {
        report.received_at = Duration::ZERO;
    }
    expect_that!(check_all(&fleet_report), is_empty());
    let extreme_clocks =
        fleet(|n, status| status.clock = Duration::from_millis([0, u64::MAX, 7][n]));
    expect_that!(clock_skew(&extreme_clocks).len(), eq(1));
}

#[gtest]
fn a_disk_that_is_nearly_full_is_found() {
    let fleet_report = fleet(|n, status| {
        status.disk = [
            None,
            Some(disk(81, 100)),
            Some(disk(u64::MAX / 2, u64::MAX)),
        ][n]
            .clone();
    });
    let problem = "registry 10.2.0.1:8649 has used 81 of the 100 bytes of its disk";
    expect_that!(found(&fleet_report, disk_usage), elements_are![eq(problem)]);
}

#[gtest]
fn a_disk_that_accepts_no_writes_is_found() {
    let fleet_report = fleet(|n, status| {
        let state = [None, Some("full".into()), Some("writable".into())][n].clone();
        status.disk = Some(Disk {
            state,
            ..disk(80, 100)
        });
    });
    let problem = "the disk of the store beside registry 10.2.0.1:8649 is full";
    expect_that!(
        found(&fleet_report, disks_without_writes),
        elements_are![eq(problem)]
    );
}

#[gtest]
fn a_lock_without_renewal_long_after_its_lease_is_found() {
    let mut fleet_report = fleet(|_, _| {});
    let millisecond = Duration::from_millis(1);
    let at_the_limit = Duration::from_secs(36);
    fleet_report.locks = Ok(Some(vec![
        lock(at_the_limit),
        lock(at_the_limit + millisecond),
    ]));
    let problem = "lock l: held by a3.7 with fence 41 for 3000 ms, renewed 36001 ms ago at least";
    expect_that!(
        found(&fleet_report, stuck_locks),
        elements_are![eq(problem)]
    );
    let long_lease = HeldLock {
        lease: Duration::MAX,
        ..lock(Duration::from_secs(1_000_000))
    };
    fleet_report.locks = Ok(Some(vec![long_lease]));
    expect_that!(check_all(&fleet_report), is_empty());
    fleet_report.locks = Ok(None);
    expect_that!(check_all(&fleet_report), is_empty());
}

#[gtest]
fn unreadable_locks_numbers_and_cells_are_found() {
    let mut fleet_report = fleet(|_, _| {});
    let source = AttemptError::Status {
        status: 504,
        body: "no majority".into(),
    };
    let error = CallError::NoClearResponse {
        address: "10.1.0.1:8649".into(),
        source,
    };
    fleet_report.locks = Err(error.into());
    let problem =
        "locks, numbers and cells cannot be read: no clear answer; if the request was a change, \
                   it may be in force or not. Last attempt: 10.1.0.1:8649: status 504 no majority";
    expect_that!(
        found(&fleet_report, unreadable_locks),
        elements_are![eq(problem)]
    );
}
