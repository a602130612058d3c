//! The module driven through its interface, without the bench.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const SAFE: usize = 0;
const UNSAFE: usize = 1;
const KEYED_ALL: usize = 2;
const KEYED_ZONE: usize = 3;

fn peer(bench: &mut Bench, from: u32, bytes: Vec<u8>) {
    bench.handle(Event::PeerMessage {
        from: GatewayId(from),
        bytes,
    });
}

/// Lets in up to `tries` requests of one customer and answers each at once.
fn let_in(bench: &mut Bench, plan: usize, customer: u64, tries: usize) -> usize {
    (0..tries)
        .filter(|_| {
            let (id, actions) = bench.arrive(SAFE, plan, customer);
            match sent(&actions) {
                Some(server) => {
                    bench.ends(id, 0, server, Outcome::Ok);
                    true
                }
                None => false,
            }
        })
        .count()
}

// ---- Congestion ----

/// Fills a gateway of unknown throughput with `count` attempts outstanding.
fn fill(bench: &mut Bench, count: usize) -> Vec<(RequestId, ServerId)> {
    (0..count)
        .map(|k| {
            let (id, actions) = bench.arrive(SAFE, 0, 100 + k as u64);
            (id, sent(&actions).expect("not congested yet"))
        })
        .collect()
}

fn refused_of(bench: &mut Bench, tries: usize) -> usize {
    let mut count = 0;
    for k in 0..tries {
        let (id, actions) = bench.arrive(SAFE, 0, 50_000 + k as u64);
        match sent(&actions) {
            // The outcome leaves the count as it was before this arrival.
            Some(_) => drop(bench.handle(Event::Abandoned { request: id })),
            None => count += 1,
        }
    }
    count
}

#[test]
fn congestion_needs_strictly_more_than_onset() {
    let mut bench = Bench::fresh(settings(), 12);
    let out = fill(&mut bench, 63);
    bench.ends(out[0].0, 0, out[0].1, Outcome::Ok);
    assert_eq!(
        refused_of(&mut bench, 50),
        0,
        "62 outstanding after an outcome is not above 62"
    );
}

#[test]
fn the_first_cut_refuses_its_share_and_holds_down_to_abatement() {
    let mut bench = Bench::fresh(settings(), 12);
    let out = fill(&mut bench, 64);
    bench.ends(out[0].0, 0, out[0].1, Outcome::Ok);
    let cut = refused_of(&mut bench, 400);
    assert!((60..100).contains(&cut), "a fifth: {cut} of 400 refused");

    let mut bench = Bench::fresh(settings(), 12);
    let out = fill(&mut bench, 64);
    for (id, server) in &out[..13] {
        bench.ends(*id, 0, *server, Outcome::Ok);
    }
    let cut = refused_of(&mut bench, 100);
    assert!(
        cut > 10,
        "51 outstanding: the state holds between the thresholds ({cut} of 100)"
    );

    let mut bench = Bench::fresh(settings(), 12);
    let out = fill(&mut bench, 64);
    for (id, server) in &out[..14] {
        bench.ends(*id, 0, *server, Outcome::Ok);
    }
    assert_eq!(refused_of(&mut bench, 100), 0, "50 outstanding: abated");
}

