//! Groups so large that each customer's quota has a few owners. A gateway receives only the peer messages that the
//! test delivers.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

/// Settings of gateway `number` in a group of `group` gateways whose peers cannot receive every announcement.
fn member_settings(number: u32, group: u32) -> Settings {
    Settings {
        gateway_id: GatewayId(number),
        group_size: group,
        peer_messages_per_second: 40.0,
        ..settings()
    }
}

fn request(
    harness: &mut Harness,
    number: u32,
    plan: usize,
    customer: u64,
    set_size: u32,
) -> (RequestId, Vec<Action>) {
    let id = RequestId(1_000_000 + number);
    let request = Request {
        id,
        class: ClassId(SAFE),
        plan: PlanId(plan),
        customer: CustomerId(customer),
        remaining: 2000.0,
        units: 1.0,
        gateways: GatewaySet {
            first: GatewayId(0),
            size: set_size,
        },
        prior_attempt: None,
    };
    (id, harness.handle(Event::Request(request)))
}

/// A message without entries.
fn header_only(incarnation: u32) -> Vec<u8> {
    gossip::MessageBuilder::new(incarnation, 0.0, 0.0).finish()
}

#[test]
fn many_isolated_gateways_do_not_overload_a_cold_server() {
    const GROUP: u32 = 120;
    const SERVERS: u32 = 24;
    // Each gateway serves 5 requests a second, which is 25 a second for each warm server.
    let mut gateways: Vec<Harness> = (0..GROUP)
        .map(|number| Harness::just_started(member_settings(number, GROUP), SERVERS))
        .collect();
    for harness in &mut gateways {
        harness.serve_for(5.0, 8_000.0);
    }
    // One server restarts and all others drain, so every gateway needs the cold one.
    let start = gateways[0].now;
    for harness in &mut gateways {
        harness.now = start;
        let mut entries: Vec<Server> = (0..SERVERS).map(server).collect();
        entries[0].started_at = Some(start);
        entries[1..]
            .iter_mut()
            .for_each(|entry| entry.status = ServerStatus::Draining);
        harness.update_membership(MembershipUpdate::Full(entries));
    }
    let mut sends = Vec::new();
    for step in 1..=80u32 {
        for (number, harness) in gateways.iter_mut().enumerate() {
            harness.now = start + f64::from(step) * 100.0;
            harness.handle(Event::Timer { token: 0 });
            let (id, actions) =
                request(harness, step, 0, u64::from(step) * 1000 + number as u64, 1);
            if let Some(to) = sent_to(&actions) {
                sends.push(harness.now);
                harness.end_attempt(id, 0, to, Outcome::Ok);
            }
        }
    }
    assert!(sends.len() > 20, "a few gateways use it: {}", sends.len());
    let slow_start = settings().slow_start;
    for from in &sends {
        let within = sends
            .iter()
            .filter(|at| *at >= from && **at < from + slow_start.overload_time)
            .count() as f64;
        let warm_up_share = slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * (from - start) / slow_start.duration;
        let limit =
            slow_start.overload_multiple * warm_up_share * 25.0 * slow_start.overload_time / 1000.0;
        assert!(
            within < limit,
            "{within} within a second of {}, the limit is {limit}",
            from - start
        );
    }
}

