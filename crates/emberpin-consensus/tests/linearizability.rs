//! Linearizability: the replies of a short run are explained by some order in which its calls take effect one after the
//! other. The specification never forgets a version, so it also covers retries and conflicting contents.

mod cluster;

use cluster::calls::{remove_service, set_services};
use cluster::seeds::{first_violation, unmutated_runs, MUTANT_RUNS};
use cluster::{ip, Cluster, HistoryEvent, Start};
use emberpin_config::{Item, ItemKey, Version};
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::collections::BTreeMap;

/// The number of calls in a run; small, as the checker tries all their orders.
const CALLS: u64 = 12;
/// Maximum number of undecided calls, which may have taken effect at any time or never.
const MAX_UNDECIDED_CALLS: usize = 3;

/// The sequential specification: every version that was ever acknowledged.
#[derive(Clone, Default)]
struct AcknowledgedVersions {
    contents: BTreeMap<(ItemKey, Version), Option<String>>,
    newest: BTreeMap<ItemKey, Version>,
}

#[derive(Clone, Debug, PartialEq)]
enum Operation {
    Change(Vec<Item>),
    Read,
}

#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    Status(u16),
    /// The items that are not removed, and their versions.
    Items(Vec<(ItemKey, Version)>),
}

impl AcknowledgedVersions {
    /// The status of a change. It is a conflict if one of its versions already has another content, or if none of its
    /// items is already acknowledged or newer than the newest version.
    fn change(&mut self, items: &[Item]) -> u16 {
        let version_of = |item: &Item| (item.key.clone(), item.version);
        let is_known = |item: &Item| self.contents.get(&version_of(item)) == Some(&item.body);
        let is_newer = |item: &Item| {
            let newest = self.newest.get(&item.key);
            newest.is_none_or(|newest| item.version > *newest)
        };
        let conflicts =
            |item: &Item| self.contents.contains_key(&version_of(item)) && !is_known(item);
        let has_effect = items.iter().any(|item| is_known(item) || is_newer(item));
        if items.iter().any(conflicts) || !has_effect {
            return 409;
        }
        for item in items {
            self.contents.insert(version_of(item), item.body.clone());
            let newest = self.newest.entry(item.key.clone()).or_default();
            *newest = item.version.max(*newest);
        }
        200
    }

    fn items(&self) -> Vec<(ItemKey, Version)> {
        let versions = self
            .newest
            .iter()
            .map(|(key, version)| (key.clone(), *version));
        versions
            .filter(|version| self.contents[version].is_some())
            .collect()
    }
}

impl SequentialSpec for AcknowledgedVersions {
    type Op = Operation;
    type Ret = Outcome;

    fn invoke(&mut self, operation: &Operation) -> Outcome {
        match operation {
            Operation::Change(items) => Outcome::Status(self.change(items)),
            Operation::Read => Outcome::Items(self.items()),
        }
    }
}

/// The outcome that a reply reports; `None` if it leaves undecided whether the call took effect.
fn decided_outcome(call: &Call, status: u16, body: &str) -> Option<Outcome> {
    if status == 503 {
        return None;
    }
    if *call != Call::Get {
        return Some(Outcome::Status(status));
    }
    let as_patch = format!("{{\"upsert\":{body}}}");
    let read = emberpin_config::parse_patch(as_patch.as_bytes()).ok()?;
    let items = read.items.into_iter();
    Some(Outcome::Items(
        items.map(|item| (item.key, item.version)).collect(),
    ))
}

/// Whether some order of the calls explains the replies of a run. Only the beginning of the run is checked, up to the
/// call that would exceed [`MAX_UNDECIDED_CALLS`].
fn is_linearizable(cluster: &Cluster) -> bool {
    let mut tester = LinearizabilityTester::new(AcknowledgedVersions::default());
    let mut undecided_calls = 0;
    for event in &cluster.history {
        let recorded = match event {
            HistoryEvent::Called(id) => {
                let call = &cluster.calls[*id];
                let is_undecided = call.status().is_none_or(|status| status == 503);
                undecided_calls += usize::from(is_undecided);
                if undecided_calls > MAX_UNDECIDED_CALLS {
                    break;
                }
                let operation = if call.call == Call::Get {
                    Operation::Read
                } else {
                    Operation::Change(call.items.clone())
                };
                tester.on_invoke(*id, operation)
            }
            HistoryEvent::Replied(id) => {
                let call = &cluster.calls[*id];
                let reply = call.reply.as_ref().expect("a call that was replied to");
                let Some(outcome) = decided_outcome(&call.call, reply.status, &reply.body) else {
                    continue;
                };
                tester.on_return(*id, outcome)
            }
        };
        recorded.expect("a call comes before its reply");
    }
    tester.is_consistent()
}

/// Runs one seed: two to four clients send calls with few names and versions, so that these are reused, and replicas
/// are killed.
fn run(seed: u64, guards: Guards) -> Option<String> {
    let mut cluster = Cluster::new(seed, 3, 1, guards);
    cluster.run(100);
    cluster.network_delay = 1..2 + cluster.below(40);
    let clients = 2 + cluster.below(3);
    let mut calls: Vec<Call> = Vec::new();
    for number in 0..CALLS {
        for machine in 1..=3 {
            cluster.start(ip(machine), Start::Normal);
        }
        let pause = if number % clients == 0 {
            cluster.below(400)
        } else {
            cluster.below(8)
        };
        cluster.run(pause);
        let call = random_call(&mut cluster, number, &calls);
        calls.push(call.clone());
        let receiver = ip(1 + cluster.below(3) as u8);
        cluster.call(receiver, call);
        if cluster.below(6) == 0 {
            let pause = cluster.below(20);
            cluster.run(pause);
            cluster.kill(receiver);
        }
    }
    cluster.run(4_000);
    (!is_linearizable(&cluster)).then(|| format!("seed {seed}: no order explains the replies"))
}

fn random_call(cluster: &mut Cluster, number: u64, calls: &[Call]) -> Call {
    match cluster.below(8) {
        0 => Call::Get,
        1 => remove_service("x", 1 + cluster.below(5)),
        2..5 if !calls.is_empty() => cluster.choose(calls),
        _ => {
            let (version, other) = (1 + cluster.below(5), 1 + cluster.below(3));
            let services = [("x", version, number), ("y", other, number)];
            set_services(&services[..1 + cluster.below(2) as usize])
        }
    }
}

#[gtest]
fn replies_are_linearizable() {
    let run = |seed| run(seed, Guards::default());
    expect_that!(
        first_violation("linearizability", unmutated_runs(), run),
        none()
    );
}

#[gtest]
fn missing_history_is_not_linearizable() {
    let guards = Guards {
        propose_history: false,
        ..Guards::default()
    };
    let run = |seed| run(seed, guards);
    expect_that!(
        first_violation("linearizability without history", MUTANT_RUNS, run),
        some(anything())
    );
}

#[gtest]
fn unrecorded_superseded_versions_are_not_linearizable() {
    let guards = Guards {
        propose_superseded: false,
        ..Guards::default()
    };
    let run = |seed| run(seed, guards);
    expect_that!(
        first_violation("linearizability without superseded", MUTANT_RUNS, run),
        some(anything())
    );
}
