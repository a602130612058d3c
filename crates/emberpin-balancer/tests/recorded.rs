//! Compatibility with recordings of an earlier build: the datagrams between gateways, the usage shared between two
//! processes, and the handover of a gateway's state.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use common::*;
use emberpin_balancer::gossip::{decode, Entry, Message, MessageBuilder, MAX_BYTES};
use emberpin_balancer::*;
use recording::{assert_recorded, hex, recorded_lines, Recorded};

const RATE_LIMITED_PLAN: usize = 1;
const CUSTOMER: u64 = 5;

fn count(customer: u64) -> Entry {
    Entry::Count {
        customer,
        plan: 1,
        first: 2,
        size: 3,
        units: 12.5,
        requested: 8_000.0,
    }
}

/// Messages whose values are encoded without rounding: counts in half units, probabilities in multiples of 1/255.
fn datagrams() -> Vec<(&'static str, Message)> {
    let incarnation = 0x1234_5678;
    let message = |entries| Message {
        incarnation,
        in_flight: 1.0,
        throughput: 3.0,
        entries,
    };
    let largest = Entry::Count {
        customer: gossip::ID_MASK,
        plan: 127,
        first: 0,
        size: 1 << 31,
        units: 0.0,
        requested: 2_199_023_255_551.5,
    };
    vec![
        ("hello", message(Vec::new())),
        (
            "hello-idle",
            Message {
                incarnation: 0,
                in_flight: 0.0,
                throughput: 0.0,
                entries: Vec::new(),
            },
        ),
        ("count", message(vec![count(0xb4d6_5521)])),
        ("count-largest", message(vec![largest])),
        (
            "advice-none",
            message(vec![Entry::Advice {
                customer: 7,
                probability: 0.0,
            }]),
        ),
        (
            "advice-part",
            message(vec![Entry::Advice {
                customer: 7,
                probability: 51.0 / 255.0,
            }]),
        ),
        (
            "advice-all",
            message(vec![Entry::Advice {
                customer: 7,
                probability: 1.0,
            }]),
        ),
        (
            "count-and-advice",
            message(vec![
                count(1),
                Entry::Advice {
                    customer: 1,
                    probability: 1.0,
                },
                count(2),
            ]),
        ),
        ("full", message((0..19).map(count).collect())),
    ]
}

fn encode(message: &Message) -> Vec<u8> {
    let mut writer =
        MessageBuilder::new(message.incarnation, message.in_flight, message.throughput);
    for entry in &message.entries {
        assert!(writer.push(*entry), "it fits");
    }
    writer.finish()
}

#[test]
fn every_datagram_is_read_and_written_as_it_was_recorded() {
    assert_recorded("datagrams.txt", &datagrams(), encode, |bytes| {
        decode(bytes).expect("a message")
    });
}

#[test]
fn the_version_and_the_size_limit_of_datagrams_are_unchanged() {
    assert_eq!((encode(&datagrams()[0].1)[0], MAX_BYTES), (2, 256));
}

fn usages() -> Vec<(&'static str, Usage)> {
    vec![
        (
            "units",
            Usage::Units {
                customer: 0xb4d6_5521,
                plan: 1,
                gateways: GatewaySet {
                    first: GatewayId(2),
                    size: 3,
                },
                units: 12.5,
            },
        ),
        (
            "cold",
            Usage::SlowStart {
                server: ServerId(300),
                work: 0.75,
            },
        ),
    ]
}

#[test]
fn usage_shared_between_processes_is_read_and_written_as_it_was_recorded() {
    let encode = |usage: &Usage| postcard::to_allocvec(usage).expect("encoded");
    assert_recorded("spent.txt", &usages(), encode, |bytes| {
        postcard::from_bytes(bytes).expect("a usage")
    });
}