#[test]
fn a_surge_that_outruns_one_cut_meets_further_levels() {
    let mut bench = Bench::fresh(settings(), 12);
    let out = fill(&mut bench, 120);
    for (id, server) in &out[..5] {
        bench.ends(*id, 0, *server, Outcome::Ok);
    }
    let cut = refused_of(&mut bench, 200);
    assert!(
        cut > 170,
        "115 outstanding after five outcomes: the last level refuses nearly all ({cut} of 200)"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut bench = Bench::fresh(settings(), 12);
        let out = fill(&mut bench, 64);
        bench.ends(out[0].0, 0, out[0].1, Outcome::Ok);
        (0..100)
            .map(|k| bench.arrive(SAFE, 0, 9_000 + k).1)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

// ---- Quota ----

#[test]
fn a_fresh_gateway_splits_an_unknown_customers_burst_over_its_set() {
    let mut bench = Bench::fresh(settings(), 12);
    assert_eq!(
        let_in(&mut bench, 0, 5, 30),
        6,
        "20 units over three gateways"
    );
}

#[test]
fn whoever_hears_no_peer_refills_stores_with_its_part_of_the_rate() {
    let mut bench = Bench::new(settings(), 12);
    let_in(&mut bench, 0, 5, 30);
    bench.pass(3000.0);
    let again = let_in(&mut bench, 0, 5, 30);
    assert!(
        (9..=11).contains(&again),
        "a third of 10 units a second refills, {again} let in"
    );
}

/// Three gateways that hear nothing of each other, all asked for one customer without end.
#[test]
fn a_quota_holds_over_a_set_that_is_split_apart() {
    let mut set: Vec<Bench> = (0..3)
        .map(|me| {
            Bench::new(
                Settings {
                    gateway_id: GatewayId(me),
                    ..settings()
                },
                12,
            )
        })
        .collect();
    for bench in &mut set {
        let_in(bench, 0, 5, 100);
    }
    let mut sent_on = 0;
    for _ in 0..100 {
        for bench in &mut set {
            bench.pass(100.0);
            sent_on += let_in(bench, 0, 5, 100);
        }
    }
    assert!(
        (90..=105).contains(&sent_on),
        "10 units a second for 10 s, {sent_on} were sent on"
    );
}

/// Peers may start a moment later: a life's first moments are no silence.
#[test]
fn a_gateway_that_has_just_started_refills_stores_at_the_rate() {
    let mut bench = Bench::fresh(settings(), 12);
    let_in(&mut bench, 0, 5, 30);
    bench.pass(1000.0);
    let again = let_in(&mut bench, 0, 5, 30);
    assert!(
        (9..=11).contains(&again),
        "10 units a second refill, {again} let in"
    );
}

/// What peers let in while they were not heard was held back here all the while: it is no debt.
#[test]
fn the_end_of_a_silence_brings_no_debt_for_what_was_held_back() {
    let mut bench = Bench::new(settings(), 12);
    let life = bench.now as u32;
    peer(&mut bench, 1, counts(life, 5, 0.0));
    bench.pass(2000.0);
    let_in(&mut bench, 0, 5, 30);
    for _ in 0..60 {
        bench.pass(100.0);
        let_in(&mut bench, 0, 5, 30);
    }
    // Two peers let in their parts of 6 s: 20 units each, of which 40 were held back here.
    peer(&mut bench, 1, counts(life, 5, 20.0));
    bench.pass(500.0);
    assert!(
        let_in(&mut bench, 0, 5, 30) >= 4,
        "the rate goes on at once"
    );
    // What is told beyond what was held back is a debt as ever.
    peer(&mut bench, 1, counts(life, 5, 70.0));
    bench.pass(500.0);
    assert_eq!(let_in(&mut bench, 0, 5, 30), 0);
}

/// What was held back pays for what is told soon after the silence, and for nothing later.
#[test]
fn what_was_held_back_is_forgotten_once_peers_have_told_all() {
    let mut bench = Bench::new(settings(), 12);
    let life = bench.now as u32;
    peer(&mut bench, 1, counts(life, 5, 0.0));
    bench.pass(2000.0);
    for _ in 0..60 {
        bench.pass(100.0);
        let_in(&mut bench, 0, 5, 30);
    }
    for _ in 0..15 {
        peer(&mut bench, 1, counts(life, 5, 0.0));
        bench.pass(100.0);
        let_in(&mut bench, 0, 5, 30);
    }
    peer(&mut bench, 1, counts(life, 5, 15.0));
    bench.pass(1000.0);
    assert_eq!(
        let_in(&mut bench, 0, 5, 30),
        0,
        "15 units at once take more than a second's fill"
    );
}

#[test]
fn gossiped_units_are_taken_from_the_store() {
    let mut bench = Bench::new(settings(), 12);
    let life = bench.now as u32;
    let_in(&mut bench, 0, 5, 1);
    bench.pass(3000.0);
    peer(&mut bench, 1, counts(life, 5, 15.0));
    assert_eq!(let_in(&mut bench, 0, 5, 30), 5);
}

#[test]
fn lost_and_reordered_counts_heal() {
    let mut bench = Bench::new(settings(), 12);
    let life = bench.now as u32;
    let_in(&mut bench, 0, 5, 1);
    bench.pass(3000.0);
    // 4 was lost; 12 arrives before 8.
    peer(&mut bench, 1, counts(life, 5, 12.0));
    peer(&mut bench, 1, counts(life, 5, 8.0));
    peer(&mut bench, 1, counts(life, 5, 12.0));
    assert_eq!(let_in(&mut bench, 0, 5, 30), 8);
}

#[test]
fn a_peers_restart_is_no_refund_and_its_old_life_is_ignored() {
    let mut bench = Bench::new(settings(), 12);
    let life = bench.now as u32;
    let_in(&mut bench, 0, 5, 1);
    bench.pass(3000.0);
    peer(&mut bench, 1, counts(life, 5, 12.0));
    peer(&mut bench, 1, counts(life + 3000, 5, 3.0));
    peer(&mut bench, 1, counts(life, 5, 19.0));
    assert_eq!(let_in(&mut bench, 0, 5, 30), 5, "20 - 12 - 3");
}

/// Unix milliseconds do not fit the 32 bits that travel: saturated, all lives would look alike.
#[test]
fn lives_are_told_apart_on_any_clock() {
    for started in [
        1_000.0,
        1_794_000_000_000.0,
        418.0 * 4_294_967_296.0 - 500.0,
    ] {
        for later in [0.0, 600.0, 86_400_000.0, 30.0 * 86_400_000.0] {
            let low = (started as u64) as u32;
            assert_eq!(
                gossip::full_incarnation(low, started + later),
                started as u64,
                "{started} seen {later} later"
            );
        }
    }
    let ahead = gossip::full_incarnation(5_000_000, 4_000_000.0);
    assert_eq!(ahead, 5_000_000, "a clock that is a little ahead");
}

#[test]
fn a_restarted_gateway_does_not_take_a_peers_whole_history() {
    let mut bench = Bench::fresh(settings(), 12);
    let_in(&mut bench, 0, 5, 1);
    peer(&mut bench, 1, counts(1000, 5, 5000.0));
    assert_eq!(
        let_in(&mut bench, 0, 5, 30),
        5,
        "its part of the burst stays"
    );
    bench.pass(1000.0);
    peer(&mut bench, 1, counts(1000, 5, 5004.0));
    assert_eq!(
        let_in(&mut bench, 0, 5, 30),
        6,
        "10 refilled, 4 used by the peer"
    );
}

#[test]
fn counts_go_to_the_customers_set_only_and_heal_one_loss() {
    let mut bench = Bench::new(settings(), 12);
    bench.arrive_with(SAFE, 0, 77, 2.0, 2);
    let first = bench.pass(100.0);
    let second = bench.pass(100.0);
    for (actions, asked) in [(&first, 2.0), (&second, 0.0)] {
        let to_one = gossip::read(&told(actions, 1)[0]).expect("readable");
        assert_eq!(
            to_one.entries,
            vec![gossip::Entry::Count {
                customer: 77,
                plan: 0,
                first: 0,
                size: 2,
                units: 2.0,
                requested: asked
            }]
        );
        for bytes in told(actions, 2) {
            assert!(gossip::read(&bytes).expect("readable").entries.is_empty());
        }
    }
}

#[test]
fn garbled_messages_change_nothing() {
    let mut bench = Bench::new(settings(), 12);
    let_in(&mut bench, 0, 5, 1);
    bench.pass(6000.0);
    let good = counts(bench.now as u32, 5, 15.0);
    let mut foreign = good.clone();
    foreign[0] ^= 0xff;
    let mut long = good.clone();
    long.resize(300, 0);
    for bytes in [
        vec![],
        good[..good.len() - 1].to_vec(),
        foreign,
        long,
        vec![1; 9],
    ] {
        peer(&mut bench, 1, bytes);
    }
    peer(&mut bench, 0, good.clone());
    peer(&mut bench, 9, good);
    assert_eq!(let_in(&mut bench, 0, 5, 30), 20);
}

// ---- Rules ----

#[test]
fn answer_one_and_nothing_after() {
    let mut bench = Bench::new(settings(), 12);
    let (id, actions) = bench.arrive(SAFE, 0, 1);
    let server = sent(&actions).expect("sent");
    bench.handle(Event::Abandoned { request: id });
    let after = bench.ends(id, 0, server, Outcome::Timeout);
    assert!(sent(&after).is_none() && !refused(&after) && !failed(&after));
}

#[test]
fn answer_is_given_when_the_time_is_used_up() {
    let mut bench = Bench::new(settings(), 12);
    let (id, actions) = bench.arrive(SAFE, 0, 1);
    let server = sent(&actions).expect("sent");
    bench.now += 2000.0;
    let after = bench.ends(id, 0, server, Outcome::Timeout);
    assert!(refused(&after) && sent(&after).is_none());
}

#[test]
fn effect_unsafe_never_again_once_it_may_have_run() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut bench = Bench::new(settings(), 12);
        let (id, actions) = bench.arrive(UNSAFE, 0, 1);
        let after = bench.ends(id, 0, sent(&actions).expect("sent"), outcome);
        assert!(
            failed(&after) && sent(&after).is_none() && !refused(&after),
            "{outcome:?}"
        );
    }
    let mut bench = Bench::new(settings(), 12);
    let (id, actions) = bench.arrive(UNSAFE, 0, 1);
    let after = bench.ends(id, 0, sent(&actions).expect("sent"), Outcome::Rejected);
    assert!(
        sent(&after).is_some(),
        "turned away unseen: it may go elsewhere"
    );
}