/// Runs gateways for 10 s that have started at the same time as all their servers, and have seen none of them warm.
/// Each gateway sends one request per `steps_per_request` steps of 100 ms, and servers report `queue_length`, if any.
/// Returns the times of the attempts at each server, and the share of the requests that were admitted.
fn run_without_warm_servers(
    group: u32,
    servers: u32,
    steps_per_request: u32,
    queue_length: Option<f64>,
) -> (Vec<Vec<f64>>, f64) {
    let mut gateways: Vec<Harness> = (0..group)
        .map(|number| Harness::just_started(member_settings(number, group), 0))
        .collect();
    let start = gateways[0].now;
    let mut cold_servers: Vec<Server> = (0..servers).map(server).collect();
    cold_servers
        .iter_mut()
        .for_each(|entry| entry.started_at = Some(start));
    for harness in &mut gateways {
        harness.now = start;
        harness.update_membership(MembershipUpdate::Full(cold_servers.clone()));
    }
    let (mut sends, mut requested, mut admitted) = (vec![Vec::new(); servers as usize], 0, 0);
    for step in 1..=100u32 {
        for (number, harness) in gateways.iter_mut().enumerate() {
            harness.now = start + f64::from(step) * 100.0;
            harness.handle(Event::Timer { token: 0 });
            if !(number as u32 + step).is_multiple_of(steps_per_request) {
                continue;
            }
            let (id, actions) =
                request(harness, step, 0, u64::from(step) * 1000 + number as u64, 1);
            requested += 1;
            if let Some(to) = sent_to(&actions) {
                admitted += 1;
                sends[to.0 as usize].push(harness.now - start);
                harness.now += 30.0;
                let report = LoadReport {
                    queue_length,
                    ..LoadReport::default()
                };
                harness.answer_with_load(id, 0, to, report);
            }
        }
    }
    (sends, f64::from(admitted) / f64::from(requested))
}

#[test]
fn hundreds_of_gateways_without_warm_servers_take_turns_and_overload_none() {
    for (group, servers, steps_per_request, min_share) in [
        (300, 20, 10, 0.3),
        (300, 20, 1, 0.03),
        (100, 20, 10, 0.6),
        (30, 6, 10, 0.5),
    ] {
        let (sends, share) = run_without_warm_servers(group, servers, steps_per_request, None);
        assert!(share > min_share, "{group} gateways: {share:.2} admitted");
        // Servers that report full queues are sent no more than without reports; those that report empty queues are
        // sent more and more.
        let (_, full) = run_without_warm_servers(group, servers, steps_per_request, Some(3.0));
        assert!(
            full < share * 1.1,
            "{group} gateways: {full:.2} admitted, against {share:.2}"
        );
        if steps_per_request == 1 {
            let (_, empty) = run_without_warm_servers(group, servers, steps_per_request, Some(0.0));
            assert!(
                empty > 2.5 * share,
                "{group} gateways: {empty:.2} admitted, against {share:.2}"
            );
        }
        let slow_start = settings().slow_start;
        let ends_before_warm =
            |from: &&f64| **from + slow_start.overload_time <= slow_start.duration;
        for (sends, from) in sends.iter().flat_map(|all| {
            all.iter()
                .filter(ends_before_warm)
                .map(move |from| (all, from))
        }) {
            let within = sends
                .iter()
                .filter(|at| *at >= from && **at < from + slow_start.overload_time)
                .count() as f64;
            let warm_up_share = slow_start.initial_capacity
                + (1.0 - slow_start.initial_capacity) * from / slow_start.duration;
            // A server can serve at least one request at a time, in 30 ms on average.
            let limit = slow_start.overload_multiple * warm_up_share / 0.030
                * slow_start.overload_time
                / 1000.0;
            assert!(
                within < limit,
                "{group}: {within} within a second of {from}, the limit is {limit:.1}"
            );
        }
    }
}

#[test]
fn retries_of_hundreds_of_gateways_at_a_common_start_are_bounded_for_all_of_them() {
    let mut retries = 0;
    for number in 0..300 {
        let mut harness = Harness::just_started(member_settings(number, 300), 20);
        for number in 0..5 {
            let (id, mut actions) = request(&mut harness, number, 0, u64::from(number) + 1000, 1);
            let mut attempt = 0;
            while let Some(to) = sent_to(&actions) {
                retries += u32::from(attempt > 0);
                actions = harness.end_attempt(id, attempt, to, Outcome::Reset);
                attempt += 1;
            }
        }
    }
    // At most a tenth of the 1,500 requests, and one retry of each gateway.
    assert!((300..=450).contains(&retries), "{retries} retries");
}

