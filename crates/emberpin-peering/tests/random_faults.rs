//! Invariants under random partitions, pauses, kills and restarts.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/network.rs"]
mod network;

use emberpin_peering::Incarnation;
use network::{millis, Network};
use proptest::prelude::*;
use std::collections::BTreeMap;

const HOSTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Partition { from: usize, to: usize },
    Heal,
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    Send { from: usize, to: usize },
    Run { millis: u16 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = || 0..HOSTS;
    let step = prop_oneof![
        2 => (host(), host()).prop_map(|(from, to)| Step::Partition { from, to }),
        1 => Just(Step::Heal),
        1 => host().prop_map(Step::Pause),
        1 => host().prop_map(Step::Resume),
        1 => host().prop_map(Step::Kill),
        2 => host().prop_map(Step::Start),
        6 => (host(), host()).prop_map(|(from, to)| Step::Send { from, to }),
        4 => (1..1200u16).prop_map(|millis| Step::Run { millis }),
    ];
    proptest::collection::vec(step, 1..40)
}

/// A network, with a record of the messages that were sent.
struct Scenario {
    network: Network,
    last_incarnation: u64,
    last_message: u64,
    /// Nonce of the incarnation that each message was addressed to.
    recipient_nonces: BTreeMap<String, u64>,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario {
            network: Network::new(HOSTS),
            last_incarnation: 200,
            last_message: 0,
            recipient_nonces: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let network = &mut self.network;
        match *step {
            Step::Partition { from, to } if from != to => {
                network.partitioned.insert((from, to));
            }
            Step::Heal => network.partitioned.clear(),
            Step::Pause(host) => {
                network.hosts[host].paused = network.hosts[host].peering.is_some();
            }
            Step::Resume(host) => network.hosts[host].paused = false,
            Step::Kill(host) => {
                network.kill(host);
                network.hosts[host].paused = false;
            }
            Step::Start(host) => self.start_if_stopped(host),
            Step::Send { from, to } if from != to => self.send(from, to),
            Step::Run { millis: duration } => network.run(millis(duration.into())),
            Step::Partition { .. } | Step::Send { .. } => {}
        }
    }

    fn start_if_stopped(&mut self, host: usize) {
        if self.network.hosts[host].peering.is_none() {
            self.last_incarnation += 1;
            let incarnation = Incarnation {
                number: self.last_incarnation,
                nonce: self.last_incarnation,
            };
            self.network.start(host, incarnation);
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        self.last_message += 1;
        let text = self.last_message.to_string();
        if self.network.hosts[from].peering.is_some() {
            if let Some(recipient) = self.network.state(from, to).incarnation {
                self.recipient_nonces.insert(text.clone(), recipient.nonce);
            }
        }
        self.network.send(from, to, &text);
    }

    /// Ends all faults, and runs the network until the hosts have had 4 s to reconnect.
    fn heal(&mut self) {
        self.network.partitioned.clear();
        for host in 0..HOSTS {
            self.network.hosts[host].paused = false;
            self.start_if_stopped(host);
        }
        self.network.run(millis(4000));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// No message is delivered twice, out of order, or to an incarnation that it was not addressed to; and within 4 s
    /// of the end of all faults, all hosts are connected.
    #[test]
    fn messages_arrive_at_most_once_and_all_hosts_reconnect(steps in steps()) {
        let mut scenario = Scenario::new();
        for step in &steps {
            scenario.apply(step);
        }
        scenario.heal();
        scenario.network.assert_all_connected();
        for host in &scenario.network.hosts {
            prop_assert!(!host.superseded);
            let mut last_received: BTreeMap<String, u64> = BTreeMap::new();
            for delivery in &host.delivered {
                let text = String::from_utf8_lossy(&delivery.body).into_owned();
                let number: u64 = text.parse().expect("a number");
                let previous = last_received.insert(delivery.sender.clone(), number);
                prop_assert!(previous.is_none_or(|previous| previous < number));
                prop_assert_eq!(
                    scenario.recipient_nonces.get(&text),
                    Some(&delivery.recipient_nonce),
                    "{} was addressed to another incarnation",
                    text
                );
            }
        }
    }
}