#[test]
fn effect_keyed_only_in_its_group_and_window() {
    for _ in 0..20 {
        let mut bench = Bench::new(settings(), 12);
        let (id, actions) = bench.arrive(KEYED_ZONE, 0, 1);
        let first = sent(&actions).expect("sent");
        bench.now += 600.0;
        let after = bench.ends(id, 0, first, Outcome::Timeout);
        let second = sent(&after).expect("within the window");
        assert_eq!(first.0 % 3, second.0 % 3, "the same zone");
        bench.now += 1000.0;
        let after = bench.ends(id, 1, second, Outcome::Timeout);
        assert!(
            sent(&after).is_none() && failed(&after),
            "past the window: failed, as its group is a zone"
        );
    }
    let mut bench = Bench::new(settings(), 12);
    let (id, actions) = bench.arrive(KEYED_ALL, 0, 1);
    bench.now += 1600.0;
    let after = bench.ends(id, 0, sent(&actions).expect("sent"), Outcome::Timeout);
    assert!(
        sent(&after).is_none() && refused(&after),
        "every server drops repeats: refusable"
    );
}

#[test]
fn drain_no_new_work_as_soon_as_told() {
    let mut bench = Bench::new(settings(), 2);
    let mut line = server(0);
    line.status = ServerStatus::Draining;
    bench.list(MembershipUpdate::Changes(vec![line]));
    for k in 0..50 {
        assert_eq!(sent(&bench.arrive(SAFE, 0, 100 + k).1), Some(ServerId(1)));
    }
    bench.list(MembershipUpdate::Full(vec![]));
    let (_, actions) = bench.arrive(SAFE, 0, 999);
    assert!(refused(&actions), "nobody is left");
}