#[test]
fn a_rate_limit_holds_over_a_set_of_isolated_gateways_that_restart() {
    const SET: u32 = 10;
    let mut large_quota = member_settings(0, 120);
    large_quota.plans[1].quota_rate = 1000.0;
    large_quota.plans[1].quota_burst = 1000.0;
    let mut used = 0;
    let mut gateways: Vec<Harness> = (0..SET)
        .map(|number| {
            Harness::just_started(
                Settings {
                    gateway_id: GatewayId(number),
                    ..large_quota.clone()
                },
                12,
            )
        })
        .collect();
    let start = gateways[0].now;
    for (round, gateway) in (0..3).flat_map(|round| (0..SET as usize).map(move |k| (round, k))) {
        let gateway_harness = &mut gateways[gateway];
        // The first incarnations learn of their common start; half of the gateways restart later.
        if round == 0 {
            (20..30).for_each(|from| {
                drop(gateway_harness.handle(Event::PeerMessage {
                    from: GatewayId(from),
                    bytes: header_only(start as u32),
                }));
            });
        } else if round == 1 && gateway % 2 == 0 {
            *gateway_harness = gateway_harness.restarted(
                Settings {
                    gateway_id: GatewayId(gateway as u32),
                    ..large_quota.clone()
                },
                12,
            );
            (20..30).for_each(|from| {
                drop(gateway_harness.handle(Event::PeerMessage {
                    from: GatewayId(from),
                    bytes: header_only(start as u32),
                }));
            });
        }
        for k in 0..40 {
            let (id, actions) = request(gateway_harness, 100 * round + k, 1, 7, SET);
            if let Some(to) = sent_to(&actions) {
                used += 1;
                gateway_harness.end_attempt(id, 0, to, Outcome::Ok);
            }
        }
        gateway_harness.advance(3_000.0);
    }
    // A rate of 20 and a burst of 40 over all gateways: 40 at the start and 20 per second for six seconds.
    assert!(used <= 40 + 20 * 6, "{used} admitted");
    assert!(
        used >= 40,
        "the burst is available when the group is seen to start: {used}"
    );
}

#[test]
fn a_customer_of_a_large_set_is_admitted_although_its_split_burst_is_below_one_unit() {
    let gateways = (0..100).map(|number| Harness::just_started(member_settings(number, 120), 12));
    let admitted =
        gateways.map(|mut harness| sent_to(&request(&mut harness, 1, 0, 5, 100).1).is_some());
    assert!(
        admitted.filter(|sent| *sent).count() >= 98,
        "all but the owners, whose quota is split"
    );
}

/// The gateways that own the quota of customer 5 in a set of 100: those that advise once its demand is too high.
fn owners() -> Vec<u32> {
    let mut harness = Harness::just_started(member_settings(110, 120), 12);
    let entry = |n| gossip::Entry::Count {
        customer: 5,
        plan: 0,
        first: 0,
        size: 100,
        units: n,
        requested: n,
    };
    let advises = |number: u32| {
        let mut harness = Harness::just_started(member_settings(number, 120), 12);
        let mut writer = gossip::MessageBuilder::new(harness.now as u32, 0.0, 0.0);
        assert!(writer.push(entry(400.0)));
        harness.handle(Event::PeerMessage {
            from: GatewayId(119),
            bytes: writer.finish(),
        });
        count_advice(&harness.advance(1000.0)) > 0
    };
    assert_eq!(count_advice(&harness.advance(100.0)), 0);
    (0..100).filter(|number| advises(*number)).collect()
}

fn count_advice(actions: &[Action]) -> usize {
    let entries = actions.iter().filter_map(|action| match action {
        Action::SendToPeer { bytes, .. } => gossip::decode(bytes),
        _ => None,
    });
    let advice = |entry: &gossip::Entry| matches!(entry, gossip::Entry::Advice { .. });
    entries
        .map(|message| message.entries.iter().filter(|entry| advice(entry)).count())
        .sum()
}