/// Sends 200 requests of a customer of a plan and returns the number admitted.
fn use_up_quota(harness: &mut Harness, plan: usize) -> usize {
    let mut admitted = 0;
    for _ in 0..200 {
        let (id, actions) = harness.arrive(SAFE, plan, CUSTOMER + plan as u64);
        if let Some(server) = sent_to(&actions) {
            admitted += 1;
            harness.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    admitted
}

/// A gateway with two customers that have used up their quotas, and one server in maintenance.
fn used_gateway() -> Harness {
    let mut harness = Harness::new(settings(), 3);
    assert!(use_up_quota(&mut harness, 0) > 0 && use_up_quota(&mut harness, RATE_LIMITED_PLAN) > 0);
    harness.handle(Event::Maintenance {
        server: ServerId(2),
        out_of_service: true,
    });
    harness
}

fn write_handover() -> Vec<Recorded> {
    let harness = used_gateway();
    let bytes = |handover: Handover| postcard::to_allocvec(&handover).expect("encoded");
    let just_started = Harness::just_started(settings(), 2).gateway.to_handover();
    vec![
        ("used".into(), bytes(harness.gateway.to_handover())),
        ("fresh".into(), bytes(just_started)),
    ]
}

fn recorded_handover(name: &str) -> (Handover, Vec<u8>) {
    let recorded = recorded_lines("handover.txt", write_handover);
    let (_, bytes) = recorded
        .into_iter()
        .find(|(found, _)| found == name)
        .expect("recorded");
    (postcard::from_bytes(&bytes).expect("a handover"), bytes)
}

#[test]
fn a_handover_is_read_and_written_as_it_was_recorded() {
    for name in ["used", "fresh"] {
        let (handover, bytes) = recorded_handover(name);
        assert_eq!(
            hex(&postcard::to_allocvec(&handover).expect("encoded")),
            hex(&bytes),
            "{name}"
        );
    }
}

#[test]
fn a_gateway_continues_from_the_recorded_handover() {
    let (handover, bytes) = recorded_handover("used");
    let mut next = Harness::just_started(settings(), 3);
    next.now = 1_060_000.0;
    let endpoints = (0..3).map(server).collect();
    let (gateway, complete) = Gateway::from_handover(settings(), 9, next.now, handover, endpoints);
    next.gateway = gateway;
    assert!(complete, "the whole state is restored");
    assert!(
        next.gateway.is_in_maintenance(ServerId(2)),
        "still in maintenance"
    );
    assert_eq!(use_up_quota(&mut next, 0), 0, "a used quota stays used");
    assert_eq!(
        use_up_quota(&mut next, RATE_LIMITED_PLAN),
        0,
        "a used rate limit stays used"
    );
    // A gateway that has admitted nothing since hands over exactly the state that it received.
    let (handover, _) = recorded_handover("used");
    let (gateway, _) = Gateway::from_handover(
        settings(),
        9,
        next.now,
        handover,
        (0..3).map(server).collect(),
    );
    assert_eq!(
        hex(&postcard::to_allocvec(&gateway.to_handover()).expect("encoded")),
        hex(&bytes)
    );
}

/// The handover of a gateway after the last of its four servers, which accepts no connections, was ejected. The
/// recording is named by the time of the ejection.
fn write_ejected() -> Vec<Recorded> {
    let mut harness = Harness::new(settings(), 4);
    harness.serve_for(100.0, 5_000.0);
    while harness.gateway.ejected_count(harness.now) == 0 {
        let (id, actions) = harness.arrive(SAFE, 0, harness.now as u64);
        let at = sent_to(&actions).expect("sent");
        let outcome = if at == ServerId(3) {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        };
        harness.end_attempt_as(id, 0, at, outcome, true);
        harness.now += 1.0;
    }
    let bytes = postcard::to_allocvec(&harness.gateway.to_handover()).expect("encoded");
    vec![(format!("{}", harness.now), bytes)]
}

#[test]
fn an_ejection_in_the_recorded_handover_stays_in_effect_until_it_ends() {
    let (time, bytes) = recorded_lines("handover-ejected.txt", write_ejected).remove(0);
    let now: Millis = time.parse().expect("a time");
    let handover = postcard::from_bytes(&bytes).expect("a handover");
    let (gateway, complete) =
        Gateway::from_handover(settings(), 9, now, handover, (0..4).map(server).collect());
    assert!(complete);
    assert_eq!(
        (gateway.ejected_count(now), gateway.pool_size(now)),
        (1, pool_size(4, 1))
    );
    assert_eq!(
        gateway.ejected_count(now + 600_000.0),
        0,
        "the ejection has ended"
    );
}