#[test]
fn cold_gets_its_part_of_what_its_like_carry() {
    let mut bench = Bench::new(settings(), 4);
    bench.serve_for(100.0, 10_000.0);
    let mut line = server(3);
    line.started_at = Some(bench.now);
    bench.list(MembershipUpdate::Changes(vec![line]));
    let start = bench.now;
    let mut cold = 0;
    let mut out = std::collections::VecDeque::new();
    for k in 0..300u32 {
        bench.now += 10.0;
        if k % 10 == 0 {
            bench.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = bench.arrive(SAFE, 0, 70_000 + u64::from(k));
        let Some(to) = sent(&actions) else { continue };
        cold += u32::from(to == ServerId(3));
        out.push_back((id, to));
        if out.len() > 20 {
            let (id, to) = out.pop_front().expect("not empty");
            bench.ends(id, 0, to, Outcome::Ok);
        }
    }
    let seconds = (bench.now - start) / 1000.0;
    // Its like carry 33 a second each; at a quarter to a half of that, twice over is the fall.
    assert!(
        cold > 0 && f64::from(cold) < 33.0 * 0.5 * seconds * 1.2,
        "{cold} in {seconds} s"
    );
}

#[test]
fn the_parts_of_a_cold_server_add_up_to_what_all_may_send_however_few_gateways_there_are() {
    // What warm ones carry is such that more gateways than these three would be let send.
    let mut bench = Bench::fresh(settings(), 4);
    bench.serve_for(400.0, 10_000.0);
    bench.list(MembershipUpdate::Changes(vec![Server {
        started_at: Some(bench.now),
        ..server(3)
    }]));
    let start = bench.now;
    let (mut cold, mut out) = (0, std::collections::VecDeque::new());
    for k in 0..1_200u32 {
        bench.now += 2.5;
        if k % 40 == 0 {
            bench.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = bench.arrive(SAFE, 0, 70_000 + u64::from(k));
        let Some(to) = sent(&actions) else { continue };
        cold += u32::from(to == ServerId(3));
        out.push_back((id, to));
        if out.len() > 8 {
            let (id, to) = out.pop_front().expect("not empty");
            bench.ends(id, 0, to, Outcome::Ok);
        }
    }
    // Its like carry 300 a second each over three gateways. Of twice what a quarter to a half of it can do, half is
    // given out, a third of that here: 25 to 40 a second.
    let rate = f64::from(cold) * 1000.0 / (bench.now - start);
    assert!((15.0..45.0).contains(&rate), "{rate} a second");
}

#[test]
fn what_warm_servers_carry_is_not_forgotten_as_soon_as_less_is_asked_of_them() {
    let mut bench = Bench::fresh(settings(), 4);
    bench.serve_for(100.0, 10_000.0);
    let cold_after = |bench: &mut Bench| {
        // Two leave and come anew, cold; little is asked of the two that stay.
        let lines = (2..4).map(|id| Server {
            started_at: Some(bench.now),
            ..server(id)
        });
        bench.list(MembershipUpdate::Changes(lines.collect()));
        bench.serve_for(10.0, 4_000.0);
        // A surge: the cold ones bear their part of it.
        let (mut cold, mut out) = (0, std::collections::VecDeque::new());
        for k in 0..200 {
            bench.now += 5.0;
            let (id, actions) = bench.arrive(SAFE, 0, 80_000 + k);
            let Some(to) = sent(&actions) else { continue };
            cold += u32::from(to.0 >= 2);
            out.push_back((id, to));
            if out.len() > 16 {
                let (id, to) = out.pop_front().expect("not empty");
                bench.ends(id, 0, to, Outcome::Ok);
            }
        }
        cold
    };
    let cold = cold_after(&mut bench);
    assert!(cold >= 10, "{cold} of 200 in a second");
}

/// Once nothing at all, until the first of them was warm.
#[test]
fn a_fleet_that_is_all_cold_gets_what_one_request_after_the_other_makes() {
    let mut bench = Bench::fresh(settings(), 0);
    let cold = |id| Server {
        started_at: Some(1_000_000.0),
        ..server(id)
    };
    bench.list(MembershipUpdate::Full((0..4).map(cold).collect()));
    let (start, mut let_in) = (bench.now, 0);
    while bench.now < start + 5_000.0 {
        bench.now += 20.0;
        bench.handle(Event::Timer { token: 0 });
        let (id, actions) = bench.arrive(SAFE, 0, 70_000 + bench.now as u64);
        let Some(to) = sent(&actions) else { continue };
        let_in += 1;
        bench.now += 30.0;
        bench.ends(id, 0, to, Outcome::Ok);
    }
    // Four servers at a quarter and more, and of what twice that is, half: more than 4 x 0.25 x 1000 / 125 a second
    // from the first answer on, shared by three gateways; a third of a third of all that 30 ms would allow at most.
    assert!((13..150).contains(&let_in), "{let_in} in 5 s");
}

#[test]
fn ceiling_share_is_kept_by_one_gateway_alone() {
    // Rate 20 and burst 40 over three gateways: 13.3 at once, 6.7 a second.
    let mut open = settings();
    open.plans[1].quota_rate = 1000.0;
    open.plans[1].quota_burst = 1000.0;
    let mut bench = Bench::new(open, 12);
    assert_eq!(let_in(&mut bench, 1, 5, 100), 13);
    bench.pass(1000.0);
    assert_eq!(
        let_in(&mut bench, 1, 5, 100),
        7,
        "a third of 20 a second, and what was left"
    );
}

#[test]
fn ceiling_share_counts_as_spent_in_a_fresh_life() {
    let mut open = settings();
    open.plans[1].quota_rate = 1000.0;
    open.plans[1].quota_burst = 1000.0;
    let mut bench = Bench::fresh(open, 12);
    assert_eq!(let_in(&mut bench, 1, 5, 100), 0);
}

// ---- Health ----

#[test]
fn a_server_that_fails_alone_is_ejected_and_comes_back() {
    let mut bench = Bench::new(settings(), 6);
    // The sound ones hold their work until all were tried.
    let mut held = Vec::new();
    for k in 0..20 {
        let (id, actions) = bench.arrive(SAFE, 0, 100 + k);
        let mut attempt = 0;
        let mut to = sent(&actions).expect("sent");
        while to == ServerId(2) {
            to = sent(&bench.ends(id, attempt, to, Outcome::ConnectFailed))
                .expect("tried elsewhere");
            attempt += 1;
        }
        held.push((id, attempt, to));
    }
    for (id, attempt, to) in held {
        bench.ends(id, attempt, to, Outcome::Ok);
    }
    let to_bad = (0..50).filter(|k| {
        let (id, actions) = bench.arrive(SAFE, 0, 1000 + k);
        let to = sent(&actions).expect("sent");
        bench.ends(id, 0, to, Outcome::Ok);
        to == ServerId(2)
    });
    assert_eq!(to_bad.count(), 0, "ejected");
    bench.pass(20_000.0);
    let mut trial = None;
    for k in 0..30 {
        let (id, actions) = bench.arrive(SAFE, 0, 2000 + k);
        if sent(&actions) == Some(ServerId(2)) {
            assert!(trial.is_none(), "one attempt at a time until it answers");
            trial = Some(id);
        }
    }
    for k in 0..3 {
        let id = trial.expect("tried again after its rest");
        bench.ends(id, 0, ServerId(2), Outcome::Ok);
        let mut next = (0..30).map(|n| bench.arrive(SAFE, 0, 3000 + 100 * k + n));
        trial = next
            .find(|(_, actions)| sent(actions) == Some(ServerId(2)))
            .map(|(id, _)| id);
    }
    assert!(trial.is_some(), "back in favour");
}

#[test]
fn units_that_peers_let_in_at_the_same_time_become_a_debt() {
    let mut bench = Bench::new(settings(), 12);
    let life = bench.now as u32;
    let_in(&mut bench, 0, 5, 1);
    bench.pass(6000.0);
    peer(&mut bench, 1, counts(life, 5, 0.0));
    assert_eq!(let_in(&mut bench, 0, 5, 30), 20);
    peer(&mut bench, 1, counts(life, 5, 10.0));
    bench.pass(1000.0);
    assert_eq!(
        let_in(&mut bench, 0, 5, 30),
        0,
        "one second's fill pays off what the peer let in meanwhile"
    );
}

#[test]
fn a_silent_server_is_passed_over() {
    let mut bench = Bench::new(settings(), 2);
    bench.serve_for(50.0, 5_000.0);
    let silent = loop {
        let (id, actions) = bench.arrive(SAFE, 0, 5_000 + bench.now as u64);
        let to = sent(&actions).expect("sent");
        bench.now += 1.0;
        if to == ServerId(0) {
            break id;
        }
        bench.ends(id, 0, to, Outcome::Ok);
    };
    bench.now += 400.0;
    let both = (0..200).filter(|k| {
        let (id, actions) = bench.arrive(SAFE, 0, 9_000 + k);
        let to = sent(&actions).expect("sent");
        bench.ends(id, 0, to, Outcome::Ok);
        to == ServerId(0)
    });
    assert!(
        both.count() < 80,
        "{silent:?} is still out: two choices avoid its server"
    );
}

#[test]
fn odd_events_and_empty_settings_are_harmless() {
    let mut empty = settings();
    empty.classes.clear();
    empty.plans.clear();
    empty.group_size = 0;
    empty.max_attempts = 0;
    let mut bench = Bench::fresh(empty, 0);
    assert!(refused(&bench.arrive(SAFE, 0, 1).1));
    bench.pass(500.0);
    bench.ends(RequestId(99), 3, ServerId(5), Outcome::Ok);
    bench.handle(Event::ResponseStarted {
        request: RequestId(4),
    });
    bench.handle(Event::CounterReply {
        counter: 1,
        total: None,
    });
    let mut zero = settings();
    zero.plans[0].quota_rate = 0.0;
    zero.plans[0].quota_burst = 0.0;
    zero.slow_start.duration = 0.0;
    zero.peer_messages_per_second = 0.0;
    let mut bench = Bench::fresh(zero, 1);
    assert!(
        sent(&bench.arrive_with(SAFE, 0, 1, 1.0, 0).1).is_some(),
        "no rate: no such quota"
    );
}

// ---- What is waited for, and what is kept ----

/// An attempt that is cut off early is a heavy request's, as slow at the next server and late then: it may
/// take all of the aim but what another needs.
#[test]
fn an_attempt_is_cut_off_only_when_another_can_still_meet_the_aim() {
    let mut bench = Bench::new(settings(), 12);
    bench.serve_for(50.0, 5_000.0);
    let (_, actions) = bench.arrive(SAFE, 0, 1);
    let Some(Action::Send { timeout, .. }) = actions.first() else {
        panic!("sent: {actions:?}")
    };
    // Answers take 20 ms of an aim of 500.
    assert!((400.0..480.0).contains(timeout), "{timeout}");
}

/// A request of a class sent on and answered after `elapsed`.
fn answered_after(bench: &mut Bench, units: f64, elapsed: Millis) -> ServerId {
    let customer = 80_000 + bench.now as u64;
    bench.now += 1.0;
    let (id, actions) = bench.arrive_with(SAFE, 0, customer, units, 3);
    let to = sent(&actions).expect("sent");
    answer(bench, id, to, elapsed);
    to
}

fn answer(bench: &mut Bench, id: RequestId, server: ServerId, elapsed: Millis) {
    bench.handle(Event::AttemptEnded(AttemptResult {
        request: id,
        attempt: 0,
        server,
        outcome: Outcome::Ok,
        elapsed,
        answered: true,
        replayable: true,
        load: LoadReport::default(),
        units: None,
        metered: None,
    }));
}

/// Shows a gateway that requests of one unit take 20 ms and of four take 300, in one class.
fn learn_sizes(bench: &mut Bench) {
    for _ in 0..60 {
        answered_after(bench, 1.0, 20.0);
        answered_after(bench, 1.0, 20.0);
        answered_after(bench, 4.0, 300.0);
    }
}

fn knows_sizes(servers: u32) -> Bench {
    let mut bench = Bench::new(settings(), servers);
    learn_sizes(&mut bench);
    bench
}

fn timeout_of(actions: &[Action]) -> Millis {
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    timeout.expect("sent")
}

/// Where units go by the work, the mean of a class says little of any of its requests.
#[test]
fn a_large_request_is_not_cut_off_for_being_large() {
    let mut bench = Bench::new(settings(), 12);
    for k in 0..60 {
        answered_after(&mut bench, 1.0, 20.0);
        answered_after(&mut bench, 1.0, 20.0);
        answered_after(&mut bench, 4.0, 300.0 + f64::from(k % 2) * 200.0);
    }
    let large = timeout_of(&bench.arrive_with(SAFE, 0, 1, 4.0, 3).1);
    let small = timeout_of(&bench.arrive_with(SAFE, 0, 2, 1.0, 3).1);
    assert!(
        large >= 900.0,
        "answers of this size take up to 500 ms: {large}"
    );
    assert!(small < 480.0, "another would still meet the aim: {small}");
}

#[test]
fn work_is_spread_by_its_size_and_not_by_its_number() {
    let mut bench = knows_sizes(2);
    let large = sent(&bench.arrive_with(SAFE, 0, 1, 4.0, 3).1).expect("sent");
    for k in 0..5 {
        let small = sent(&bench.arrive_with(SAFE, 0, 2 + k, 1.0, 3).1).expect("sent");
        assert_ne!(
            small, large,
            "one of 300 ms is out there, and {k} of 20 ms at the other"
        );
    }
}

#[test]
fn a_server_is_not_slow_for_the_large_requests_that_it_answered() {
    let mut bench = knows_sizes(2);
    let only = |bench: &mut Bench, id: u32| {
        let draining = Server {
            status: ServerStatus::Draining,
            ..server(1 - id)
        };
        bench.list(MembershipUpdate::Full(vec![server(id), draining]));
    };
    only(&mut bench, 0);
    for _ in 0..40 {
        answered_after(&mut bench, 4.0, 300.0);
    }
    // The other one is slow for small ones.
    only(&mut bench, 1);
    for _ in 0..6 {
        answered_after(&mut bench, 1.0, 40.0);
    }
    bench.list(MembershipUpdate::Full(vec![server(0), server(1)]));
    assert_eq!(sent(&bench.arrive(SAFE, 0, 1).1), Some(ServerId(0)));
}

/// What is assumed of answers before any was seen must not make those that were used first look quick for long: who
/// comes later would get nothing.
#[test]
fn a_server_that_comes_later_is_no_slower_than_those_that_were_used_first() {
    let mut bench = Bench::fresh(settings(), 2);
    for _ in 0..10 {
        answered_after(&mut bench, 1.0, 20.0);
    }
    bench.list(MembershipUpdate::Changes(vec![server(2)]));
    for k in 0..3 {
        bench.arrive_with(SAFE, 0, 500 + k, 1.0, 3);
    }
    let next = sent(&bench.arrive_with(SAFE, 0, 600, 1.0, 3).1).expect("sent");
    let out = (0..2).map(|k| sent(&bench.arrive_with(SAFE, 0, 700 + k, 1.0, 3).1).expect("sent"));
    let used: BTreeSet<ServerId> = out.chain([next]).collect();
    assert_eq!(used.len(), 3, "six are out at three servers: two each");
}

/// A large request that is out for no longer than its like take is no silence of its server.
#[test]
fn a_server_that_works_on_a_large_request_does_not_stand_still() {
    for (since, expected) in [(500.0, 0), (1_500.0, 1)] {
        let mut bench = knows_sizes(2);
        let only = |bench: &mut Bench, id: u32| {
            let draining = Server {
                status: ServerStatus::Draining,
                ..server(1 - id)
            };
            bench.list(MembershipUpdate::Full(vec![server(id), draining]));
        };
        only(&mut bench, 0);
        bench.arrive_with(SAFE, 0, 1, 4.0, 3);
        bench.now += since;
        // A little more than that is out at the other, since just now.
        only(&mut bench, 1);
        bench.arrive_with(SAFE, 0, 2, 4.0, 3);
        for k in 0..4 {
            bench.arrive_with(SAFE, 0, 10 + k, 1.0, 3);
        }
        bench.list(MembershipUpdate::Full(vec![server(0), server(1)]));
        assert_eq!(
            sent(&bench.arrive_with(SAFE, 0, 5, 1.0, 3).1),
            Some(ServerId(expected)),
            "{since} ms"
        );
    }
}

#[test]
fn a_cold_server_is_charged_with_the_size_of_what_it_is_sent() {
    let soon_after = |units: f64| {
        let mut bench = Bench::fresh(settings(), 4);
        bench.serve_for(100.0, 4_000.0);
        learn_sizes(&mut bench);
        // The warm ones are so busy that all goes to the cold one that its guard allows.
        bench.list(MembershipUpdate::Changes(vec![Server {
            status: ServerStatus::Draining,
            ..server(3)
        }]));
        for k in 0..30 {
            bench.arrive_with(SAFE, 0, 1 + k, 4.0, 3);
        }
        bench.list(MembershipUpdate::Changes(vec![Server {
            started_at: Some(bench.now),
            ..server(3)
        }]));
        bench.now += 400.0;
        assert_eq!(
            sent(&bench.arrive_with(SAFE, 0, 100, units, 3).1),
            Some(ServerId(3))
        );
        let next = (0..20u64).filter(|k| {
            bench.now += 10.0;
            sent(&bench.arrive_with(SAFE, 0, 200 + k, 1.0, 3).1) == Some(ServerId(3))
        });
        next.count()
    };
    let (large, small) = (soon_after(4.0), soon_after(1.0));
    assert!(
        large * 2 <= small,
        "one of 300 ms takes the part of many of 20 ms: {large}, {small}"
    );
}

/// Advice on customers that are not known here must not stay for ever.
#[test]
fn advice_on_the_unknown_is_forgotten() {
    let mut bench = Bench::new(settings(), 12);
    let size = |bench: &Bench| format!("{:?}", bench.gateway).len();
    let before = size(&bench);
    for number in 0..2_000 {
        let mut message = gossip::Writer::new(bench.now as u32, 0.0, 0.0);
        assert!(message.push(gossip::Entry::Advice {
            customer: 500_000 + number,
            chance: 0.5
        }));
        peer(&mut bench, 1, message.finish());
    }
    assert!(size(&bench) > before + 20_000, "heard");
    bench.pass(20_000.0);
    assert!(
        size(&bench) < before + 2_000,
        "{} from {before}",
        size(&bench)
    );
}

// ---- The decision files ----

/// No decision may hide in a function that is too long to be read at once.
const MAX_FUNCTION_LINES: usize = 100;
/// The width of the default `rustfmt`; a line beyond it is a string or a comment that it cannot break.
const MAX_LINE_WIDTH: usize = 110;

/// The length of the longest function of a file, in lines: from its `fn` to the brace at the same indentation.
fn longest_function(text: &str) -> usize {
    let lines: Vec<&str> = text.lines().collect();
    let indentation = |line: &str| line.len() - line.trim_start().len();
    let starts = |line: &&str| {
        line.trim_start()
            .split(' ')
            .take(3)
            .any(|word| word == "fn")
    };
    let length = |first: usize| {
        let end =
            |line: &&str| line.trim() == "}" && indentation(line) == indentation(lines[first]);
        lines[first..]
            .iter()
            .position(end)
            .map_or(0, |last| last + 1)
    };
    let functions = (0..lines.len()).filter(|number| starts(&lines[*number]));
    functions.map(length).max().unwrap_or(0)
}

#[test]
fn the_deploy_file_lists_all_decision_files_and_none_has_a_long_function() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read =
        |path: &str| fs::read_to_string(root.join(path)).unwrap_or_else(|e| panic!("{path}: {e}"));
    let deploy = read("deploy/balancer.toml");
    let (_, list) = deploy
        .split_once("policy = [")
        .expect("the policy's files are listed");
    let (list, _) = list.split_once(']').expect("the list ends");
    let listed: BTreeSet<&str> = list.split('"').skip(1).step_by(2).collect();
    let folder = "crates/emberpin-balancer/src/decisions";
    let there = fs::read_dir(root.join(folder))
        .expect("the policy's folder")
        .map(|entry| {
            let name = entry.expect("readable").file_name();
            format!("{folder}/{}", name.to_str().expect("a plain name"))
        });
    let there: BTreeSet<String> = there.collect();
    assert!(
        there.iter().map(String::as_str).eq(listed.iter().copied()),
        "{there:?} but {listed:?} listed"
    );
    for path in listed {
        let text = read(path);
        let longest = longest_function(&text);
        assert!(longest > 0, "{path}: no function found");
        assert!(
            longest <= MAX_FUNCTION_LINES,
            "{path}: a function of {longest} lines"
        );
        for (number, line) in text.lines().enumerate() {
            assert!(
                line.chars().count() <= MAX_LINE_WIDTH,
                "{path}: line {} is too long",
                number + 1
            );
        }
    }
}

#[test]
fn the_split_burst_is_whole_once_all_peers_show_a_common_start() {
    for (age, expected) in [(0, 20), (30_000, 6)] {
        let mut bench = Bench::fresh(settings(), 12);
        let life = bench.now as u32 - age;
        let first = let_in(&mut bench, 0, 5, 1);
        peer(&mut bench, 1, counts(life, 9, 1.0));
        assert!(
            first == 1 && refused(&bench.arrive_with(SAFE, 0, 5, 10.0, 3).1),
            "one peer is unheard"
        );
        peer(&mut bench, 2, counts(life, 9, 1.0));
        assert_eq!(
            first + let_in(&mut bench, 0, 5, 30),
            expected,
            "peers {age} ms older"
        );
    }
}

#[test]
fn paid_work_beyond_the_quota_is_let_in_only_while_quiet() {
    let mut paid = settings();
    paid.plans[0].over_quota_value = 0.6;
    let mut bench = Bench::new(paid.clone(), 12);
    assert_eq!(
        let_in(&mut bench, 0, 5, 60),
        60,
        "pays more than it costs: let in while quiet"
    );
    let told = told(&bench.pass(100.0), 1);
    let entry = gossip::read(&told[0]).expect("readable").entries[0];
    let gossip::Entry::Count { units, .. } = entry else {
        panic!("a count")
    };
    assert!(units < 20.0, "and it takes nothing from the quota");

    let mut bench = Bench::fresh(paid, 12);
    fill(&mut bench, 40);
    let tries = (0..30)
        .filter(|_| sent(&bench.arrive(SAFE, 0, 5).1).is_some())
        .count();
    assert_eq!(tries, 6, "40 of 62 out is not quiet: empty means refuse");
}

/// Serves with two attempts out a server; an attempt is reset if `breaks` says so of its server. The share of the
/// servers that rest meanwhile.
fn resting(breaks: impl Fn(u64, ServerId) -> bool) -> f64 {
    const SERVERS: u32 = 9;
    let mut bench = Bench::new(settings(), SERVERS);
    let (mut rested, mut looks) = (0, 0);
    let mut out = std::collections::VecDeque::new();
    for k in 0..3_000u64 {
        bench.now += 10.0;
        let (id, actions) = bench.arrive(SAFE, 0, 100_000 + k);
        out.extend(sent(&actions).map(|to| (id, 0, to)));
        if out.len() > 2 * SERVERS as usize {
            let (id, attempt, to) = out.pop_front().expect("not empty");
            let outcome = if breaks(k, to) {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            out.extend(sent(&bench.ends(id, attempt, to, outcome)).map(|to| (id, attempt + 1, to)));
        }
        if k % 50 == 49 {
            rested += bench.gateway.ejected_count(bench.now);
            looks += SERVERS;
        }
    }
    f64::from(rested) / f64::from(looks)
}

/// Connections that break by chance, at any server, must not put one server after the other to rest.
#[test]
fn resets_that_strike_all_servers_alike_eject_none() {
    let chance = |k: u64, _| k.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 7 == 0;
    let share = resting(chance);
    assert!(
        share < 0.03,
        "one attempt in eight is reset: {share:.2} of the servers rest"
    );
}

#[test]
fn a_server_that_alone_resets_its_connections_is_ejected() {
    let share = resting(|_, server| server == ServerId(4));
    assert!(
        (0.08..0.13).contains(&share),
        "one of nine is at rest most of the time: {share:.2}"
    );
}

#[test]
fn half_of_the_servers_failing_together_are_ejected_but_never_all() {
    let mut bench = Bench::new(settings(), 6);
    for k in 0..30 {
        // The sound ones hold their work, so that the dead ones look idle and are tried.
        let (id, actions) = bench.arrive(SAFE, 0, 100 + k);
        let mut to = sent(&actions);
        let mut attempt = 0;
        while let Some(server) = to.filter(|server| server.0 < 3) {
            to = sent(&bench.ends(id, attempt, server, Outcome::ConnectFailed));
            attempt += 1;
        }
    }
    let to_dead = (0..30).filter(|k| sent(&bench.arrive(SAFE, 0, 1000 + k).1).expect("sent").0 < 3);
    assert_eq!(to_dead.count(), 0, "all three rest");

    let mut bench = Bench::new(settings(), 6);
    for k in 0..60 {
        let (id, actions) = bench.arrive(SAFE, 0, 100 + k);
        let mut to = sent(&actions);
        let mut attempt = 0;
        while let Some(server) = to {
            to = sent(&bench.ends(id, attempt, server, Outcome::ConnectFailed));
            attempt += 1;
        }
    }
    assert!(
        sent(&bench.arrive(SAFE, 0, 999).1).is_some(),
        "a fault that all share ejects none for good"
    );
}

#[test]
fn a_server_that_takes_no_connection_rests_even_if_all_but_one_do_the_same() {
    let mut bench = Bench::new(settings(), 6);
    for k in 0..30 {
        let (id, actions) = bench.arrive(SAFE, 0, 100 + k);
        let mut to = sent(&actions);
        let mut attempt = 0;
        while let Some(server) = to.filter(|server| server.0 > 0) {
            to = sent(&bench.ends(id, attempt, server, Outcome::ConnectFailed));
            attempt += 1;
        }
    }
    for k in 0..10 {
        assert_eq!(
            sent(&bench.arrive(SAFE, 0, 1000 + k).1),
            Some(ServerId(0)),
            "the one that holds"
        );
    }
}

#[test]
fn attempts_stuck_at_a_few_silent_servers_are_no_congestion() {
    let mut bench = Bench::fresh(settings(), 12);
    let out = fill(&mut bench, 120);
    bench.now += 600.0;
    let spoken: Vec<_> = out.iter().filter(|(_, server)| server.0 >= 6).collect();
    for (id, server) in &spoken[..spoken.len() - 10] {
        bench.ends(*id, 0, *server, Outcome::Ok);
    }
    assert_eq!(
        refused_of(&mut bench, 50),
        0,
        "six servers hold 60 attempts in silence, the rest 10"
    );
}

// ---- Maintenance by hand ----

fn maintain(bench: &mut Bench, id: u32, out: bool) -> Vec<Action> {
    bench.handle(Event::Maintenance {
        server: ServerId(id),
        out_of_service: out,
    })
}

/// Which servers get something of so many requests.
fn served_by(bench: &mut Bench, requests: usize) -> BTreeSet<u32> {
    (0..requests)
        .filter_map(|k| {
            let (id, actions) = bench.arrive(SAFE, 0, 700_000 + k as u64);
            let server = sent(&actions)?;
            bench.ends(id, 0, server, Outcome::Ok);
            Some(server.0)
        })
        .collect()
}

#[test]
fn a_server_taken_out_by_hand_gets_nothing_whatever_the_list_says() {
    let mut bench = Bench::new(settings(), 3);
    maintain(&mut bench, 1, true);
    assert_eq!(served_by(&mut bench, 60), BTreeSet::from([0, 2]));
    assert_eq!(bench.gateway.pool_size(bench.now), pool_size(3, 1));
    // It leaves, and comes back as another life.
    bench.list(MembershipUpdate::Changes(vec![Server {
        status: ServerStatus::Removed,
        ..server(1)
    }]));
    assert_eq!(bench.gateway.pool_size(bench.now), pool_size(2, 0));
    bench.list(MembershipUpdate::Full(
        (0..3)
            .map(|id| Server {
                started_at: Some(bench.now),
                ..server(id)
            })
            .collect(),
    ));
    bench.pass(30_000.0);
    // Said again, it stays out; and one call ends that.
    maintain(&mut bench, 1, true);
    assert_eq!(served_by(&mut bench, 60), BTreeSet::from([0, 2]));
    maintain(&mut bench, 1, false);
    bench.pass(30_000.0);
    assert_eq!(served_by(&mut bench, 60), BTreeSet::from([0, 1, 2]));
    assert_eq!(bench.gateway.pool_size(bench.now), pool_size(3, 0));
}

#[test]
fn a_server_put_back_by_hand_is_held_to_be_cold_and_nothing_is_held_against_it() {
    let mut bench = Bench::fresh(settings(), 4);
    bench.serve_for(100.0, 10_000.0);
    while bench.gateway.ejected_count(bench.now) == 0 {
        let (id, actions) = bench.arrive(SAFE, 0, 1_000 + bench.now as u64);
        let at = sent(&actions).expect("there are others");
        let outcome = if at == ServerId(3) {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        };
        bench.ends_as(id, 0, at, outcome, true);
        bench.now += 1.0;
    }
    maintain(&mut bench, 3, true);
    maintain(&mut bench, 3, false);
    assert_eq!(
        bench.gateway.pool_size(bench.now),
        pool_size(4, 0),
        "its failures before are forgotten"
    );
    let mut of = [0u32; 4];
    let mut out = std::collections::VecDeque::new();
    for k in 0..300 {
        bench.now += 10.0;
        if k % 10 == 0 {
            bench.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = bench.arrive(SAFE, 0, 900_000 + k);
        let Some(to) = sent(&actions) else { continue };
        of[to.0 as usize] += 1;
        out.push_back((id, to));
        if out.len() > 20 {
            let (id, to) = out.pop_front().expect("not empty");
            bench.ends(id, 0, to, Outcome::Ok);
        }
    }
    assert!(of[3] > 0 && of[3] * 3 < of[0] * 2, "{of:?}");
}

#[test]
fn the_last_server_taken_out_is_obeyed_and_said() {
    let mut bench = Bench::new(settings(), 2);
    maintain(&mut bench, 0, true);
    let actions = maintain(&mut bench, 1, true);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Log(text) if text.contains("by hand"))));
    assert_eq!(served_by(&mut bench, 20), BTreeSet::new());
}