#[test]
fn two_owners_advise_a_large_set_within_what_peers_can_receive() {
    let owners = owners();
    assert_eq!(owners.len(), 2, "{owners:?}");
    let mut harness = Harness::just_started(member_settings(owners[0], 120), 12);
    let mut sent = 0;
    for second in 1..=10 {
        let mut writer = gossip::MessageBuilder::new(harness.now as u32, 0.0, 0.0);
        let (units, requested) = (10.0, 100.0);
        assert!(writer.push(gossip::Entry::Count {
            customer: 5,
            plan: 0,
            first: 0,
            size: 100,
            units,
            requested,
        }));
        harness.handle(Event::PeerMessage {
            from: GatewayId(119),
            bytes: writer.finish(),
        });
        let actions = harness.advance(1000.0);
        sent += actions
            .iter()
            .filter(|action| matches!(action, Action::SendToPeer { .. }))
            .count();
        assert!(
            sent <= 60 * second + 20,
            "twice three quarters of 40 a second at most: {sent}"
        );
    }
    assert!(sent > 100, "each gateway of the set is advised: {sent}");
}

#[test]
fn advice_rejects_at_random_and_immediate_retries_gain_no_more_than_the_rate() {
    let mut harness = Harness::just_started(member_settings(owners()[0], 120), 12);
    let start = harness.now;
    let mut admitted = 0;
    for number in 0..6_000 {
        harness.now += 5.0;
        if number % 20 == 0 {
            harness.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = request(&mut harness, number, 0, 5, 100);
        if let Some(to) = sent_to(&actions) {
            admitted += 1;
            harness.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    let seconds = (harness.now - start) / 1000.0;
    let rate = f64::from(admitted) / seconds;
    assert!(
        (7.0..13.0).contains(&rate),
        "200 requests per second, {rate} per second admitted of a rate of 10"
    );

    let mut member = Harness::just_started(member_settings(105, 120), 12);
    let mut writer = gossip::MessageBuilder::new(member.now as u32, 0.0, 0.0);
    assert!(writer.push(gossip::Entry::Advice {
        customer: 9,
        probability: 0.25
    }));
    member.handle(Event::PeerMessage {
        from: GatewayId(1),
        bytes: writer.finish(),
    });
    let admitted = (0..400).filter(|number| {
        member.now += 100.0;
        member.handle(Event::Timer { token: 0 });
        member.handle(Event::PeerMessage {
            from: GatewayId(1),
            bytes: header_only(1_000_000),
        });
        let (id, actions) = request(&mut member, *number, 0, 9, 110);
        sent_to(&actions)
            .inspect(|to| drop(member.end_attempt(id, 0, *to, Outcome::Ok)))
            .is_some()
    });
    let admitted_early = admitted.take_while(|number| *number < 150).count();
    assert!(
        (20..60).contains(&admitted_early),
        "a quarter of 150 while the advice is valid: {admitted_early}"
    );
}

#[test]
fn a_pause_of_the_gateways_process_causes_no_ejection_and_no_congestion() {
    let mut harness = Harness::just_started(member_settings(0, 120), 12);
    harness.serve_for(20.0, 3_000.0);
    let in_flight: Vec<_> = (0..8)
        .map(|n| request(&mut harness, n, 0, 100 + u64::from(n), 1))
        .collect();
    // A pause of two seconds, then all outcomes at once: time-outs of attempts that were sent before.
    harness.now += 2_000.0;
    harness.handle(Event::Timer { token: 0 });
    let servers: Vec<ServerId> = in_flight
        .iter()
        .filter_map(|(_, actions)| sent_to(actions))
        .collect();
    for ((id, _), to) in in_flight.iter().zip(&servers) {
        let actions = harness.handle(Event::AttemptEnded(AttemptResult {
            request: *id,
            attempt: 0,
            server: *to,
            outcome: Outcome::Timeout,
            elapsed: 2_000.0,
            answered: true,
            replayable: true,
            load: LoadReport::default(),
            units: None,
            metered: None,
        }));
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::Log(_))),
            "neither ejected nor congested"
        );
    }
    let rejections =
        (0..20).filter(|n| rejected(&request(&mut harness, 100 + n, 0, 900 + u64::from(*n), 1).1));
    assert_eq!(rejections.count(), 0);
}

