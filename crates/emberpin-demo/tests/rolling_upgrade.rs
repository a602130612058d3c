//! Rolling upgrades: processes of two adjacent builds run together, under traffic and configuration changes. Tests an
//! upgrade and a downgrade in different orders, and an upgrade that is stopped halfway while members are lost.
//!
//! By default, the previous build is the current one, limited to the previous protocol version.
//! `EMBERPIN_PREVIOUS_DEMO=PATH` names the `emberpin-demo` of a real previous build, which is run instead.
#![allow(missing_docs, reason = "a test has no public interface")]

mod deployed_system;

use deployed_system::traffic::Traffic;
use deployed_system::{first_patch, route_patch, Build, DeployedSystem, ACK, EDGE, SYNC_TIME};
use emberpin_demo::node_settings::StartMode;
use emberpin_demo::operator::Operator;
use emberpin_demo::record::Recorder;
use emberpin_demo::role::Role;
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The route that requests are sent to.
const ROUTE: &str = "x";
/// `apply` of the settings: the maximum time from the acknowledgement of a change until it is in force.
const APPLY: Duration = Duration::from_millis(2_500);
/// How long a replaced process has to get back in contact before the next process is replaced.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CORE_PROCESSES: [(usize, Role); 6] = [
    (0, Role::Store),
    (0, Role::Registry),
    (1, Role::Store),
    (1, Role::Registry),
    (2, Role::Store),
    (2, Role::Registry),
];

/// A system under traffic. `changes` is the number of changes so far, which makes the route of each change unique.
struct Upgrade {
    system: DeployedSystem,
    traffic: Traffic,
    changes: usize,
}

impl Upgrade {
    fn start(net: u8, build: Build) -> Upgrade {
        let system = DeployedSystem::start_with_build(net, build);
        assert_eq!(system.patch(0, &first_patch()), 200);
        assert_eq!(system.patch(0, &route_patch(ROUTE, 1, 1_500)), 200);
        let registries = [0, 1, 2].map(|core| system.ctl(core));
        let traffic = Traffic::start(system.http(), &registries, ROUTE);
        Upgrade {
            system,
            traffic,
            changes: 0,
        }
    }

    /// Sends a change to one core machine after the other; expects each to be acknowledged and in force in time.
    fn change_at_each_machine(&mut self, step: &str) {
        for core in 0..3 {
            self.changes += 1;
            let route = format!("r{}", self.changes);
            let sent_at = Instant::now();
            let status = self.system.patch(core, &route_patch(&route, 1, 1_500));
            expect_that!(status, eq(200), "{step}, at machine {core}");
            expect_that!(sent_at.elapsed(), lt(ACK), "{step}, at machine {core}");
            let applied_within = self.traffic.wait_for_route(&route);
            expect_that!(applied_within, lt(APPLY), "{step}, at machine {core}");
        }
    }

    /// Expects that all requests since the last call were served, and that there were some.
    fn expect_all_served(&self, step: &str) {
        let statuses = self.traffic.take_statuses();
        let served = statuses.get(&200).copied().unwrap_or_default();
        expect_that!(served, gt(0), "{step}");
        expect_that!(statuses, eq(&BTreeMap::from([(200, served)])), "{step}");
    }

    fn replace_core_process(&mut self, (core, role): (usize, Role), build: Build) {
        let step = format!("{} of machine {core} as {build:?}", role.name());
        self.system.replace_process(core, role, build);
        self.change_at_each_machine(&step);
        self.expect_all_served(&step);
        sleep(SETTLING_TIME);
    }

    /// Replaces the edge, and waits until it serves again; failed requests meanwhile are ignored.
    fn replace_edge(&mut self, build: Build) {
        let step = format!("edge as {build:?}");
        self.expect_all_served(&step);
        self.system.replace_process(EDGE, Role::Proxy, build);
        let started_at = Instant::now();
        while !self.system.is_edge_ready() {
            assert!(started_at.elapsed() < ACK, "{step}: not ready");
            sleep(POLL_INTERVAL);
        }
        self.traffic.wait_for_route(ROUTE);
        self.traffic.take_statuses();
        self.change_at_each_machine(&step);
    }

    /// Begins and ends an evacuation; expects both to be acknowledged.
    fn evacuate_and_return(&self) {
        let registries = [0, 1, 2].map(|core| self.system.ctl(core)).to_vec();
        let recorder = Recorder::default();
        let operator = Operator::new(registries, recorder.clone());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            operator.begin_evacuation("east-quay", APPLY).await;
            operator.finish_evacuation("east-quay").await;
        });
        expect_that!(recorder.lock().unacknowledged_commands, is_empty());
    }

    /// Expects that no process rejected a peer or received an unreadable frame.
    fn expect_no_protocol_errors(&self) {
        for machine in 0..=EDGE {
            let logs = self.system.logs(machine);
            expect_that!(logs, not(contains_substring("rejected a peer")));
            expect_that!(logs, not(contains_substring("unreadable")));
        }
    }
}

#[gtest]
fn an_upgrade_and_a_downgrade_in_another_order_interrupt_nothing() {
    let mut upgrade = Upgrade::start(61, Build::Previous);
    // The upgrade: machine by machine, with the edge in the middle.
    for (position, process) in CORE_PROCESSES.into_iter().enumerate() {
        if position == 3 {
            upgrade.replace_edge(Build::Current);
        }
        upgrade.replace_core_process(process, Build::Current);
    }
    upgrade.evacuate_and_return();
    // The downgrade: first the edge, then all registries, then all stores.
    upgrade.replace_edge(Build::Previous);
    for role in [Role::Registry, Role::Store] {
        for core in [2, 0, 1] {
            upgrade.replace_core_process((core, role), Build::Previous);
        }
    }
    upgrade.expect_no_protocol_errors();
}

#[gtest]
fn an_upgrade_that_is_stopped_halfway_tolerates_the_loss_of_a_member() {
    let mut upgrade = Upgrade::start(62, Build::Previous);
    for process in [(1, Role::Registry), (0, Role::Store)] {
        upgrade.replace_core_process(process, Build::Current);
    }
    upgrade.replace_edge(Build::Current);
    sleep(SYNC_TIME);
    // A machine of the previous build loses its disk, and is restarted with the same build.
    upgrade.system.wipe_machine(2);
    for _ in 0..2 {
        upgrade.change_at_each_machine("machine 2 is lost");
    }
    upgrade.system.start_machine(2, StartMode::Restart);
    sleep(SYNC_TIME);
    upgrade.change_at_each_machine("machine 2 is back");
    // Then a machine with a store of the current build loses its disk.
    upgrade.system.wipe_machine(0);
    upgrade.change_at_each_machine("machine 0 is lost");
    upgrade.system.start_machine(0, StartMode::Restart);
    sleep(SYNC_TIME);
    upgrade.change_at_each_machine("machine 0 is back");
    upgrade.expect_all_served("a member of each build was lost");
    upgrade.expect_no_protocol_errors();
}