// ---- Work taken over from a gateway that is gone ----

/// What may have run at a server of zone 0, so long ago.
fn taken_over(bench: &mut Bench, class: usize, ago: Millis) -> (RequestId, Vec<Action>) {
    let id = RequestId(1 << 31);
    let request = Request {
        id,
        class: ClassId(class),
        plan: PlanId(0),
        customer: CustomerId(5),
        remaining: 2_000.0,
        units: 1.0,
        gateways: GatewaySet {
            first: GatewayId(0),
            size: 3,
        },
        prior_attempt: Some(PriorAttempt {
            age: ago,
            location: Location::default(),
        }),
    };
    (id, bench.handle(Event::Request(request)))
}

#[test]
fn what_is_taken_over_goes_to_its_group_within_its_window_and_is_not_counted_again() {
    let mut bench = Bench::new(settings(), 6);
    let before = bench.arrive(SAFE, 0, 5);
    bench.ends(before.0, 0, sent(&before.1).expect("sent"), Outcome::Ok);
    let (id, actions) = taken_over(&mut bench, KEYED_ZONE, 100.0);
    let to = sent(&actions).expect("inside its window");
    assert_eq!(
        bench.gateway.location(to).map(|location| location.zone),
        Some(0),
        "where a repeat is dropped"
    );
    bench.ends(id, 0, to, Outcome::Ok);
    let (_, late) = taken_over(&mut bench, KEYED_ZONE, 100_000.0);
    assert_eq!(sent(&late), None, "past its window");
    // So near the window's end that it might wait past it at its server.
    let Idempotency::Keyed { window, .. } = settings().classes[KEYED_ZONE].idempotency else {
        panic!("keyed")
    };
    let (_, late) = taken_over(&mut bench, KEYED_ZONE, window * 0.89);
    assert_eq!(
        sent(&late),
        None,
        "it would begin to run when the window is over"
    );
    let (_, never) = taken_over(&mut bench, UNSAFE, 0.0);
    assert_eq!(sent(&never), None, "what may never run twice");
    assert!(
        never
            .iter()
            .any(|action| matches!(action, Action::Fail { .. })),
        "and is not told to come back"
    );
}

#[test]
fn what_is_taken_over_is_given_up_with_its_window() {
    let Idempotency::Keyed { window, .. } = settings().classes[KEYED_ZONE].idempotency else {
        panic!("keyed")
    };
    let mut sends = 0;
    for part in 0..18 {
        // No further attempt is hoped for, so that this one has all the time that is left.
        let mut bench = Bench::new(
            Settings {
                max_attempts: 1,
                ..settings()
            },
            6,
        );
        let ago = window * f64::from(part) * 0.05;
        let (_, actions) = taken_over(&mut bench, KEYED_ZONE, ago);
        for action in actions {
            if let Action::Send { timeout, .. } = action {
                sends += 1;
                assert!(
                    timeout <= window - ago + 1.0,
                    "{timeout} at {ago} of {window}"
                );
            }
        }
    }
    assert!(sends > 5, "{sends}");
}