#[test]
fn one_attempt_in_flight_is_no_congestion_while_the_mean_is_low() {
    let mut harness = Harness::just_started(member_settings(0, 120), 24);
    let report_from_peers = |harness: &mut Harness, in_flight: f64| {
        for from in 1..60 {
            let bytes = gossip::MessageBuilder::new(1_000_000, in_flight, 5.0).finish();
            harness.handle(Event::PeerMessage {
                from: GatewayId(from),
                bytes,
            });
        }
        harness.handle(Event::Timer { token: 0 });
    };
    let count_rejected = |harness: &mut Harness, first: u32| {
        (0..60)
            .filter(|n| {
                let (id, actions) = request(harness, first + n, 0, u64::from(first + n), 1);
                sent_to(&actions)
                    .inspect(|to| drop(harness.end_attempt(id, 0, *to, Outcome::Ok)))
                    .is_none()
            })
            .count()
    };
    harness.now += 100.0;
    report_from_peers(&mut harness, 0.3);
    assert_eq!(
        count_rejected(&mut harness, 0),
        0,
        "a single attempt of this gateway is noise"
    );
    report_from_peers(&mut harness, 9.0);
    assert!(
        count_rejected(&mut harness, 1_000) > 30,
        "peers have far more than the onset in flight"
    );
}

#[test]
fn an_isolated_gateway_counts_a_few_attempts_in_flight_as_congestion() {
    // With all messages lost, three attempts in flight at each of 120 gateways amount to 15 for each server.
    let mut harness = Harness::just_started(member_settings(0, 120), 24);
    harness.serve_for(2.0, 10_000.0);
    let in_flight: Vec<_> = (0..4)
        .map(|n| request(&mut harness, n, 0, 100 + u64::from(n), 1))
        .collect();
    harness.advance(2_000.0);
    for (id, actions) in &in_flight[..2] {
        harness.end_attempt(*id, 0, sent_to(actions).expect("sent"), Outcome::Timeout);
    }
    let rejections =
        (0..200).filter(|n| rejected(&request(&mut harness, 100 + n, 0, 900 + u64::from(*n), 1).1));
    assert!(
        rejections.count() > 20,
        "two or more in flight for long at two answers a second is congestion"
    );
}

#[test]
fn abandoned_attempts_are_cancelled() {
    let mut harness = Harness::new(settings(), 6);
    let (id, actions) = request(&mut harness, 1, 0, 5, 1);
    assert!(sent_to(&actions).is_some());
    let after = harness.handle(Event::Abandoned { request: id });
    assert_eq!(
        after,
        vec![Action::Cancel {
            request: id,
            attempt: 0
        }]
    );
    assert!(harness.handle(Event::Abandoned { request: id }).is_empty());
}

#[test]
fn malformed_messages_in_a_large_group_change_nothing() {
    let mut harness = Harness::just_started(member_settings(0, 120), 12);
    for (plan, size, first) in [(99, 10, 0), (0, u32::MAX >> 2, 500), (1, 0, 7)] {
        let mut writer = gossip::MessageBuilder::new(5, f64::MAX, f64::MAX);
        writer.push(gossip::Entry::Count {
            customer: 3,
            plan,
            first,
            size,
            units: 1e30,
            requested: 1e30,
        });
        let mut bytes = writer.finish();
        harness.handle(Event::PeerMessage {
            from: GatewayId(3),
            bytes: bytes.clone(),
        });
        bytes.truncate(bytes.len() - 1);
        harness.handle(Event::PeerMessage {
            from: GatewayId(3),
            bytes,
        });
    }
    harness.handle(Event::PeerMessage {
        from: GatewayId(0),
        bytes: header_only(1),
    });
    harness.handle(Event::PeerMessage {
        from: GatewayId(4000),
        bytes: header_only(1),
    });
    harness.advance(1000.0);
    assert!(sent_to(&request(&mut harness, 1, 0, 77, 100).1).is_some());
}

