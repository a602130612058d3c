//! Congestion control: onset, abatement, the ladder of rejections.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn a_gateway_is_congested_strictly_above_the_onset() {
    let mut harness = Harness::fresh(settings(), 12);
    let out = fill_in_flight(&mut harness, 63);
    harness.end_attempt(out[0].0, 0, out[0].1, Outcome::Ok);
    assert_eq!(
        count_rejections(&mut harness, 50),
        0,
        "62 in flight after an outcome is not above 62"
    );
}

#[test]
fn the_first_level_rejects_its_share_and_holds_down_to_the_abatement() {
    let mut harness = Harness::fresh(settings(), 12);
    let out = fill_in_flight(&mut harness, 64);
    harness.end_attempt(out[0].0, 0, out[0].1, Outcome::Ok);
    let cut = count_rejections(&mut harness, 400);
    assert!((60..100).contains(&cut), "a fifth: {cut} of 400 rejected");

    let mut harness = Harness::fresh(settings(), 12);
    let out = fill_in_flight(&mut harness, 64);
    for (id, server) in &out[..13] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    let cut = count_rejections(&mut harness, 100);
    assert!(
        cut > 10,
        "51 in flight: the state holds between the thresholds ({cut} of 100)"
    );

    let mut harness = Harness::fresh(settings(), 12);
    let out = fill_in_flight(&mut harness, 64);
    for (id, server) in &out[..14] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    assert_eq!(
        count_rejections(&mut harness, 100),
        0,
        "50 in flight: abated"
    );
}

#[test]
fn a_surge_beyond_the_first_level_meets_further_levels() {
    let mut harness = Harness::fresh(settings(), 12);
    let out = fill_in_flight(&mut harness, 120);
    for (id, server) in &out[..5] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    let cut = count_rejections(&mut harness, 200);
    assert!(
        cut > 170,
        "115 in flight after five outcomes: the last level refuses nearly all ({cut} of 200)"
    );
}

#[test]
fn attempts_stuck_at_a_few_silent_servers_are_no_congestion() {
    let mut harness = Harness::fresh(settings(), 12);
    let out = fill_in_flight(&mut harness, 120);
    harness.now += 600.0;
    let spoken: Vec<_> = out.iter().filter(|(_, server)| server.0 >= 6).collect();
    for (id, server) in &spoken[..spoken.len() - 10] {
        harness.end_attempt(*id, 0, *server, Outcome::Ok);
    }
    assert_eq!(
        count_rejections(&mut harness, 50),
        0,
        "six servers hold 60 attempts in silence, the rest 10"
    );
}
