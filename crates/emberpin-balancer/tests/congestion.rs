//! Congestion control: onset, abatement, and the levels of rejection.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn a_gateway_is_congested_strictly_above_the_onset() {
    let mut harness = Harness::just_started(settings(), 12);
    let in_flight = fill_in_flight(&mut harness, 63);
    harness.end_attempt(in_flight[0].0, 0, in_flight[0].1, Outcome::Ok);
    assert_eq!(
        count_rejections(&mut harness, 50),
        0,
        "62 in flight after an outcome is not above 62"
    );
}

#[test]
fn the_first_level_rejects_its_share_until_the_abatement_is_reached() {
    let mut harness = Harness::just_started(settings(), 12);
    let in_flight = fill_in_flight(&mut harness, 64);
    harness.end_attempt(in_flight[0].0, 0, in_flight[0].1, Outcome::Ok);
    let rejections = count_rejections(&mut harness, 400);
    assert!(
        (60..100).contains(&rejections),
        "a fifth: {rejections} of 400 rejected"
    );

    let mut harness = Harness::just_started(settings(), 12);
    let in_flight = fill_in_flight(&mut harness, 64);
    for (id, server) in &in_flight[..13] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    let rejections = count_rejections(&mut harness, 100);
    assert!(
        rejections > 10,
        "51 in flight: the level stays between the thresholds ({rejections} of 100)"
    );

    let mut harness = Harness::just_started(settings(), 12);
    let in_flight = fill_in_flight(&mut harness, 64);
    for (id, server) in &in_flight[..14] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    assert_eq!(
        count_rejections(&mut harness, 100),
        0,
        "50 in flight: abated"
    );
}

#[test]
fn a_large_surge_raises_the_level_beyond_the_first() {
    let mut harness = Harness::just_started(settings(), 12);
    let in_flight = fill_in_flight(&mut harness, 120);
    for (id, server) in &in_flight[..5] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    let rejections = count_rejections(&mut harness, 200);
    assert!(
        rejections > 170,
        "115 in flight after five outcomes: the last level rejects nearly all ({rejections} of 200)"
    );
}

#[test]
fn attempts_at_servers_that_do_not_answer_do_not_count_as_congestion() {
    let mut harness = Harness::just_started(settings(), 12);
    let in_flight = fill_in_flight(&mut harness, 120);
    harness.now += 600.0;
    let at_answering_servers: Vec<_> = in_flight
        .iter()
        .filter(|(_, server)| server.0 >= 6)
        .collect();
    for (id, server) in &at_answering_servers[..at_answering_servers.len() - 10] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    assert_eq!(
        count_rejections(&mut harness, 50),
        0,
        "six servers have 60 attempts in flight without a result, the others 10"
    );
}