/// The advice of an owner of customer 5 after these counts, each of cumulative units and units requested since the
/// previous one.
fn advice_after(counts: &[(f64, f64)]) -> Vec<gossip::Entry> {
    let mut harness = Harness::just_started(member_settings(owners()[0], 120), 12);
    let incarnation = harness.now as u32;
    harness.advance(3_000.0);
    harness.handle(Event::PeerMessage {
        from: GatewayId(119),
        bytes: header_only(incarnation),
    });
    for (units, requested) in counts {
        let mut writer = gossip::MessageBuilder::new(incarnation, 0.0, 0.0);
        assert!(writer.push(gossip::Entry::Count {
            customer: 5,
            plan: 0,
            first: 0,
            size: 100,
            units: *units,
            requested: *requested
        }));
        harness.handle(Event::PeerMessage {
            from: GatewayId(119),
            bytes: writer.finish(),
        });
        harness.now += 10.0;
    }
    harness.now = harness.now.ceil() + 100.0 - 10.0 * counts.len() as f64;
    let actions = harness.handle(Event::Timer { token: 0 });
    let sent = actions.iter().filter_map(|action| match action {
        Action::SendToPeer { bytes, .. } => gossip::decode(bytes),
        _ => None,
    });
    let entries = sent.flat_map(|message| message.entries);
    entries
        .filter(|entry| matches!(entry, gossip::Entry::Advice { .. }))
        .collect()
}

/// Counts are cumulative: with increments, customers would be admitted a fifth too much where one message in five
/// is lost.
#[test]
fn the_next_count_makes_up_for_a_lost_message() {
    let expected = advice_after(&[(3.0, 50.0), (6.0, 0.0), (9.0, 50.0)]);
    let after_a_loss = advice_after(&[(3.0, 50.0), (9.0, 50.0)]);
    assert!(!expected.is_empty(), "its demand is far above its rate");
    assert_eq!(expected, after_a_loss);
}

#[test]
fn gateways_of_a_large_set_announce_cumulative_units() {
    let owners = owners();
    let member = (0..100)
        .find(|number| !owners.contains(number))
        .expect("most own no quota");
    let mut harness = Harness::just_started(member_settings(member, 120), 12);
    let mut sent = Vec::new();
    for number in 0..3 {
        let (id, actions) = request(&mut harness, number, 0, 5, 100);
        harness.end_attempt(id, 0, sent_to(&actions).expect("admitted"), Outcome::Ok);
        for action in harness.advance(1_000.0) {
            let Action::SendToPeer {
                to: Some(GatewayId(to)),
                bytes,
            } = action
            else {
                continue;
            };
            let entries = gossip::decode(&bytes).expect("readable").entries;
            sent.extend(entries.iter().filter_map(|entry| match entry {
                gossip::Entry::Count { units, .. } if to == owners[0] => Some(*units),
                _ => None,
            }));
        }
    }
    assert_eq!(sent, [1.0, 2.0, 3.0]);
}

#[test]
fn the_mean_latency_target_is_known_after_a_few_answers() {
    let mut settings = member_settings(0, 120);
    settings.classes[1].latency_target = 5_000.0;
    let mut harness = Harness::just_started(settings, 24);
    // Three answers per second of the class whose latency target is ten times that of the first class.
    let mut answer = |number: u32, elapsed: Millis| {
        let (id, actions) = harness.arrive(1, 0, 10_000 + u64::from(number));
        let to = sent_to(&actions).expect("admitted");
        harness.advance(elapsed);
        harness.end_attempt(id, 0, to, Outcome::Ok);
    };
    (0..15).for_each(|number| answer(number, 333.0));
    let in_flight: Vec<_> = (0..4)
        .map(|n| request(&mut harness, n, 0, 100 + u64::from(n), 1))
        .collect();
    harness.advance(1_000.0);
    harness.end_attempt(
        in_flight[0].0,
        0,
        sent_to(&in_flight[0].1).expect("sent"),
        Outcome::Ok,
    );
    let rejections =
        (0..200).filter(|n| rejected(&request(&mut harness, 100 + n, 0, 900 + u64::from(*n), 1).1));
    assert_eq!(
        rejections.count(),
        0,
        "only three in flight: three per second that take a third of 5 s each would be five"
    );
}
